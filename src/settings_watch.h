// Notices that a settings file changed, with a signal or without one.
#pragma once

#include <primrosehead/clock.h>

#include <optional>
#include <string>

namespace primrosehead {

class settings_watch {
  public:
    explicit settings_watch(std::string path);

    // The file's text when it differs from what was read last. Looks at the disk once a second, or
    // at once after `look_now`.
    [[nodiscard]] std::optional<std::string> changed();
    void look_now() noexcept { looked_at_ = clock::time_point{}; }

  private:
    std::string path_;
    std::string text_;
    clock::time_point looked_at_{};
};

} // namespace primrosehead
