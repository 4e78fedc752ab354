// Order of service at a backend server. Pure.
//
// Small version for tests of the data path: a bounded queue by priority and arrival.
#pragma once

#include <primrosehead/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::admission {

enum class outcome { done, failed, busy, silent };

struct work {
    std::uint64_t id = 0;
    std::string organisation;
    std::uint32_t priority = 0;
    clock::time_point arrived_at;
    clock::time_point deadline;
    clock::time_point objective;
    bool continues_transaction = false;
};

struct refusal {
    std::uint64_t id = 0;
    clock::duration retry_after{0};
    std::string_view reason;
};

class queue {
  public:
    explicit queue(std::uint32_t announced_slots) : slots_(announced_slots) {}

    [[nodiscard]] std::optional<refusal> submit(work item, clock::time_point now);
    [[nodiscard]] std::optional<std::uint64_t> start_next(clock::time_point now);
    void finish(std::uint64_t id, outcome result, clock::time_point now);
    bool cancel(std::uint64_t id);
    [[nodiscard]] std::vector<refusal> expire(clock::time_point now);
    void set_announced_slots(std::uint32_t slots, clock::time_point now);
    [[nodiscard]] double concurrency(clock::time_point now) const;
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

  private:
    std::uint32_t slots_;
    std::uint32_t running_ = 0;
    std::vector<work> waiting_; // in the order of service
};

} // namespace primrosehead::admission
