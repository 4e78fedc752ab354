// A copy of the leader's directory, kept up to date by the full directories and deltas of its
// replies. Relays and pooler instances hold one; relays pass it on. Pure.
#pragma once

#include "cell_directory_changes.h"
#include "primrosehead.pb.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

class directory_copy {
  public:
    // Applies the directory part of a reply to a request that was sent at `asked_at`. A part of an
    // earlier term or revision, or a delta of a revision that this copy has not reached, is
    // ignored. Returns true if the servers or the completeness changed.
    bool apply(const pb::follow_reply& reply, clock::time_point asked_at);

    // Returns the changes since the revision that the requester holds, or all servers.
    // `base_revision` is set to the revision that the changes apply to; 0: all servers. The
    // servers' `leaving_ms` is as of `now`.
    [[nodiscard]] std::vector<pb::server_announcement>
    changes_for(const pb::follow_request& request, clock::time_point now,
                std::uint64_t& base_revision) const;

    // True if the requester holds this copy's revision.
    [[nodiscard]] bool is_held_by(const pb::follow_request& request) const;

    [[nodiscard]] std::vector<pb::server_announcement> servers(clock::time_point now) const;
    [[nodiscard]] const pb::server_announcement* find(std::string_view server) const;
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    // False while servers that are not listed may exist.
    [[nodiscard]] bool is_complete() const noexcept { return is_complete_; }

  private:
    struct copied_server {
        pb::server_announcement announcement;
        clock::time_point as_of; // its ages are not less than at this time
    };
    void assign(const pb::follow_reply& reply, clock::time_point asked_at);
    [[nodiscard]] static pb::server_announcement with_age(const copied_server& server,
                                                          clock::time_point now);

    std::map<std::string, copied_server, std::less<>> servers_;
    directory_changes changes_;
    std::uint64_t term_ = 0; // of the leader
    std::uint64_t revision_ = 0;
    bool is_complete_ = false;
};

} // namespace primrosehead::cell
