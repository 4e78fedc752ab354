// Decides whether a failed attempt is retried. Pure.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <string_view>

namespace primrosehead {

// Token bucket that limits retries to a ratio of the requests, so that retries can't multiply the
// load while servers fail.
class retry_budget {
  public:
    retry_budget(double ratio, double max_tokens) noexcept;

    // Sets the retries allowed per request, from the next request on.
    void set_ratio(double ratio) noexcept { ratio_ = ratio; }

    // Adds the tokens that one request earns.
    void record_request() noexcept;
    // Consumes the token of one retry. False: the budget is exhausted.
    [[nodiscard]] bool try_consume() noexcept;

  private:
    double ratio_;
    double max_tokens_;
    double tokens_;
};

// The last attempt of a request, which failed.
struct attempt {
    error_kind failure = error_kind::internal;
    enum ran ran = ran::no;
    bool idempotent = false;
    std::uint32_t attempt_number = 1;
    clock::time_point now;
    clock::time_point deadline;
};

enum class retry_decision {
    retry,
    final_failure,
    deadline_exceeded,
    budget_exhausted,
    not_idempotent
};

[[nodiscard]] std::string_view to_string(retry_decision decision) noexcept;

// Retries only an operation that certainly did not run or that is idempotent, within the deadline
// and the budget.
[[nodiscard]] retry_decision decide_retry(const attempt& last, retry_budget& budget) noexcept;

} // namespace primrosehead
