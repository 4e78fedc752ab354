// An entry instance: callers' HTTP interface, the gateway to backend servers and the session with
// the control leader, joined.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <memory>

namespace primrosehead {

class entry_instance {
  public:
    // Opens the listeners and the bus; nothing is served before `run`.
    [[nodiscard]] static result<std::unique_ptr<entry_instance>>
    open(const entry_settings& settings);
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    // Serves until SIGTERM or SIGINT, then stops gracefully: tells the balancer (`/readyz`) and the
    // control leader, answers what is under way, and returns within `drain_timeout`.
    void run();

  private:
    struct implementation;
    explicit entry_instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
