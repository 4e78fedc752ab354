// One server of a replicated database group: log with terms, versioned data, transactions,
// idempotency records, replication and the orders of docs/BACKEND.md. Does no I/O of its own and
// reads no clock: the time is an argument.
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
    log_position position;     // position of the data read, or of the write
    bool has_appended = false; // this request appended a log entry
    // The result is that of an earlier request with the same idempotency id; this one did not run.
    bool is_repeated = false;
};

struct transaction_begin {
    std::string transaction;
    log_position position;
};

// Response of a primary to a replica's log request.
struct log_batch {
    std::vector<log_entry> entries;
    log_position last; // end of the primary's log
    // Set if the replica's log diverges: the replica truncates its log after this index and
    // requests the entries from there.
    std::optional<std::uint64_t> ask_after;
};

// A replica's request for the log entries after a position.
struct log_request {
    std::uint64_t after = 0;
    std::uint64_t after_term = 0;
    std::uint64_t term = 0;
};

// Safety mechanisms that can be disabled, so that tests can verify that a violation is detected.
struct database_faults {
    bool forget_idempotency = false; // a repeated request runs again
    bool mix_transactions = false;   // a transaction's writes are visible at once
    bool ignore_terms = false;       // a replaced primary accepts writes
    bool unstable_snapshot = false;  // each read of a transaction sees the latest data
};

class database {
  public:
    // `entries` and `promised_term` are the state that `log_storage` recovered from an earlier run.
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

    // Transactions. Each is bound to the connection that began it.
    [[nodiscard]] result<transaction_begin> begin(transaction_mode mode, std::uint64_t connection,
                                                  std::uint64_t term,
                                                  std::optional<log_position> minimum);
    [[nodiscard]] result<answer> execute(std::string_view transaction, std::uint64_t connection,
                                         const statement& parsed);
    [[nodiscard]] result<answer> commit(std::string_view transaction, std::uint64_t connection,
                                        std::uint64_t term, std::string_view idempotency_id);
    [[nodiscard]] status rollback(std::string_view transaction, std::uint64_t connection);
    void connection_closed(std::uint64_t connection);

    // Returns true if another server of the group has received the entry at `index` and the first
    // entry of the current term. The highest position of any majority then includes the entry.
    [[nodiscard]] bool is_replicated(std::uint64_t index) const noexcept;

    // Orders of the control leader. Each fails with `error_kind::wrong_term` if `term` does not fit
    // the state of this server.
    [[nodiscard]] result<log_position> fence(std::uint64_t term);
    [[nodiscard]] result<std::uint64_t> promote(std::uint64_t term,
                                                std::span<const term_boundary> starts);
    [[nodiscard]] status follow(std::uint64_t term, std::string_view primary,
                                std::span<const term_boundary> starts);

    // Primary side of replication. `record_received` notes how much of the log `server` has
    // received, as stated by its request.
    void record_received(std::string_view server, const log_request& request);
    [[nodiscard]] result<log_batch> entries_for(const log_request& request,
                                                std::size_t limit) const;

    // Replica side of replication. `asked_at` is the time at which the request was sent.
    [[nodiscard]] log_request next_request() const noexcept;
    [[nodiscard]] status receive(std::uint64_t term, const log_batch& batch,
                                 clock::time_point asked_at, clock::time_point now);

    // Makes received entries visible once `lag` has passed since their arrival.
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
    // The primary's last index when it answered a log request. Data that includes this index is at
    // least as recent as `asked_at`.
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
    std::uint64_t term_start_ = 0; // while primary: last index of the earlier terms
    std::uint64_t following_ = 0;  // term of the primary that this server follows; 0 if none
    std::uint64_t applied_ = 0;
    replicated_log log_;
    versioned_store store_;
    std::unordered_map<std::string, std::uint64_t> idempotency_; // idempotency id to log index
    std::map<std::string, std::uint64_t, std::less<>> received_by_;
    std::deque<freshness> freshness_;
    std::deque<arrival> arrivals_;
    std::optional<clock::time_point> fresh_as_of_;
    transactions transactions_;
    std::uint64_t next_transaction_ = 1;
};

} // namespace primrosehead::standin
