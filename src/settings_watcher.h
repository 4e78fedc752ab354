// Detects changes of a settings file, by polling or on request, such as after a signal.
#pragma once

#include <primrosehead/clock.h>

#include <optional>
#include <string>

namespace primrosehead {

class settings_watcher {
  public:
    explicit settings_watcher(std::string path);

    // Returns the file's text if it differs from the text read last. Reads the file at most once a
    // second, or immediately after `check_now`.
    [[nodiscard]] std::optional<std::string> read_if_changed();
    void check_now() noexcept { last_check_time_ = clock::time_point{}; }

  private:
    std::string path_;
    std::string text_;
    clock::time_point last_check_time_{};
};

} // namespace primrosehead
