#include "log_json.h"

#include <boost/json.hpp>
#include <spdlog/details/log_msg.h>

#include <chrono>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr std::string_view part_separator = ": ";
constexpr std::size_t max_part_bytes = 16;

// Returns the part named by the message's prefix; empty without a prefix.
std::string_view find_part(std::string_view text) noexcept
{
    const std::size_t end = text.find(part_separator);
    const bool is_part = end != std::string_view::npos && end <= max_part_bytes &&
                         text.substr(0, end).find(' ') == std::string_view::npos;
    return is_part ? text.substr(0, end) : std::string_view();
}

// Returns milliseconds since the Unix epoch.
std::int64_t unix_time_ms(spdlog::log_clock::time_point time)
{
    const auto since_epoch = time.time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace

log_json_formatter::log_json_formatter(std::string_view process) : process_(process) {}

void log_json_formatter::format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& line)
{
    std::string_view text(message.payload.data(), message.payload.size());
    const auto level = spdlog::level::to_string_view(message.level);
    json::object object{{"time_ms", unix_time_ms(message.time)},
                        {"level", std::string_view(level.data(), level.size())},
                        {"process", process_}};
    const std::string_view part = find_part(text);
    if (!part.empty()) {
        object["part"] = part;
        text.remove_prefix(part.size() + part_separator.size());
    }
    object["text"] = text;
    const std::string serialized = json::serialize(object) + "\n";
    line.append(serialized.data(), serialized.data() + serialized.size());
}

std::unique_ptr<spdlog::formatter> log_json_formatter::clone() const
{
    return std::make_unique<log_json_formatter>(process_);
}

} // namespace primrosehead
