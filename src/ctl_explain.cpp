#include "ctl_explain.h"

#include "ctl_cell.h"
#include "event_trace.h"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <array>
#include <fstream>
#include <iostream>

ABSL_DECLARE_FLAG(std::vector<std::string>, decision_log);
ABSL_DECLARE_FLAG(std::vector<std::string>, log);

namespace primrosehead::ctl {

namespace json = boost::json;

namespace {

// Prints the lines of a decision log that have the request's id; returns whether any was found.
bool explain_from_file(const std::string& path, std::string_view request_id)
{
    std::ifstream file(path);
    if (!file) {
        (void)print_error(exit_usage, "Can't read the decision log " + path + ".");
        return false;
    }
    bool found = false;
    std::string line;
    while (std::getline(file, line)) {
        if (text_field(parse_object(line), "request") == request_id) {
            std::cout << line << '\n';
            found = true;
        }
    }
    return found;
}

// Prints the decisions in an instance's reply; returns false if there are none.
bool print_decisions(const std::string& text)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(text, code);
    if (code || !parsed.is_array() || parsed.as_array().empty()) {
        return false;
    }
    for (const json::value& decision : parsed.as_array()) {
        std::cout << json::serialize(decision) << '\n';
    }
    return true;
}

// Queries the instances one by one, as only the one that handled the request has its decisions.
bool explain_from_entries(const target& destination, std::string_view request_id)
{
    pb::operator_request request;
    request.set_explain_request(std::string(request_id));
    for (const std::string& endpoint : entry_endpoints(destination, {})) {
        const std::array single_endpoint{endpoint};
        const operator_outcome outcome = send_request(destination, single_endpoint, request,
                                                      destination.request_id + "-explain");
        if (exit_code(outcome) == exit_success && print_decisions(outcome.reply.text())) {
            return true;
        }
    }
    return false;
}

// Appends the lines of the files given by --log; returns false if a file can't be read.
bool read_logs(std::vector<std::string>& lines)
{
    for (const std::string& path : absl::GetFlag(FLAGS_log)) {
        std::ifstream file(path);
        if (!file) {
            (void)print_error(exit_usage, "Can't read the log " + path + ".");
            return false;
        }
        std::string line;
        while (std::getline(file, line)) {
            lines.push_back(line);
        }
    }
    return true;
}

int report_search_result(bool found, std::string_view request_id)
{
    if (found) {
        return exit_success;
    }
    return print_error(exit_refused,
                       "No decision found for request " + std::string(request_id) +
                           ". Instances keep a limited number of decisions in memory: pass the "
                           "instance's decision log with --decision-log.");
}

} // namespace

int explain_from_decision_logs(std::string_view request_id)
{
    bool found = false;
    for (const std::string& path : absl::GetFlag(FLAGS_decision_log)) {
        found = explain_from_file(path, request_id) || found;
    }
    return report_search_result(found, request_id);
}

int explain_from_logs(std::string_view request_id)
{
    std::vector<std::string> lines;
    if (!read_logs(lines)) {
        return exit_usage;
    }
    const event_trace trace = trace_request(request_id, lines);
    for (const trace_line& line : trace.lines) {
        std::cout << (line.is_of_request ? "* " : "  ") << line.text << '\n';
    }
    if (trace.diagnosis.empty()) {
        return print_error(exit_refused, "No log line found for request " +
                                             std::string(request_id) +
                                             ". One in 256 served statements is "
                                             "logged; pass the logs of all instances with --log.");
    }
    std::cout << trace.diagnosis << '\n';
    return exit_success;
}

bool has_logs()
{
    return !absl::GetFlag(FLAGS_log).empty();
}

bool has_decision_logs()
{
    return !absl::GetFlag(FLAGS_decision_log).empty();
}

int explain(const target& destination, std::string_view request_id)
{
    return report_search_result(explain_from_entries(destination, request_id), request_id);
}

} // namespace primrosehead::ctl
