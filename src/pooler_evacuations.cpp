#include "pooler_evacuations.h"

#include <algorithm>

namespace primrosehead::pooler {

bool evacuations::apply(std::span<const std::string> domains, std::uint64_t version,
                        clock::time_point now)
{
    if (version <= version_) {
        return false;
    }
    version_ = version;
    bool has_changed = false;
    for (auto each = learned_at_.begin(); each != learned_at_.end();) {
        if (std::find(domains.begin(), domains.end(), each->first) != domains.end()) {
            ++each;
            continue;
        }
        withdrawn_at_.insert_or_assign(each->first, now);
        each = learned_at_.erase(each);
        has_changed = true;
    }
    for (const std::string& domain : domains) {
        if (learned_at_.try_emplace(domain, now).second) {
            withdrawn_at_.erase(domain);
            has_changed = true;
        }
    }
    return has_changed;
}

bool evacuations::contains(std::string_view domain) const
{
    return learned_at_.contains(domain);
}

bool evacuations::must_end_transactions(std::string_view domain, clock::time_point now) const
{
    const auto found = learned_at_.find(domain);
    return found != learned_at_.end() && now - found->second >= bound_ / 2;
}

std::optional<clock::time_point> evacuations::withdrawn_at(std::string_view domain) const
{
    const auto found = withdrawn_at_.find(domain);
    return found == withdrawn_at_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace primrosehead::pooler
