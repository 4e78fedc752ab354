#include "promotion_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace primrosehead::promotion {

namespace {

constexpr clock::duration resume_check_interval{1'000};
// A replica may carry out a late order to pause at any time.
constexpr clock::duration replica_status_interval{5'000};
// For how long a promotion waits for a silent primary that may be the only server with commits of a
// replica that left.
constexpr clock::duration departure_period{15'000};
// For how long servers may still carry out orders of earlier decisions.
constexpr clock::duration late_order_period{15'000};

} // namespace

planner::planner(std::string group, recorded_group recorded, planner_settings settings,
                 clock::time_point now)
    : group_(std::move(group)), settings_(settings), members_(std::move(recorded.members)),
      primary_(std::move(recorded.primary)), reported_primary_(primary_),
      primary_confirmed_at_(now), steady_since_(now), resume_from_(now + settings_.resume_delay),
      required_position_(recorded.required), phase_started_at_(now + clock::duration(1))
{
}

planner::server_state& planner::state_of(std::string_view server)
{
    const auto found = servers_.find(server);
    return found != servers_.end()
               ? found->second
               : servers_.emplace(std::string(server), server_state{}).first->second;
}

const member* planner::find_member(std::string_view server) const
{
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [&](const member& each) { return each.server == server; });
    return found == members_.end() ? nullptr : &*found;
}

std::string_view planner::phase() const noexcept
{
    switch (phase_) {
    case phase_kind::steady:
        return "steady";
    case phase_kind::committing:
        return "committing";
    case phase_kind::fencing:
        return "fencing";
    case phase_kind::calling:
        return "calling";
    case phase_kind::confirming:
        return "confirming";
    }
    return "unknown";
}

void planner::on_primary(std::string_view server, log_position position, clock::time_point sent_at,
                         clock::time_point now)
{
    state_of(server).failing_since.reset();
    latest_term_ = std::max(latest_term_, position.term);
    const bool is_late = server != primary_ && position.term == primary_position_.term &&
                         !primary_.empty() && sent_at <= primary_confirmed_at_;
    if (position.term < primary_position_.term || is_late) {
        return;
    }
    primary_lost_at_.reset();
    earlier_position_ = primary_ == server ? primary_position_ : position;
    if (primary_ != server) {
        primary_ = server;
        steady_since_ = now;
    }
    primary_confirmed_at_ = std::max(primary_confirmed_at_, sent_at);
    primary_position_ = std::max(primary_position_, position);
    if (member_left_at_ && sent_at >= *member_left_at_) {
        required_position_ = std::max(required_position_, primary_position_);
        member_left_at_.reset();
    }
}

void planner::on_not_primary(std::string_view server, clock::time_point now)
{
    state_of(server).failing_since.reset();
    if (primary_ == server) {
        primary_.clear();
        primary_lost_at_ = now;
    }
}

void planner::on_unreachable(std::string_view server, bool refused, clock::time_point now)
{
    server_state& state = state_of(server);
    if (!state.failing_since) {
        state.failing_since = now;
    }
    state.refused = refused;
    state.is_pause_verified = false;
}

void planner::on_status(std::string_view server, const server_status& status,
                        clock::time_point sent_at, clock::time_point /*now*/)
{
    server_state& state = state_of(server);
    state.failing_since.reset();
    latest_term_ = std::max(latest_term_, status.term);
    if (state.status && sent_at < state.status_sent_at) {
        return;
    }
    if (status.term == state.reported_term && status.received < state.reported) {
        note_departure(state.reported); // it restarted without its log
    }
    state.reported = status.received;
    state.reported_term = status.term;
    state.status = status;
    state.status_sent_at = sent_at;
    if (sent_at <= state.obeyed_at) {
        return;
    }
    // A restart ends a pause, and perhaps a demotion.
    if (state.paused_position) {
        if (status.term_held == 0) {
            state.paused_position.reset();
        }
        else {
            state.paused_position = std::max(*state.paused_position, status.received);
            state.is_pause_verified = true;
        }
    }
    if (state.demoted_position && status.is_primary) {
        state.demoted_position.reset();
    }
}

void planner::on_paused(std::string_view server, std::uint64_t number, const server_status& status,
                        clock::time_point now)
{
    if (!is_fencing() || number != decision_number_) {
        return;
    }
    on_status(server, status, now, now);
    server_state& state = state_of(server);
    if (!status.is_primary && status.term_held != 0) {
        state.paused_position = status.received;
        state.is_pause_verified = true;
        state.obeyed_at = now;
    }
}

void planner::on_resumed(std::string_view server, const server_status& status,
                         clock::time_point now)
{
    server_state& state = state_of(server);
    state.resume_sent_at.reset();
    on_status(server, status, now, now);
    if (status.term_held == 0) {
        state.paused_position.reset(); // also of a later decision
    }
}

void planner::on_demoted(std::string_view server, std::uint64_t number, const server_status& status,
                         clock::time_point now)
{
    if (!is_fencing() || number != decision_number_) {
        return;
    }
    server_state& state = state_of(server);
    const bool has_led = state.status && state.status->is_primary;
    const std::uint64_t led_term = has_led ? state.status->term : 0;
    on_status(server, status, now, now);
    // A replica of another primary, which acknowledges commits, answers in a later term.
    if (!status.is_primary && has_led && status.term == led_term) {
        state.demoted_position = status.received;
        state.demoted_term = status.term;
        state.obeyed_at = now;
    }
}

void planner::on_promotion_answer(std::string_view server, std::uint64_t number,
                                  promotion_outcome outcome, clock::time_point now)
{
    if (number != decision_number_ || server != candidate_) {
        return;
    }
    if (outcome == promotion_outcome::accepted && !request_accepted_at_) {
        request_accepted_at_ = now;
    }
    request_refused_ = outcome == promotion_outcome::refused;
}

void planner::on_fence_applied(std::uint64_t serial, log_position confirmed, clock::time_point now)
{
    if (!fence_ || fence_->serial != serial || fence_applied_at_) {
        return;
    }
    fence_applied_at_ = now;
    required_position_ = std::max(required_position_, confirmed);
    // What was confirmed before is on a server that is paused from now on, or known by then.
    for (auto& [server, state] : servers_) {
        state.status_checked_at = clock::time_point{};
    }
}

// Returns the replica that stays and has received most, the one of the fence if it still answers;
// empty if none answers.
std::string planner::staying_replica() const
{
    const member* best = nullptr;
    log_position best_received;
    for (const member& each : members_) {
        const server_state* const state = find_successor(each);
        if (state == nullptr) {
            continue;
        }
        if (fence_ && fence_->candidates.contains(each.server)) {
            return each.server;
        }
        if (best == nullptr || state->reported > best_received) {
            best = &each;
            best_received = state->reported;
        }
    }
    return best == nullptr ? std::string() : best->server;
}

// Keeps the fence as long as a request may take effect or the primary is leaving, and has it
// applied anew if the candidates change.
void planner::update_fence(clock::time_point now)
{
    const bool is_deciding = is_fencing() || phase_ == phase_kind::confirming;
    const bool has_candidate = is_deciding && !candidate_.empty();
    std::set<std::string, std::less<>> candidates(requested_.begin(), requested_.end());
    if (has_candidate) {
        candidates.insert(candidate_);
    }
    // Commits that only leaving servers have are lost when these exit.
    const member* const leader = find_member(has_candidate ? candidate_ : primary_);
    if (leader != nullptr && leader->is_leaving) {
        if (std::string staying = staying_replica(); !staying.empty()) {
            candidates.insert(std::move(staying));
        }
    }
    if (candidates.empty() && fence_ && now < resume_from_) {
        return; // an earlier request may still take effect
    }
    if (candidates.empty()) {
        fence_.reset();
        fence_applied_at_.reset();
    }
    else if (!fence_ || fence_->candidates != candidates) {
        fence_ = wanted_fence{++fence_serial_, std::move(candidates)};
        fence_applied_at_.reset();
    }
}

bool planner::has_fence() const
{
    return fence_applied_at_ && fence_->candidates.contains(candidate_);
}

bool planner::is_verified_since_fence(const server_state& state) const
{
    return fence_applied_at_ &&
           std::max(state.status_sent_at, state.obeyed_at) >= *fence_applied_at_;
}

void planner::on_primary_report(std::string_view instance, const primary_report& report,
                                clock::time_point now)
{
    instances_.insert_or_assign(std::string(instance), instance_state{report, now});
}

// `had`: the position that the member is known to have received.
void planner::note_departure(log_position had)
{
    required_position_ = std::max({required_position_, primary_position_, had});
    member_left_at_ = std::max(primary_confirmed_at_ + clock::duration(1),
                               member_left_at_.value_or(clock::time_point{}));
}

// A member that left or restarted without its log may have been the only replica with some commits.
void planner::update_members(const std::vector<member>& members, clock::time_point now)
{
    for (const member& previous : members_) {
        const bool stays = std::any_of(members.begin(), members.end(), [&](const member& each) {
            return each.server == previous.server && each.born_ms == previous.born_ms;
        });
        if (stays) {
            continue;
        }
        required_position_ =
            std::max({required_position_, primary_position_, paused_position_of(previous.server)});
        // What a paused replica had is known.
        if (!is_paused(previous.server)) {
            member_left_at_ = std::max(primary_confirmed_at_ + clock::duration(1),
                                       member_left_at_.value_or(clock::time_point{}));
        }
    }
    if (now - primary_confirmed_at_ >= departure_period) {
        member_left_at_.reset();
        required_position_ = {};
    }
    for (const member& each : members) {
        const member* const previous = find_member(each.server);
        if (previous != nullptr && previous->born_ms != each.born_ms) {
            servers_.erase(each.server); // nothing that it told before the restart holds
        }
    }
    members_ = members;
}

log_position planner::paused_position_of(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? log_position{}
                                   : found->second.paused_position.value_or(log_position{});
}

void planner::check_role(const member& target, clock::duration interval, clock::time_point now)
{
    server_state& state = state_of(target.server);
    if (now - state.primary_checked_at >= interval) {
        state.primary_checked_at = now;
        actions_.emplace_back(check_primary{target.server, target.address});
    }
}

void planner::request_status(const member& target, clock::duration interval, clock::time_point now)
{
    server_state& state = state_of(target.server);
    if (now - state.status_checked_at >= interval) {
        state.status_checked_at = now;
        actions_.emplace_back(check_status{target.server, target.address});
    }
}

void planner::request_all_status(clock::duration interval, clock::time_point now)
{
    for (const member& each : members_) {
        request_status(each, interval, now);
    }
}

void planner::check_for_primary(clock::time_point now)
{
    for (const member& each : members_) {
        check_role(each, settings_.check_interval, now);
    }
}

bool planner::is_primary_down(clock::time_point now) const
{
    const auto found = servers_.find(primary_);
    if (found == servers_.end() || !found->second.failing_since) {
        return false;
    }
    for (const auto& [instance, state] : instances_) {
        const bool is_fresh = now - state.received_at < settings_.report_max_age;
        if (is_fresh && state.report.server == primary_ && state.report.reached_ago &&
            *state.report.reached_ago < settings_.report_max_age) {
            return false;
        }
    }
    const clock::duration failing = now - *found->second.failing_since;
    const bool is_refused = found->second.refused && failing >= settings_.refused_timeout;
    return is_refused || now - primary_confirmed_at_ >= settings_.primary_timeout;
}

// Returns whether more instances fail to use the primary than succeed; it may still be up.
bool planner::is_failing_for_instances(clock::time_point now) const
{
    std::size_t failing = 0;
    std::size_t served = 0;
    for (const auto& [instance, state] : instances_) {
        if (now - state.received_at >= settings_.report_max_age ||
            state.report.server != primary_) {
            continue;
        }
        if (state.report.failing_for >= settings_.failing_threshold) {
            failing += state.report.instances;
        }
        else if (state.report.reached_ago &&
                 *state.report.reached_ago < settings_.failing_threshold) {
            served += state.report.instances;
        }
    }
    const bool is_significant = failing * settings_.min_failing_divisor >= fleet_size_;
    return failing > served && is_significant;
}

// None unless the server is a replica that stays and does not fail to answer.
const planner::server_state* planner::find_successor(const member& each) const
{
    const auto found = servers_.find(each.server);
    const bool is_usable = each.server != primary_ && !each.is_leaving && found != servers_.end() &&
                           !found->second.failing_since;
    return is_usable ? &found->second : nullptr;
}

bool planner::has_successor(bool must_be_inside) const
{
    return std::any_of(members_.begin(), members_.end(), [&](const member& each) {
        return find_successor(each) != nullptr && !(must_be_inside && each.is_outside_regions);
    });
}

bool planner::has_complete_successor() const
{
    return std::any_of(members_.begin(), members_.end(), [&](const member& each) {
        const server_state* const state = find_successor(each);
        return state != nullptr && state->status && state->status->received >= earlier_position_;
    });
}

std::string planner::change_reason(clock::time_point now) const
{
    if (primary_.empty()) {
        return {};
    }
    const member* const primary = find_member(primary_);
    if (primary == nullptr) {
        return now - primary_confirmed_at_ >= settings_.primary_timeout ? "the primary is gone"
                                                                        : "";
    }
    if (is_primary_down(now)) {
        return "the primary does not answer";
    }
    // A primary that was promoted while it was leaving has little time left to hand over.
    const bool is_cooling = is_cooling_down(now);
    if (primary->is_leaving && (is_cooling ? has_complete_successor() : has_successor(false))) {
        return "the primary is leaving";
    }
    if (is_cooling) {
        return {};
    }
    if (primary->is_outside_regions && has_successor(true)) {
        return "the primary is outside the allowed regions";
    }
    return is_failing_for_instances(now) ? "most instances can't use the primary" : "";
}

void planner::start_decision(const decision_record& record, std::string reason,
                             clock::time_point now)
{
    decision_number_ = record.number + 1;
    phase_ = phase_kind::committing;
    phase_started_at_ = now;
    old_primary_ = primary_;
    for (const member& each : members_) {
        // One that answers is not the primary, and may be the only one with some commits.
        if (old_primary_.empty() && each.claims_primary && state_of(each.server).failing_since) {
            old_primary_ = each.server;
        }
    }
    candidate_.clear();
    is_candidate_paused_ = false;
    is_reconfirmation_ = false;
    others_paused_since_.reset();
    not_paused_since_.reset();
    not_fenced_since_.reset();
    recorded_at_ = clock::time_point{};
    request_accepted_at_.reset();
    request_refused_ = false;
    for (auto& [server, state] : servers_) {
        state.wants_resume = false;
        state.paused_position.reset();
        state.demoted_position.reset();
        state.status.reset();
        state.ordered_at = clock::time_point{};
        state.status_checked_at = clock::time_point{};
    }
    actions_.emplace_back(begin_decision{decision_number_, std::move(reason)});
}

// Resumes replicas that are paused though no decision is in progress, as a paused replica can keep
// commits from being acknowledged.
void planner::resume_paused_replicas(const decision_record& record, clock::time_point now)
{
    if (now < resume_from_ || primary_.empty()) {
        return;
    }
    const clock::duration interval =
        now - steady_since_ < late_order_period ? settings_.resume_delay : replica_status_interval;
    for (const member& each : members_) {
        if (each.server == primary_) {
            continue;
        }
        server_state& state = state_of(each.server);
        if (!state.status || now - state.status_sent_at >= interval) {
            request_status(each, resume_check_interval, now);
        }
        else if (state.status->term_held == 0) {
            state.wants_resume = false;
        }
        else if (std::find(record.resuming.begin(), record.resuming.end(), each.server) ==
                 record.resuming.end()) {
            state.wants_resume = true;
        }
        else if (now - state.ordered_at >= resume_check_interval) {
            state.wants_resume = false;
            state.ordered_at = now;
            if (state.resume_sent_at) {
                state.late_resume_until = *state.resume_sent_at + late_order_period;
            }
            state.resume_sent_at = now;
            state.status.reset();
            actions_.emplace_back(resume_replica{each.server, each.address, record.number});
        }
    }
}

// Returns whether there is no reason to replace the primary, which has answered as the primary
// since the phase began.
bool planner::may_keep_primary() const
{
    const member* const primary = find_member(primary_);
    return primary != nullptr && primary_confirmed_at_ >= phase_started_at_ &&
           !primary->is_leaving && !primary->is_outside_regions;
}

// An earlier leader left the decision unfinished. If it requested a promotion, the same one is
// requested again: another server could be promoted only together with the risk that the earlier
// request makes a server the primary that lacks commits.
void planner::continue_decision(const decision_record& record, clock::time_point now)
{
    check_for_primary(now);
    const bool has_primary = !primary_.empty() && primary_confirmed_at_ >= phase_started_at_;
    if (!record.requested.empty() || has_primary ||
        now - phase_started_at_ >= settings_.primary_timeout) {
        const bool keeps_primary = record.requested.empty() && may_keep_primary();
        start_decision(record, "an earlier decision was interrupted", now);
        is_reconfirmation_ = keeps_primary;
    }
}

void planner::advance_steady(const decision_record& record, clock::time_point now)
{
    if (record.number > 0 && record.primary.empty()) {
        continue_decision(record, now);
        return;
    }
    if (primary_.empty()) {
        check_for_primary(now);
        if (primary_lost_at_ && now - *primary_lost_at_ >= settings_.primary_timeout) {
            start_decision(record, "no server is the primary", now);
        }
        return;
    }
    const std::string reason = change_reason(now);
    if (!reason.empty()) {
        start_decision(record, reason, now);
        return;
    }
    const member* const primary = find_member(primary_);
    if (primary == nullptr) {
        check_for_primary(now);
        return;
    }
    check_role(*primary, settings_.check_interval, now);
    for (const member& each : members_) {
        if (each.server != primary_) {
            check_role(each,
                       each.claims_primary ? settings_.check_interval
                                           : settings_.replica_check_interval,
                       now);
        }
        if (each.server != primary_ && primary->is_leaving && is_cooling_down(now)) {
            request_status(each, settings_.check_interval, now);
        }
    }
    resume_paused_replicas(record, now);
}

// An earlier leader may have sent these orders until it was replaced.
void planner::adopt_resuming(const decision_record& record, clock::time_point now)
{
    if (!has_adopted_resuming_) {
        for (const std::string& server : record.resuming) {
            state_of(server).late_resume_until = now + late_order_period;
        }
    }
    has_adopted_resuming_ = true;
}

// Keeps the record of servers that may resume late, which has to be complete before an order is
// sent.
void planner::update_resuming(const decision_record& record, clock::time_point now)
{
    std::vector<std::string> wanted;
    for (auto& [server, state] : servers_) {
        state.may_resume_late =
            now < state.late_resume_until ||
            (state.resume_sent_at && now < *state.resume_sent_at + late_order_period);
        if (state.may_resume_late || state.wants_resume) {
            wanted.push_back(server);
        }
    }
    std::vector<std::string> recorded = record.resuming;
    std::sort(recorded.begin(), recorded.end());
    if (wanted != recorded && now - resuming_recorded_at_ >= settings_.order_retry_interval) {
        resuming_recorded_at_ = now;
        actions_.emplace_back(record_resuming{std::move(wanted)});
    }
}

std::vector<action> planner::advance(const std::vector<member>& members,
                                     const decision_record& record, clock::time_point now)
{
    actions_.clear();
    requested_ = record.requested;
    update_members(members, now);
    for (auto& [server, state] : servers_) {
        const clock::time_point verified_at = std::max(state.status_sent_at, state.obeyed_at);
        state.is_pause_verified =
            state.is_pause_verified && now - verified_at < settings_.pause_timeout;
    }
    adopt_resuming(record, now);
    update_resuming(record, now);
    switch (phase_) {
    case phase_kind::steady:
        advance_steady(record, now);
        break;
    case phase_kind::committing:
        advance_committing(record, now);
        break;
    case phase_kind::fencing:
        advance_fencing(now);
        break;
    case phase_kind::calling:
        advance_calling(record, now);
        break;
    case phase_kind::confirming:
        if (record.number == decision_number_ && !record.primary.empty()) {
            phase_ = phase_kind::steady;
            steady_since_ = now;
            for (auto& [server, state] : servers_) {
                state.status.reset();
            }
        }
        else if (now - phase_started_at_ >= settings_.request_retry_interval) {
            phase_ = phase_kind::calling; // the commit was lost in a leader change: send it again
        }
        break;
    }
    update_fence(now);
    if (primary_ != reported_primary_) {
        actions_.emplace_back(report_primary{primary_, reported_primary_, primary_position_});
        reported_primary_ = primary_;
    }
    return std::exchange(actions_, {});
}

} // namespace primrosehead::promotion
