// Runs as many statements as the server announced slots: what learning is compared with.
#pragma once

#include "server_pace.h"

#include <algorithm>

namespace primrosehead::admission {

class fixed_pace {
  public:
    explicit fixed_pace(std::uint32_t announced_slots) : slots_(std::max(1U, announced_slots)) {}

    void set_announced_slots(std::uint32_t slots, clock::time_point /*now*/)
    {
        slots_ = std::max(1U, slots);
    }
    void restart(clock::time_point /*now*/) {}
    void start_at(double /*concurrency*/, clock::time_point /*now*/) {}
    void record(const server_pace::sample& /*ended*/, clock::time_point /*now*/) {}
    [[nodiscard]] double concurrency(clock::time_point /*now*/) const { return slots_; }
    [[nodiscard]] double failure_share(clock::time_point /*now*/) const { return 0; }

  private:
    std::uint32_t slots_;
};

} // namespace primrosehead::admission
