// Admission queue for the execution slots of a backend server. It is fair across organisations by
// weight (start-time fair queueing: Goyal, Vin and Cheng, 1996) and bounded by deadlines: a request
// that would not get a slot before its deadline is rejected on arrival, with a delay after which to
// retry. Pure: no I/O, threads or clock reads.
//
// Shares are measured in slot time, so that a slow statement costs as much as the time for which it
// occupies a slot. At most config::max_queued_per_server requests wait; when the queue is full, an
// organisation below its share of the places evicts a request of the organisation furthest above
// its share.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/names.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace primrosehead {

// Order in which waiting requests run. `fifo` ignores fairness and is used by tests only.
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

    // Adds a request. Fails with `error_kind::overloaded` when its deadline would pass before it
    // gets a slot, or when the queue is full.
    [[nodiscard]] result<ticket> enqueue(const queued_request& request, clock::time_point now);

    // Returns the next request to run if a slot is free, and `nullopt` otherwise. Appends requests
    // whose deadline passed and requests that were evicted to `expired`. To be called until it
    // returns `nullopt`.
    [[nodiscard]] std::optional<ticket> next(clock::time_point now, std::vector<ticket>& expired);

    // Ends a running request, which occupied its slot for `service`, and frees the slot.
    void complete(ticket completed, clock::duration service);

    // Removes a waiting request whose caller no longer waits for it.
    void cancel(ticket cancelled);

    [[nodiscard]] std::size_t size() const noexcept;
    [[nodiscard]] std::uint32_t running() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
