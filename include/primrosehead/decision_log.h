// Records the decisions made for requests: keeps the latest ones in memory, logs each, and
// optionally appends them to a file of JSON lines for `primrosectl explain`.
#pragma once

#include <primrosehead/error.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

struct decision {
    std::string request; // request id
    std::int64_t at_ms = 0;
    std::string part;   // "route", "limits", "retry", ...: the log line's prefix
    std::string choice; // what was chosen
    std::string reason; // why it was chosen
};

// Thread-safe.
class decision_log {
  public:
    static constexpr std::size_t default_capacity = 16'384;

    // Keeps the last `capacity` decisions in memory and appends each to the file named `file`,
    // unless that is empty. Returns `error_kind::bad_settings` when the file can't be opened.
    [[nodiscard]] static result<std::unique_ptr<decision_log>>
    open(std::string_view file, std::size_t capacity = default_capacity);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    // Stores the decision and writes its log line and its line in the file.
    void record(decision entry);

    // Returns the decisions of one request that are still in memory, oldest first.
    [[nodiscard]] std::vector<decision> find(std::string_view request) const;

    // Number of decisions that could not be written to the file.
    [[nodiscard]] std::uint64_t failed_writes() const noexcept;

  private:
    struct implementation;
    explicit decision_log(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

// One JSON object: request, at_ms, part, choice, reason.
[[nodiscard]] std::string to_json(const decision& entry);

// A JSON array of decisions.
[[nodiscard]] std::string to_json(const std::vector<decision>& decisions);

} // namespace primrosehead
