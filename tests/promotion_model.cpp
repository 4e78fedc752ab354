#include "promotion_model.h"

#include <algorithm>
#include <optional>

namespace primrosehead::testing {

namespace {

using namespace primrosehead::promotion;

constexpr clock::duration step{10};
constexpr std::size_t server_count = 3;

struct model_server {
    std::string name;
    std::uint64_t log = 0;
    std::uint64_t log_term = 1;
    bool is_paused = false;
    clock::time_point down_until{};
    clock::time_point partitioned_until{};         // from the control leader
    clock::time_point replica_partitioned_until{}; // from the primary
};

struct pending_event {
    clock::time_point due_at;
    std::function<void()> run;
};

class model {
  public:
    explicit model(const promotion_model_settings& settings)
        : settings_(settings), random_(settings.seed), now_(clock::duration(1'000'000))
    {
        for (std::size_t i = 0; i < server_count; ++i) {
            servers_.at(i).name = "s" + std::to_string(i);
        }
        start_leader();
    }

    promotion_model_result run()
    {
        const clock::time_point end = now_ + settings_.run_time;
        clock::time_point last_ack = now_;
        while (now_ < end) {
            now_ += step;
            inject_faults();
            run_due_events();
            if (commit()) {
                result_.longest_commit_gap = std::max(result_.longest_commit_gap, now_ - last_ack);
                last_ack = now_;
            }
            for (const action& due : planner_->advance(members(), record_, now_)) {
                execute(due);
            }
        }
        return result_;
    }

  private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    clock::duration random_duration(std::int64_t low, std::int64_t high)
    {
        return clock::duration(std::uniform_int_distribution<std::int64_t>(low, high)(random_));
    }
    model_server& find_server(const std::string& name)
    {
        return *std::find_if(servers_.begin(), servers_.end(),
                             [&](const model_server& each) { return each.name == name; });
    }
    bool is_up(const model_server& server) const { return now_ >= server.down_until; }
    bool is_reachable(const model_server& server) const
    {
        return is_up(server) && now_ >= server.partitioned_until;
    }
    model_server& current_primary() { return servers_.at(primary_); }

    void schedule(clock::duration delay, std::function<void()> run)
    {
        pending_.push_back({now_ + delay, std::move(run)});
    }

    // Answers to an earlier leader are discarded.
    void schedule_answer(clock::duration delay, std::function<void(planner&)> deliver)
    {
        schedule(delay, [this, generation = generation_, deliver = std::move(deliver)] {
            if (generation == generation_) {
                deliver(*planner_);
            }
        });
    }

    void run_due_events()
    {
        std::vector<pending_event> due;
        const auto first_due = std::stable_partition(
            pending_.begin(), pending_.end(), [this](auto& each) { return each.due_at > now_; });
        std::move(first_due, pending_.end(), std::back_inserter(due));
        pending_.erase(first_due, pending_.end());
        for (const pending_event& each : due) {
            each.run();
        }
    }

    void start_leader()
    {
        ++generation_;
        recorded_group recorded;
        recorded.primary = record_.number == 0 ? std::string() : seen_primary_;
        planner_.emplace("kura", std::move(recorded), planner_settings{}, now_);
    }

    void inject_faults()
    {
        for (model_server& each : servers_) {
            const bool all_others_up =
                std::all_of(servers_.begin(), servers_.end(),
                            [&](const model_server& other) { return is_up(other); });
            if (all_others_up && chance(settings_.crash_chance)) {
                each.down_until = now_ + random_duration(500, 8'000);
                each.is_paused = false; // a restart ends a pause
            }
            if (chance(settings_.partition_chance)) {
                each.partitioned_until = now_ + random_duration(500, 6'000);
            }
            if (chance(settings_.replica_partition_chance)) {
                each.replica_partitioned_until = now_ + random_duration(500, 6'000);
            }
        }
        if (chance(settings_.leader_change_chance)) {
            start_leader();
        }
    }

    // Makes one commit, which is acknowledged once a replica has received it.
    bool commit()
    {
        model_server& primary = current_primary();
        if (!is_up(primary)) {
            return false;
        }
        ++primary.log;
        primary.log_term = term_;
        bool is_received = false;
        for (model_server& each : servers_) {
            const bool receives = &each != &primary && is_up(each) &&
                                  (!each.is_paused || settings_.ignores_pauses) &&
                                  now_ >= each.replica_partitioned_until &&
                                  now_ >= primary.replica_partitioned_until && chance(0.8);
            if (receives) {
                each.log = primary.log;
                each.log_term = primary.log_term;
                is_received = true;
            }
        }
        if (is_received) {
            acknowledged_ = std::max(acknowledged_, primary.log);
            ++result_.acknowledged;
        }
        return is_received;
    }

    std::vector<member> members() const
    {
        std::vector<member> members;
        for (const model_server& each : servers_) {
            members.push_back({each.name, each.name, false, &each == &servers_.at(primary_), 1});
        }
        return members;
    }

    server_status status_of(const model_server& server)
    {
        server_status status;
        status.is_primary = &server == &current_primary();
        status.term = term_;
        status.received = {server.log_term, server.log};
        status.term_held = server.is_paused ? term_ + 1 : 0;
        return status;
    }

    void check_role(const std::string& name)
    {
        const model_server& server = find_server(name);
        const clock::time_point sent_at = now_;
        if (!is_reachable(server)) {
            schedule_answer(clock::duration(400), [name, this](planner& target) {
                target.on_unreachable(name, false, now_);
            });
            return;
        }
        const bool is_primary = &server == &current_primary();
        const log_position position{server.log_term, server.log};
        schedule_answer(random_duration(2, 20), [=, this](planner& target) {
            is_primary ? target.on_primary(name, position, sent_at, now_)
                       : target.on_not_primary(name, now_);
        });
    }

    void request_status(const std::string& name)
    {
        const model_server& server = find_server(name);
        const clock::time_point sent_at = now_;
        if (!is_reachable(server)) {
            schedule_answer(clock::duration(400), [name, this](planner& target) {
                target.on_unreachable(name, false, now_);
            });
            return;
        }
        const server_status status = status_of(server);
        schedule_answer(random_duration(2, 20), [=, this](planner& target) {
            target.on_status(name, status, sent_at, now_);
        });
    }

    // Applies an order at a server: at once with an answer, or late without one.
    void send_order(const std::string& name, const std::function<void(model_server&)>& apply,
                    const std::function<void(planner&, const server_status&)>& deliver)
    {
        model_server& server = find_server(name);
        if (!is_reachable(server)) {
            return;
        }
        if (chance(settings_.delay_chance)) {
            schedule(random_duration(2'000, 12'000), [&server, apply, this] {
                if (is_up(server)) {
                    apply(server);
                }
            });
            return;
        }
        apply(server);
        const server_status status = status_of(server);
        schedule_answer(random_duration(2, 20),
                        [deliver, status](planner& target) { deliver(target, status); });
    }

    void pause(const pause_replica& order)
    {
        send_order(
            order.server,
            [this, term = order.term](model_server& server) {
                if (&server != &current_primary() && term > term_) {
                    server.is_paused = true;
                }
            },
            [this, order](planner& target, const server_status& status) {
                target.on_paused(order.server, order.number, status, now_);
            });
    }

    // The platform: refuses lower decision numbers, promotes after a delay, and may apply requests
    // late.
    void promote_later(const request_promotion& request)
    {
        const auto apply = [this, request]() -> bool {
            if (request.number < highest_decision_number_ || !is_up(find_server(request.server))) {
                return false;
            }
            highest_decision_number_ = request.number;
            if (find_server(request.server).name != current_primary().name) {
                schedule(settings_.promotion_delay, [this, request] { promote(request.server); });
            }
            return true;
        };
        if (chance(settings_.delay_chance)) {
            schedule(random_duration(2'000, 12'000), [apply] { static_cast<void>(apply()); });
            schedule_answer(clock::duration(1'000), [this, request](planner& target) {
                target.on_promotion_answer(request.server, request.number,
                                           promotion_outcome::unknown, now_);
            });
            return;
        }
        const promotion_outcome outcome =
            apply() ? promotion_outcome::accepted : promotion_outcome::refused;
        schedule_answer(random_duration(2, 20), [this, request, outcome](planner& target) {
            target.on_promotion_answer(request.server, request.number, outcome, now_);
        });
    }

    void promote(const std::string& name)
    {
        if (name == current_primary().name) {
            return;
        }
        model_server& promoted = find_server(name);
        ++result_.promotions;
        result_.lossy_promotions += promoted.log < acknowledged_ ? 1 : 0;
        acknowledged_ = std::min(acknowledged_, promoted.log);
        primary_ = static_cast<std::size_t>(&promoted - servers_.data());
        ++term_;
        for (model_server& each : servers_) {
            each.is_paused = false;
            each.log = std::min(each.log, promoted.log);
        }
    }

    void execute(const action& due)
    {
        if (const auto* const role_check = std::get_if<check_primary>(&due)) {
            check_role(role_check->server);
        }
        else if (const auto* const status = std::get_if<check_status>(&due)) {
            request_status(status->server);
        }
        else if (const auto* const paused = std::get_if<pause_replica>(&due)) {
            pause(*paused);
        }
        else if (const auto* const demoted = std::get_if<demote_primary>(&due)) {
            static_cast<void>(demoted); // servers of this model ignore demotions
        }
        else if (const auto* const resumed = std::get_if<resume_replica>(&due)) {
            send_order(
                resumed->server, [](model_server& server) { server.is_paused = false; },
                [this, name = resumed->server](planner& target, const server_status& answer) {
                    target.on_resumed(name, answer, now_);
                });
        }
        else if (const auto* const begin = std::get_if<begin_decision>(&due)) {
            schedule(clock::duration(10), [this, number = begin->number] {
                if (number > record_.number) {
                    record_.number = number;
                    record_.primary.clear();
                }
            });
        }
        else if (const auto* const request = std::get_if<record_request>(&due)) {
            schedule(clock::duration(10), [this, recorded = *request] {
                if (record_.number == recorded.number && record_.primary.empty()) {
                    std::erase(record_.requested, recorded.server);
                    record_.requested.push_back(recorded.server);
                }
            });
        }
        else if (const auto* const resuming = std::get_if<record_resuming>(&due)) {
            schedule(clock::duration(10),
                     [this, servers = resuming->servers] { record_.resuming = servers; });
        }
        else if (const auto* const promotion = std::get_if<request_promotion>(&due)) {
            promote_later(*promotion);
        }
        else if (const auto* const finish = std::get_if<finish_decision>(&due)) {
            schedule(clock::duration(10), [this, finished = *finish] {
                if (record_.number == finished.number) {
                    record_.primary = finished.server;
                    record_.requested.clear();
                    seen_primary_ = finished.server;
                }
            });
        }
    }

    promotion_model_settings settings_;
    std::mt19937_64 random_;
    clock::time_point now_;
    std::array<model_server, server_count> servers_;
    std::size_t primary_ = 0;
    std::uint64_t term_ = 1;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t highest_decision_number_ = 0;
    decision_record record_;
    std::string seen_primary_ = "s0";
    std::optional<planner> planner_;
    std::uint64_t generation_ = 0;
    std::vector<pending_event> pending_;
    promotion_model_result result_;
};

} // namespace

promotion_model_result run_promotion_model(const promotion_model_settings& settings)
{
    return model(settings).run();
}

} // namespace primrosehead::testing
