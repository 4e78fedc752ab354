// The servers and the platform of promotion_model.
#pragma once

#include "line_answer.h"
#include "promotion_model.h"

#include <primrosehead/clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosehead::testing {

struct model_server {
    std::string name;
    std::string address;
    std::uint64_t log = 0;
    std::uint64_t log_term = 1;
    std::uint64_t born_ms = 1;
    std::uint64_t announced_born_ms = 1;
    bool is_paused = false;
    bool has_lost_pause = false; // by a restart
    clock::time_point unpaused_at{};
    std::string unpaused_by = "start";
    bool is_leaving = false;
    bool is_gone = false;
    clock::time_point down_until{};
    clock::time_point partitioned_until{};         // from the control leader
    clock::time_point replica_partitioned_until{}; // from the primary
    clock::time_point receives_from{};
    clock::time_point announced_from{};
    clock::time_point announced_until = clock::time_point::max();
};

// A commit that the primary has acknowledged to an instance.
struct model_acknowledgement {
    std::uint64_t index = 0;
    clock::time_point at; // when it was confirmed to the caller
    std::vector<std::string> servers;
    std::string primary;
    std::uint64_t term = 0;
};

// Whether a server that restarts keeps its log.
enum class restart_kind { with_log, empty };

class promotion_model_group {
  public:
    explicit promotion_model_group(const promotion_model_settings& settings);

    [[nodiscard]] const promotion_model_settings& settings() const { return settings_; }
    [[nodiscard]] clock::time_point now() const { return now_; }
    [[nodiscard]] std::deque<model_server>& servers() { return servers_; }
    [[nodiscard]] model_server* find_server(std::string_view name);
    [[nodiscard]] model_server* server_at(std::string_view address);
    [[nodiscard]] bool is_up(const model_server& server) const;
    [[nodiscard]] bool is_reachable(const model_server& server) const;
    [[nodiscard]] bool is_announced(const model_server& server) const;
    [[nodiscard]] bool leads(const model_server& server) const;
    [[nodiscard]] bool is_platform_up() const { return now_ >= platform_down_until_; }
    [[nodiscard]] server_status status_of(const model_server& server) const;
    [[nodiscard]] promotion_model_result& result() { return result_; }

    [[nodiscard]] bool chance(double probability);
    // As `chance`, but draws no random number at a rate of 0.
    [[nodiscard]] bool happens(double rate) { return rate > 0 && chance(rate); }
    [[nodiscard]] clock::duration random_duration(std::int64_t low, std::int64_t high);
    void schedule(clock::duration delay, std::function<void()> run);
    void note(const std::string& event);
    void count(std::string_view fault);

    void advance_clock(clock::duration step) { now_ += step; }
    void run_due_events();
    void inject_server_faults();
    // Makes one commit, which the primary acknowledges once a replica has received it.
    [[nodiscard]] std::optional<model_acknowledgement> commit();
    // An instance confirms the commit to its caller.
    void confirm(model_acknowledgement made);
    // Returns whether two servers and everything between them, the control leader and the platform
    // are up.
    [[nodiscard]] bool is_healthy() const;

    // Orders, at the time when the server carries them out.
    void pause(model_server& server, std::uint64_t term);
    void step_down(model_server& server, std::uint64_t term);
    void resume(model_server& server);
    // May restart a server that has answered an order.
    void disturb(model_server& server);
    // The platform's answer to a request.
    [[nodiscard]] bool request(const std::string& server, std::uint64_t number);
    void note_request_sent(const std::string& server, std::uint64_t number);

  private:
    struct pending_event {
        clock::time_point due_at;
        std::function<void()> run;
    };
    // What held when the request was first sent.
    struct request_state {
        clock::time_point sent_at{};
        std::string gap;         // why commits could be lost, empty if they could not
        bool is_knowable = true; // the gap, from the answers of servers
        bool was_demoted = false;
        std::uint64_t term = 0;
        bool is_confirmation = false; // of the primary
        bool has_taken_effect = false;
    };
    using acknowledgement = model_acknowledgement;

    void crash(model_server& server, clock::duration duration);
    void restart(model_server& server, clock::duration duration, restart_kind kind);
    void rename(model_server& server, clock::duration duration, restart_kind kind);
    void leave(model_server& server);
    void end_leaving(model_server& server);
    void join(const std::string& address);
    void lose_destroyed_commits();
    void promote(const std::string& name, std::uint64_t number);
    void note_loss(const model_server& promoted, std::uint64_t number);
    [[nodiscard]] bool is_retained(const acknowledgement& made) const;
    [[nodiscard]] static bool has_acknowledged(const acknowledgement& made,
                                               std::string_view server);
    void end_pause(model_server& server, std::string_view cause);
    [[nodiscard]] request_state gap_of(const model_server* candidate) const;
    [[nodiscard]] promotion_model_loss explain_loss(const model_server& promoted,
                                                    const request_state& sent,
                                                    const acknowledgement& first);
    [[nodiscard]] std::string positions() const;

    promotion_model_settings settings_;
    std::mt19937_64 random_;
    clock::time_point started_at_{clock::duration(1'000'000)};
    clock::time_point now_ = started_at_;
    std::deque<model_server> servers_; // keeps references valid
    std::size_t primary_ = 0;
    bool has_lead_ = true; // the primary has not stepped down
    std::uint64_t term_ = 1;
    std::uint64_t acknowledged_ = 0;
    std::map<std::uint64_t, std::uint64_t> retained_; // last index of earlier terms, by term
    std::uint64_t highest_decision_number_ = 0;
    std::uint64_t next_server_ = 0;
    clock::time_point platform_down_until_{};
    std::vector<pending_event> pending_;
    std::deque<acknowledgement> acknowledgements_; // the latest ones
    std::map<std::pair<std::string, std::uint64_t>, request_state> requests_sent_;
    promotion_model_result result_;
};

} // namespace primrosehead::testing
