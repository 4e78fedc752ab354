// State that the parts of one gateway share.
#pragma once

#include <primrosehead/bus.h>
#include <primrosehead/gateway.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace primrosehead {

class gateway_server;

// Counters behind `gateway_stats`.
struct gateway_counters {
    std::atomic<std::uint64_t> executed_locally = 0;
    std::atomic<std::uint64_t> forwarded = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> connections_opened = 0;
    std::atomic<std::uint64_t> connections_open = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::int64_t> queued = 0;
    std::atomic<std::int64_t> active = 0; // requests in progress
};

// Maps each open transaction of this instance to its server. Thread-safe.
class transaction_registry {
  public:
    void insert(std::uint64_t number, std::shared_ptr<gateway_server> server);
    void erase(std::uint64_t number);
    void clear();
    [[nodiscard]] std::shared_ptr<gateway_server> find(std::uint64_t number) const;
    [[nodiscard]] bool is_empty() const;

  private:
    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::shared_ptr<gateway_server>> servers_;
};

struct gateway_context {
    gateway_context(boost::asio::any_io_executor io_executor, gateway_settings gateway_options,
                    bus& instance_bus, std::uint64_t random_incarnation)
        : executor(std::move(io_executor)), settings(std::move(gateway_options)),
          messages(instance_bus), incarnation(random_incarnation),
          next_correlation(random_incarnation)
    {
    }

    const boost::asio::any_io_executor executor;
    const gateway_settings settings;
    bus& messages;
    const std::uint64_t incarnation; // random, new at each start of the process
    std::atomic<std::uint64_t> next_correlation;
    std::atomic<bool> draining = false;
    gateway_counters counters;
    transaction_registry transactions;
};

} // namespace primrosehead
