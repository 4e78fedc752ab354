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

// A second of the busiest instance's failures; details stop at half of it.
constexpr std::size_t max_buffered_bytes = 512 * config::kibibyte;
// One write for many lines: each write costs a system call and a wake-up.
constexpr std::chrono::milliseconds write_interval{200};

std::int64_t wall_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

void append_escaped(fmt::memory_buffer& into, std::string_view text)
{
    for (const char letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            into.push_back('\\');
            into.push_back(letter);
        }
        else if (code < 0x20 || code >= 0x7f) {
            fmt::format_to(std::back_inserter(into), "\\u{:04x}", code);
        }
        else {
            into.push_back(letter);
        }
    }
}

// Formats spdlog's messages as events of the part that stands in front of them.
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
                   R"({{"time_ms":{},"process":"{}","part":"{}","event":"{}")", wall_ms(),
                   log.process(), part, event);
}

event_line::~event_line()
{
    text_.push_back('}');
    text_.push_back('\n');
    log_.add(priority_, std::string_view(text_.data(), text_.size()));
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
        const std::lock_guard lock(guard_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (writer_.joinable()) {
        writer_.join();
    }
}

void event_log::add(event_priority priority, std::string_view line)
{
    const std::size_t limit =
        priority == event_priority::detail ? max_buffered_bytes / 2 : max_buffered_bytes;
    const std::lock_guard lock(guard_);
    if (buffer_.size() + line.size() > limit) {
        dropped_.fetch_add(1);
        return;
    }
    buffer_.append(line);
    lines_.fetch_add(1);
}

std::string event_log::buffered() const
{
    const std::lock_guard lock(guard_);
    return buffer_;
}

std::string_view next_write_chunk(std::string_view text, std::size_t most) noexcept
{
    const std::size_t within = text.substr(0, most).rfind('\n');
    const std::size_t end = within != std::string_view::npos ? within : text.find('\n');
    return text.substr(0, end == std::string_view::npos ? end : end + 1);
}

// Collectors cut long writes anywhere; a pipe takes up to PIPE_BUF bytes whole.
void event_log::write_out(std::string_view batch) const
{
    while (!batch.empty()) {
        const std::string_view piece = next_write_chunk(batch, PIPE_BUF);
        const ssize_t written = ::write(descriptor_, piece.data(), piece.size());
        if (written <= 0) {
            return; // the reader is gone: there is nowhere left to say so
        }
        batch.remove_prefix(static_cast<std::size_t>(written));
    }
}

void event_log::run()
{
    // A reader that is gone shows as an error of the write, not as the end of the process.
    sigset_t broken_pipe;
    sigemptyset(&broken_pipe);
    sigaddset(&broken_pipe, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &broken_pipe, nullptr);
    std::unique_lock lock(guard_);
    while (true) {
        changed_.wait_for(lock, write_interval, [this] { return stopping_; });
        std::string batch = std::exchange(buffer_, {});
        const std::uint64_t dropped = dropped_.load();
        const bool stopping = stopping_;
        lock.unlock();
        if (dropped != dropped_told_) {
            batch += fmt::format(
                R"({{"time_ms":{},"process":"{}","part":"log","event":"dropped","lines":{}}})"
                "\n",
                wall_ms(), process_, dropped - dropped_told_);
            dropped_told_ = dropped;
        }
        write_out(batch);
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
