#include "settings_watcher.h"

#include <primrosehead/settings.h>

#include <spdlog/spdlog.h>

#include <utility>

namespace primrosehead {

namespace {

constexpr clock::duration check_interval{1'000};

} // namespace

settings_watcher::settings_watcher(std::string path) : path_(std::move(path))
{
    const result<std::string> file_text = read_file(path_);
    if (ok(file_text)) {
        text_ = value(file_text);
    }
}

std::optional<std::string> settings_watcher::read_if_changed()
{
    const clock::time_point now = clock::now();
    if (now - last_check_time_ < check_interval) {
        return std::nullopt;
    }
    last_check_time_ = now;
    const result<std::string> file_text = read_file(path_);
    if (!ok(file_text)) {
        spdlog::warn("settings: {}", describe(failure(file_text)));
        return std::nullopt;
    }
    if (value(file_text) == text_) {
        return std::nullopt;
    }
    text_ = value(file_text);
    return text_;
}

} // namespace primrosehead
