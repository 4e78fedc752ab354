#include "pooler_home_ledger.h"

namespace primrosehead::pooler {

std::string_view to_string(home_verdict verdict) noexcept
{
    switch (verdict) {
    case home_verdict::run:
        return "run";
    case home_verdict::duplicate:
        return "duplicate";
    case home_verdict::earlier_incarnation:
        return "earlier_incarnation";
    case home_verdict::unknown_transaction:
        return "unknown_transaction";
    case home_verdict::wrong_step:
        break;
    }
    return "wrong_step";
}

// Returns false for a number that was received before or is too old to tell.
bool home_ledger::record_call(origin_state& state, std::uint64_t call)
{
    if (call > state.newest_call) {
        const std::uint64_t distance = call - state.newest_call;
        if (distance >= window) {
            state.received.reset();
        }
        else {
            state.received <<= static_cast<std::size_t>(distance);
        }
        state.newest_call = call;
        state.received.set(0);
        return true;
    }
    const std::uint64_t age = state.newest_call - call;
    if (age >= window || state.received.test(static_cast<std::size_t>(age))) {
        return false;
    }
    state.received.set(static_cast<std::size_t>(age));
    return true;
}

home_verdict home_ledger::accept_call(const std::string& origin, std::uint64_t incarnation,
                                      std::uint64_t call, clock::time_point now,
                                      std::vector<home_handle>& ended)
{
    origin_state& state = origins_[origin];
    if (incarnation < state.incarnation) {
        return home_verdict::earlier_incarnation;
    }
    if (incarnation > state.incarnation) {
        state = origin_state{};
        state.incarnation = incarnation;
        std::erase_if(transactions_, [&](const auto& item) {
            const bool is_earlier =
                item.first.origin == origin && item.first.incarnation < incarnation;
            if (is_earlier) {
                ended.push_back(item.first);
            }
            return is_earlier;
        });
    }
    state.heard_at = now;
    return record_call(state, call) ? home_verdict::run : home_verdict::duplicate;
}

home_verdict home_ledger::accept_step(const home_handle& handle, std::uint32_t step,
                                      clock::time_point now)
{
    auto found = transactions_.find(handle);
    if (found == transactions_.end()) {
        if (step != 1) {
            return home_verdict::unknown_transaction;
        }
        found = transactions_.emplace(handle, transaction_state{}).first;
    }
    transaction_state& state = found->second;
    if (state.is_running || step != state.step + 1) {
        return home_verdict::wrong_step;
    }
    state.step = step;
    state.is_running = true;
    state.used_at = now;
    return home_verdict::run;
}

void home_ledger::finish_step(const home_handle& handle, clock::time_point now)
{
    const auto found = transactions_.find(handle);
    if (found != transactions_.end()) {
        found->second.is_running = false;
        found->second.used_at = now;
    }
}

bool home_ledger::end(const home_handle& handle)
{
    return transactions_.erase(handle) > 0;
}

std::vector<home_handle> home_ledger::expire(clock::time_point now, clock::duration idle_limit,
                                             const std::function<bool(std::string_view)>& is_peer)
{
    const auto is_gone = [&](const std::string& origin) {
        const auto state = origins_.find(origin);
        return !is_peer(origin) &&
               (state == origins_.end() || now - state->second.heard_at > origin_timeout);
    };
    std::vector<home_handle> expired;
    std::erase_if(transactions_, [&](const auto& item) {
        const auto& [handle, state] = item;
        const bool is_idle = !state.is_running && now - state.used_at > idle_limit;
        const bool is_expired = is_idle || is_gone(handle.origin);
        if (is_expired) {
            expired.push_back(handle);
        }
        return is_expired;
    });
    // Remembered for as long as a message of an earlier connection may arrive.
    std::erase_if(origins_, [&](const auto& item) {
        return !is_peer(item.first) && now - item.second.heard_at > origin_timeout * 10;
    });
    return expired;
}

} // namespace primrosehead::pooler
