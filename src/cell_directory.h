// A control instance's directory of the backend servers, built from their announcements. Pure.
#pragma once

#include "cell_directory_changes.h"
#include "cell_directory_departures.h"
#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

// Fails with `error_kind::bad_request` if an announcement names no server that instances can use
// and pass on. A deregistration needs a valid name only.
[[nodiscard]] status check_announcement(const pb::server_announcement& announcement);

// An announcement that a server made after it had deregistered.
struct sign_of_life {
    std::uint64_t sequence = 0;
    clock::time_point heard_at;
};

struct directory_entry {
    pb::server_announcement announcement;
    clock::time_point announced_at;
    std::optional<sign_of_life> sign_after_departure{};
};

class directory {
  public:
    // A server announces that it is leaving for `leaving_period` before it deregisters; 0: unknown.
    explicit directory(clock::duration leaving_period = clock::duration(0))
        : leaving_period_(leaving_period)
    {
    }

    // Applies an announcement unless it is invalid or a newer one of the same server is known.
    // Returns true if this changed anything that instances route by. One that is not newer may
    // still tell that the server has been leaving for longer.
    bool apply(const pb::server_announcement& announcement, clock::time_point now);

    // Increases with every change that instances route by.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    // Number of invalid announcements so far.
    [[nodiscard]] std::uint64_t rejected() const noexcept { return rejected_; }

    // All servers' latest announcements, with `age_ms` and `leaving_ms` as of `now`.
    [[nodiscard]] std::vector<pb::server_announcement> servers(clock::time_point now) const;

    // Returns the servers that changed since `revision`, removed ones as `gone`, and sets
    // `base_revision` to it. Returns all servers and sets it to 0 if the changes are not known.
    [[nodiscard]] std::vector<pb::server_announcement>
    changes_since(std::uint64_t revision, clock::time_point now,
                  std::uint64_t& base_revision) const;

    // The servers of a group that have not deregistered.
    [[nodiscard]] std::vector<const directory_entry*> group(std::string_view name) const;
    [[nodiscard]] const directory_entry* find(std::string_view server) const;
    // Returns the server's latest announcement with its ages as of `now`, to be passed on.
    [[nodiscard]] std::optional<pb::server_announcement>
    announcement_of(std::string_view server, clock::time_point now) const;

    // Since when a server is leaving.
    [[nodiscard]] const directory_departures& departures() const noexcept { return departures_; }

    // Removes servers whose deregistration or last announcement is older than its retention time.
    void evict_stale(clock::time_point now);

  private:
    [[nodiscard]] pb::server_announcement with_ages(const directory_entry& entry,
                                                    clock::time_point now) const;
    bool record_leaving(const pb::server_announcement& announcement, bool is_known,
                        clock::time_point now);
    [[nodiscard]] bool may_deregister(const pb::server_announcement& known,
                                      clock::time_point now) const;

    clock::duration leaving_period_;
    std::map<std::string, directory_entry, std::less<>> entries_;
    directory_changes changes_;
    directory_departures departures_;
    std::uint64_t revision_ = 0;
    std::uint64_t rejected_ = 0;
};

} // namespace primrosehead::cell
