#include "failover_choice.h"
#include "failover_phases.h"

#include <primrosehead/failover.h>

#include <algorithm>
#include <map>
#include <utility>

namespace primrosehead::failover {

namespace {

// A report that was under way while its server was promoted still tells the old role.
constexpr clock::duration role_report_delay{300};

// A planned change that no other member was ready for is tried again after this.
constexpr clock::duration switchover_retry_delay{5'000};

// An order without an answer for so many retries is given up: a higher term is tried.
constexpr int max_promotion_attempts = 5;

struct member {
    member_report report;
    std::optional<log_position> fenced_at; // in the term that the plan works for
};

} // namespace

std::uint32_t fence_quorum(std::uint32_t group_size) noexcept
{
    constexpr std::uint32_t copies_of_acknowledged = 2;
    const std::uint32_t majority = group_size / 2 + 1;
    const std::uint32_t rest =
        group_size < copies_of_acknowledged ? 0 : group_size - copies_of_acknowledged;
    return std::max(majority, rest + 1);
}

struct planner::implementation {
    database_name database;
    planner_settings settings;
    clock::time_point started_at;
    phase_machine phases;
    std::map<server_name, member> members;
    bool switchover_requested = false;
    bool is_switchover = false; // the change under way was asked for

    std::uint64_t target_term = 0;
    std::uint64_t highest_seen_term = 0;
    std::optional<server_name> old_primary;
    std::optional<server_name> promoted_server;
    std::optional<std::uint64_t> start_index;
    clock::time_point phase_started_at;
    clock::time_point last_attempt_at;
    int attempts = 0;
    std::optional<clock::time_point> last_change_at; // when the last change ended
    clock::time_point next_switchover_at;

    [[nodiscard]] bool is_live(const member& one, clock::time_point now) const
    {
        return now - one.report.reported_at < settings.failure_after;
    }

    [[nodiscard]] std::uint32_t live_member_count(clock::time_point now) const
    {
        return static_cast<std::uint32_t>(std::ranges::count_if(
            members, [&](const auto& entry) { return is_live(entry.second, now); }));
    }

    [[nodiscard]] const member* find_member(const std::optional<server_name>& server) const
    {
        if (!server) {
            return nullptr;
        }
        const auto found = members.find(*server);
        return found == members.end() ? nullptr : &found->second;
    }

    [[nodiscard]] std::uint32_t quorum() const { return fence_quorum(settings.group_size); }

    [[nodiscard]] bool is_new_group_complete(clock::time_point now) const
    {
        return live_member_count(now) >= settings.group_size ||
               now - started_at >= settings.bootstrap_timeout;
    }

    // A silent primary is replaced only when enough other members are heard to fence it off.
    [[nodiscard]] bool is_primary_down(const member* primary, clock::time_point now) const
    {
        if (now - started_at < settings.failure_after) {
            return false;
        }
        return primary == nullptr || !is_live(*primary, now);
    }

    // The primary of the state answers, but as something else: it lost its promotion.
    [[nodiscard]] bool is_primary_demoted(const member* primary, const group_view& group) const
    {
        if (primary == nullptr) {
            return false;
        }
        const clock::time_point settled = last_change_at.value_or(started_at) + role_report_delay;
        if (primary->report.reported_at < settled) {
            return false;
        }
        const bool is_older = primary->report.term != 0 && primary->report.term < group.term;
        return !primary->report.is_primary || is_older;
    }

    [[nodiscard]] bool has_successor(const member* primary, clock::time_point now) const
    {
        return std::ranges::any_of(members, [&](const auto& entry) {
            const member& one = entry.second;
            return &one != primary && !one.report.is_leaving && is_live(one, now);
        });
    }

    [[nodiscard]] bool has_failed(const group_view& group, clock::time_point now) const
    {
        if (!group.primary) {
            return group.term > 0 || is_new_group_complete(now);
        }
        const member* primary = find_member(group.primary);
        return is_primary_down(primary, now) || is_primary_demoted(primary, group);
    }

    [[nodiscard]] bool needs_switchover(const group_view& group, clock::time_point now) const
    {
        const member* primary = find_member(group.primary);
        if (primary == nullptr || now < next_switchover_at || !has_successor(primary, now)) {
            return false;
        }
        return switchover_requested || primary->report.is_leaving;
    }

    [[nodiscard]] bool is_cooldown_over(clock::time_point now) const
    {
        return !last_change_at || now - *last_change_at >= settings.cooldown;
    }

    void enter_phase(clock::time_point now)
    {
        phase_started_at = now;
        attempts = 0;
    }

    // True when an order is due: at the start of a phase and at each retry.
    bool begin_attempt(clock::time_point now)
    {
        if (attempts > 0 && now - last_attempt_at < settings.retry_interval) {
            return false;
        }
        last_attempt_at = now;
        ++attempts;
        return true;
    }

    void set_target(const group_view& group)
    {
        target_term = std::max({group.term, highest_seen_term, target_term}) + 1;
        promoted_server.reset();
        start_index.reset();
        for (auto& [name, one] : members) {
            one.fenced_at.reset();
        }
    }

    void begin(const group_view& group, clock::time_point now)
    {
        old_primary = group.primary;
        switchover_requested = false;
        set_target(group);
        phases.started();
        enter_phase(now);
    }

    void restart(const group_view& group, clock::time_point now)
    {
        set_target(group);
        phases.restarted();
        enter_phase(now);
    }

    void finish(clock::time_point now)
    {
        last_change_at = now;
        if (is_switchover && promoted_server == old_primary) {
            next_switchover_at = now + switchover_retry_delay;
        }
        phases.term_opened();
        enter_phase(now);
    }

    void advance_steady(const group_view& group, clock::time_point now)
    {
        if (!is_cooldown_over(now) || live_member_count(now) < quorum()) {
            return;
        }
        const bool failed = has_failed(group, now);
        if (failed || needs_switchover(group, now)) {
            is_switchover = !failed;
            begin(group, now);
        }
    }

    void advance_closing(const group_view& group, clock::time_point now, std::vector<order>& orders)
    {
        if (group.term == target_term && !group.primary) {
            phases.term_closed();
            enter_phase(now);
        }
        else if (begin_attempt(now)) {
            orders.emplace_back(close_term{target_term});
        }
    }

    // Before a planned change a successor gets what the old primary has; it can't once it is
    // fenced.
    [[nodiscard]] bool has_caught_up(clock::time_point now) const
    {
        const member* primary = find_member(old_primary);
        if (!is_switchover || primary == nullptr ||
            now - phase_started_at >= settings.catch_up_timeout) {
            return true;
        }
        return std::ranges::any_of(members, [&](const auto& entry) {
            const member_report& one = entry.second.report;
            return one.server != *old_primary && !one.is_leaving &&
                   one.received >= primary->report.received &&
                   primary->report.reported_at > phase_started_at &&
                   one.reported_at > phase_started_at;
        });
    }

    void advance_waiting(bool old_leases_ended, clock::time_point now)
    {
        if (old_leases_ended && has_caught_up(now)) {
            phases.leases_ended();
            enter_phase(now);
        }
    }

    [[nodiscard]] bool is_fencing_done(clock::time_point now) const
    {
        std::uint32_t fenced_members = 0;
        bool all_live_fenced = true;
        for (const auto& [name, one] : members) {
            fenced_members += one.fenced_at ? 1U : 0U;
            all_live_fenced = all_live_fenced && (one.fenced_at || !is_live(one, now));
        }
        const bool grace_over = now - phase_started_at >= settings.fence_grace;
        return fenced_members >= quorum() && (all_live_fenced || grace_over);
    }

    void choose_successor(const group_view& group)
    {
        std::vector<candidate> candidates;
        for (const auto& [name, one] : members) {
            if (one.fenced_at) {
                const bool was_primary = old_primary == name;
                candidates.push_back({name, *one.fenced_at, one.report.is_leaving, was_primary});
            }
        }
        promoted_server = settings.choose_highest
                              ? choose_candidate(candidates, group.term_starts).server
                              : candidates.front().server;
    }

    void advance_fencing(const group_view& group, clock::time_point now, std::vector<order>& orders)
    {
        if (is_fencing_done(now)) {
            choose_successor(group);
            phases.members_fenced();
            enter_phase(now);
            return;
        }
        if (!begin_attempt(now)) {
            return;
        }
        for (const auto& [name, one] : members) {
            if (!one.fenced_at && is_live(one, now)) {
                orders.emplace_back(fence_server{name, one.report.url, target_term});
            }
        }
    }

    void advance_promoting(const group_view& group, clock::time_point now,
                           std::vector<order>& orders)
    {
        if (start_index) {
            phases.server_promoted();
            enter_phase(now);
            return;
        }
        if (!begin_attempt(now)) {
            return;
        }
        // It may have been promoted without the answer coming back: nobody else may get this term.
        const bool is_gone = attempts > 1 && !is_live(*find_member(promoted_server), now);
        if (is_gone || attempts > max_promotion_attempts) {
            restart(group, now);
            return;
        }
        const std::string& url = members.at(*promoted_server).report.url;
        orders.emplace_back(promote_server{*promoted_server, url, target_term});
    }

    void advance_opening(const group_view& group, clock::time_point now, std::vector<order>& orders)
    {
        if (group.term == target_term && group.primary) {
            finish(now);
        }
        else if (begin_attempt(now)) {
            const std::string& url = members.at(*promoted_server).report.url;
            orders.emplace_back(open_term{*promoted_server, url, target_term, *start_index});
        }
    }

    void advance_phase(const group_view& group, bool old_leases_ended, clock::time_point now,
                       std::vector<order>& orders)
    {
        switch (phases.current()) {
        case phase::steady:
            advance_steady(group, now);
            break;
        case phase::closing:
            advance_closing(group, now, orders);
            break;
        case phase::waiting:
            advance_waiting(old_leases_ended, now);
            break;
        case phase::fencing:
            advance_fencing(group, now, orders);
            break;
        case phase::promoting:
            advance_promoting(group, now, orders);
            break;
        case phase::opening:
            advance_opening(group, now, orders);
            break;
        }
    }

    // Goes on through every phase that is over at once.
    void advance_phases(const group_view& group, bool old_leases_ended, clock::time_point now,
                        std::vector<order>& orders)
    {
        auto before = phases.current();
        advance_phase(group, old_leases_ended, now, orders);
        while (phases.current() != before) {
            before = phases.current();
            advance_phase(group, old_leases_ended, now, orders);
        }
    }

    [[nodiscard]] bool is_superseded(const group_view& group) const
    {
        return phases.current() != phase::steady &&
               (group.term > target_term || highest_seen_term > target_term);
    }
};

planner::planner(database_name database, planner_settings settings, clock::time_point now)
    : body_(std::make_unique<implementation>())
{
    body_->database = std::move(database);
    body_->settings = settings;
    body_->started_at = now;
}

planner::~planner() = default;
planner::planner(planner&&) noexcept = default;
planner& planner::operator=(planner&&) noexcept = default;

void planner::on_report(const member_report& report)
{
    member& one = body_->members[report.server];
    if (report.reported_at >= one.report.reported_at) {
        one.report = report;
    }
    body_->highest_seen_term = std::max(body_->highest_seen_term, report.term);
}

void planner::on_fenced(const server_name& server, std::uint64_t term, log_position received)
{
    const auto found = body_->members.find(server);
    if (found != body_->members.end() && term == body_->target_term) {
        found->second.fenced_at = received;
    }
}

void planner::on_promoted(const server_name& server, std::uint64_t term, std::uint64_t start_index)
{
    if (term == body_->target_term && body_->promoted_server == server) {
        body_->start_index = start_index;
    }
}

void planner::on_refused(const server_name& server, std::uint64_t seen_term)
{
    body_->highest_seen_term = std::max(body_->highest_seen_term, seen_term);
    // A server that refuses its own promotion forgot its promise: a higher term fences it anew.
    if (body_->phases.current() == phase::promoting && body_->promoted_server == server) {
        body_->highest_seen_term = std::max(body_->highest_seen_term, body_->target_term + 1);
    }
}

void planner::request_switchover()
{
    body_->switchover_requested = true;
}

std::vector<order> planner::advance(const group_view& group, bool old_leases_ended,
                                    clock::time_point now)
{
    std::vector<order> orders;
    if (body_->is_superseded(group)) {
        body_->restart(group, now);
    }
    body_->advance_phases(group, old_leases_ended, now, orders);
    return orders;
}

std::string_view planner::phase() const noexcept
{
    return to_string(body_->phases.current());
}

} // namespace primrosehead::failover
