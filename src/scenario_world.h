// A fleet of a scenario: real decision code in every control and entry instance, fake servers,
// links and disks, one clock that moves by a millisecond.
#pragma once

#include "scenario_control.h"
#include "scenario_entry.h"
#include "scenario_history.h"
#include "scenario_network.h"
#include "scenario_server.h"

#include <primrosehead/clock.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::scenario {

// Mechanisms that are on unless a scenario runs without one.
struct safeguards {
    entry_safeguards entries;
    fleet::safeguards fleet;
    consensus::unsafe_switches control;
    bool wait_for_replica = true; // before a write is answered
    bool request_ids = true;      // a resend carries the id of the first try
};

// Turns off the one that a script names; false for an unknown name.
[[nodiscard]] bool disable_safeguard(std::string_view name, safeguards& all);

struct organisation_spec {
    std::string name;
    double rate = 0;
    double burst = 0;
};

class world {
  public:
    world(std::uint64_t seed, safeguards enabled);

    void add_controls(std::uint32_t count);
    void add_entries(std::uint32_t count);
    // Writes are answered once a replica has them, or by the primary alone.
    void add_group(const std::string& database, std::uint32_t servers, bool by_primary_alone);
    void add_organisation(organisation_spec organisation);

    void run(clock::duration duration);
    [[nodiscard]] clock::time_point now() const noexcept { return now_; }

    // Faults.
    void cut(const std::set<std::string>& first_side, const std::set<std::string>& second_side);
    void heal() { links_.heal(); }
    void kill(const std::string& process);
    void restart(const std::string& process);
    void freeze(const std::string& process, clock::duration duration);
    void lose_disk(const std::string& process);
    void set_lag(const std::string& server, clock::duration lag);
    void set_leaving(const std::string& server);

    // Callers.
    void start_writes(const std::string& database, std::uint64_t count, clock::duration interval,
                      const std::string& through);
    void start_load(const std::string& organisation, double times, clock::duration duration);

    // Operators. Answers are kept by the request's name.
    void submit(const std::string& name, const pb::command& command, bool lose_answer);
    void resend(const std::string& name);
    [[nodiscard]] const std::vector<pb::operator_reply>& answers(const std::string& name);
    // The environment's document, with one more organisation when `extra` is not empty.
    [[nodiscard]] std::string make_document(const std::string& extra) const;

    [[nodiscard]] std::string leader() const; // the current one, empty when there is none
    [[nodiscard]] std::string primary(const std::string& database) const;
    [[nodiscard]] control& control_by_name(const std::string& name) { return *controls_.at(name); }
    [[nodiscard]] bool is_process(const std::string& name) const;
    [[nodiscard]] bool are_entries_up_to_date() const;
    [[nodiscard]] bool do_entries_reject_key(const std::string& key,
                                             const std::string& organisation);
    [[nodiscard]] std::uint64_t withheld_acknowledgements() const noexcept
    {
        return withheld_acknowledgements_;
    }
    [[nodiscard]] history& observed_history() noexcept { return history_; }
    [[nodiscard]] std::vector<std::string> breaches() const;

  private:
    struct writer {
        std::string database;
        std::string through;
        std::uint64_t remaining = 0;
        clock::duration interval{10};
        clock::time_point next_at;
    };

    struct load_source {
        std::string organisation;
        double rate = 0; // a second
        double due = 0;
        clock::time_point until;
    };

    struct sent_request {
        pb::command command;
        std::vector<pb::operator_reply> answers;
    };

    void step();
    void step_control(control& instance);
    void step_entry(entry& instance);
    void step_server(server& backend);
    void step_callers();
    void flush(control& instance);
    void execute(control& instance, const fleet::propose& action);
    void execute(control& instance, const fleet::order_server& action);
    void execute(control& instance, const fleet::follow_server& action);
    void execute(control& instance, const fleet::push_state& action);
    void order_fence(control& instance, const std::string& database,
                     const failover::fence_server& order);
    void order_promotion(control& instance, const std::string& database,
                         const failover::promote_server& order);
    void send_heartbeat(entry& instance, const pb::heartbeat& heartbeat);
    void send_write(entry& instance, const std::string& database);
    void finish_write(entry& instance, const std::string& id, const std::string& database,
                      std::uint64_t term, const write_result& answer);
    void send_request(const std::string& name, const pb::command& command, bool lose_answer);
    [[nodiscard]] entry* pick_entry(const std::string& through);
    [[nodiscard]] std::string next_domain();

    std::mt19937_64 random_;
    safeguards safeguards_;
    network links_;
    history history_;
    clock::time_point now_{clock::duration(1'000'000)};
    std::uint64_t assigned_domain_count_ = 0;
    std::vector<std::string> control_names_;
    std::map<std::string, std::unique_ptr<control>> controls_;
    std::map<std::string, std::unique_ptr<entry>> entries_;
    std::map<std::string, std::unique_ptr<server>> servers_;
    std::vector<std::string> databases_;
    std::vector<organisation_spec> organisations_;
    std::vector<writer> writers_;
    std::vector<load_source> loads_;
    std::map<std::string, sent_request> requests_;
    std::uint64_t writes_sent_ = 0;
    std::uint64_t withheld_acknowledgements_ = 0;
};

} // namespace primrosehead::scenario
