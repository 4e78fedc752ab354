// Notices that a settings file changed, with a signal or without one.
#pragma once

#include <primrosehead/clock.h>

#include <optional>
#include <string>

namespace primrosehead {

class settings_watcher {
  public:
    explicit settings_watcher(std::string path);

    // The file's text when it differs from what was read last. Looks at the disk once a second, or
    // at once after `check_now`.
    [[nodiscard]] std::optional<std::string> read_if_changed();
    void check_now() noexcept { last_check_time_ = clock::time_point{}; }

  private:
    std::string path_;
    std::string text_;
    clock::time_point last_check_time_{};
};

} // namespace primrosehead
