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
    const result<std::string> read = read_file(path_);
    if (ok(read)) {
        text_ = value(read);
    }
}

std::optional<std::string> settings_watcher::read_if_changed()
{
    const clock::time_point now = clock::now();
    if (now - last_check_time_ < check_interval) {
        return std::nullopt;
    }
    last_check_time_ = now;
    const result<std::string> read = read_file(path_);
    if (!ok(read)) {
        spdlog::warn("settings: {}", describe(failure(read)));
        return std::nullopt;
    }
    if (value(read) == text_) {
        return std::nullopt;
    }
    text_ = value(read);
    return text_;
}

} // namespace primrosehead
