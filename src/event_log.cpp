#include "event_log.h"

#include <primrosehead/config.h>

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <climits>
#include <csignal>
#include <memory>
#include <unistd.h>
#include <utility>

namespace primrosehead {

namespace {

// Holds 1 s of failures of the busiest instance. Details may fill half of it.
constexpr std::size_t max_buffered_bytes = 512 * config::kibibyte;
// Batches lines, since each write costs a system call and a wake-up of the reader.
constexpr std::chrono::milliseconds write_interval{200};

std::int64_t unix_time_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

void append_escaped(fmt::memory_buffer& output, std::string_view text)
{
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            output.push_back('\\');
            output.push_back(character);
        }
        else if (code < 0x20 || code >= 0x7f) {
            fmt::format_to(std::back_inserter(output), "\\u{:04x}", code);
        }
        else {
            output.push_back(character);
        }
    }
}

// Converts spdlog messages to events; a "part: " prefix of the message names the event's part.
class event_sink : public spdlog::sinks::base_sink<std::mutex> {
  public:
    explicit event_sink(event_log& log) : log_(log) {}

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        constexpr std::size_t max_part_bytes = 16;
        std::string_view text(message.payload.data(), message.payload.size());
        std::string_view part = "process";
        const std::size_t end = text.find(": ");
        if (end != std::string_view::npos && end <= max_part_bytes &&
            text.substr(0, end).find(' ') == std::string_view::npos) {
            part = text.substr(0, end);
            text.remove_prefix(end + 2);
        }
        const auto level = spdlog::level::to_string_view(message.level);
        log_.decision(part, "note")
            .field("level", std::string_view(level.data(), level.size()))
            .field("text", text);
    }
    void flush_() override {}

  private:
    event_log& log_;
};

} // namespace

event_line::event_line(event_log& log, event_priority priority, std::string_view part,
                       std::string_view event)
    : log_(log), priority_(priority)
{
    fmt::format_to(std::back_inserter(text_),
                   R"({{"time_ms":{},"process":"{}","part":"{}","event":"{}")", unix_time_ms(),
                   log.process(), part, event);
}

event_line::~event_line()
{
    text_.push_back('}');
    text_.push_back('\n');
    log_.append(priority_, std::string_view(text_.data(), text_.size()));
}

event_line& event_line::field(std::string_view name, std::string_view value)
{
    fmt::format_to(std::back_inserter(text_), R"(,"{}":")", name);
    append_escaped(text_, value);
    text_.push_back('"');
    return *this;
}

event_line& event_line::field(std::string_view name, std::int64_t value)
{
    fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, value);
    return *this;
}

event_line& event_line::field(std::string_view name, bool value)
{
    fmt::format_to(std::back_inserter(text_), R"(,"{}":{})", name, value ? "true" : "false");
    return *this;
}

event_log::event_log(int descriptor, std::string process)
    : descriptor_(descriptor), process_(std::move(process))
{
    if (descriptor_ >= 0) {
        writer_ = std::thread([this] { run(); });
    }
}

event_log::~event_log()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stop_requested_.notify_one();
    if (writer_.joinable()) {
        writer_.join();
    }
}

void event_log::append(event_priority priority, std::string_view line)
{
    const std::size_t limit =
        priority == event_priority::detail ? max_buffered_bytes / 2 : max_buffered_bytes;
    const std::lock_guard lock(mutex_);
    if (buffer_.size() + line.size() > limit) {
        dropped_.fetch_add(1);
        return;
    }
    buffer_.append(line);
    lines_.fetch_add(1);
}

std::string event_log::buffered() const
{
    const std::lock_guard lock(mutex_);
    return buffer_;
}

std::string_view next_write_chunk(std::string_view text, std::size_t max_bytes) noexcept
{
    const std::size_t last_newline = text.substr(0, max_bytes).rfind('\n');
    const std::size_t end = last_newline != std::string_view::npos ? last_newline : text.find('\n');
    return text.substr(0, end == std::string_view::npos ? end : end + 1);
}

// Log collectors split long writes at arbitrary bytes; writes to a pipe of up to PIPE_BUF bytes are
// atomic.
void event_log::write_batch(std::string_view batch) const
{
    while (!batch.empty()) {
        const std::string_view chunk = next_write_chunk(batch, PIPE_BUF);
        const ssize_t written = ::write(descriptor_, chunk.data(), chunk.size());
        if (written <= 0) {
            return; // the reader has closed the output, so the error can't be reported
        }
        batch.remove_prefix(static_cast<std::size_t>(written));
    }
}

void event_log::run()
{
    // With SIGPIPE blocked, a closed output makes the write fail instead of ending the process.
    sigset_t broken_pipe;
    sigemptyset(&broken_pipe);
    sigaddset(&broken_pipe, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &broken_pipe, nullptr);
    std::unique_lock lock(mutex_);
    while (true) {
        stop_requested_.wait_for(lock, write_interval, [this] { return stopping_; });
        std::string batch = std::exchange(buffer_, {});
        const std::uint64_t dropped = dropped_.load();
        const bool stopping = stopping_;
        lock.unlock();
        if (dropped != reported_dropped_) {
            batch += fmt::format(
                R"({{"time_ms":{},"process":"{}","part":"log","event":"dropped","lines":{}}})"
                "\n",
                unix_time_ms(), process_, dropped - reported_dropped_);
            reported_dropped_ = dropped;
        }
        write_batch(batch);
        if (stopping) {
            return;
        }
        lock.lock();
    }
}

void redirect_spdlog(event_log& log, std::string_view level)
{
    auto logger = std::make_shared<spdlog::logger>("events", std::make_shared<event_sink>(log));
    logger->set_level(spdlog::level::from_str(std::string(level)));
    spdlog::set_default_logger(std::move(logger));
}

} // namespace primrosehead
