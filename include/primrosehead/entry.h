// An entry instance: combines the HTTP interface for callers, the gateway to backend servers and
// the session with the control leader.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <memory>

namespace primrosehead {

class entry_instance {
  public:
    // Opens the listeners and the bus. Requests are served only once `run` is called.
    [[nodiscard]] static result<std::unique_ptr<entry_instance>>
    open(const entry_settings& settings);
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    // Serves until SIGTERM or SIGINT, then drains: notifies load balancers (`/readyz`) and the
    // control leader, completes requests in progress for up to `drain_timeout`, and returns.
    void run();

  private:
    struct implementation;
    explicit entry_instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
