#include <primrosehead/retry.h>

#include <algorithm>

namespace primrosehead {

namespace {

// Tries of one request, the first included.
constexpr std::uint32_t max_attempts = 4;

enum class failure_class {
    final_answer,      // another try gets the same answer
    unsuitable_server, // the server could not serve it: another can, at no cost to the budget
    transient,         // a fault that another try may miss
};

failure_class classify(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::behind:
        return failure_class::unsuitable_server;
    case error_kind::overloaded:
    case error_kind::timed_out:
    case error_kind::connection_lost:
    case error_kind::wrong_term:
    case error_kind::leaving:
        return failure_class::transient;
    default:
        return failure_class::final_answer;
    }
}

} // namespace

retry_budget::retry_budget(double ratio, double max_tokens) noexcept
    : ratio_(ratio), max_tokens_(max_tokens), tokens_(max_tokens)
{
}

void retry_budget::record_request() noexcept
{
    tokens_ = std::min(max_tokens_, tokens_ + ratio_);
}

bool retry_budget::try_consume() noexcept
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

retry_decision decide_retry(const attempt& last, retry_budget& budget) noexcept
{
    const failure_class failed = classify(last.failure);
    if (failed == failure_class::final_answer || last.attempt_number >= max_attempts) {
        return retry_decision::final_failure;
    }
    if (last.ran == ran::unknown && !last.idempotent) {
        return retry_decision::not_idempotent;
    }
    if (last.now >= last.deadline) {
        return retry_decision::deadline_exceeded;
    }
    if (failed == failure_class::transient && !budget.try_consume()) {
        return retry_decision::budget_exhausted;
    }
    return retry_decision::retry;
}

std::string_view to_string(retry_decision decision) noexcept
{
    switch (decision) {
    case retry_decision::retry:
        return "again";
    case retry_decision::final_failure:
        return "answered";
    case retry_decision::deadline_exceeded:
        return "deadline too near";
    case retry_decision::budget_exhausted:
        return "retry budget spent";
    case retry_decision::not_idempotent:
        break;
    }
    return "may have run";
}

} // namespace primrosehead
