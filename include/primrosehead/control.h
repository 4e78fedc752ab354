// A control instance: the replicated state, and while it leads, the fleet's leases, grants and
// failovers.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <memory>

namespace primrosehead {

class control_instance {
  public:
    // Opens the data folder and the bus; nothing is answered before `run`.
    [[nodiscard]] static result<std::unique_ptr<control_instance>>
    open(const control_settings& settings);
    ~control_instance();
    control_instance(const control_instance&) = delete;
    control_instance& operator=(const control_instance&) = delete;

    // Runs until SIGTERM or SIGINT, or until the data folder fails (the error says why).
    [[nodiscard]] status run();

  private:
    struct implementation;
    explicit control_instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
