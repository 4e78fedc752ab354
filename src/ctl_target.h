// Shared by all commands of primrosectl: the cell to contact and the reporting of outcomes.
#pragma once

#include "operator_client.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <boost/json/object.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::ctl {

// Exit codes of primrosectl.
inline constexpr int exit_success = 0;
inline constexpr int exit_refused = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_unknown = 3;

using arguments = std::span<const std::string_view>;

// Prints a message on standard error and returns `code`.
int print_error(int code, std::string_view text);
int print_error(const error& cause, int code = exit_usage);

// The cell that requests are sent to, and the id and timeout of the request.
struct target {
    operator_settings settings;
    std::vector<std::string> control; // endpoints of the control instances
    std::string request_id;
    clock::duration timeout{0};
};

// Reads the target from the command-line flags; fails if the settings are invalid.
[[nodiscard]] result<target> read_target();

// Sends a request to the given endpoints, or to the control instances, and waits for the outcome.
[[nodiscard]] operator_outcome send_request(const target& destination,
                                            std::span<const std::string> endpoints,
                                            pb::operator_request request,
                                            std::string_view request_id);
[[nodiscard]] operator_outcome send_to_control(const target& destination,
                                               const pb::operator_request& request);

[[nodiscard]] int exit_code(const operator_outcome& outcome);
[[nodiscard]] boost::json::object outcome_json(const target& destination,
                                               const operator_outcome& outcome);

// Prints the outcome of a request, `success_text` if it succeeded, and returns the exit code.
[[nodiscard]] int print_outcome(const target& destination, const operator_outcome& outcome,
                                const std::string& success_text);

// Sends a change to the control leader, prints the outcome and returns the exit code.
[[nodiscard]] int submit_change(const target& destination, const pb::command& body,
                                const std::string& success_text);

// Read JSON replies; return an empty object, 0 or an empty text if the value is missing or invalid.
[[nodiscard]] boost::json::object parse_object(const std::string& text);
[[nodiscard]] std::uint64_t number_field(const boost::json::object& object, std::string_view name);
[[nodiscard]] std::string text_field(const boost::json::object& object, std::string_view name);

} // namespace primrosehead::ctl
