#include "promotion_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace primrosehead::promotion {

namespace {

// Interval between checks for replicas that are still paused; also the delay after a promotion.
constexpr clock::duration resume_check_interval{1'000};

} // namespace

planner::planner(std::string group, std::string seen_primary, planner_settings settings,
                 clock::time_point now)
    : group_(std::move(group)), settings_(settings), primary_(std::move(seen_primary)),
      reported_primary_(primary_), primary_confirmed_at_(now), steady_since_(now),
      phase_started_at_(now)
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
    if (position.term < primary_position_.term) {
        return;
    }
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

void planner::on_not_primary(std::string_view server, clock::time_point /*now*/)
{
    state_of(server).failing_since.reset();
    if (primary_ == server) {
        primary_.clear();
    }
}

void planner::on_unreachable(std::string_view server, bool refused, clock::time_point now)
{
    server_state& state = state_of(server);
    if (!state.failing_since) {
        state.failing_since = now;
    }
    state.refused = refused;
}

void planner::on_status(std::string_view server, const server_status& status,
                        clock::time_point sent_at, clock::time_point /*now*/)
{
    server_state& state = state_of(server);
    state.failing_since.reset();
    state.status = status;
    state.status_sent_at = std::max(state.status_sent_at, sent_at);
    latest_term_ = std::max(latest_term_, status.term);
}

void planner::on_paused(std::string_view server, const server_status& status, clock::time_point now)
{
    if (phase_ != phase_kind::fencing) {
        return;
    }
    on_status(server, status, now, now);
    server_state& state = state_of(server);
    if (!status.is_primary && status.term_held != 0) {
        state.paused_position = status.received;
    }
}

void planner::on_demoted(std::string_view server, const server_status& status,
                         clock::time_point now)
{
    if (phase_ != phase_kind::fencing) {
        return;
    }
    on_status(server, status, now, now);
    if (!status.is_primary) {
        state_of(server).demoted_position = status.received;
    }
}

void planner::on_promotion_answer(std::string_view server, std::uint64_t number,
                                  promotion_outcome outcome, clock::time_point /*now*/)
{
    if (number != decision_number_ || server != candidate_) {
        return;
    }
    request_accepted_ = request_accepted_ || outcome == promotion_outcome::accepted;
    request_refused_ = outcome == promotion_outcome::refused;
}

void planner::on_primary_report(std::string_view instance, const primary_report& report,
                                clock::time_point now)
{
    instances_.insert_or_assign(std::string(instance), instance_state{report, now});
}

// A member that left or restarted without its log may have been the only replica with some commits.
void planner::update_members(const std::vector<member>& members)
{
    const auto has_left = [&](const member& previous) {
        return std::none_of(members.begin(), members.end(), [&](const member& each) {
            return each.server == previous.server && each.born_ms == previous.born_ms;
        });
    };
    if (std::any_of(members_.begin(), members_.end(), has_left)) {
        member_left_at_ = std::max(primary_confirmed_at_ + clock::duration(1),
                                   member_left_at_.value_or(clock::time_point{}));
        required_position_ = std::max(required_position_, primary_position_);
    }
    members_ = members;
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

// Checks the members that claim to be the primary, or all members if none does.
void planner::check_for_primary(clock::time_point now)
{
    const bool has_claimant = std::any_of(members_.begin(), members_.end(),
                                          [](const member& each) { return each.claims_primary; });
    for (const member& each : members_) {
        if (each.claims_primary || !has_claimant) {
            check_role(each, settings_.check_interval, now);
        }
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

bool planner::has_successor(bool must_be_inside) const
{
    return std::any_of(members_.begin(), members_.end(), [&](const member& each) {
        const auto found = servers_.find(each.server);
        const bool answers = found != servers_.end() && !found->second.failing_since;
        return each.server != primary_ && !each.is_leaving && answers &&
               !(must_be_inside && each.is_outside_regions);
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
    if (now - steady_since_ < settings_.cooldown) {
        return {};
    }
    if (primary->is_leaving && has_successor(false)) {
        return "the primary is leaving";
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
        if (old_primary_.empty() && each.claims_primary) {
            old_primary_ = each.server;
        }
    }
    candidate_.clear();
    is_candidate_paused_ = false;
    is_reconfirmation_ = false;
    others_paused_since_.reset();
    request_accepted_ = false;
    request_refused_ = false;
    for (auto& [server, state] : servers_) {
        state.paused_position.reset();
        state.demoted_position.reset();
        state.status.reset();
        state.ordered_at = clock::time_point{};
        state.status_checked_at = clock::time_point{};
    }
    actions_.emplace_back(begin_decision{decision_number_, std::move(reason)});
}

// Resumes replicas that are still paused after a promotion, as a paused replica can keep commits
// from being acknowledged. This is safe because no earlier promotion can take effect once the
// latest decision is confirmed.
void planner::resume_paused_replicas(const decision_record& record, clock::time_point now)
{
    if (record.primary.empty() && record.number > 0) {
        return;
    }
    if (now - steady_since_ < resume_check_interval || primary_.empty()) {
        return;
    }
    for (const member& each : members_) {
        if (each.server == primary_) {
            continue;
        }
        server_state& state = state_of(each.server);
        if (!state.status) {
            request_status(each, resume_check_interval, now);
        }
        else if (state.status->term_held != 0 && now - state.ordered_at >= resume_check_interval) {
            state.ordered_at = now;
            state.status.reset();
            actions_.emplace_back(resume_replica{each.server, each.address, record.number});
        }
    }
}

void planner::advance_steady(const decision_record& record, clock::time_point now)
{
    if (record.number > 0 && record.primary.empty()) {
        // An earlier leader left a decision unfinished, and its promotion may still take effect.
        // Confirming the current primary with a higher number invalidates that request.
        check_for_primary(now);
        const bool has_primary = !primary_.empty() && primary_confirmed_at_ >= phase_started_at_;
        if (has_primary || now - phase_started_at_ >= settings_.primary_timeout) {
            start_decision(record, "an earlier decision was interrupted", now);
            is_reconfirmation_ = has_primary;
        }
        return;
    }
    if (primary_.empty()) {
        check_for_primary(now);
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
    }
    resume_paused_replicas(record, now);
}

// Chooses the most advanced replica that answers, preferring replicas that are not leaving, then
// those inside the allowed regions.
void planner::choose_candidate(clock::time_point now)
{
    const auto rank = [&](const member& each) {
        return std::tuple(!each.is_leaving, !each.is_outside_regions,
                          state_of(each.server).status->received);
    };
    const member* best = nullptr;
    bool all_answered = true;
    for (const member& each : members_) {
        if (each.server == old_primary_) {
            continue;
        }
        const server_state& state = state_of(each.server);
        if (!state.status || state.failing_since) {
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
    for (const member& each : members_) {
        server_state& state = state_of(each.server);
        const bool is_exempt =
            each.server == old_primary_ || (each.server == candidate_ && !is_candidate_paused_);
        if (is_exempt || state.paused_position ||
            now - state.ordered_at < settings_.order_retry_interval) {
            continue;
        }
        state.ordered_at = now;
        actions_.emplace_back(
            pause_replica{each.server, each.address, latest_term_ + 1, decision_number_});
    }
}

bool planner::are_others_paused() const
{
    return std::all_of(members_.begin(), members_.end(), [&](const member& each) {
        if (each.server == old_primary_ || each.server == candidate_) {
            return true;
        }
        const auto found = servers_.find(each.server);
        return found != servers_.end() && found->second.paused_position.has_value();
    });
}

bool planner::has_all_commits(std::string_view server) const
{
    const auto own = servers_.find(server);
    if (own == servers_.end() || !own->second.status ||
        own->second.status->received < required_position_) {
        return false;
    }
    return std::all_of(servers_.begin(), servers_.end(), [&](const auto& item) {
        const std::optional<log_position>& paused_position = item.second.paused_position;
        return !paused_position || own->second.status->received >= *paused_position;
    });
}

// Used if a replica can't be paused: a demoted primary acknowledges no further commits, and its log
// has all that it acknowledged.
void planner::demote_old_primary(clock::time_point now)
{
    const member* const old_primary = find_member(old_primary_);
    if (old_primary == nullptr) {
        return;
    }
    server_state& state = state_of(old_primary_);
    if (!state.demoted_position && now - state.ordered_at >= settings_.order_retry_interval) {
        state.ordered_at = now;
        actions_.emplace_back(
            demote_primary{old_primary_, old_primary->address, latest_term_ + 1, decision_number_});
    }
}

bool planner::may_promote(clock::time_point now)
{
    const server_state& old_primary = state_of(old_primary_);
    if (old_primary.demoted_position) {
        if (state_of(candidate_).status->received >= *old_primary.demoted_position) {
            return true;
        }
        if (now - phase_started_at_ >= settings_.confirmation_timeout &&
            find_member(old_primary_) != nullptr) {
            candidate_ = old_primary_; // no other server has all its commits
            return true;
        }
    }
    if (!are_others_paused()) {
        return false;
    }
    if (!others_paused_since_) {
        others_paused_since_ = now;
    }
    if (has_all_commits(candidate_)) {
        return true;
    }
    if (now - *others_paused_since_ >= settings_.catch_up_timeout) {
        is_candidate_paused_ = true; // with all paused, the most advanced one is chosen
    }
    return false;
}

// A primary that crashed may be back under another name and lead the same term: confirming it loses
// nothing. It can't be paused, so that no other member could be promoted beside it.
void planner::look_for_returned_primary(clock::time_point now)
{
    for (const member& each : members_) {
        const server_state& state = state_of(each.server);
        const bool says_primary =
            each.claims_primary || (state.status.has_value() && state.status->is_primary);
        if (each.server != old_primary_ && says_primary) {
            check_role(each, settings_.check_interval, now);
        }
    }
    const bool has_returned = primary_ != old_primary_ && find_member(primary_) != nullptr &&
                              primary_confirmed_at_ >= phase_started_at_;
    if (has_returned) {
        old_primary_ = primary_;
        is_reconfirmation_ = true;
    }
}

void planner::advance_fencing(clock::time_point now)
{
    look_for_returned_primary(now);
    if (is_reconfirmation_) {
        candidate_ = old_primary_;
        send_promotion_request(now);
        return;
    }
    for (const member& each : members_) {
        if (each.server != old_primary_) {
            request_status(each, settings_.order_retry_interval / 2, now);
        }
    }
    if (candidate_.empty() || find_member(candidate_) == nullptr) {
        candidate_.clear();
        choose_candidate(now);
        if (candidate_.empty()) {
            return;
        }
    }
    if (is_candidate_paused_ && state_of(candidate_).paused_position && are_others_paused()) {
        choose_candidate(now);
    }
    pause_other_replicas(now);
    if (!are_others_paused() && now - phase_started_at_ >= settings_.pause_timeout) {
        demote_old_primary(now);
    }
    if (may_promote(now)) {
        send_promotion_request(now);
    }
}

void planner::send_promotion_request(clock::time_point now)
{
    if (phase_ != phase_kind::calling) {
        phase_ = phase_kind::calling;
        phase_started_at_ = now;
    }
    requested_at_ = now;
    actions_.emplace_back(request_promotion{candidate_, decision_number_, evidence()});
}

promotion_evidence planner::evidence() const
{
    promotion_evidence basis;
    basis.primary = old_primary_;
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

void planner::advance_calling(const decision_record& record, clock::time_point now)
{
    const member* const candidate = find_member(candidate_);
    if (request_refused_ || candidate == nullptr) {
        start_decision(record, "the platform refused the promotion", now);
        return;
    }
    check_role(*candidate, settings_.order_retry_interval / 2, now);
    if (primary_ == candidate_ && primary_confirmed_at_ >= phase_started_at_) {
        actions_.emplace_back(
            finish_decision{candidate_, candidate->address, decision_number_, primary_position_});
        phase_ = phase_kind::confirming;
        phase_started_at_ = now;
        return;
    }
    const bool is_confirmation_overdue =
        request_accepted_ && now - phase_started_at_ >= settings_.confirmation_timeout;
    if (is_confirmation_overdue && state_of(candidate_).failing_since) {
        start_decision(record, "the promoted server does not answer", now);
        return;
    }
    const clock::duration retry_interval =
        request_accepted_ ? settings_.confirmation_timeout : settings_.request_retry_interval;
    if (now - requested_at_ >= retry_interval) {
        send_promotion_request(now);
    }
}

std::vector<action> planner::advance(const std::vector<member>& members,
                                     const decision_record& record, clock::time_point now)
{
    actions_.clear();
    update_members(members);
    switch (phase_) {
    case phase_kind::steady:
        advance_steady(record, now);
        break;
    case phase_kind::committing:
        if (record.number >= decision_number_ && record.primary.empty()) {
            decision_number_ = record.number;
            phase_ = phase_kind::fencing;
            phase_started_at_ = now;
            advance_fencing(now);
        }
        else if (now - phase_started_at_ >= settings_.request_retry_interval) {
            start_decision(record, "the decision was not committed in time", now);
        }
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
    if (primary_ != reported_primary_) {
        actions_.emplace_back(report_primary{primary_, reported_primary_, primary_position_});
        reported_primary_ = primary_;
    }
    return std::exchange(actions_, {});
}

} // namespace primrosehead::promotion
