// What the leader of the cell instances does for pooler instances: confirms the newest document,
// tells the directory, splits limits, and watches over each group's primary. Pure.
#pragma once

#include "cell_directory.h"
#include "cell_share_allocator.h"
#include "cell_token_buckets.h"
#include "document.h"
#include "primrosehead.pb.h"
#include "promotion_planner.h"

#include <primrosehead/clock.h>
#include <primrosehead/state.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::cell {

// The name under which the operators' document is published.
inline constexpr std::string_view document_name = "production";

struct service_settings {
    clock::duration instance_lease{3'500};        // an instance may act on its last answer so long
    clock::duration announcement_interval{1'200}; // of backend servers
};

struct group_action {
    std::string group;
    promotion::action action;
};

// Exists while its instance leads one term.
class service {
  public:
    service(service_settings settings, std::uint64_t term, clock::time_point elected_at);

    // Answers an instance. The caller fills in `control_endpoints`.
    [[nodiscard]] pb::follow_reply follow(const pb::follow_request& request,
                                          const state_machine& state, const directory& servers,
                                          clock::time_point now);

    // Grants operations' tokens to an instance.
    [[nodiscard]] pb::token_reply grant_tokens(const pb::token_request& request,
                                               clock::time_point now);

    // What has become due for the groups that `present` names.
    [[nodiscard]] std::vector<group_action> advance(const document* current,
                                                    const state_machine& state,
                                                    const directory& servers,
                                                    clock::time_point now);

    // Null when no document names the group.
    [[nodiscard]] promotion::planner* find_plan(std::string_view group);
    [[nodiscard]] const std::map<std::string, promotion::planner, std::less<>>&
    plans() const noexcept
    {
        return plans_;
    }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    // Instances to be registered in the replicated state before they get shares.
    [[nodiscard]] std::vector<pb::command> pending_registrations(const state_machine& state,
                                                                 clock::time_point now);

    [[nodiscard]] std::uint32_t live_instances(clock::time_point now) const;

  private:
    struct received_request {
        std::uint64_t sequence = 0;
        clock::time_point received_at;
    };
    struct instance_state {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        clock::time_point last_seen_at;
        clock::time_point registration_proposed_at{}; // proposed
        std::string failure_domain;
        std::deque<received_request> unconfirmed_requests; // whose answers are not confirmed yet
    };

    [[nodiscard]] bool is_directory_complete(clock::time_point now) const;
    [[nodiscard]] std::vector<promotion::member> members_of(const directory& servers,
                                                            const pb::group_record* stored,
                                                            std::string_view group,
                                                            clock::time_point now);
    void record_membership(const std::string& group, const std::vector<promotion::member>& members,
                           const pb::group_record* stored, clock::time_point now,
                           std::vector<group_action>& actions);
    void confirm_replies(const pb::follow_request& request, instance_state& from,
                         clock::time_point now);
    void update_central_limits(const document& current, clock::time_point now);
    void record_sightings(const pb::follow_request& request, clock::time_point now);

    service_settings settings_;
    std::uint64_t term_;
    clock::time_point elected_at_;
    share_allocator share_allocator_;
    token_buckets token_buckets_;
    std::uint64_t central_limits_version_ = 0; // of the document that set the contracts
    std::uint32_t central_ppm_ = 0;            // the leader's part, in millionths
    std::map<std::string, instance_state, std::less<>> instances_;
    std::map<std::string, promotion::planner, std::less<>> plans_;
    std::map<std::string, clock::time_point, std::less<>> membership_recorded_at_; // by group
    std::map<std::string, clock::time_point, std::less<>>
        unannounced_since_; // noted, but not announced
};

} // namespace primrosehead::cell
