#include "promotion_model.h"

#include <algorithm>
#include <optional>

namespace primrosehead::testing {

namespace {

using namespace primrosehead::promotion;

constexpr clock::duration step{10};
constexpr clock::duration promote_time{300};
constexpr std::size_t servers = 3;

struct model_server {
    std::string name;
    std::uint64_t log = 0;
    std::uint64_t log_term = 1;
    bool is_paused = false;
    clock::time_point down_until{};
    clock::time_point cut_until{};         // from control
    clock::time_point replica_cut_until{}; // from the primary
};

struct pending_event {
    clock::time_point at;
    std::function<void()> run;
};

class model {
  public:
    explicit model(const promotion_model_settings& settings)
        : settings_(settings), random_(settings.seed), now_(clock::duration(1'000'000))
    {
        for (std::size_t i = 0; i < servers; ++i) {
            all_.at(i).name = "s" + std::to_string(i);
        }
        new_leader();
    }

    promotion_model_result run()
    {
        const clock::time_point end = now_ + settings_.length;
        clock::time_point last_ack = now_;
        while (now_ < end) {
            now_ += step;
            fail_some();
            carry_out_due();
            if (commit()) {
                result_.longest_gap = std::max(result_.longest_gap, now_ - last_ack);
                last_ack = now_;
            }
            for (const action& due : planner_->advance(members(), record_, now_)) {
                start(due);
            }
        }
        return result_;
    }

  private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    clock::duration between(std::int64_t low, std::int64_t high)
    {
        return clock::duration(std::uniform_int_distribution<std::int64_t>(low, high)(random_));
    }
    model_server& find(const std::string& name)
    {
        return *std::find_if(all_.begin(), all_.end(),
                             [&](const model_server& each) { return each.name == name; });
    }
    bool is_up(const model_server& server) const { return now_ >= server.down_until; }
    bool is_reached(const model_server& server) const
    {
        return is_up(server) && now_ >= server.cut_until;
    }
    model_server& lead() { return all_.at(primary_); }

    void later(clock::duration delay, std::function<void()> run)
    {
        pending_.push_back({now_ + delay, std::move(run)});
    }

    // Answers on their way to an earlier leader are lost with it.
    void answer(clock::duration delay, std::function<void(planner&)> give)
    {
        later(delay, [this, generation = generation_, give = std::move(give)] {
            if (generation == generation_) {
                give(*planner_);
            }
        });
    }

    void carry_out_due()
    {
        std::vector<pending_event> due;
        const auto rest = std::stable_partition(pending_.begin(), pending_.end(),
                                                [this](auto& each) { return each.at > now_; });
        std::move(rest, pending_.end(), std::back_inserter(due));
        pending_.erase(rest, pending_.end());
        for (const pending_event& each : due) {
            each.run();
        }
    }

    void new_leader()
    {
        ++generation_;
        planner_.emplace("kura", record_.number == 0 ? std::string() : seen_primary_,
                         planner_settings{}, now_);
    }

    void fail_some()
    {
        for (model_server& each : all_) {
            const bool all_others_up = std::all_of(
                all_.begin(), all_.end(), [&](const model_server& other) { return is_up(other); });
            if (all_others_up && chance(settings_.crash_chance)) {
                each.down_until = now_ + between(500, 8'000);
                each.is_paused = false; // a pause ends with a restart
            }
            if (chance(settings_.cut_chance)) {
                each.cut_until = now_ + between(500, 6'000);
            }
            if (chance(settings_.replica_cut_chance)) {
                each.replica_cut_until = now_ + between(500, 6'000);
            }
        }
        if (chance(settings_.leader_change_chance)) {
            new_leader();
        }
    }

    // One commit, acknowledged once a replica received it.
    bool commit()
    {
        model_server& primary = lead();
        if (!is_up(primary)) {
            return false;
        }
        ++primary.log;
        primary.log_term = term_;
        bool is_received = false;
        for (model_server& each : all_) {
            const bool receives = &each != &primary && is_up(each) && !each.is_paused &&
                                  now_ >= each.replica_cut_until &&
                                  now_ >= primary.replica_cut_until && chance(0.8);
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
        std::vector<member> told;
        for (const model_server& each : all_) {
            told.push_back({each.name, each.name, false, &each == &all_.at(primary_), 1});
        }
        return told;
    }

    server_status status_of(const model_server& server)
    {
        server_status status;
        status.is_primary = &server == &lead();
        status.term = term_;
        status.received = {server.log_term, server.log};
        status.term_held = server.is_paused ? term_ + 1 : 0;
        return status;
    }

    void check(const std::string& name)
    {
        const model_server& server = find(name);
        const clock::time_point sent_at = now_;
        if (!is_reached(server)) {
            answer(clock::duration(400),
                   [name, this](planner& to) { to.on_unreachable(name, false, now_); });
            return;
        }
        const bool leads = &server == &lead();
        const log_position position{server.log_term, server.log};
        answer(between(2, 20), [=, this](planner& to) {
            leads ? to.on_primary(name, position, sent_at, now_) : to.on_not_primary(name, now_);
        });
    }

    void ask_status(const std::string& name)
    {
        const model_server& server = find(name);
        const clock::time_point sent_at = now_;
        if (!is_reached(server)) {
            answer(clock::duration(400),
                   [name, this](planner& to) { to.on_unreachable(name, false, now_); });
            return;
        }
        const server_status status = status_of(server);
        answer(between(2, 20),
               [=, this](planner& to) { to.on_status(name, status, sent_at, now_); });
    }

    // An order at a server: carried out now and answered, or late and not answered.
    void order(const std::string& name, const std::function<void(model_server&)>& carry_out,
               const std::function<void(planner&, const server_status&)>& give)
    {
        model_server& server = find(name);
        if (!is_reached(server)) {
            return;
        }
        if (chance(settings_.late_chance)) {
            later(between(2'000, 12'000), [&server, carry_out, this] {
                if (is_up(server)) {
                    carry_out(server);
                }
            });
            return;
        }
        carry_out(server);
        const server_status status = status_of(server);
        answer(between(2, 20), [give, status](planner& to) { give(to, status); });
    }

    void pause(const pause_replica& what)
    {
        order(
            what.server,
            [this, term = what.term](model_server& server) {
                if (&server != &lead() && term > term_ && !settings_.skips_pauses) {
                    server.is_paused = true;
                }
            },
            [this, name = what.server](planner& to, server_status status) {
                status.term_held = settings_.skips_pauses ? 2 : status.term_held;
                to.on_paused(name, status, now_);
            });
    }

    // The platform: refuses lower numbers, takes some time, and may be late.
    void call(const request_promotion& what)
    {
        const auto carry_out = [this, what]() -> bool {
            if (what.number < highest_number_ || !is_up(find(what.server))) {
                return false;
            }
            highest_number_ = what.number;
            if (find(what.server).name != lead().name) {
                later(promote_time, [this, what] { promote(what.server); });
            }
            return true;
        };
        if (chance(settings_.late_chance)) {
            later(between(2'000, 12'000), [carry_out] { static_cast<void>(carry_out()); });
            answer(clock::duration(1'000), [this, what](planner& to) {
                to.on_promotion_answer(what.server, what.number, promotion_outcome::unknown, now_);
            });
            return;
        }
        const promotion_outcome outcome =
            carry_out() ? promotion_outcome::accepted : promotion_outcome::refused;
        answer(between(2, 20), [this, what, outcome](planner& to) {
            to.on_promotion_answer(what.server, what.number, outcome, now_);
        });
    }

    void promote(const std::string& name)
    {
        if (name == lead().name) {
            return;
        }
        model_server& next = find(name);
        ++result_.promotions;
        result_.lost += next.log < acknowledged_ ? 1 : 0;
        acknowledged_ = std::min(acknowledged_, next.log);
        primary_ = static_cast<std::size_t>(&next - all_.data());
        ++term_;
        for (model_server& each : all_) {
            each.is_paused = false;
            each.log = std::min(each.log, next.log);
        }
    }

    void start(const action& due)
    {
        if (const auto* const lead_check = std::get_if<check_primary>(&due)) {
            check(lead_check->server);
        }
        else if (const auto* const status = std::get_if<check_status>(&due)) {
            ask_status(status->server);
        }
        else if (const auto* const paused = std::get_if<pause_replica>(&due)) {
            pause(*paused);
        }
        else if (const auto* const demoted = std::get_if<demote_primary>(&due)) {
            static_cast<void>(demoted); // servers of this model do not demote
        }
        else if (const auto* const resumed = std::get_if<resume_replica>(&due)) {
            order(
                resumed->server, [](model_server& server) { server.is_paused = false; },
                [](planner&, const server_status&) {});
        }
        else if (const auto* const begin = std::get_if<begin_decision>(&due)) {
            later(clock::duration(10), [this, number = begin->number] {
                if (number > record_.number) {
                    record_ = {number, {}};
                }
            });
        }
        else if (const auto* const called = std::get_if<request_promotion>(&due)) {
            call(*called);
        }
        else if (const auto* const finish = std::get_if<finish_decision>(&due)) {
            later(clock::duration(10), [this, done = *finish] {
                if (record_.number == done.number) {
                    record_.primary = done.server;
                    seen_primary_ = done.server;
                }
            });
        }
    }

    promotion_model_settings settings_;
    std::mt19937_64 random_;
    clock::time_point now_;
    std::array<model_server, servers> all_;
    std::size_t primary_ = 0;
    std::uint64_t term_ = 1;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t highest_number_ = 0;
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
