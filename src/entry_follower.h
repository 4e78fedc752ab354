// An entry instance's session with the control leader: heartbeats out; leases, grants, the state
// and the directory of backend servers in. It runs on the bus's thread.
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

    // Sends what is due. The bus's thread.
    void tick(clock::time_point now);

    // How long until `tick` has something to do; zero when it has now. The bus's thread.
    [[nodiscard]] clock::duration time_until_due(clock::time_point now) const noexcept;

    // A `beat_reply`. The bus's thread.
    void receive(const pb::envelope& message, clock::time_point now);

    // Asks for a heartbeat before the next is due, because tokens run low. Any thread.
    void request_heartbeat();

    // The sequence of the first heartbeat that is made after this call. Any thread.
    [[nodiscard]] std::uint64_t next_sequence() const noexcept { return sequence_.load() + 1; }

    // True once the leader's answer to that heartbeat, or to a later one, was taken in. Any thread.
    [[nodiscard]] bool is_answered(std::uint64_t sequence) const noexcept
    {
        return answered_sequence_.load() >= sequence;
    }

    // False when the leader has been silent for longer than an answer takes. Any thread.
    [[nodiscard]] bool is_leader_responsive(clock::time_point now) const noexcept;

    // Tells the control leader that this instance is leaving. Any thread.
    void announce_leaving() noexcept { leaving_.store(true); }

    // Reads the present view: `use(const entry_view&)`. Any thread.
    template <class Use>
    decltype(auto) read(Use&& use) const
    {
        return view_.read(std::forward<Use>(use));
    }

    // Whether a write may be acknowledged now. Any thread.
    [[nodiscard]] bool has_lease(clock::time_point now) const noexcept;

    // How long ago the key table was last confirmed. Any thread.
    [[nodiscard]] clock::duration key_table_age(clock::time_point now) const noexcept;

    // True once a production document is known. Any thread.
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
    bool state_ack_pending_ = false; // the leader waits to hear that a new version was taken in

    std::atomic<std::uint64_t> sequence_ = 0;          // of the last heartbeat
    std::atomic<std::uint64_t> answered_sequence_ = 0; // the last one whose answer was taken in
    std::atomic<std::int64_t> last_reply_at_ms_ = 0;
    std::atomic<std::int64_t> lease_expires_at_ms_ = 0;
    std::atomic<std::int64_t> keys_confirmed_at_ms_ = 0;
    std::atomic<std::uint64_t> version_ = 0;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> heartbeat_requested_ = false;
    std::atomic<bool> leaving_ = false;
};

} // namespace primrosehead
