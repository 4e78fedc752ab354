// Another entry instance, which receives the requests for the servers that it owns.
#pragma once

#include "gateway_context.h"

#include <primrosehead/directory.h>

#include <boost/asio/strand.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace primrosehead {

// Outcome of a forwarded request.
struct forward_outcome {
    result<pb::backend_reply> reply;
    bool has_peer_reply = false;      // `reply` came from the peer
    bool can_retry_elsewhere = false; // a read or begin without a reply, safe to resend
};

class gateway_peer : public std::enable_shared_from_this<gateway_peer> {
  public:
    gateway_peer(std::shared_ptr<gateway_context> context, instance_address address);
    ~gateway_peer();
    gateway_peer(const gateway_peer&) = delete;
    gateway_peer& operator=(const gateway_peer&) = delete;

    [[nodiscard]] const instance_address& address() const noexcept { return address_; }

    // Sends a request and waits for its reply. Thread-safe.
    [[nodiscard]] boost::asio::awaitable<forward_outcome> forward(pb::backend_request request,
                                                                  clock::time_point deadline);

    // Delivers a reply to the request that waits for it, and drops it when none does. Thread-safe.
    void deliver_reply(std::uint64_t correlation, pb::backend_reply reply);

    // Records that a message of any kind arrived from the peer.
    void record_activity(clock::time_point now) noexcept;

    // Returns true when the peer owes a reply and has sent nothing for a while.
    [[nodiscard]] bool is_unresponsive(clock::time_point now) const noexcept;

    [[nodiscard]] bool is_idle() const noexcept { return pending_count_ == 0; }

    // Pings a peer whose reply is overdue, and releases the pending reads of an unresponsive one so
    // that they are retried elsewhere.
    void check(clock::time_point now);

  private:
    using strand = boost::asio::strand<boost::asio::any_io_executor>;
    struct pending_request;

    boost::asio::awaitable<forward_outcome> forward_on_strand(pb::backend_request request,
                                                              clock::time_point deadline);
    void send(std::uint64_t correlation, const pb::backend_request& request);
    void ping();
    void fail_over_reads();

    std::shared_ptr<gateway_context> context_;
    const instance_address address_;
    strand strand_;
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_request>> pending_; // on the strand
    std::atomic<std::uint32_t> pending_count_ = 0;
    std::atomic<std::int64_t> unanswered_since_ms_ = 0; // 0: no reply is outstanding
    std::atomic<std::int64_t> pinged_at_ms_ = 0;
};

} // namespace primrosehead
