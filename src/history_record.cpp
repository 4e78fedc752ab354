#include "history_check.h"
#include "lab_json.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <unordered_map>

namespace primrosehead::history {

namespace json = boost::json;

namespace {

const json::object* object_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found == nullptr ? nullptr : found->if_object();
}

std::string string_member(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string())
                                                  : std::string();
}

// What tells a write apart: the value put, or the key added to.
std::string write_id(const json::object& statement)
{
    return statement.contains("put") ? string_member(statement, "value")
                                     : string_member(statement, "add");
}

// One stand-in's record while it is read.
class record_reader {
  public:
    explicit record_reader(execution_evidence& into) : into_(into) {}

    void add(const json::object& line)
    {
        const auto number = line.at("n").to_number<std::uint64_t>();
        if (line.contains("body")) {
            add_request(number, string_member(line, "body"));
            return;
        }
        const json::value* changed = line.if_contains("changed");
        if (changed != nullptr && changed->is_bool() && changed->get_bool()) {
            add_execution(number);
        }
    }

  private:
    void add_request(std::uint64_t number, const std::string& body)
    {
        ++into_.requests;
        const result<json::value> parsed = lab::parse_json(body);
        const json::object* members = ok(parsed) ? value(parsed).if_object() : nullptr;
        if (members == nullptr) {
            return;
        }
        const std::string transaction = string_member(*members, "transaction");
        if (const json::object* statement = object_member(*members, "statement")) {
            const std::string trace = write_id(*statement);
            if (transaction.empty()) {
                single_[number] = trace;
            }
            else if (!trace.empty()) {
                inside_[transaction].push_back(trace);
            }
        }
        else if (!transaction.empty()) {
            ends_[number] = transaction;
        }
    }

    void add_execution(std::uint64_t number)
    {
        if (const auto one = single_.find(number); one != single_.end()) {
            into_.executed_values.insert(one->second);
        }
        if (const auto end = ends_.find(number); end != ends_.end()) {
            const std::vector<std::string>& traces = inside_[end->second];
            into_.executed_values.insert(traces.begin(), traces.end());
        }
    }

    execution_evidence& into_;
    std::unordered_map<std::uint64_t, std::string> single_;
    std::unordered_map<std::uint64_t, std::string> ends_;
    std::unordered_map<std::string, std::vector<std::string>> inside_;
};

bool contains_key(std::string_view line, const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        if (!key.empty() && line.find(key) != std::string_view::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

void read_execution_record(std::string_view text, const std::vector<std::string>& keys,
                           execution_evidence& into)
{
    record_reader reader(into);
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (into.leaked_key_line.empty() && contains_key(line, keys)) {
            into.leaked_key_line = std::string(line);
        }
        const result<json::value> parsed = lab::parse_json(line);
        const json::object* members = ok(parsed) ? value(parsed).if_object() : nullptr;
        if (members != nullptr && members->contains("n")) {
            reader.add(*members);
        }
    }
}

} // namespace primrosehead::history
