// Admission control for coroutines: they wait in a fair queue for a slot. All calls are made on one
// strand.
#pragma once

#include <primrosehead/fair_queue.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace primrosehead {

class gateway_admission {
  public:
    // `queued` is a shared counter that includes the requests waiting in this queue.
    gateway_admission(boost::asio::any_io_executor strand, std::uint32_t slots,
                      std::atomic<std::int64_t>& queued);
    ~gateway_admission();
    gateway_admission(const gateway_admission&) = delete;
    gateway_admission& operator=(const gateway_admission&) = delete;

    void resize(std::uint32_t slots);

    // Waits for a slot. Fails with `error_kind::overloaded` and `ran::no` when none is free before
    // the deadline. `request` must be a named variable: g++ 12 copies an aggregate argument of an
    // awaited call bitwise, which corrupts short strings.
    [[nodiscard]] boost::asio::awaitable<result<fair_queue::ticket>>
    acquire(const fair_queue::queued_request& request);
    boost::asio::awaitable<result<fair_queue::ticket>>
    acquire(fair_queue::queued_request&&) = delete;

    // Releases a slot that was in use for `service`.
    void release(fair_queue::ticket ticket, clock::duration service);

    [[nodiscard]] bool is_idle() const noexcept;

  private:
    struct waiter;

    void admit();
    void resolve(fair_queue::ticket ticket, bool is_admitted);

    boost::asio::any_io_executor strand_;
    fair_queue queue_;
    std::unordered_map<fair_queue::ticket, std::shared_ptr<waiter>> waiting_;
    std::atomic<std::int64_t>& queued_;
};

} // namespace primrosehead
