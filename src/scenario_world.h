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
struct mechanisms {
    entry_mechanisms entries;
    fleet::safeguards fleet;
    consensus::unsafe_switches control;
    bool wait_for_replica = true; // before a write is answered
    bool request_ids = true;      // a resend carries the id of the first try
};

// Turns off the one that a script names; false for an unknown name.
[[nodiscard]] bool turn_off(std::string_view name, mechanisms& all);

struct organisation_spec {
    std::string name;
    double rate = 0;
    double burst = 0;
};

class world {
  public:
    world(std::uint64_t seed, mechanisms on);

    void add_controls(std::uint32_t count);
    void add_entries(std::uint32_t count);
    // Writes are answered once a replica has them, or by the primary alone.
    void add_group(const std::string& database, std::uint32_t servers, bool by_primary_alone);
    void add_organisation(organisation_spec organisation);

    void run(clock::duration time);
    [[nodiscard]] clock::time_point now() const noexcept { return now_; }

    // Faults.
    void cut(const std::set<std::string>& one, const std::set<std::string>& other);
    void heal() { links_.heal(); }
    void kill(const std::string& process);
    void restart(const std::string& process);
    void freeze(const std::string& process, clock::duration time);
    void lose_disk(const std::string& process);
    void lag(const std::string& server, clock::duration lag);
    void leave(const std::string& server);

    // Callers.
    void write(const std::string& database, std::uint64_t count, clock::duration interval,
               const std::string& through);
    void load(const std::string& organisation, double times, clock::duration time);

    // Operators. Answers are kept by the request's name.
    void request(const std::string& name, const pb::command& command, bool lose_answer);
    void resend(const std::string& name);
    [[nodiscard]] const std::vector<pb::operator_reply>& answers(const std::string& name);
    // The environment's document, with one more organisation when `extra` is not empty.
    [[nodiscard]] std::string document(const std::string& extra) const;

    [[nodiscard]] std::string leader() const; // the current one, empty when there is none
    [[nodiscard]] std::string primary(const std::string& database) const;
    [[nodiscard]] control& control_named(const std::string& name) { return *controls_.at(name); }
    [[nodiscard]] bool is_process(const std::string& name) const;
    [[nodiscard]] bool have_entries_followed() const;
    [[nodiscard]] bool do_entries_refuse(const std::string& key, const std::string& organisation);
    [[nodiscard]] std::uint64_t held_back() const noexcept { return held_back_; }
    [[nodiscard]] history& observed() noexcept { return history_; }
    [[nodiscard]] std::vector<std::string> breaches() const;

  private:
    struct writer {
        std::string database;
        std::string through;
        std::uint64_t left = 0;
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
    void step_control(control& one);
    void step_entry(entry& one);
    void step_server(server& one);
    void step_callers();
    void flush(control& one);
    void act(control& one, const fleet::propose& what);
    void act(control& one, const fleet::order_server& what);
    void act(control& one, const fleet::follow_server& what);
    void act(control& one, const fleet::push_state& what);
    void order_fence(control& one, const std::string& database,
                     const failover::fence_server& order);
    void order_promotion(control& one, const std::string& database,
                         const failover::promote_server& order);
    void send_heartbeat(entry& one, const pb::heartbeat& beat);
    void send_write(entry& one, const std::string& database);
    void finish_write(entry& one, const std::string& id, const std::string& database,
                      std::uint64_t term, const write_answer& answer);
    void send_request(const std::string& name, const pb::command& command, bool lose_answer);
    [[nodiscard]] entry* any_entry(const std::string& through);
    [[nodiscard]] std::string next_domain();

    std::mt19937_64 random_;
    mechanisms on_;
    network links_;
    history history_;
    clock::time_point now_{clock::duration(1'000'000)};
    std::uint64_t domains_given_ = 0;
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
    std::uint64_t held_back_ = 0;
};

} // namespace primrosehead::scenario
