// The part of promotion::planner that carries out one decision.
#include "promotion_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace primrosehead::promotion {

void planner::advance_committing(const decision_record& record, clock::time_point now)
{
    if (record.number >= decision_number_ && record.primary.empty()) {
        decision_number_ = record.number;
        phase_ = phase_kind::fencing;
        phase_started_at_ = now;
        advance_fencing(now);
    }
    else if (now - phase_started_at_ >= settings_.request_retry_interval) {
        start_decision(record, "the decision was not committed in time", now);
    }
}

// A request that confirms a server that no longer leads would promote it without the commits of the
// one that does.
bool planner::is_recently_confirmed(clock::time_point now) const
{
    return now - primary_confirmed_at_ <= settings_.check_interval + settings_.check_interval / 2;
}

// Returns the member that does not answer, if there is just one. Every acknowledged commit is on
// two members, so that this one need not be paused, as the primary.
std::string planner::only_silent_member() const
{
    std::string silent;
    for (const member& each : members_) {
        if (!is_failing(each.server)) {
            continue;
        }
        if (!silent.empty()) {
            return {};
        }
        silent = each.server;
    }
    return silent;
}

// Returns whether the server denies being the primary without having been demoted by this decision:
// it has to be paused as the others, and may be promoted.
bool planner::is_replica(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.status && !found->second.status->is_primary &&
           !found->second.demoted_position && !found->second.failing_since;
}

bool planner::is_failing(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.failing_since;
}

bool planner::answers(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.status && !found->second.failing_since;
}

bool planner::was_requested(std::string_view server) const
{
    return std::find(requested_.begin(), requested_.end(), server) != requested_.end();
}

// Returns the server whose promotion was requested last, unless it leads already or does not
// answer.
const member* planner::find_requested() const
{
    for (auto each = requested_.rbegin(); each != requested_.rend(); ++each) {
        const member* const requested = find_member(*each);
        if (requested != nullptr && *each != old_primary_ && answers(*each)) {
            return requested;
        }
    }
    return nullptr;
}

// Chooses a replica that answers. One whose promotion was requested before comes first, as that
// request may still take effect: pausing it would let commits be acknowledged without it. One that
// may carry out a late order to resume can't be paused reliably, so it comes next. With all
// replicas paused, it has to be one with all commits.
void planner::choose_candidate(clock::time_point now)
{
    const member* const requested = find_requested();
    const bool are_all_paused = candidate_ != old_primary_ && are_others_paused() &&
                                !candidate_.empty() && is_paused(candidate_);
    const auto rank = [&](const member& each) {
        return std::tuple(!are_all_paused || has_all_commits(each.server), &each == requested,
                          state_of(each.server).may_resume_late, !each.is_leaving,
                          !each.is_outside_regions, state_of(each.server).status->received);
    };
    const member* best = nullptr;
    bool all_answered = true;
    for (const member& each : members_) {
        if (each.server == old_primary_) {
            continue;
        }
        if (!answers(each.server)) {
            all_answered = false;
            continue;
        }
        if (best == nullptr || rank(each) > rank(*best)) {
            best = &each;
        }
    }
    if (best != nullptr && (all_answered || now - phase_started_at_ >= settings_.status_timeout)) {
        candidate_ = best->server;
    }
}

void planner::pause_other_replicas(clock::time_point now)
{
    // Once a promotion was requested, its own term makes a late pause void.
    const std::uint64_t term = (phase_ == phase_kind::calling ? fenced_term_ : latest_term_) + 1;
    for (const member& each : members_) {
        server_state& state = state_of(each.server);
        const bool is_awaited = was_requested(each.server) && !answers(each.server);
        const bool is_exempt = each.server == old_primary_ ||
                               ((each.server == candidate_ || is_awaited) && !is_candidate_paused_);
        if (is_exempt || state.paused_position ||
            now - state.ordered_at < settings_.order_retry_interval) {
            continue;
        }
        state.ordered_at = now;
        actions_.emplace_back(pause_replica{each.server, each.address, term, decision_number_});
    }
}

// A server that stopped answering may have restarted, and may answer a late order to resume.
bool planner::is_paused(std::string_view server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.paused_position &&
           found->second.is_pause_verified && !found->second.may_resume_late;
}

// Commits that were confirmed before the fence was applied are on a member: each has told its
// position since.
bool planner::are_others_verified() const
{
    return std::all_of(members_.begin(), members_.end(), [&](const member& each) {
        const auto found = servers_.find(each.server);
        return each.server == old_primary_ || each.server == candidate_ ||
               (found != servers_.end() && is_verified_since_fence(found->second));
    });
}

bool planner::are_others_paused() const
{
    return std::all_of(members_.begin(), members_.end(), [&](const member& each) {
        if (each.server == old_primary_ || each.server == candidate_) {
            return true;
        }
        return is_paused(each.server);
    });
}

bool planner::has_all_commits(std::string_view server) const
{
    const auto own = servers_.find(server);
    if (member_left_at_ || own == servers_.end() || !own->second.status ||
        own->second.status->received < required_position_) {
        return false;
    }
    return std::all_of(members_.begin(), members_.end(), [&](const member& each) {
        return own->second.status->received >= paused_position_of(each.server);
    });
}

// A demoted primary acknowledges no further commits, and its log has all that it acknowledged.
bool planner::has_log_of_demoted(std::string_view server) const
{
    const auto old_primary = servers_.find(old_primary_);
    if (old_primary == servers_.end() || !old_primary->second.demoted_position ||
        old_primary->second.demoted_term != latest_term_) {
        return false; // not demoted, or another server was promoted since
    }
    const auto own = servers_.find(server);
    return server == old_primary_ ||
           (own != servers_.end() && own->second.status &&
            own->second.status->received >= *old_primary->second.demoted_position);
}

// Returns whether the candidate has all acknowledged commits and none can be acknowledged without
// it.
bool planner::is_fenced() const
{
    return has_fence() &&
           (has_log_of_demoted(candidate_) ||
            (are_others_paused() && are_others_verified() && has_all_commits(candidate_)));
}

// Used if a replica can't be paused.
void planner::demote_old_primary(clock::time_point now)
{
    const member* const old_primary = find_member(old_primary_);
    if (old_primary == nullptr) {
        return;
    }
    server_state& state = state_of(old_primary_);
    const bool leads = state.status && state.status->is_primary;
    if (leads && !state.demoted_position &&
        now - state.ordered_at >= settings_.order_retry_interval) {
        state.ordered_at = now;
        actions_.emplace_back(
            demote_primary{old_primary_, old_primary->address, latest_term_ + 1, decision_number_});
    }
}

// Pauses the other replicas, again if they restarted or joined meanwhile.
void planner::maintain_fence(clock::time_point now)
{
    request_all_status(settings_.order_retry_interval / 2, now);
    pause_other_replicas(now);
    if (are_others_paused()) {
        not_paused_since_.reset();
    }
    else if (!not_paused_since_) {
        not_paused_since_ = now;
    }
    else if (now - *not_paused_since_ >= settings_.pause_timeout) {
        demote_old_primary(now);
    }
}

bool planner::may_promote(clock::time_point now)
{
    if (is_fenced()) {
        return true;
    }
    if (!has_fence()) {
        others_paused_since_.reset(); // the candidate goes on receiving
        return false;
    }
    if (state_of(old_primary_).demoted_position &&
        now - phase_started_at_ >= settings_.confirmation_timeout &&
        find_member(old_primary_) != nullptr) {
        candidate_ = old_primary_; // no other server has all its commits
        return has_fence();
    }
    if (!are_others_paused()) {
        others_paused_since_.reset();
        return false;
    }
    if (!others_paused_since_) {
        others_paused_since_ = now;
    }
    if (now - *others_paused_since_ >= settings_.catch_up_timeout) {
        is_candidate_paused_ = true; // with all paused, one with all commits is chosen
    }
    return false;
}

// Another server than the old primary may lead: one that crashed and is back under another name, or
// one that an earlier request promoted. Confirming it loses nothing. It can't be paused, so that no
// other member could be promoted beside it.
void planner::look_for_other_primary(clock::time_point now)
{
    for (const member& each : members_) {
        const server_state& state = state_of(each.server);
        const bool says_primary =
            each.claims_primary || (state.status.has_value() && state.status->is_primary);
        if (each.server != old_primary_ && (says_primary || was_requested(each.server))) {
            check_role(each, settings_.check_interval, now);
        }
    }
    if (primary_ != old_primary_ && find_member(primary_) != nullptr &&
        primary_confirmed_at_ >= phase_started_at_) {
        old_primary_ = primary_;
        is_reconfirmation_ = requested_.empty() || was_requested(primary_);
    }
}

// A decision that was interrupted is ended by confirming the primary if its promotion was requested
// last, or if no server whose promotion was requested answers.
bool planner::may_confirm_primary(clock::time_point now) const
{
    if (requested_.empty()) {
        return false;
    }
    // A request that the platform has accepted must have taken effect by then.
    const bool is_awaited =
        requested_.back() != old_primary_ &&
        (find_requested() != nullptr || now - phase_started_at_ < settings_.effect_timeout);
    return !is_awaited && primary_ == old_primary_ && may_keep_primary();
}

// Without a replica that has all commits, a primary that answers goes on, so that the replicas can
// be resumed and catch up.
bool planner::may_give_up(clock::time_point now) const
{
    return now - phase_started_at_ >= settings_.confirmation_timeout &&
           find_member(old_primary_) != nullptr && is_recently_confirmed(now) &&
           !has_log_of_demoted(old_primary_);
}

void planner::advance_fencing(clock::time_point now)
{
    look_for_other_primary(now);
    if (primary_ != old_primary_ && is_replica(old_primary_)) {
        old_primary_.clear();
    }
    if (old_primary_.empty()) {
        old_primary_ = only_silent_member();
    }
    if (const member* const old_primary = find_member(old_primary_)) {
        check_role(*old_primary, settings_.check_interval, now);
    }
    is_reconfirmation_ = primary_ == old_primary_ &&
                         (is_reconfirmation_ || may_confirm_primary(now) || may_give_up(now));
    if (is_reconfirmation_) {
        candidate_ = old_primary_;
        if (has_fence() && is_recently_confirmed(now)) {
            request_candidate(now);
        }
        return;
    }
    request_all_status(settings_.order_retry_interval / 2, now);
    const member* const requested = find_requested();
    const bool is_requested_back =
        requested != nullptr && requested->server != candidate_ && !is_candidate_paused_;
    if (find_member(candidate_) == nullptr || is_requested_back) {
        candidate_.clear();
        choose_candidate(now);
        if (candidate_.empty()) {
            return;
        }
    }
    if (is_candidate_paused_ && is_paused(candidate_) && are_others_paused()) {
        choose_candidate(now);
    }
    maintain_fence(now);
    if (may_promote(now)) {
        request_candidate(now);
    }
}

// Requests the promotion once it is recorded that it may take effect.
void planner::request_candidate(clock::time_point now)
{
    if (!requested_.empty() && requested_.back() == candidate_) {
        send_promotion_request(now);
    }
    else if (now - recorded_at_ >= settings_.order_retry_interval) {
        recorded_at_ = now;
        actions_.emplace_back(record_request{candidate_, decision_number_});
    }
}

void planner::send_promotion_request(clock::time_point now)
{
    if (phase_ != phase_kind::calling) {
        phase_ = phase_kind::calling;
        phase_started_at_ = now;
        fenced_term_ = latest_term_;
        is_candidate_paused_ = false; // it has all commits and goes on receiving if it still does
        not_paused_since_.reset();
    }
    requested_at_ = now;
    actions_.emplace_back(request_promotion{candidate_, decision_number_, evidence()});
}

promotion_evidence planner::evidence() const
{
    promotion_evidence basis;
    basis.primary = old_primary_;
    if (const member* const candidate = find_member(candidate_)) {
        basis.leaving_for = candidate->leaving_for;
    }
    for (const auto& [server, state] : servers_) {
        if (server == candidate_ && state.status) {
            basis.received = state.status->received;
        }
        if (server != candidate_ && state.paused_position) {
            basis.paused.emplace(server, *state.paused_position);
        }
        if (server == old_primary_) {
            basis.demoted = state.demoted_position;
        }
    }
    return basis;
}

// Returns why the decision has to be made again, empty if it does not.
std::string planner::restart_reason(clock::time_point now) const
{
    const bool is_primary_known =
        find_member(primary_) != nullptr && primary_confirmed_at_ >= phase_started_at_;
    const bool leads = is_primary_known && primary_ == candidate_;
    if (request_refused_ || find_member(candidate_) == nullptr) {
        return "the platform refused the promotion";
    }
    if (is_primary_known && primary_ != candidate_ && primary_ != old_primary_) {
        return "another server became the primary";
    }
    if (is_reconfirmation_ && find_member(candidate_)->is_leaving && has_complete_successor()) {
        return "the confirmed primary is leaving";
    }
    if (!leads && is_reconfirmation_ &&
        now - std::max(primary_confirmed_at_, phase_started_at_) >= settings_.primary_timeout) {
        return "the confirmed server is not the primary";
    }
    const clock::time_point effective_from = request_accepted_at_.value_or(phase_started_at_);
    const bool is_overdue =
        (leads || request_accepted_at_) && now - effective_from >= settings_.confirmation_timeout;
    if (is_overdue && is_failing(candidate_)) {
        return "the promoted server does not answer";
    }
    if (!leads && latest_term_ != fenced_term_ &&
        now - phase_started_at_ >= settings_.confirmation_timeout) {
        return "another server was promoted";
    }
    if (not_fenced_since_ && now - *not_fenced_since_ >= settings_.pause_timeout) {
        return "the candidate may lack commits";
    }
    return {};
}

// The replicas may be resumed at once unless a server whose promotion was requested before, and
// accepted, may still become the primary.
void planner::finish(clock::time_point now)
{
    const bool was_other_requested =
        std::any_of(requested_.begin(), requested_.end(), [&](const std::string& each) {
            return each != candidate_ && find_member(each) != nullptr;
        });
    resume_from_ = was_other_requested ? now + settings_.resume_delay : now;
    actions_.emplace_back(finish_decision{candidate_, find_member(candidate_)->address,
                                          decision_number_, primary_position_});
    phase_ = phase_kind::confirming;
    phase_started_at_ = now;
}

void planner::advance_calling(const decision_record& record, clock::time_point now)
{
    for (const member& each : members_) {
        if (each.server == candidate_ || each.claims_primary) {
            check_role(each, settings_.order_retry_interval / 2, now);
        }
    }
    const member* const candidate = find_member(candidate_);
    if (is_reconfirmation_ && candidate != nullptr && candidate->is_leaving) {
        request_all_status(settings_.check_interval, now);
    }
    const bool leads = primary_ == candidate_ && primary_confirmed_at_ >= phase_started_at_;
    const bool leads_now = leads && is_recently_confirmed(now);
    // A promotion that took effect has ended all pauses.
    const bool needs_fence = !leads && !is_reconfirmation_ && latest_term_ == fenced_term_;
    if (needs_fence) {
        maintain_fence(now);
    }
    if (!needs_fence || is_fenced()) {
        not_fenced_since_.reset();
    }
    else if (!not_fenced_since_ && are_others_paused()) {
        not_fenced_since_ = now;
    }
    if (const std::string reason = restart_reason(now); !reason.empty()) {
        start_decision(record, reason, now);
        return;
    }
    if (request_accepted_at_ && leads && primary_confirmed_at_ >= *request_accepted_at_) {
        finish(now);
        return;
    }
    const clock::duration retry_interval =
        request_accepted_at_ ? settings_.confirmation_timeout : settings_.request_retry_interval;
    const bool may_repeat = leads_now || (needs_fence && is_fenced());
    if (may_repeat && now - requested_at_ >= retry_interval) {
        send_promotion_request(now);
    }
}

} // namespace primrosehead::promotion
