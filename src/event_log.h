// Structured logs: one JSON line an event on standard output, through a bounded buffer that a
// thread of its own writes out. Nobody who logs ever waits (docs/LOGS.md).
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

// Which lines go first when the buffer fills.
enum class event_priority {
    detail,   // dropped first: ordinary successes
    decision, // what changes a belief or explains a failure
};

class event_log;

// One line under construction; it is taken in when it goes out of scope.
class event_line {
  public:
    event_line(event_log& log, event_priority priority, std::string_view part, std::string_view event);
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
    // `descriptor`: where lines go; -1 keeps them in memory, for tests.
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

    // Takes one finished line. Any thread; never waits for the reader of the output.
    void add(event_priority priority, std::string_view line);

    [[nodiscard]] std::uint64_t lines() const noexcept { return lines_.load(); }
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_.load(); }
    [[nodiscard]] const std::string& process() const noexcept { return process_; }

    // What is buffered, for tests.
    [[nodiscard]] std::string buffered() const;

  private:
    void run();
    void write_out(std::string_view batch) const;

    int descriptor_;
    std::string process_;
    mutable std::mutex guard_;
    std::condition_variable changed_;
    std::string buffer_;
    bool stopping_ = false;
    std::uint64_t dropped_told_ = 0;
    std::atomic<std::uint64_t> lines_ = 0;
    std::atomic<std::uint64_t> dropped_ = 0;
    std::thread writer_;
};

// The beginning of `text` that goes out in one write: whole lines of at most `most` bytes, or one
// longer line.
[[nodiscard]] std::string_view next_write_chunk(std::string_view text, std::size_t most) noexcept;

// Sends what libraries and older parts log through spdlog into the same stream.
void redirect_spdlog(event_log& log, std::string_view level);

} // namespace primrosehead
