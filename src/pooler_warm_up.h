// Limits the requests to servers that are still cold, such as after a restart, without messages
// between the instances: each one sends its part of the rate. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace primrosehead::pooler {

// What an instance knows about a server's warm-up.
struct warm_up_facts {
    clock::time_point announced_at{}; // when the server sent its latest known announcement
    clock::time_point cold_until{};   // as announced
    // Of the latest evacuation of the server's failure domain.
    std::optional<clock::time_point> evacuation_withdrawn_at;
    clock::duration warm_up_time{0}; // of the group, for a server that has not announced itself
};

[[nodiscard]] bool is_cold(const warm_up_facts& facts, clock::time_point now) noexcept;

// Whose part of a server's rate an instance has.
enum class warm_up_share {
    instance,    // an equal part
    home,        // all of it: the others forward their operations to this instance
    beside_home, // a small part, for operations that could not be forwarded
};

class warm_up {
  public:
    explicit warm_up(std::string instance) : instance_(std::move(instance)) {}

    // Records the number of live instances in a reply of the leader or of a relay.
    void set_fleet_size(std::uint32_t instances, clock::time_point now);

    // True if a request may be sent to the cold server now. `per_s`: rate of the whole fleet;
    // 0: no limit.
    [[nodiscard]] bool may_start(std::string_view server, double per_s, warm_up_share share,
                                 clock::time_point now);
    void record_start(std::string_view server, clock::time_point now);

    // Records a request that could not wait, such as the commit of an open transaction. Later ones
    // wait for it.
    void record_unlimited_start(std::string_view server, double per_s, warm_up_share share,
                                clock::time_point now);

    // Forgets the state of a server that is warm.
    void record_warm(std::string_view server);

    // Returns the largest known fleet size; none while it may still be incomplete.
    [[nodiscard]] std::optional<std::uint32_t> fleet_size(clock::time_point now) const;

  private:
    struct observed_size {
        std::uint32_t instances = 0;
        clock::time_point at;
    };
    struct server_state {
        clock::time_point cold_since;
        std::optional<clock::time_point> home_since;
        clock::time_point started_at{};
        clock::time_point paid_until{};
    };

    server_state& state_of(std::string_view server, clock::time_point now);
    [[nodiscard]] double interval_ms(double per_s, warm_up_share share,
                                     clock::time_point now) const;

    std::string instance_;
    std::deque<observed_size> sizes_; // falling; the first is the largest
    std::optional<clock::time_point> known_since_;
    std::map<std::string, server_state, std::less<>> servers_;
};

} // namespace primrosehead::pooler
