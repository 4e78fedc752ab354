#include "entry_announcements.h"

#include <boost/json.hpp>

#include <optional>
#include <string>

namespace primrosehead {

namespace json = boost::json;

namespace {

class announcement_reader {
  public:
    explicit announcement_reader(const json::object& object) : object_(object) {}

    std::string read_string(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr || !found->is_string() || found->get_string().empty()) {
            fail(key, "a non-empty string");
            return {};
        }
        return std::string(found->get_string());
    }

    std::uint64_t read_number(std::string_view key) { return parse_number(object_, key); }

    void read_position(std::string_view key, pb::position& target)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr || !found->is_object()) {
            fail(key, "an object with \"term\" and \"index\"");
            return;
        }
        target.set_term(parse_number(found->get_object(), "term"));
        target.set_index(parse_number(found->get_object(), "index"));
    }

    bool read_flag(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        return found != nullptr && found->is_bool() && found->get_bool();
    }

    void fail(std::string_view key, std::string_view expected)
    {
        if (!first_error_) {
            first_error_ = error{error_kind::bad_request,
                                 "Invalid announcement: \"" + std::string(key) + "\" must be " +
                                     std::string(expected) + ".",
                                 "See docs/BACKEND.md for the members of an announcement."};
        }
    }

    [[nodiscard]] const std::optional<error>& first_error() const noexcept { return first_error_; }

  private:
    std::uint64_t parse_number(const json::object& object, std::string_view key)
    {
        const json::value* const found = object.if_contains(key);
        boost::system::error_code ec;
        const auto parsed = found == nullptr ? 0 : found->to_number<std::uint64_t>(ec);
        if (found == nullptr || ec) {
            fail(key, "a non-negative integer");
        }
        return parsed;
    }

    const json::object& object_;
    std::optional<error> first_error_;
};

} // namespace

result<pb::server_report> parse_announcement(std::string_view body)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(body, ec);
    if (ec || !parsed.is_object()) {
        return error{error_kind::bad_request, "The announcement is not a JSON object.",
                     "See docs/BACKEND.md for the format."};
    }
    announcement_reader reader(parsed.get_object());
    pb::server_report report;
    report.set_server(reader.read_string("server"));
    report.set_database(reader.read_string("database"));
    report.set_failure_domain(reader.read_string("failure_domain"));
    report.set_url(reader.read_string("url"));
    report.set_role(reader.read_string("role"));
    reader.read_position("applied", *report.mutable_applied());
    reader.read_position("received", *report.mutable_received());
    report.set_term(reader.read_number("term"));
    report.set_data_age_ms(reader.read_number("data_age_ms"));
    report.set_slots(static_cast<std::uint32_t>(reader.read_number("slots")));
    report.set_connection_limit(static_cast<std::uint32_t>(reader.read_number("connection_limit")));
    report.set_leaving(reader.read_flag("leaving"));
    if (report.role() != "primary" && report.role() != "replica") {
        reader.fail("role", "\"primary\" or \"replica\"");
    }
    if (report.slots() == 0 || report.connection_limit() == 0) {
        reader.fail("slots", "greater than 0, and so must \"connection_limit\"");
    }
    if (reader.first_error()) {
        return *reader.first_error();
    }
    return report;
}

} // namespace primrosehead
