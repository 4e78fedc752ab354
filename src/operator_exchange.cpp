#include "operator_exchange.h"

#include <primrosehead/error.h>

#include <utility>

namespace primrosehead {

namespace {

// True when the instance that replied can't settle the request, and another may.
bool needs_another_instance(const pb::operator_reply& reply)
{
    if (reply.ok()) {
        return false;
    }
    const error_kind kind = parse_error_kind(reply.error().kind());
    return reply.not_leader() || kind == error_kind::not_leader || kind == error_kind::no_quorum;
}

bool is_known_not_run(const pb::operator_reply& reply)
{
    return reply.error().ran() == to_string(ran::no);
}

} // namespace

operator_exchange::operator_exchange(std::vector<std::string> endpoints, exchange_timing timing,
                                     clock::time_point now)
    : endpoints_(std::move(endpoints)), timing_(timing), deadline_(now + timing.total_timeout),
      next_send_time_(now)
{
}

std::optional<std::string> operator_exchange::next_send(clock::time_point now)
{
    if (is_complete_ || endpoints_.empty() || now < next_send_time_ || now >= deadline_) {
        return std::nullopt;
    }
    next_send_time_ = now + timing_.attempt_timeout;
    last_endpoint_ = choose_endpoint();
    ++unresolved_sends_;
    return last_endpoint_;
}

// The leader that was named last, else the next instance in turn.
std::string operator_exchange::choose_endpoint()
{
    if (!leader_hint_.empty()) {
        return std::exchange(leader_hint_, {});
    }
    const std::string& chosen = endpoints_[next_index_ % endpoints_.size()];
    ++next_index_;
    return chosen;
}

void operator_exchange::receive(const pb::operator_reply& reply, clock::time_point now)
{
    if (is_complete_) {
        return;
    }
    last_reply_ = reply;
    if (needs_another_instance(reply)) {
        schedule_retry(reply, now);
        return;
    }
    is_complete_ = true;
}

void operator_exchange::schedule_retry(const pb::operator_reply& reply, clock::time_point now)
{
    if (is_known_not_run(reply) && unresolved_sends_ > 0) {
        --unresolved_sends_;
    }
    const bool has_new_leader =
        !reply.leader_hint().empty() && reply.leader_hint() != last_endpoint_;
    if (has_new_leader) {
        leader_hint_ = reply.leader_hint();
    }
    next_send_time_ = now + (has_new_leader ? clock::duration::zero() : timing_.retry_delay);
}

exchange_state operator_exchange::state(clock::time_point now) const noexcept
{
    if (is_complete_) {
        return exchange_state::answered;
    }
    if (now < deadline_ && !endpoints_.empty()) {
        return exchange_state::in_progress;
    }
    return unresolved_sends_ == 0 ? exchange_state::not_run : exchange_state::unknown;
}

const std::optional<pb::operator_reply>& operator_exchange::last_reply() const noexcept
{
    return last_reply_;
}

} // namespace primrosehead
