// Determines the log position that a read must see, from observations of the group's primary. Pure.
//
// A server that is the primary when a request reaches it holds every commit acknowledged before the
// request was sent. A read with a staleness bound therefore needs the position of any observation
// within the bound; the oldest of them excludes the fewest replicas.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace primrosehead::pooler {

class freshness_tracker {
  public:
    // Records the log position that the primary returned to a request sent at `requested_at`.
    // Positions of an earlier primary are dropped: its log may have held entries that were lost in
    // the promotion.
    void record(std::string_view primary, log_position position, clock::time_point requested_at);

    // Returns a position that covers every commit acknowledged before `since`; none without an
    // observation requested at `since` or later.
    [[nodiscard]] std::optional<log_position> position_covering(clock::time_point since) const;

    [[nodiscard]] std::optional<clock::time_point> newest_request_at() const;

    // Returns the term of the newest position; 0 without observations.
    [[nodiscard]] std::uint64_t newest_term() const;

  private:
    struct observation {
        clock::time_point requested_at;
        log_position position;
    };
    std::string primary_;
    std::deque<observation> observations_; // ascending in time and position
};

} // namespace primrosehead::pooler
