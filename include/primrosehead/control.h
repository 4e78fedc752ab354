// A control instance: holds the replicated state and, while it is the leader, issues the fleet's
// leases and grants and runs failovers.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <memory>

namespace primrosehead {

class control_instance {
  public:
    // Opens the data folder and the bus. Messages are handled only in `run`.
    [[nodiscard]] static result<std::unique_ptr<control_instance>>
    open(const control_settings& settings);
    ~control_instance();
    control_instance(const control_instance&) = delete;
    control_instance& operator=(const control_instance&) = delete;

    // Runs until SIGTERM or SIGINT, also while the disk of the data folder rejects writes.
    [[nodiscard]] status run();

  private:
    struct implementation;
    explicit control_instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
