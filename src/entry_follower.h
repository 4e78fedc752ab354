// An entry instance's session with the control leader. Sends heartbeats and receives leases,
// grants, the replicated state and the directory of backend servers. Runs on the bus thread.
#pragma once

#include "entry_view.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>
#include <primrosehead/lease.h>
#include <primrosehead/rcu.h>
#include <primrosehead/settings.h>
#include <primrosehead/state_view.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace primrosehead::pb {
class envelope;
class heartbeat_reply;
class instance_record;
} // namespace primrosehead::pb

namespace primrosehead {

class entry_allowances;
class gateway;

class entry_follower {
  public:
    entry_follower(const entry_settings& settings, std::uint64_t incarnation, bus& messages,
                   gateway& servers, entry_allowances& allowances);

    // Sends a heartbeat if one is due. Bus thread only.
    void tick(clock::time_point now);

    // Time until the next heartbeat is due; zero if it is due now. Bus thread only.
    [[nodiscard]] clock::duration time_until_due(clock::time_point now) const noexcept;

    // Handles a `beat_reply` message. Bus thread only.
    void receive(const pb::envelope& message, clock::time_point now);

    // Requests a heartbeat ahead of schedule, for instance because tokens run low. Thread-safe.
    void request_heartbeat();

    // Sequence number of the first heartbeat created after this call. Thread-safe.
    [[nodiscard]] std::uint64_t next_sequence() const noexcept { return sequence_.load() + 1; }

    // True once the leader's reply to that heartbeat, or to a later one, was applied. Thread-safe.
    [[nodiscard]] bool is_answered(std::uint64_t sequence) const noexcept
    {
        return answered_sequence_.load() >= sequence;
    }

    // True if the leader has replied within the leader timeout. Thread-safe.
    [[nodiscard]] bool is_leader_responsive(clock::time_point now) const noexcept;

    // Marks this instance as leaving in the heartbeats that follow. Thread-safe.
    void announce_leaving() noexcept { leaving_.store(true); }

    // Calls `use(const entry_view&)` with the current view and returns its result. Thread-safe.
    template <class Use>
    decltype(auto) read(Use&& use) const
    {
        return view_.read(std::forward<Use>(use));
    }

    // True while the write lease is valid, so that writes may be acknowledged. Thread-safe.
    [[nodiscard]] bool has_lease(clock::time_point now) const noexcept;

    // Time since the leader last confirmed the key table. Thread-safe.
    [[nodiscard]] clock::duration key_table_age(clock::time_point now) const noexcept;

    // True once a production document has been received. Thread-safe.
    [[nodiscard]] bool is_ready() const noexcept { return ready_.load(); }

    [[nodiscard]] std::uint64_t version() const noexcept { return version_.load(); }

  private:
    void fill_self_record(pb::instance_record& record) const;
    void send_heartbeat(clock::time_point now);
    bool apply_state_delta(const pb::heartbeat_reply& reply, clock::time_point now);
    void apply_directory(const pb::heartbeat_reply& reply, clock::time_point now);
    void try_next_leader();
    void follow_leader_hint(const std::string& endpoint);
    void publish(clock::time_point now);

    const entry_settings& settings_;
    std::uint64_t incarnation_;
    bus& messages_;
    gateway& servers_;
    entry_allowances& allowances_;

    state_view state_;
    rcu_cell<entry_view> view_;
    std::string leader_endpoint_;
    std::size_t next_control_index_ = 0;
    std::uint64_t control_term_ = 0;
    clock::time_point last_heartbeat_{};
    clock::time_point last_leader_reply_{};
    clock::time_point last_report_{};
    bool state_ack_pending_ = false; // a new state version has not been acknowledged yet

    // Sequence numbers of the last heartbeat sent and of the last whose reply was applied.
    std::atomic<std::uint64_t> sequence_ = 0;
    std::atomic<std::uint64_t> answered_sequence_ = 0;
    std::atomic<std::int64_t> last_reply_at_ms_ = 0;
    std::atomic<std::int64_t> lease_expires_at_ms_ = 0;
    std::atomic<std::int64_t> keys_confirmed_at_ms_ = 0;
    std::atomic<std::uint64_t> version_ = 0;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> heartbeat_requested_ = false;
    std::atomic<bool> leaving_ = false;
};

} // namespace primrosehead
