#include "operator_exchange.h"

#include <primrosehead/error.h>

#include <utility>

namespace primrosehead {

namespace {

// True when the instance that replied can't settle the request, and another may.
bool is_unsettled(const pb::operator_reply& reply)
{
    if (reply.ok()) {
        return false;
    }
    const error_kind kind = error_kind_from(reply.error().kind());
    return reply.not_leader() || kind == error_kind::not_leader || kind == error_kind::no_quorum;
}

bool certainly_did_not_run(const pb::operator_reply& reply)
{
    return reply.error().ran() == to_string(ran::no);
}

} // namespace

operator_exchange::operator_exchange(std::vector<std::string> endpoints, exchange_timing timing,
                                     clock::time_point now)
    : endpoints_(std::move(endpoints)), timing_(timing), deadline_(now + timing.limit),
      next_try_(now)
{
}

std::optional<std::string> operator_exchange::next_send(clock::time_point now)
{
    if (settled_ || endpoints_.empty() || now < next_try_ || now >= deadline_) {
        return std::nullopt;
    }
    next_try_ = now + timing_.try_timeout;
    last_asked_ = choose();
    ++unaccounted_;
    return last_asked_;
}

// The leader that was named last, else the next instance in turn.
std::string operator_exchange::choose()
{
    if (!hint_.empty()) {
        return std::exchange(hint_, {});
    }
    const std::string& chosen = endpoints_[next_index_ % endpoints_.size()];
    ++next_index_;
    return chosen;
}

void operator_exchange::receive(const pb::operator_reply& reply, clock::time_point now)
{
    if (settled_) {
        return;
    }
    answer_ = reply;
    if (is_unsettled(reply)) {
        ask_again(reply, now);
        return;
    }
    settled_ = true;
}

void operator_exchange::ask_again(const pb::operator_reply& reply, clock::time_point now)
{
    if (certainly_did_not_run(reply) && unaccounted_ > 0) {
        --unaccounted_;
    }
    const bool names_another = !reply.leader_hint().empty() && reply.leader_hint() != last_asked_;
    if (names_another) {
        hint_ = reply.leader_hint();
    }
    next_try_ = now + (names_another ? clock::duration::zero() : timing_.pause);
}

exchange_state operator_exchange::state(clock::time_point now) const noexcept
{
    if (settled_) {
        return exchange_state::answered;
    }
    if (now < deadline_ && !endpoints_.empty()) {
        return exchange_state::under_way;
    }
    return unaccounted_ == 0 ? exchange_state::not_run : exchange_state::unknown;
}

const std::optional<pb::operator_reply>& operator_exchange::answer() const noexcept
{
    return answer_;
}

} // namespace primrosehead
