#include "promotion_model.h"

#include "commit_fence.h"
#include "commit_fence_holders.h"
#include "promotion_model_group.h"
#include "promotion_model_instance.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace primrosehead::testing {

namespace {

using namespace primrosehead::promotion;

constexpr clock::duration step{10};
constexpr clock::duration unannounced_retention{15'000}; // of recorded members, as in cell::service
constexpr clock::duration membership_record_interval{300};
constexpr clock::duration follow_interval{200}; // of the instance
constexpr clock::duration message_delay{10};

bool is_order(const action& due)
{
    return std::holds_alternative<pause_replica>(due) ||
           std::holds_alternative<demote_primary>(due) ||
           std::holds_alternative<resume_replica>(due) ||
           std::holds_alternative<request_promotion>(due);
}

// The control leaders, one after another, and the record of decisions.
class model {
  public:
    explicit model(const promotion_model_settings& settings)
        : settings_(settings), group_(settings), instance_(group_)
    {
        start_leader();
    }

    promotion_model_result run()
    {
        const clock::time_point faults_end = group_.now() + settings_.run_time;
        const clock::time_point end = faults_end + settings_.quiet_time;
        promotion_model_result& result = group_.result();
        last_ack_ = healthy_since_ = group_.now();
        while (group_.now() < end) {
            group_.advance_clock(step);
            if (group_.now() <= faults_end) {
                group_.inject_server_faults();
                if (group_.chance(settings_.leader_change_chance)) {
                    start_leader();
                }
            }
            group_.run_due_events();
            if (!planner_ && group_.now() >= elect_at_) {
                start_leader();
            }
            if (std::optional<model_acknowledgement> made = group_.commit()) {
                instance_.receive(std::move(*made));
            }
            measure_gaps(result, instance_.advance(), faults_end);
            if (planner_) {
                advance_leader(group_.now() <= faults_end);
            }
            if (planner_) {
                update_fence();
            }
            if (group_.now() <= faults_end && group_.happens(settings_.instance_partition_chance)) {
                group_.count("instance cut off from control");
                instance_partitioned_until_ = group_.now() + group_.random_duration(300, 4'000);
            }
        }
        return result;
    }

  private:
    void measure_gaps(promotion_model_result& result, bool is_acknowledged,
                      clock::time_point faults_end)
    {
        const clock::time_point now = group_.now();
        if (is_acknowledged) {
            result.longest_commit_gap = std::max(result.longest_commit_gap, now - last_ack_);
        }
        if (!planner_ || !group_.is_healthy()) {
            healthy_since_ = now;
        }
        result.longest_needless_gap =
            std::max(result.longest_needless_gap, now - std::max(last_ack_, healthy_since_));
        if (now > faults_end) {
            result.longest_quiet_gap =
                std::max(result.longest_quiet_gap, now - std::max(last_ack_, faults_end));
        }
        if (is_acknowledged) {
            last_ack_ = now;
        }
    }

    [[nodiscard]] fence_map fences() const
    {
        const std::optional<wanted_fence>& wanted = planner_->fence();
        return wanted ? fence_map{{"kura", {{generation_, wanted->serial}, wanted->candidates}}}
                      : fence_map{};
    }

    [[nodiscard]] bool reaches_instance() const
    {
        return group_.now() >= instance_partitioned_until_;
    }

    void follow_leader()
    {
        followed_at_ = group_.now();
        if (!planner_ || !reaches_instance()) {
            return;
        }
        holders_->record({"instance", 1}, instance_.reports(), group_.now() + commit_lease);
        commit_gate::primaries known;
        if (!planner_->primary().empty()) {
            known["kura"] = planner_->primary();
        }
        group_.schedule(message_delay, [this, told = fences(), known, as_of = group_.now()] {
            instance_.record(told, known, as_of);
        });
    }

    void update_fence()
    {
        const fence_map wanted = fences();
        if (!wanted.empty() && reaches_instance() &&
            !holders_->take_unannounced(wanted, group_.now()).empty()) {
            group_.schedule(message_delay, [this, wanted] {
                instance_.add(wanted);
                follow_leader();
            });
        }
        if (group_.now() - followed_at_ >= follow_interval) {
            follow_leader();
        }
        const std::optional<wanted_fence>& fence = planner_->fence();
        if (fence && holders_->is_applied("kura", {generation_, fence->serial}, group_.now())) {
            planner_->on_fence_applied(fence->serial, holders_->confirmed("kura"), group_.now());
        }
    }

    // A leader that freezes sends the orders that it had prepared after another one was elected.
    void advance_leader(bool may_freeze)
    {
        std::vector<action> actions = planner_->advance(members(), shown_record(), group_.now());
        record_membership();
        const bool has_order = std::any_of(actions.begin(), actions.end(), is_order);
        if (!may_freeze || !has_order || !group_.happens(settings_.freeze_chance)) {
            for (const action& due : actions) {
                execute(due);
            }
            return;
        }
        group_.count("frozen leader");
        group_.note("the leader freezes");
        std::erase_if(actions, [](const action& due) { return !is_order(due); });
        for (const action& due : actions) {
            if (const auto* const prepared = std::get_if<request_promotion>(&due)) {
                group_.note_request_sent(prepared->server, prepared->number);
            }
        }
        group_.schedule(group_.random_duration(500, 10'000), [this, actions = std::move(actions)] {
            const std::uint64_t generation = std::exchange(answering_generation_, 0);
            group_.note("the frozen leader wakes up");
            for (const action& due : actions) {
                execute(due);
            }
            answering_generation_ = generation;
        });
        planner_.reset();
        answering_generation_ = ++generation_;
        elect_at_ = group_.now() + group_.random_duration(300, 1'500);
    }

    // Answers to an earlier leader are discarded.
    void schedule_answer(clock::duration delay, std::function<void(planner&)> deliver)
    {
        group_.schedule(delay,
                        [this, generation = answering_generation_, deliver = std::move(deliver)] {
                            if (generation == generation_ && planner_) {
                                deliver(*planner_);
                            }
                        });
    }

    void start_leader()
    {
        answering_generation_ = ++generation_;
        elected_at_ = group_.now();
        holders_.emplace(elected_at_ + commit_lease);
        group_.note("new leader");
        const bool is_recorded = record_.number > 0 || !recorded_members_.empty();
        recorded_group recorded;
        recorded.primary = is_recorded ? seen_primary_ : std::string();
        if (!settings_.defects.forgets_members) {
            recorded.members = recorded_members_;
            recorded.required = recorded_position_;
        }
        planner_.emplace("kura", std::move(recorded), planner_settings{}, group_.now());
    }

    [[nodiscard]] bool plays_membership() const
    {
        return settings_.leave_chance > 0 || settings_.join_chance > 0 ||
               settings_.rename_chance > 0 || settings_.empty_restart_chance > 0 ||
               settings_.birth_chance > 0;
    }

    std::vector<member> members()
    {
        std::vector<member> members;
        for (const model_server& each : group_.servers()) {
            if (group_.is_announced(each)) {
                members.push_back({each.name, each.address, each.is_leaving, group_.leads(each),
                                   each.announced_born_ms});
            }
        }
        if (settings_.defects.forgets_members ||
            group_.now() - elected_at_ >= unannounced_retention) {
            return members;
        }
        const std::vector<member> announced = members;
        for (const member& recorded : recorded_members_) {
            const bool is_known =
                std::any_of(announced.begin(), announced.end(), [&](const member& each) {
                    return each.server == recorded.server || each.address == recorded.address;
                });
            // One that the present leader has seen deregister is not recorded any more.
            if (!is_known && !was_announced_.contains({generation_, recorded.server})) {
                members.push_back(recorded);
                members.back().claims_primary = recorded.server == seen_primary_;
            }
        }
        for (const member& each : announced) {
            was_announced_.insert({generation_, each.server});
        }
        return members;
    }

    void record_membership()
    {
        if (!plays_membership() || planner_->phase() != "steady" || planner_->primary().empty() ||
            planner_->is_departure_open() ||
            group_.now() - membership_recorded_at_ < membership_record_interval) {
            return;
        }
        membership_recorded_at_ = group_.now();
        std::vector<member> seen = members();
        for (member& each : seen) {
            each.is_leaving = each.claims_primary = false;
        }
        group_.schedule(clock::duration(10),
                        [this, seen = std::move(seen), primary = planner_->primary(),
                         required = planner_->required_position()] {
                            recorded_members_ = seen;
                            recorded_position_ = required;
                            seen_primary_ = primary;
                        });
    }

    decision_record shown_record() const
    {
        decision_record shown = record_;
        if (settings_.defects.forgets_requested && generation_ != requested_generation_) {
            shown.requested.clear();
        }
        if (settings_.defects.forgets_resuming && generation_ != resuming_generation_) {
            shown.resuming.clear();
        }
        return shown;
    }

    void fail_later(const std::string& name, bool refused)
    {
        schedule_answer(clock::duration(400), [name, refused, this](planner& target) {
            target.on_unreachable(name, refused, group_.now());
        });
    }

    void check_role(const std::string& name, const std::string& address)
    {
        const model_server* const server = group_.server_at(address);
        const clock::time_point sent_at = group_.now();
        if (server == nullptr || !group_.is_reachable(*server)) {
            fail_later(name, false);
            return;
        }
        const bool claims_lead = settings_.defects.demoted_claims_lead && name == seen_primary_;
        const bool is_primary = group_.leads(*server) || claims_lead;
        const log_position position{server->log_term, server->log};
        schedule_answer(group_.random_duration(2, 20), [=, this](planner& target) {
            is_primary ? target.on_primary(name, position, sent_at, group_.now())
                       : target.on_not_primary(name, group_.now());
        });
    }

    void request_status(const std::string& name, const std::string& address)
    {
        const model_server* const server = group_.server_at(address);
        const clock::time_point sent_at = group_.now();
        if (server == nullptr || !group_.is_reachable(*server)) {
            fail_later(name, false);
            return;
        }
        const server_status status = group_.status_of(*server);
        schedule_answer(group_.random_duration(2, 20), [=, this](planner& target) {
            target.on_status(name, status, sent_at, group_.now());
        });
    }

    // Applies an order at a server: at once with an answer, or late without one.
    void send_order(const std::string& text, const std::string& address,
                    const std::function<void(model_server&)>& apply,
                    const std::function<void(planner&, const server_status&)>& deliver)
    {
        model_server* const server = group_.server_at(address);
        if (server == nullptr || !group_.is_reachable(*server)) {
            group_.note(text + ": not reached");
            return;
        }
        if (group_.chance(settings_.delay_chance)) {
            group_.note(text + ": no answer");
            group_.schedule(group_.random_duration(2'000, 12'000), [server, apply, text, this] {
                if (group_.is_up(*server)) {
                    group_.note(text + ": carried out late");
                    apply(*server);
                }
            });
            return;
        }
        apply(*server);
        const server_status status = group_.status_of(*server);
        group_.note(fmt::format("{}: {}.{} held {}", text, status.received.term,
                                status.received.index, status.term_held));
        schedule_answer(group_.random_duration(2, 20),
                        [deliver, status](planner& target) { deliver(target, status); });
        group_.disturb(*server);
    }

    void pause(const pause_replica& order)
    {
        send_order(
            fmt::format("pause {} term {} ({})", order.server, order.term, order.number),
            order.address,
            [this, term = order.term](model_server& server) { group_.pause(server, term); },
            [this, order](planner& target, const server_status& status) {
                server_status answer = status;
                if (settings_.defects.ignores_pauses) {
                    answer.term_held = std::max(answer.term_held, order.term);
                }
                target.on_paused(order.server, order.number, answer, group_.now());
            });
    }

    void demote(const demote_primary& order)
    {
        if (!settings_.obeys_demotions) {
            return; // servers of this run ignore demotions
        }
        send_order(
            fmt::format("demote {} term {} ({})", order.server, order.term, order.number),
            order.address,
            [this, term = order.term](model_server& server) { group_.step_down(server, term); },
            [this, order](planner& target, const server_status& status) {
                server_status answer = status;
                if (settings_.defects.ignores_demotions) {
                    answer.is_primary = false;
                }
                target.on_demoted(order.server, order.number, answer, group_.now());
            });
    }

    void resume(const resume_replica& order)
    {
        send_order(
            fmt::format("resume {} ({})", order.server, order.number), order.address,
            [this](model_server& server) { group_.resume(server); },
            [this, name = order.server](planner& target, const server_status& answer) {
                target.on_resumed(name, answer, group_.now());
            });
    }

    // The platform may apply requests late.
    void promote_later(const request_promotion& request)
    {
        group_.note(fmt::format("request {} {}", request.server, request.number));
        group_.note_request_sent(request.server, request.number);
        const bool is_down = !group_.is_platform_up();
        if (is_down || group_.chance(settings_.delay_chance)) {
            if (is_down) {
                group_.count("request while the platform is down");
            }
            if (!is_down || group_.chance(0.5)) {
                group_.schedule(group_.random_duration(2'000, 12'000), [this, request] {
                    static_cast<void>(group_.request(request.server, request.number));
                });
            }
            const promotion_outcome outcome = settings_.defects.answers_early
                                                  ? promotion_outcome::accepted
                                                  : promotion_outcome::unknown;
            answer_request(clock::duration(1'000), request, outcome);
            return;
        }
        const promotion_outcome outcome = group_.request(request.server, request.number)
                                              ? promotion_outcome::accepted
                                              : promotion_outcome::refused;
        answer_request(group_.random_duration(2, 20), request, outcome);
    }

    void answer_request(clock::duration delay, const request_promotion& request,
                        promotion_outcome outcome)
    {
        schedule_answer(delay, [this, request, outcome](planner& target) {
            target.on_promotion_answer(request.server, request.number, outcome, group_.now());
        });
    }

    void commit_begin(const begin_decision& begin)
    {
        group_.note(fmt::format("decision {}: {}", begin.number, begin.reason));
        group_.schedule(clock::duration(10), [this, number = begin.number] {
            if (number > record_.number) {
                record_.number = number;
                record_.primary.clear();
            }
        });
    }

    void commit_request(const record_request& recorded)
    {
        group_.schedule(clock::duration(10), [this, recorded, generation = generation_] {
            if (record_.number == recorded.number && record_.primary.empty()) {
                std::erase(record_.requested, recorded.server);
                record_.requested.push_back(recorded.server);
                requested_generation_ = generation;
            }
        });
    }

    void commit_finish(const finish_decision& finished)
    {
        group_.note(fmt::format("finished {} {}", finished.server, finished.number));
        group_.schedule(clock::duration(10), [this, finished] {
            if (record_.number == finished.number) {
                record_.primary = finished.server;
                record_.requested.clear();
                seen_primary_ = finished.server;
            }
        });
    }

    void execute(const action& due)
    {
        if (const auto* const role_check = std::get_if<check_primary>(&due)) {
            check_role(role_check->server, role_check->address);
        }
        else if (const auto* const status = std::get_if<check_status>(&due)) {
            request_status(status->server, status->address);
        }
        else if (const auto* const paused = std::get_if<pause_replica>(&due)) {
            pause(*paused);
        }
        else if (const auto* const demoted = std::get_if<demote_primary>(&due)) {
            demote(*demoted);
        }
        else if (const auto* const resumed = std::get_if<resume_replica>(&due)) {
            resume(*resumed);
        }
        else if (const auto* const begin = std::get_if<begin_decision>(&due)) {
            commit_begin(*begin);
        }
        else if (const auto* const request = std::get_if<record_request>(&due)) {
            commit_request(*request);
        }
        else if (const auto* const resuming = std::get_if<record_resuming>(&due)) {
            group_.schedule(clock::duration(10),
                            [this, servers = resuming->servers, generation = generation_] {
                                record_.resuming = servers;
                                resuming_generation_ = generation;
                            });
        }
        else if (const auto* const promotion = std::get_if<request_promotion>(&due)) {
            promote_later(*promotion);
        }
        else if (const auto* const finish = std::get_if<finish_decision>(&due)) {
            commit_finish(*finish);
        }
        else if (const auto* const seen = std::get_if<report_primary>(&due)) {
            group_.note(fmt::format("primary seen: {} before {}", seen->server, seen->previous));
        }
    }

    promotion_model_settings settings_;
    promotion_model_group group_;
    promotion_model_instance instance_;
    std::optional<fence_holders> holders_;
    clock::time_point followed_at_{};
    clock::time_point instance_partitioned_until_{};
    decision_record record_;
    std::string seen_primary_ = "s0";
    std::vector<member> recorded_members_;
    log_position recorded_position_;
    std::set<std::pair<std::uint64_t, std::string>> was_announced_;
    std::optional<planner> planner_;
    std::uint64_t generation_ = 0;
    std::uint64_t answering_generation_ = 0;
    std::uint64_t requested_generation_ = 0;
    std::uint64_t resuming_generation_ = 0;
    clock::time_point elected_at_;
    clock::time_point elect_at_;
    clock::time_point membership_recorded_at_{};
    clock::time_point last_ack_;
    clock::time_point healthy_since_;
};

} // namespace

promotion_model_result run_promotion_model(const promotion_model_settings& settings)
{
    return model(settings).run();
}

} // namespace primrosehead::testing
