// What every command of primrosectl needs: the cell that it talks to, and how outcomes are told.
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

// Print a message on standard error; return `code`.
int print_error(int code, std::string_view text);
int print_error(const error& cause, int code = exit_usage);

// Where to send requests, and under which id.
struct target {
    operator_settings settings;
    std::vector<std::string> control;
    std::string request_id;
    clock::duration timeout{0};
};

// The target that the flags name.
[[nodiscard]] result<target> read_target();

[[nodiscard]] std::string random_hex(std::size_t size);

[[nodiscard]] operator_outcome send_request(const target& destination,
                                            std::span<const std::string> endpoints,
                                            pb::operator_request request,
                                            std::string_view request_id);
[[nodiscard]] operator_outcome send_to_control(const target& destination,
                                               const pb::operator_request& request);

[[nodiscard]] int exit_code(const operator_outcome& outcome);
[[nodiscard]] boost::json::object outcome_json(const target& destination,
                                               const operator_outcome& outcome);

// Prints the outcome of a request; `done` says what a success means. Returns the exit code.
[[nodiscard]] int print_outcome(const target& destination, const operator_outcome& outcome,
                                const std::string& success_text);

// Sends a change to the control leader and reports on it.
[[nodiscard]] int submit_change(const target& destination, const pb::command& body,
                                const std::string& success_text);

// Members of a JSON answer; empty or 0 when missing.
[[nodiscard]] boost::json::object parse_object(const std::string& text);
[[nodiscard]] std::uint64_t number_field(const boost::json::object& object, std::string_view name);
[[nodiscard]] std::string text_field(const boost::json::object& object, std::string_view name);

} // namespace primrosehead::ctl
