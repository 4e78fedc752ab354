// One server of a replicated database group: log with terms, versions, transactions, idempotency
// records, replication and the orders of docs/BACKEND.md. Pure: time goes in as an argument.
#pragma once

#include "standin_log.h"
#include "standin_statement.h"
#include "standin_storage.h"
#include "standin_store.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrosehead::standin {

enum class transaction_mode { read, write };

struct answer {
    boost::json::value result;
    log_position position;     // what the answer shows, or where the write stands
    bool has_appended = false; // this request added a log entry
    bool repeated = false; // an earlier request with the same idempotency id ran; this one did not
};

struct transaction_begin {
    std::string transaction;
    log_position position;
};

// What a primary answers to a replica.
struct log_batch {
    std::vector<log_entry> entries;
    log_position last; // of the primary
    // The replica's log differs from the primary's: it asks again from here.
    std::optional<std::uint64_t> ask_after;
};

// Where a replica's next question starts.
struct log_request {
    std::uint64_t after = 0;
    std::uint64_t after_term = 0;
    std::uint64_t term = 0;
};

// Mechanisms that tests turn off to see their absence caught.
struct database_faults {
    bool forget_idempotency = false; // a resend runs again
    bool mix_transactions = false;   // a transaction's writes are visible at once
    bool ignore_terms = false;       // writes of a replaced primary are taken
    bool unstable_snapshot = false;  // a read transaction sees the newest data each time
};

class database {
  public:
    // `held`: what the storage kept from an earlier run.
    database(std::string server, storage& log_storage, database_faults faults = {},
             std::uint64_t promised_term = 0, std::vector<log_entry> entries = {});

    [[nodiscard]] bool is_primary() const noexcept { return primary_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
    [[nodiscard]] log_position applied() const noexcept;
    [[nodiscard]] log_position received() const noexcept { return log_.last(); }
    [[nodiscard]] clock::duration data_age(clock::time_point now) const noexcept;
    [[nodiscard]] std::size_t open_transactions() const noexcept { return transactions_.size(); }

    // Statements outside a transaction.
    [[nodiscard]] result<answer> read(const statement& parsed,
                                      std::optional<log_position> minimum) const;
    [[nodiscard]] result<answer> write(const statement& parsed, std::uint64_t term,
                                       std::string_view idempotency_id);

    // Transactions. Each belongs to the connection that began it.
    [[nodiscard]] result<transaction_begin> begin(transaction_mode mode, std::uint64_t connection,
                                                  std::uint64_t term,
                                                  std::optional<log_position> minimum);
    [[nodiscard]] result<answer> execute(std::string_view transaction, std::uint64_t connection,
                                         const statement& parsed);
    [[nodiscard]] result<answer> commit(std::string_view transaction, std::uint64_t connection,
                                        std::uint64_t term, std::string_view idempotency_id);
    [[nodiscard]] status rollback(std::string_view transaction, std::uint64_t connection);
    void connection_closed(std::uint64_t connection);

    // True when another server of the group has the entry at `index`, and the present term's first
    // entry, so that a majority's highest position can't leave it out.
    [[nodiscard]] bool is_replicated(std::uint64_t index) const noexcept;

    // Orders of the control leader.
    [[nodiscard]] result<log_position> fence(std::uint64_t term);
    [[nodiscard]] result<std::uint64_t> promote(std::uint64_t term,
                                                std::span<const term_boundary> starts);
    [[nodiscard]] status follow(std::uint64_t term, std::string_view primary,
                                std::span<const term_boundary> starts);

    // The primary's side of replication. A question tells what `server` has received.
    void record_received(std::string_view server, const log_request& request);
    [[nodiscard]] result<log_batch> entries_for(const log_request& request,
                                                std::size_t limit) const;

    // The replica's side. `asked_at`: when the question was sent.
    [[nodiscard]] log_request next_request() const noexcept;
    [[nodiscard]] status receive(std::uint64_t term, const log_batch& batch,
                                 clock::time_point asked_at, clock::time_point now);

    // Makes received entries visible once they are `lag` old.
    void apply(clock::time_point now, clock::duration lag);

  private:
    struct transaction {
        transaction_mode mode = transaction_mode::read;
        std::uint64_t connection = 0;
        std::uint64_t snapshot = 0;
        std::map<std::string, boost::json::value> pending;
        std::vector<std::string> keys_read;
        std::vector<std::string> prefixes_read;
    };
    // The primary's last entry at the time of a question: data through it is as new as that time.
    struct freshness {
        std::uint64_t last = 0;
        clock::time_point asked_at;
    };
    struct arrival {
        std::uint64_t index = 0;
        clock::time_point received_at;
    };
    using transactions = std::map<std::string, transaction, std::less<>>;

    [[nodiscard]] bool matches_log(const log_request& request) const noexcept;
    [[nodiscard]] std::optional<error> check_term(std::uint64_t term) const;
    [[nodiscard]] std::optional<error> check_minimum(std::optional<log_position> minimum) const;
    [[nodiscard]] log_position position_at(std::uint64_t index) const noexcept;
    [[nodiscard]] std::optional<answer> recorded_answer(std::string_view idempotency_id) const;
    [[nodiscard]] boost::json::value read_at(const statement& parsed, std::uint64_t index) const;
    [[nodiscard]] result<std::vector<change>> changes_of(const statement& parsed,
                                                         const boost::json::value* old) const;
    [[nodiscard]] result<answer> execute_write(transaction& open, const statement& parsed);
    [[nodiscard]] answer execute_read(transaction& open, const statement& parsed) const;
    [[nodiscard]] const boost::json::value* find_visible(const transaction& open,
                                                         const std::string& key) const;
    [[nodiscard]] bool conflicts(const transaction& open) const;
    [[nodiscard]] transactions::iterator find(std::string_view name, std::uint64_t connection);
    log_position append(std::vector<change> changes, std::string_view idempotency_id,
                        boost::json::value outcome);
    void store(const log_entry& entry);
    void truncate_after(std::uint64_t index);
    void promise(std::uint64_t term);
    void discard_write_transactions();

    std::string server_;
    storage& storage_;
    database_faults faults_;
    std::uint64_t term_ = 0;
    bool primary_ = false;
    std::uint64_t term_start_ = 0; // last entry kept from earlier terms, while primary
    std::uint64_t following_ = 0;  // term whose primary this server follows
    std::uint64_t applied_ = 0;
    replicated_log log_;
    versioned_store store_;
    std::unordered_map<std::string, std::uint64_t> idempotency_; // id to index
    std::map<std::string, std::uint64_t, std::less<>> received_by_;
    std::deque<freshness> freshness_;
    std::deque<arrival> arrivals_;
    std::optional<clock::time_point> fresh_as_of_;
    transactions transactions_;
    std::uint64_t next_transaction_ = 1;
};

} // namespace primrosehead::standin
