// Which log position a read must see, from what was observed of the group's primary. Pure.
//
// A server that led when it was asked holds every commit acknowledged before the question. So a
// read that may miss commits younger than a bound needs the position of any observation within the
// bound; the oldest such asks the least of replicas.
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
    // A server that led, asked at `requested_at`, told the position of its log. What an earlier
    // primary told is dropped: its log may have held commits that no promotion kept.
    void record(std::string_view primary, log_position at, clock::time_point requested_at);

    // A position that covers every commit acknowledged before `since`; none when nothing that was
    // observed tells.
    [[nodiscard]] std::optional<log_position> position_covering(clock::time_point since) const;

    [[nodiscard]] std::optional<clock::time_point> newest_request_at() const;

    // The term of the newest position.
    [[nodiscard]] std::uint64_t newest_term() const;

  private:
    struct observation {
        clock::time_point requested_at;
        log_position at;
    };
    std::string primary_;
    std::deque<observation> observations_; // rising in both
};

} // namespace primrosehead::pooler
