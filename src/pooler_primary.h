// Tracks which server of a group is likely the primary. A wrong result costs a round trip: a server
// that is not the primary refuses what only the primary may run. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pooler {

// The instance's view of the primary, reported to the control leader.
struct primary_sighting {
    std::string server;
    std::optional<clock::duration> reached_ago;
    clock::duration failing_for{0};
};

class primary_tracker {
  public:
    // A server of the group, and whether it announces itself as the primary.
    struct known_server {
        std::string server;
        bool claims_primary = false;
    };
    void set_servers(std::vector<known_server> known);

    // The control leader reports the server as the primary, under the group's failover decision
    // `generation`. Older decisions are ignored.
    void record_control_report(std::string_view server, std::uint64_t generation,
                               clock::time_point now);

    // The server acted as the primary for this instance.
    void record_primary(std::string_view server, clock::time_point now);

    // The server refused an operation because it is not the primary.
    void record_refusal(std::string_view server, clock::time_point now);

    // A write was acknowledged, or it failed without a refusal. One that fails although another one
    // was acknowledged after it was sent tells nothing about the primary.
    void record_write_success(clock::time_point now);
    void record_write_failure(clock::time_point sent_at);

    // The server can't be reached.
    void record_unreachable(std::string_view server, clock::time_point now);

    // Returns the server to try first; empty when no known server may be the primary.
    [[nodiscard]] std::string likely_primary(clock::time_point now) const;

    [[nodiscard]] primary_sighting sighting(clock::time_point now) const;

  private:
    void set_current(std::string_view server);
    void reset_health() noexcept; // of the present primary
    [[nodiscard]] bool is_known(std::string_view server) const;
    [[nodiscard]] bool may_be_primary(std::string_view server, clock::time_point now) const;

    std::vector<known_server> known_;
    std::string current_;
    std::uint64_t generation_ = 0;
    std::map<std::string, clock::time_point, std::less<>> refused_at_;
    std::optional<clock::time_point> reached_at_;
    std::optional<clock::time_point> written_at_;    // the latest acknowledged write
    std::optional<clock::time_point> failing_since_; // attempts to reach it
    std::optional<clock::time_point> write_failing_since_;
};

} // namespace primrosehead::pooler
