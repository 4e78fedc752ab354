#include "standin_store.h"

#include <algorithm>
#include <utility>

namespace primrosehead::standin {

const boost::json::value* versioned_store::at(const versions& list, std::uint64_t index)
{
    for (auto newest = list.rbegin(); newest != list.rend(); ++newest) {
        if (newest->index <= index) {
            return &newest->value;
        }
    }
    return nullptr;
}

const boost::json::value* versioned_store::find(std::string_view key, std::uint64_t index) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : at(found->second, index);
}

boost::json::object versioned_store::scan(std::string_view prefix, std::uint32_t limit,
                                          std::uint64_t index) const
{
    boost::json::object items;
    for (auto each = keys_.lower_bound(prefix); each != keys_.end(); ++each) {
        if (!each->first.starts_with(prefix) || items.size() >= limit) {
            break;
        }
        if (const boost::json::value* value = at(each->second, index)) {
            items[each->first] = *value;
        }
    }
    return items;
}

void versioned_store::put(std::string_view key, boost::json::value value, std::uint64_t index)
{
    auto found = keys_.find(key);
    if (found == keys_.end()) {
        found = keys_.emplace(std::string(key), versions{}).first;
    }
    versions& list = found->second;
    if (!list.empty() && list.back().index == index) {
        list.back().value = std::move(value);
        return;
    }
    list.push_back(version{index, std::move(value)});
}

void versioned_store::truncate_after(std::uint64_t index)
{
    for (auto each = keys_.begin(); each != keys_.end();) {
        versions& list = each->second;
        std::erase_if(list, [index](const version& one) { return one.index > index; });
        each = list.empty() ? keys_.erase(each) : std::next(each);
    }
}

bool versioned_store::key_changed_after(std::string_view key, std::uint64_t index) const
{
    const auto found = keys_.find(key);
    return found != keys_.end() && found->second.back().index > index;
}

bool versioned_store::prefix_changed_after(std::string_view prefix, std::uint64_t index) const
{
    for (auto each = keys_.lower_bound(prefix); each != keys_.end(); ++each) {
        if (!each->first.starts_with(prefix)) {
            return false;
        }
        if (each->second.back().index > index) {
            return true;
        }
    }
    return false;
}

} // namespace primrosehead::standin
