// Structured log: one JSON line per event, buffered in bounded memory and written by a background
// thread. Logging never blocks on the output (docs/LOGS.md).
#pragma once

#include <primrosehead/clock.h>

#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace primrosehead {

// Priority of a line when the buffer is nearly full.
enum class event_priority {
    detail,   // dropped first: routine successes
    decision, // state changes and causes of failures
};

class event_log;

// A log line under construction. Its destructor appends it to the log.
class event_line {
  public:
    event_line(event_log& log, event_priority priority, std::string_view part,
               std::string_view event);
    ~event_line();
    event_line(const event_line&) = delete;
    event_line& operator=(const event_line&) = delete;

    event_line& field(std::string_view name, std::string_view value);
    event_line& field(std::string_view name, std::int64_t value);
    event_line& field(std::string_view name, bool value);

  private:
    event_log& log_;
    event_priority priority_;
    fmt::memory_buffer text_;
};

class event_log {
  public:
    // `descriptor`: file descriptor of the output; -1 keeps the lines in memory, for tests.
    explicit event_log(int descriptor, std::string process);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    [[nodiscard]] event_line detail(std::string_view part, std::string_view event)
    {
        return {*this, event_priority::detail, part, event};
    }
    [[nodiscard]] event_line decision(std::string_view part, std::string_view event)
    {
        return {*this, event_priority::decision, part, event};
    }

    // Appends a complete line, or counts it as dropped when the buffer is full. Thread-safe; never
    // waits for the reader of the output.
    void append(event_priority priority, std::string_view line);

    [[nodiscard]] std::uint64_t lines() const noexcept { return lines_.load(); }
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_.load(); }
    [[nodiscard]] const std::string& process() const noexcept { return process_; }

    // The buffered lines, for tests.
    [[nodiscard]] std::string buffered() const;

  private:
    void run();
    void write_batch(std::string_view batch) const;

    int descriptor_;
    std::string process_;
    mutable std::mutex mutex_;
    std::condition_variable stop_requested_;
    std::string buffer_;
    bool stopping_ = false;
    std::uint64_t reported_dropped_ = 0;
    std::atomic<std::uint64_t> lines_ = 0;
    std::atomic<std::uint64_t> dropped_ = 0;
    std::thread writer_;
};

// Returns the prefix of `text` to write next: complete lines of at most `max_bytes` bytes in total,
// or a single longer line.
[[nodiscard]] std::string_view next_write_chunk(std::string_view text,
                                                std::size_t max_bytes) noexcept;

// Redirects messages logged through spdlog to `log`. `level`: lowest spdlog level that is logged.
void redirect_spdlog(event_log& log, std::string_view level);

} // namespace primrosehead
