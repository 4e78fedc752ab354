#include "settings_watch.h"

#include <primrosehead/settings.h>

#include <spdlog/spdlog.h>

#include <utility>

namespace primrosehead {

namespace {

constexpr clock::duration look_interval{1'000};

} // namespace

settings_watch::settings_watch(std::string path) : path_(std::move(path))
{
    const result<std::string> read = read_file(path_);
    if (ok(read)) {
        text_ = value(read);
    }
}

std::optional<std::string> settings_watch::changed()
{
    const clock::time_point now = clock::now();
    if (now - looked_at_ < look_interval) {
        return std::nullopt;
    }
    looked_at_ = now;
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
