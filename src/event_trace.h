// Collects the log lines of several instances that concern one request, and finds the cause of its
// outcome (docs/LOGS.md). Pure.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

// A log line of the request, or of a component that the request depended on at that time.
struct trace_line {
    std::int64_t time_ms = 0; // Unix time
    std::string process;
    std::string text; // the event as JSON
    bool is_of_request = false;
};

struct event_trace {
    std::vector<trace_line> lines; // ordered by time
    std::string diagnosis;         // cause of the outcome; empty without an answer to the request
};

// `lines` may come from any instances, in any order. Text before the JSON object of a line is
// ignored, and lines without an object are skipped.
[[nodiscard]] event_trace trace_request(std::string_view request_id,
                                        std::span<const std::string> lines);

} // namespace primrosehead
