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

// Identifies a write by the value put or the key added to.
std::string write_id(const json::object& statement)
{
    return statement.contains("put") ? string_member(statement, "value")
                                     : string_member(statement, "add");
}

// Parser state for the execution record of one stand-in server.
class record_reader {
  public:
    explicit record_reader(execution_evidence& evidence) : evidence_(evidence) {}

    // Returns false if the line's number can't be read.
    [[nodiscard]] bool add(const json::object& line)
    {
        boost::system::error_code failed;
        const auto number = line.at("n").to_number<std::uint64_t>(failed);
        if (failed) {
            return false;
        }
        if (line.contains("body")) {
            add_request(number, string_member(line, "body"));
            return true;
        }
        const json::value* changed = line.if_contains("changed");
        if (changed != nullptr && changed->is_bool() && changed->get_bool()) {
            add_execution(number);
        }
        return true;
    }

  private:
    void add_request(std::uint64_t number, const std::string& body)
    {
        ++evidence_.requests;
        const result<json::value> parsed = lab::parse_json(body);
        const json::object* members = ok(parsed) ? value(parsed).if_object() : nullptr;
        if (members == nullptr) {
            return;
        }
        const std::string transaction = string_member(*members, "transaction");
        if (const json::object* statement = object_member(*members, "statement")) {
            const std::string id = write_id(*statement);
            if (transaction.empty()) {
                standalone_writes_[number] = id;
            }
            else if (!id.empty()) {
                transaction_writes_[transaction].push_back(id);
            }
        }
        else if (!transaction.empty()) {
            transaction_ends_[number] = transaction;
        }
    }

    void add_execution(std::uint64_t number)
    {
        if (const auto write = standalone_writes_.find(number); write != standalone_writes_.end()) {
            evidence_.executed_values.insert(write->second);
        }
        if (const auto end = transaction_ends_.find(number); end != transaction_ends_.end()) {
            const std::vector<std::string>& write_ids = transaction_writes_[end->second];
            evidence_.executed_values.insert(write_ids.begin(), write_ids.end());
        }
    }

    execution_evidence& evidence_;
    std::unordered_map<std::uint64_t, std::string> standalone_writes_;
    std::unordered_map<std::uint64_t, std::string> transaction_ends_;
    std::unordered_map<std::string, std::vector<std::string>> transaction_writes_;
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

status read_execution_record(std::string_view text, const std::vector<std::string>& keys,
                             execution_evidence& evidence)
{
    record_reader reader(evidence);
    std::size_t number = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        ++number;
        text.remove_prefix(std::min(end + 1, text.size()));
        if (evidence.leaked_key_line.empty() && contains_key(line, keys)) {
            evidence.leaked_key_line = std::string(line);
        }
        const result<json::value> parsed = lab::parse_json(line);
        const json::object* members = ok(parsed) ? value(parsed).if_object() : nullptr;
        if (members != nullptr && members->contains("n") && !reader.add(*members)) {
            return error{error_kind::bad_request,
                         "Line " + std::to_string(number) +
                             " of the execution record: \"n\" is not a request number.",
                         "Use the record as the stand-in wrote it."};
        }
    }
    return std::monostate{};
}

} // namespace primrosehead::history
