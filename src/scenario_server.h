// A fake backend server that keeps docs/BACKEND.md: terms, positions, fencing and asynchronous
// replication. Its log holds the ids of writes.
#pragma once

#include "primrosehead.pb.h"

#include <primrosehead/clock.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace primrosehead::scenario {

struct server_log_entry {
    std::uint64_t term = 0;
    std::string id;
};

// The answer to a write: where it is, or that it certainly did not run.
struct write_result {
    bool did_run = false;
    std::uint64_t term = 0;
};

// The term that a server promised, other than the one of a refused order.
struct term_mismatch {
    std::uint64_t promised_term = 0;
};

class server {
  public:
    server(std::string name, std::string database, std::string failure_domain,
           bool waits_for_replica);

    // Answers once a replica has the write too; never, if none gets it.
    void write(const std::string& id, std::uint64_t term,
               std::function<void(const write_result&)> on_result);

    // The position received, or the higher term promised before.
    [[nodiscard]] std::variant<log_position, term_mismatch> fence(std::uint64_t term);
    // The index at which the term begins, or the term promised.
    [[nodiscard]] std::variant<std::uint64_t, term_mismatch>
    promote(std::uint64_t term, std::span<const term_boundary> starts);
    [[nodiscard]] bool follow(std::uint64_t term, const std::string& primary,
                              std::span<const term_boundary> starts);

    // Replication: a replica asks, its primary answers, the entries come in after the lag.
    struct pull_request {
        std::uint64_t term = 0;
        std::uint64_t after_index = 0;
    };
    [[nodiscard]] pull_request next_pull_request() const { return {promised_term_, log_.size()}; }
    [[nodiscard]] std::vector<server_log_entry> read_log(const std::string& replica,
                                                         const pull_request& request);
    void receive(std::uint64_t term, std::uint64_t after_index,
                 std::vector<server_log_entry> entries, clock::time_point now);
    void tick(clock::time_point now);

    [[nodiscard]] pb::server_report report() const;
    [[nodiscard]] const std::string& replication_source() const noexcept
    {
        return replication_source_;
    }
    [[nodiscard]] bool is_primary() const noexcept { return is_primary_; }
    [[nodiscard]] const std::string& name() const noexcept { return name_; }
    [[nodiscard]] const std::string& database() const noexcept { return database_; }
    [[nodiscard]] std::vector<std::string> write_ids() const;

    // After a restart: log and promise were durable, the role was not.
    void restart();
    void set_lag(clock::duration lag) noexcept { lag_ = lag; }
    void set_leaving() noexcept { is_leaving_ = true; }

  private:
    struct pending_write {
        std::uint64_t index = 0;
        std::function<void(const write_result&)> on_result;
    };

    struct delayed_entries {
        clock::time_point due;
        std::uint64_t term = 0;
        std::uint64_t after_index = 0;
        std::vector<server_log_entry> entries;
    };

    [[nodiscard]] log_position received() const;
    void truncate_after_starts(std::span<const term_boundary> starts);
    void step_down();

    std::string name_;
    std::string database_;
    std::string failure_domain_;
    bool waits_for_replica_;
    std::vector<server_log_entry> log_;
    std::uint64_t promised_term_ = 0;
    bool is_primary_ = false;
    bool is_leaving_ = false;
    std::string replication_source_;
    clock::duration lag_{0};
    std::deque<pending_write> pending_writes_;
    std::deque<delayed_entries> delayed_;
};

} // namespace primrosehead::scenario
