// A queue in front of a server's execution slots, fair over organisations by weight (start-time
// fair queueing: Goyal, Vin and Cheng, 1996) and bounded by deadlines: a request that would not be
// reached in time is refused when it comes, with when to come back. Pure.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace primrosehead {

class fair_queue {
  public:
    using ticket = std::uint64_t;

    struct waiting {
        organisation_name organisation;
        std::uint32_t weight = 1;
        clock::time_point deadline;
    };

    explicit fair_queue(std::uint32_t slots);
    ~fair_queue();
    fair_queue(fair_queue&&) noexcept;
    fair_queue& operator=(fair_queue&&) noexcept;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    void resize(std::uint32_t slots);

    // Takes a place; `error_kind::overloaded` when the deadline would pass first.
    [[nodiscard]] result<ticket> enter(const waiting& request, clock::time_point now);

    // The next request to run, when a slot is free. Those whose deadline passed go to `expired`.
    [[nodiscard]] std::optional<ticket> next(clock::time_point now, std::vector<ticket>& expired);

    // A running request ended after `service` and gives its slot back.
    void finished(ticket done, clock::duration service);

    // A waiting request is given up by its caller.
    void abandon(ticket waiting);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::uint32_t running() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
