#include "history_operation.h"

#include "lab_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace primrosehead::history {

namespace json = boost::json;

namespace {

std::string string_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string())
                                                  : std::string();
}

template <class Number>
Number number_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    boost::system::error_code ec;
    return found != nullptr && found->is_number() ? found->to_number<Number>(ec) : Number{};
}

bool bool_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found != nullptr && found->is_bool() && found->get_bool();
}

std::vector<std::string> string_array_member(const json::object& from, std::string_view name)
{
    std::vector<std::string> read;
    const json::value* found = from.if_contains(name);
    if (found != nullptr && found->is_array()) {
        for (const json::value& each : found->get_array()) {
            read.emplace_back(each.is_string() ? std::string(each.get_string()) : "");
        }
    }
    return read;
}

json::array to_array(const std::vector<std::string>& strings)
{
    json::array array;
    for (const std::string& each : strings) {
        array.emplace_back(each);
    }
    return array;
}

void read_call(const json::object& line, operation& into)
{
    into.id = number_member<std::uint64_t>(line, "op");
    into.session = string_member(line, "session");
    into.organisation = string_member(line, "organisation");
    into.database = string_member(line, "database");
    into.kind = string_member(line, "kind");
    into.keys = string_array_member(line, "keys");
    into.value = string_member(line, "value");
    into.called_us = number_member<std::int64_t>(line, "called_us");
    into.max_age_ms = number_member<std::int64_t>(line, "max_age_ms");
    into.with_token = bool_member(line, "with_token");
}

void read_done(const json::object& line, operation& into)
{
    into.done_us = number_member<std::int64_t>(line, "done_us");
    into.outcome = string_member(line, "outcome");
    into.error = string_member(line, "error");
    into.status = number_member<unsigned>(line, "status");
    into.seen = string_array_member(line, "seen");
    into.position = {number_member<std::uint64_t>(line, "term"),
                     number_member<std::uint64_t>(line, "position")};
    into.served_by = string_member(line, "served_by");
    into.role = string_member(line, "role");
    into.request_id = string_member(line, "request_id");
}

request_event read_request(const json::object& line)
{
    request_event read;
    read.operation = number_member<std::uint64_t>(line, "op");
    read.organisation = string_member(line, "organisation");
    read.database = string_member(line, "database");
    read.counted = bool_member(line, "counted");
    read.read = bool_member(line, "read");
    read.called_us = number_member<std::int64_t>(line, "called_us");
    read.done_us = number_member<std::int64_t>(line, "done_us");
    read.status = number_member<unsigned>(line, "status");
    read.error = string_member(line, "error");
    read.role = string_member(line, "role");
    read.retry_after_ms = number_member<std::int64_t>(line, "retry_after_ms");
    return read;
}

// Adds lines to a history. A `done` line is matched to its `call` line by the operation id.
class history_reader {
  public:
    [[nodiscard]] bool add(const json::object& line)
    {
        const std::string event = string_member(line, "event");
        if (event == "call") {
            index_by_id_[number_member<std::uint64_t>(line, "op")] = recorded.operations.size();
            read_call(line, recorded.operations.emplace_back());
            return true;
        }
        if (event == "done") {
            const auto index = index_by_id_.find(number_member<std::uint64_t>(line, "op"));
            if (index == index_by_id_.end()) {
                return false;
            }
            read_done(line, recorded.operations[index->second]);
            return true;
        }
        if (event == "request") {
            recorded.requests.push_back(read_request(line));
            return true;
        }
        if (event == "contract") {
            recorded.contracts.push_back({string_member(line, "organisation"),
                                          number_member<double>(line, "rate"),
                                          number_member<double>(line, "burst")});
            recorded.keys.push_back(string_member(line, "key"));
            return true;
        }
        return false;
    }

    recorded_history recorded;

  private:
    std::unordered_map<std::uint64_t, std::size_t> index_by_id_;
};

} // namespace

std::string call_line(const operation& from)
{
    return json::serialize(json::object{{"event", "call"},
                                        {"op", from.id},
                                        {"session", from.session},
                                        {"organisation", from.organisation},
                                        {"database", from.database},
                                        {"kind", from.kind},
                                        {"keys", to_array(from.keys)},
                                        {"value", from.value},
                                        {"called_us", from.called_us},
                                        {"max_age_ms", from.max_age_ms},
                                        {"with_token", from.with_token}});
}

std::string done_line(const operation& from)
{
    return json::serialize(json::object{{"event", "done"},
                                        {"op", from.id},
                                        {"done_us", from.done_us},
                                        {"outcome", from.outcome},
                                        {"error", from.error},
                                        {"status", from.status},
                                        {"seen", to_array(from.seen)},
                                        {"term", from.position.term},
                                        {"position", from.position.index},
                                        {"served_by", from.served_by},
                                        {"role", from.role},
                                        {"request_id", from.request_id}});
}

std::string request_line(const request_event& from)
{
    return json::serialize(json::object{{"event", "request"},
                                        {"op", from.operation},
                                        {"organisation", from.organisation},
                                        {"database", from.database},
                                        {"counted", from.counted},
                                        {"read", from.read},
                                        {"called_us", from.called_us},
                                        {"done_us", from.done_us},
                                        {"status", from.status},
                                        {"error", from.error},
                                        {"role", from.role},
                                        {"retry_after_ms", from.retry_after_ms}});
}

std::string contract_line(const contract& from, std::string_view key)
{
    return json::serialize(json::object{{"event", "contract"},
                                        {"organisation", from.organisation},
                                        {"rate", from.rate},
                                        {"burst", from.burst},
                                        {"key", key}});
}

result<recorded_history> read_history(std::string_view text)
{
    history_reader reader;
    std::size_t line_number = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++line_number;
        if (line.empty()) {
            continue;
        }
        const result<json::value> parsed = lab::parse_json(line);
        const bool is_valid =
            ok(parsed) && value(parsed).is_object() && reader.add(value(parsed).get_object());
        if (!is_valid) {
            return error{error_kind::bad_request,
                         "Line " + std::to_string(line_number) + " of the history is invalid.",
                         "Pass the file that primrose-load --history wrote."};
        }
    }
    return std::move(reader.recorded);
}

} // namespace primrosehead::history
