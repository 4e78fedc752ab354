#include "standin_log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace primrosehead::standin {

namespace {

error bad_entry_error(std::string_view reason)
{
    return error{error_kind::bad_request, "Invalid log entry: " + std::string(reason) + ".",
                 "Send entries in the format of GET /v1/log."};
}

std::uint64_t unsigned_member(const boost::json::object& source, std::string_view name)
{
    const boost::json::value* found = source.if_contains(name);
    if (found == nullptr || !found->is_number()) {
        return 0;
    }
    boost::system::error_code ec;
    const auto number = found->to_number<std::uint64_t>(ec);
    return ec ? 0 : number;
}

} // namespace

boost::json::value to_json(const log_entry& entry)
{
    boost::json::array changes;
    for (const change& each : entry.changes) {
        changes.push_back(boost::json::array{each.key, each.value});
    }
    return boost::json::object{{"term", entry.position.term},
                               {"index", entry.position.index},
                               {"idempotency_id", entry.idempotency_id},
                               {"changes", std::move(changes)},
                               {"result", entry.result}};
}

result<log_entry> log_entry_from(const boost::json::value& source)
{
    const boost::json::object* members = source.if_object();
    if (members == nullptr) {
        return bad_entry_error("it is not an object");
    }
    log_entry entry;
    entry.position = {unsigned_member(*members, "term"), unsigned_member(*members, "index")};
    const boost::json::value* id = members->if_contains("idempotency_id");
    const boost::json::value* changes = members->if_contains("changes");
    const boost::json::value* result = members->if_contains("result");
    if (id == nullptr || !id->is_string() || changes == nullptr || !changes->is_array() ||
        result == nullptr) {
        return bad_entry_error("a member is missing");
    }
    entry.idempotency_id = id->get_string();
    entry.result = *result;
    for (const boost::json::value& each : changes->get_array()) {
        const boost::json::array* pair = each.if_array();
        if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string()) {
            return bad_entry_error("a change is not a pair of a key and a value");
        }
        entry.changes.push_back(change{std::string((*pair)[0].get_string()), (*pair)[1]});
    }
    return entry;
}

log_position replicated_log::last() const noexcept
{
    return entries_.empty() ? log_position{} : entries_.back().position;
}

std::uint64_t replicated_log::term_at(std::uint64_t index) const noexcept
{
    return index == 0 || index > entries_.size() ? 0 : entries_[index - 1].position.term;
}

const log_entry& replicated_log::at(std::uint64_t index) const
{
    return entries_.at(index - 1);
}

std::span<const log_entry> replicated_log::after(std::uint64_t index, std::size_t limit) const
{
    if (index >= entries_.size()) {
        return {};
    }
    const std::span<const log_entry> all(entries_);
    return all.subspan(index, std::min<std::size_t>(limit, entries_.size() - index));
}

void replicated_log::append(log_entry entry)
{
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate_after(std::uint64_t index)
{
    if (index < entries_.size()) {
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index), entries_.end());
    }
}

std::uint64_t replicated_log::last_consistent_index(std::span<const term_boundary> starts) const
{
    std::uint64_t last_index = last().index;
    for (const term_boundary& start : starts) {
        const bool diverges = start.index < last_index && term_at(start.index + 1) < start.term;
        if (diverges) {
            last_index = start.index;
        }
    }
    return last_index;
}

std::uint64_t replicated_log::last_index_up_to_term(std::uint64_t index, std::uint64_t term) const
{
    std::uint64_t found = std::min<std::uint64_t>(index, entries_.size());
    while (found > 0 && term_at(found) > term) {
        --found;
    }
    return found;
}

} // namespace primrosehead::standin
