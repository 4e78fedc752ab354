// A queue in front of a server's execution slots, fair over organisations by weight (start-time
// fair queueing: Goyal, Vin and Cheng, 1996) and bounded by deadlines: a request that would not be
// reached in time is refused when it comes, with when to come back. Pure.
//
// Shares are counted in slot time, so that slow statements weigh as much as they hold a slot. At
// most config::max_queued_per_server requests wait; when so many do, an organisation below its
// share of these places takes one from the organisation furthest above its own.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace primrosehead {

// In which order waiting requests run. `arrival` is for tests: without fairness.
enum class queue_order { fair, fifo };

class fair_queue {
  public:
    using ticket = std::uint64_t;

    struct queued_request {
        organisation_name organisation;
        std::uint32_t weight = 1;
        clock::time_point deadline;
    };

    explicit fair_queue(std::uint32_t slots, queue_order order = queue_order::fair);
    ~fair_queue();
    fair_queue(fair_queue&&) noexcept;
    fair_queue& operator=(fair_queue&&) noexcept;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    void resize(std::uint32_t slots);

    // Takes a place; `error_kind::overloaded` when the deadline would pass first.
    [[nodiscard]] result<ticket> enqueue(const queued_request& request, clock::time_point now);

    // The next request to run, when a slot is free. Those whose deadline passed, and those that
    // lost their place, go to `expired`. Call until it returns nothing.
    [[nodiscard]] std::optional<ticket> next(clock::time_point now, std::vector<ticket>& expired);

    // A running request ended after `service` and gives its slot back.
    void complete(ticket done, clock::duration service);

    // A waiting request is given up by its caller.
    void cancel(ticket given_up);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::uint32_t running() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
