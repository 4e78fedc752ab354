// Which server of a group an instance takes for the primary. A wrong guess costs a round trip: the
// server itself refuses what only a primary may do. Pure.
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

// How the instance sees the primary, for the control leader.
struct primary_sighting {
    std::string server;
    std::optional<clock::duration> reached_ago;
    clock::duration failing_for{0};
};

class primary_tracker {
  public:
    // The group's servers, those that say they lead first.
    struct known_server {
        std::string server;
        bool claims_primary = false;
    };
    void set_servers(std::vector<known_server> known);

    // The control leader has seen it lead, under the group's decision of this number.
    void record_control_report(std::string_view server, std::uint64_t generation,
                               clock::time_point now);

    // It acted as the primary for this instance.
    void record_primary(std::string_view server, clock::time_point now);

    // It refused, because it doesn't lead.
    void record_refusal(std::string_view server, clock::time_point now);

    // A write was acknowledged, or one failed without a refusal.
    void record_write_success(clock::time_point now);
    void record_write_failure(clock::time_point sent_at);

    // It can't be reached.
    void record_unreachable(std::string_view server, clock::time_point now);

    // Empty when nobody is known that may lead.
    [[nodiscard]] std::string likely_primary(clock::time_point now) const;

    [[nodiscard]] primary_sighting sighting(clock::time_point now) const;

  private:
    void change_to(std::string_view server);
    [[nodiscard]] bool may_be_primary(std::string_view server, clock::time_point now) const;

    std::vector<known_server> known_;
    std::string current_;
    std::uint64_t generation_ = 0;
    std::map<std::string, clock::time_point, std::less<>> refused_at_;
    std::optional<clock::time_point> reached_at_;
    std::optional<clock::time_point> failing_since_; // to reach it
    std::optional<clock::time_point> write_failing_since_;
};

} // namespace primrosehead::pooler
