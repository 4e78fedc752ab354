// What log lines of several instances tell about one request (docs/LOGS.md). Pure.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// A line that bears on the request: its own, or of what it depended on at that time.
struct trace_line {
    std::int64_t time_ms = 0; // Unix
    std::string process;
    std::string text; // the event as JSON
    bool is_of_request = false;
};

struct event_trace {
    std::vector<trace_line> lines; // by time
    std::string diagnosis;           // the cause in a sentence; empty when nothing was found
};

// Lines of any instances in any order. What stands before the JSON in a line is passed over, lines
// without it are skipped.
[[nodiscard]] event_trace trace_request(std::string_view request_id, std::span<const std::string> lines);

} // namespace primrosehead
