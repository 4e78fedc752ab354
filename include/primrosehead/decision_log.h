// The decisions made for requests: a bounded memory of the latest ones, a log line for each, and an
// optional file of JSON lines for `primrosectl explain`.
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
    std::string reason; // why
};

// Any thread.
class decision_log {
  public:
    static constexpr std::size_t default_capacity = 16'384;

    // Keeps the last `capacity` decisions; appends to `file` unless it is empty.
    // `error_kind::bad_settings` when the file can't be opened.
    [[nodiscard]] static result<std::unique_ptr<decision_log>>
    open(std::string_view file, std::size_t capacity = default_capacity);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    // Keeps a decision and writes its lines.
    void record(decision made);

    // The decisions of one request that are still kept, oldest first.
    [[nodiscard]] std::vector<decision> find(std::string_view request) const;

    // Decisions whose line could not be written to the file.
    [[nodiscard]] std::uint64_t failed_writes() const noexcept;

  private:
    struct implementation;
    explicit decision_log(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

// One JSON object: request, at_ms, part, choice, reason.
[[nodiscard]] std::string to_json(const decision& made);

// A JSON array of decisions.
[[nodiscard]] std::string to_json(const std::vector<decision>& made);

} // namespace primrosehead
