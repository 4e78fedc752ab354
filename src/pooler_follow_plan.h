// Decides which control instance a pooler instance follows, when it sends a request and whether it
// asks for the document and the directory. Pure.
//
// Large fleets start at once: instances spread over the addresses that they know, switch endpoints
// with backoff, and keep a connection until the next one has answered.
#pragma once

#include "pooler_relay_chooser.h"
#include "request_pacer.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class follow_reply;
} // namespace primrosehead::pb

namespace primrosehead::pooler {

struct planned_request {
    std::string endpoint;
    std::uint64_t sequence = 0;
    bool wants_large_parts = false;
};

struct endpoint_change {
    std::string previous;
    std::string next;
    std::string_view reason;
    clock::duration silent_time{0};
    bool was_answered = false; // the previous endpoint had answered
};

// How a reply may be used.
enum class reply_use {
    none,
    parts, // late: its document and directory count if they are newer, its confirmation does not
    all,
};

class follow_plan {
  public:
    follow_plan(std::string instance, std::string failure_domain);

    // Sets the endpoints from the settings, and those of the cell's members.
    void set_seeds(std::set<std::string> endpoints) { seeds_ = std::move(endpoints); }
    void set_members(std::set<std::string> endpoints) { members_ = std::move(endpoints); }

    // Returns the request that is due, if any. Chooses another endpoint if the current one is
    // silent.
    [[nodiscard]] std::optional<planned_request> next_request(clock::time_point now);

    // Handles a reply that arrived from `from`; empty: from the current endpoint.
    [[nodiscard]] reply_use receive(const pb::follow_reply& reply, std::string_view from,
                                    clock::time_point now);

    // Follows a relay while the leader asks for it: the preferred one, unless it has lost the
    // leader. Called for replies whose use is `all`.
    void apply_relays(const pb::follow_reply& reply, clock::time_point now);

    // Sends the next request soon.
    void hasten() noexcept { sends_soon_ = true; }

    // Tells whether the control instances have a document or directory that this instance lacks.
    void set_is_behind(bool is_behind) noexcept { is_behind_ = is_behind; }

    [[nodiscard]] const std::string& endpoint() const noexcept { return endpoint_; }
    [[nodiscard]] const relay_chooser& relays() const noexcept { return relays_; }
    [[nodiscard]] clock::time_point last_reply_at() const noexcept { return last_reply_at_; }

    // True if the current endpoint has answered as leader or relay.
    [[nodiscard]] bool is_answered() const noexcept { return is_answered_; }

    // Returns the latest change of the endpoint once.
    [[nodiscard]] std::optional<endpoint_change> take_change();

    // Returns endpoints whose connections are no longer needed.
    [[nodiscard]] std::vector<std::string> take_unneeded();

  private:
    [[nodiscard]] clock::duration silence_limit(clock::time_point now) const;
    [[nodiscard]] std::string next_endpoint(clock::time_point now) const;
    [[nodiscard]] bool was_silent_recently(const std::string& endpoint,
                                           clock::time_point now) const;
    void follow_endpoint(const std::string& endpoint, std::string_view reason,
                         clock::time_point now);
    void handle_redirect(const pb::follow_reply& reply, clock::time_point now);
    void keep_only_current();
    [[nodiscard]] clock::duration jitter(std::uint64_t attempt, clock::duration bound) const;

    std::uint64_t seed_; // hash of the instance's name
    std::set<std::string> seeds_;
    std::set<std::string> members_;
    relay_chooser relays_;
    request_pacer pacer_;
    std::string endpoint_;
    std::string asked_endpoint_;         // that was last asked for large parts
    std::vector<std::string> connected_; // other endpoints with a connection, oldest first
    std::vector<std::string> unneeded_;
    std::map<std::string, clock::time_point, std::less<>> silent_at_; // by endpoint left as silent
    std::optional<endpoint_change> change_;
    clock::time_point sent_at_{};
    clock::time_point not_before_{}; // the next request, while no leader is known
    clock::time_point last_reply_at_{};
    clock::time_point endpoint_chosen_at_{};
    clock::time_point redirected_at_{};
    clock::time_point not_serving_since_{}; // when a relay first redirected; zero: it did not
    std::uint64_t sequence_ = 0;
    std::uint64_t last_reply_sequence_ = 0;
    std::uint64_t last_term_ = 0;    // of a leader or relay that replied
    std::uint32_t switches_ = 0;     // away from silent endpoints, since the last reply
    std::uint32_t stale_relays_ = 0; // left in a row because they had lost the leader
    bool is_answered_ = false;
    bool is_behind_ = true;
    bool sends_soon_ = false;
};

} // namespace primrosehead::pooler
