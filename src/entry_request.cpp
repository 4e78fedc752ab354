#include "entry_request.h"

#include <primrosehead/config.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <span>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr std::array statement_members{
    std::string_view("database"), std::string_view("route"), std::string_view("statement"),
    std::string_view("max_age_ms"), std::string_view("timeout_ms")};
constexpr std::array begin_members{std::string_view("database"), std::string_view("route"),
                                   std::string_view("mode"), std::string_view("timeout_ms")};
constexpr std::array transaction_statement_members{std::string_view("statement"),
                                                   std::string_view("timeout_ms")};
constexpr std::array end_members{std::string_view("timeout_ms")};
constexpr std::string_view statements_path = "/v1/statements";
constexpr std::string_view transactions_path = "/v1/transactions";

error bad_request_error(std::string message, std::string remedy)
{
    return error{error_kind::bad_request, std::move(message), std::move(remedy)};
}

std::span<const std::string_view> allowed_members(body_kind kind)
{
    switch (kind) {
    case body_kind::statement:
        return statement_members;
    case body_kind::begin:
        return begin_members;
    case body_kind::statement_in_transaction:
        return transaction_statement_members;
    case body_kind::end:
        break;
    }
    return end_members;
}

// Reads the members of a JSON object and keeps the first error.
class member_reader {
  public:
    explicit member_reader(const json::object& object) : object_(object) {}

    void reject_unknown(std::span<const std::string_view> allowed)
    {
        for (const auto& member : object_) {
            const std::string_view key(member.key());
            if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
                fail("\"" + std::string(key) + "\" is not a known member of this request.",
                     "Remove it; see docs/API.md for the members.");
            }
        }
    }

    std::string read_string(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr || !found->is_string() || found->get_string().empty()) {
            fail("\"" + std::string(key) + "\" must be a non-empty string.",
                 "Add it to the body of the request.");
            return {};
        }
        return std::string(found->get_string());
    }

    std::string read_object(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr || !found->is_object()) {
            fail("\"" + std::string(key) + "\" must be a JSON object.",
                 "Send a statement that the database supports, such as {\"get\":\"KEY\"}.");
            return {};
        }
        return json::serialize(*found);
    }

    std::optional<clock::duration> read_duration(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr) {
            return std::nullopt;
        }
        const std::int64_t* const number = found->if_int64();
        if (number == nullptr || *number < 0 || *number > config::max_statement_timeout_ms) {
            fail("\"" + std::string(key) +
                     "\" must be an integer number of milliseconds from 0 to " +
                     std::to_string(config::max_statement_timeout_ms) + ".",
                 "Send a value in this range or omit the member.");
            return std::nullopt;
        }
        return clock::duration(*number);
    }

    void fail(std::string message, std::string remedy)
    {
        if (!first_error_) {
            first_error_ = bad_request_error(std::move(message), std::move(remedy));
        }
    }

    [[nodiscard]] const std::optional<error>& first_error() const noexcept { return first_error_; }

  private:
    const json::object& object_;
    std::optional<error> first_error_;
};

std::optional<enum access> read_mode(member_reader& reader)
{
    const std::string mode = reader.read_string("mode");
    if (mode == "read") {
        return access::read;
    }
    if (mode == "write") {
        return access::write;
    }
    reader.fail("\"mode\" must be \"read\" or \"write\".", "Send one of these values.");
    return std::nullopt;
}

} // namespace

result<caller_request> parse_caller_request(std::string_view body, body_kind kind)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(body.empty() ? std::string_view("{}") : body, ec);
    if (ec || !parsed.is_object()) {
        return bad_request_error("The request body is not a JSON object.",
                                 "Send a JSON object as the body.");
    }
    member_reader reader(parsed.get_object());
    reader.reject_unknown(allowed_members(kind));
    caller_request request;
    if (kind == body_kind::statement || kind == body_kind::begin) {
        request.database = database_name(reader.read_string("database"));
        request.route = route_name(reader.read_string("route"));
    }
    if (kind == body_kind::statement || kind == body_kind::statement_in_transaction) {
        request.statement = reader.read_object("statement");
    }
    if (kind == body_kind::begin) {
        request.mode = read_mode(reader);
    }
    request.max_age = reader.read_duration("max_age_ms");
    request.timeout = reader.read_duration("timeout_ms");
    if (reader.first_error()) {
        return *reader.first_error();
    }
    return request;
}

stage stage_from_header(const http::request& received) noexcept
{
    return received.header_value("Primrose-Stage") == "trial" ? stage::trial : stage::production;
}

call_target parse_target(std::string_view target)
{
    target = target.substr(0, target.find('?'));
    if (target == statements_path) {
        return {call_kind::statement, {}};
    }
    if (target == transactions_path) {
        return {call_kind::begin, {}};
    }
    if (!target.starts_with(transactions_path)) {
        return {};
    }
    const std::string_view suffix = target.substr(transactions_path.size());
    const std::size_t slash = suffix.rfind('/');
    if (!suffix.starts_with('/') || slash <= 1) {
        return {};
    }
    const std::string_view transaction = suffix.substr(1, slash - 1);
    const std::string_view action = suffix.substr(slash + 1);
    if (action == "statements") {
        return {call_kind::transaction_statement, transaction};
    }
    if (action == "commit") {
        return {call_kind::commit, transaction};
    }
    if (action == "rollback") {
        return {call_kind::rollback, transaction};
    }
    return {};
}

} // namespace primrosehead
