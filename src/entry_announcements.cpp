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

    std::string text(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr || !found->is_string() || found->get_string().empty()) {
            fail(key, "a string");
            return {};
        }
        return std::string(found->get_string());
    }

    std::uint64_t number(std::string_view key) { return number_of(object_, key); }

    void position(std::string_view key, pb::position& into)
    {
        const json::value* const found = object_.if_contains(key);
        if (found == nullptr || !found->is_object()) {
            fail(key, "an object of \"term\" and \"index\"");
            return;
        }
        into.set_term(number_of(found->get_object(), "term"));
        into.set_index(number_of(found->get_object(), "index"));
    }

    bool flag(std::string_view key)
    {
        const json::value* const found = object_.if_contains(key);
        return found != nullptr && found->is_bool() && found->get_bool();
    }

    void fail(std::string_view key, std::string_view expected)
    {
        if (!failure_) {
            failure_ = error{error_kind::bad_request,
                             "Announcement: \"" + std::string(key) + "\" must be " +
                                 std::string(expected) + ".",
                             "docs/BACKEND.md lists the members."};
        }
    }

    [[nodiscard]] const std::optional<error>& failed() const noexcept { return failure_; }

  private:
    std::uint64_t number_of(const json::object& object, std::string_view key)
    {
        const json::value* const found = object.if_contains(key);
        boost::system::error_code failed;
        const auto number = found == nullptr ? 0 : found->to_number<std::uint64_t>(failed);
        if (found == nullptr || failed) {
            fail(key, "a whole number");
        }
        return number;
    }

    const json::object& object_;
    std::optional<error> failure_;
};

} // namespace

result<pb::server_report> parse_announcement(std::string_view body)
{
    boost::system::error_code failed;
    const json::value parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return error{error_kind::bad_request, "The announcement is not a JSON object.",
                     "docs/BACKEND.md describes it."};
    }
    announcement_reader reader(parsed.get_object());
    pb::server_report report;
    report.set_server(reader.text("server"));
    report.set_database(reader.text("database"));
    report.set_failure_domain(reader.text("failure_domain"));
    report.set_url(reader.text("url"));
    report.set_role(reader.text("role"));
    reader.position("applied", *report.mutable_applied());
    reader.position("received", *report.mutable_received());
    report.set_term(reader.number("term"));
    report.set_data_age_ms(reader.number("data_age_ms"));
    report.set_slots(static_cast<std::uint32_t>(reader.number("slots")));
    report.set_connection_limit(static_cast<std::uint32_t>(reader.number("connection_limit")));
    report.set_leaving(reader.flag("leaving"));
    if (report.role() != "primary" && report.role() != "replica") {
        reader.fail("role", "\"primary\" or \"replica\"");
    }
    if (report.slots() == 0 || report.connection_limit() == 0) {
        reader.fail("slots", "above 0, as must \"connection_limit\"");
    }
    if (reader.failed()) {
        return *reader.failed();
    }
    return report;
}

} // namespace primrosehead
