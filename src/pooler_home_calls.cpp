#include "pooler_home_calls.h"

#include <utility>

namespace primrosehead::pooler {

void home_calls::add(std::uint64_t call, std::string home, clock::time_point now)
{
    calls_.insert_or_assign(call, pending_call{std::move(home), now, false});
}

bool home_calls::finish(std::uint64_t call, std::string_view home)
{
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.home != home) {
        return false;
    }
    calls_.erase(found);
    return true;
}

bool home_calls::record_progress(std::uint64_t call, std::string_view home, clock::time_point now)
{
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.home != home) {
        return false;
    }
    found->second.heard_at = now;
    found->second.is_silent = false;
    return true;
}

std::vector<home_calls::silent_call> home_calls::newly_silent(clock::time_point now)
{
    std::vector<silent_call> found;
    for (auto& [call, pending] : calls_) {
        if (!pending.is_silent && now - pending.heard_at >= silence_limit) {
            pending.is_silent = true;
            found.push_back({call, pending.home});
        }
    }
    return found;
}

} // namespace primrosehead::pooler
