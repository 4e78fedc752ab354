// Since when servers are leaving, and which have deregistered. Outlives their entries in a
// directory. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class server_announcement;
}

namespace primrosehead::cell {

class directory_departures {
  public:
    // Records that the server has been leaving since `since`. Of two times known for the same start
    // of the server, the earlier one holds.
    void record_leaving(const pb::server_announcement& announcement, clock::time_point since,
                        clock::time_point now);
    void record_gone(const pb::server_announcement& announcement, clock::time_point now);

    // The server takes new work again, or has restarted.
    void forget(std::string_view server);

    // None if this start of the server is not known to be leaving.
    [[nodiscard]] std::optional<clock::time_point>
    leaving_since(const pb::server_announcement& announcement) const;
    // For how long it has been leaving.
    [[nodiscard]] std::optional<clock::duration>
    leaving_for(const pb::server_announcement& announcement, clock::time_point now) const;
    // True if this start of the server had deregistered when it announced this, or a later one has.
    [[nodiscard]] bool is_gone(const pb::server_announcement& announcement) const;

    // Sets `leaving_ms` to the time for which the server has been leaving, if that is known.
    void write_age(pb::server_announcement& announcement, clock::time_point now) const;

    void expire(clock::time_point now);

  private:
    struct departure {
        std::uint64_t born_ms = 0;
        std::optional<clock::time_point> leaving_since;
        std::optional<std::uint64_t> gone_sequence; // of its last announcement, once deregistered
        clock::time_point recorded_at;
    };
    departure& departure_of(const pb::server_announcement& announcement, clock::time_point now);
    [[nodiscard]] const departure* find(const pb::server_announcement& announcement) const;

    std::map<std::string, departure, std::less<>> departures_;
};

} // namespace primrosehead::cell
