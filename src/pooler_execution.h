// Executes a session's statements on backend servers: selects the server and connection, retries,
// and builds the answer to the client. Single-threaded.
//
// A single statement that certainly did not run is retried within the route's timeout, elsewhere if
// possible. A transaction whose connection fails before COMMIT is sent has had no effect.
#pragma once

#include "document.h"
#include "line_answer.h"
#include "pooler_context.h"
#include "pooler_home_message.h"
#include "pooler_home_table.h"
#include "pooler_pool.h"
#include "pooler_state.h"
#include "pooler_wait.h"

#include <primrosehead/clock.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class home_request;
}

namespace primrosehead::pooler {

// Who runs an operation. The right to do so is checked again whenever a statement goes out.
struct caller {
    std::string database;
    std::string key;
};

// Parameters of an operation, fixed when it begins.
struct operation {
    std::shared_ptr<const document> snapshot; // keeps `route` alive
    const document_route* route = nullptr;
    std::string organisation;
    clock::time_point began_at; // when it was received
    std::optional<caller> from; // none at a home: the origin checks the right
};

// A statement to send to a server. `text` uses the pool's names of prepared statements.
struct server_statement {
    std::string id;
    std::string text;
    bool is_write = false;
    const prepared_statement* prepared = nullptr; // to prepare on the connection first, if any
};

// What is known about the last statement at a server.
enum class server_contact {
    none,      // not sent: no connection to the server
    saturated, // not sent: no connection became free in time
    refused,   // not sent: the server did not begin the transaction that it needs
    answered,
    lost, // sent, not answered
};

// At a home: the server that the origin chose, and the position that a replica must have.
struct pinned_server {
    std::string id;
    std::optional<log_position> minimum;
};

class execution {
  public:
    execution(context& ctx, session_context& session) : context_(ctx), session_(session) {}
    ~execution();
    execution(const execution&) = delete;
    execution& operator=(const execution&) = delete;

    // Runs a statement outside a transaction.
    [[nodiscard]] boost::asio::awaitable<line_answer> run_single(const operation& op,
                                                                 const server_statement& statement);

    // At a home: limits the execution to one server and to one attempt.
    void pin(pinned_server pinned) { pinned_ = std::move(pinned); }
    [[nodiscard]] boost::asio::awaitable<line_answer>
    run_pinned(const operation& op, const server_statement& statement, clock::time_point deadline);
    void begin_pinned(const operation& op, bool read_only);
    [[nodiscard]] server_contact contact() const noexcept { return contact_; }

    // Begins a transaction. Its connection is acquired in the background, while the client prepares
    // the first statement.
    void begin(const operation& op, bool read_only);
    [[nodiscard]] bool is_open() const noexcept { return is_open_; }
    [[nodiscard]] const operation& transaction() const noexcept { return transaction_; }
    [[nodiscard]] bool has_written() const noexcept { return has_written_; }
    [[nodiscard]] boost::asio::awaitable<line_answer> run(const server_statement& statement);
    [[nodiscard]] boost::asio::awaitable<line_answer> commit(const std::string& id);

    // Rolls back and releases the connection, without waiting for the server.
    void roll_back();

    // True if the transaction is open at a server of an evacuated failure domain and its time to
    // finish there is over.
    [[nodiscard]] bool must_end(clock::time_point now) const;

    // Closes a connection acquired in the background if no operation may begin at its server any
    // more. The transaction's first statement then acquires another one.
    void drop_closed_prefetch(clock::time_point now);

    // Server of the last statement and the number of attempts, for the log.
    [[nodiscard]] const std::string& last_server() const noexcept { return last_server_; }
    // The home that ran the last statement; empty: an own connection.
    [[nodiscard]] const std::string& last_home() const noexcept { return last_home_; }
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

    // False if the last operation never obtained a connection to a server.
    [[nodiscard]] bool has_reached_server() const noexcept { return has_reached_server_; }

    // Time that the last statement waited for a connection, including the time to open it.
    [[nodiscard]] clock::duration connection_wait() const noexcept { return connection_wait_; }

  private:
    static constexpr std::uint32_t max_attempts = 4;

    struct connection_prefetch;
    // A transaction that a home runs.
    struct home_transaction {
        // Expired if the instance is destroyed before this execution.
        std::weak_ptr<home_client> client;
        std::shared_ptr<pooled_server> server;
        home_address home;
        std::uint64_t number = 0;
        std::uint32_t step = 0; // of the last statement
    };
    enum class next_step { finish, retry };
    struct attempt_result {
        next_step next = next_step::finish;
        line_answer answer;
        server_contact contact = server_contact::answered;
    };

    // Brings the connection into the session's state, with `needed` prepared. Returns the refusal
    // if this failed; the connection's state is unknown then.
    [[nodiscard]] boost::asio::awaitable<std::optional<attempt_result>>
    set_up(pooled_connection& connection, const setup_queries& setup,
           const prepared_statement* needed, bool in_transaction, clock::time_point deadline);
    // Does this for the transaction's next statement. Returns the answer if the transaction ended.
    [[nodiscard]] boost::asio::awaitable<std::optional<line_answer>>
    set_up_transaction(const prepared_statement* needed, clock::time_point deadline);
    // Runs a single statement: without `minimum` at the primary.
    [[nodiscard]] boost::asio::awaitable<attempt_result>
    run_on(std::unique_ptr<pooled_connection> connection, const operation& op,
           const server_statement& statement, std::optional<log_position> minimum,
           clock::time_point deadline);
    [[nodiscard]] std::optional<attempt_result>
    check_single(const operation& op, const pooled_server& server, bool needs_primary) const;
    [[nodiscard]] boost::asio::awaitable<attempt_result>
    read_at_primary(std::unique_ptr<pooled_connection> connection, const operation& op,
                    const server_statement& statement, clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<attempt_result>
    read_at_replica(std::unique_ptr<pooled_connection> connection,
                    const server_statement& statement, log_position minimum,
                    clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<attempt_result>
    write_at_primary(std::unique_ptr<pooled_connection> connection,
                     const server_statement& statement, clock::time_point deadline);
    // `received_at`: when the transaction was to obtain its connection.
    [[nodiscard]] boost::asio::awaitable<std::optional<line_answer>>
    open_transaction(const server_statement& first, clock::time_point received_at);
    [[nodiscard]] boost::asio::awaitable<std::optional<line_answer>>
    ensure_connection(const server_statement& first);
    [[nodiscard]] boost::asio::awaitable<void> await_prefetch();
    static boost::asio::awaitable<void> run_prefetch(std::shared_ptr<connection_prefetch> prefetch);
    [[nodiscard]] boost::asio::awaitable<attempt_result>
    begin_on(std::unique_ptr<pooled_connection> connection, const server_statement& first,
             std::optional<log_position> minimum, clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<bool> begin_at_primary(pooled_connection& connection,
                                                                const setup_queries& setup,
                                                                const server_statement& statement,
                                                                clock::time_point deadline,
                                                                attempt_result& outcome);

    [[nodiscard]] boost::asio::awaitable<std::optional<line_answer>>
    prepare_step(const server_statement& statement, bool is_commit);
    [[nodiscard]] bool may_run_again(const line_answer& answer, clock::time_point now,
                                     clock::time_point deadline) const;
    [[nodiscard]] boost::asio::awaitable<bool> start_statement(clock::time_point deadline,
                                                               bool is_commit);

    // Operations that a home runs (pooler_execution_home.cpp).
    [[nodiscard]] bool may_use_home(const operation& op) const;
    // Returns nothing if no home can be used.
    [[nodiscard]] boost::asio::awaitable<std::optional<attempt_result>>
    run_at_home(const operation& op, const server_statement& statement,
                std::optional<log_position> minimum, clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<std::optional<line_answer>>
    begin_at_home(const server_statement& first, bool is_commit);
    [[nodiscard]] boost::asio::awaitable<line_answer>
    continue_at_home(const server_statement& statement, bool is_commit);
    [[nodiscard]] boost::asio::awaitable<home_result>
    call_home(const home_address& home, pooled_server& server, pb::home_request& request,
              home_call_kind kind, clock::time_point deadline);
    void describe_call(const operation& op, const server_statement& statement,
                       const pooled_server& server, clock::time_point deadline,
                       pb::home_request& request) const;
    [[nodiscard]] attempt_result classify_home_result(const operation& op, pooled_server& server,
                                                      home_call_kind kind, home_result result,
                                                      clock::time_point sent_at);
    [[nodiscard]] std::vector<home_address> allowed_homes(const pooled_server& server,
                                                          const operation& op);
    [[nodiscard]] bool has_other_server(const operation& op, clock::time_point deadline) const;
    [[nodiscard]] boost::asio::awaitable<std::optional<attempt_result>>
    begin_at_server(std::shared_ptr<pooled_server> server, const server_statement& first,
                    bool is_commit, std::optional<log_position> minimum,
                    clock::time_point deadline);
    [[nodiscard]] attempt_result record_unreachable(const operation& op, pooled_server& server,
                                                    bool any_server);
    [[nodiscard]] line_answer finish_at_home(home_result result, bool is_commit,
                                             const server_statement& statement,
                                             clock::time_point sent_at);
    void roll_back_at_home();

    [[nodiscard]] boost::asio::awaitable<line_exchange>
    exchange(pooled_connection& connection, const std::string& queries, std::size_t count,
             clock::time_point deadline, std::optional<session_state> last_state = std::nullopt);
    // Sends one statement of the client. A success without a signature, or in another state than
    // `state_after_success`, is not its answer.
    [[nodiscard]] boost::asio::awaitable<line_exchange>
    exchange_statement(pooled_connection& connection, const std::string& query,
                       session_state state_after_success, clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<acquire_result> acquire(connection_request& request);
    [[nodiscard]] std::optional<log_position> minimum_position(const operation& op,
                                                               clock::time_point now);
    [[nodiscard]] connection_request make_request(const operation& op, required_role role,
                                                  clock::time_point deadline) const;
    [[nodiscard]] line_answer abort_unsent(const pooled_server& server);
    [[nodiscard]] std::optional<line_answer> check_transaction_right();
    [[nodiscard]] std::optional<line_answer> check_before_sending(const pooled_server& server);
    [[nodiscard]] line_answer make_refusal(acquire_error reason, const operation& op) const;
    // The answer of a transaction that ended with its connection, before its commit was sent.
    [[nodiscard]] line_answer make_connection_failure() const;
    [[nodiscard]] line_answer refuse_to_begin(line_answer answer) const;
    [[nodiscard]] attempt_result refuse_unbegun(const pooled_server& server);
    [[nodiscard]] line_answer refuse_unknown_statement(const pooled_server& server) const;
    [[nodiscard]] attempt_result refuse_unprepared(const pooled_server& server,
                                                   std::span<const line_answer> setup);
    [[nodiscard]] attempt_result classify_read(pooled_server& server, line_answer answer);
    [[nodiscard]] attempt_result classify_write(pooled_server& server, line_answer answer,
                                                clock::time_point sent_at);
    // What a refusal may say of the operation. An earlier attempt of a read may have run.
    [[nodiscard]] std::string_view claim() const noexcept
    {
        return has_lost_answer_ ? "no effect" : "not run";
    }
    void record_retry(const operation& op, const server_statement& statement,
                      std::string_view server, std::string_view reason);
    void record_commit(const line_answer& answer, pooled_server& server, clock::time_point sent_at);

    context& context_;
    session_context& session_;

    bool is_open_ = false;
    bool is_read_only_ = false;
    bool has_begun_ = false; // its server has run a statement
    bool has_written_ = false;
    operation transaction_;
    std::unique_ptr<pooled_connection> connection_;
    std::shared_ptr<connection_prefetch> prefetch_; // until the first statement

    std::optional<pinned_server> pinned_;
    server_contact contact_ = server_contact::none;
    std::optional<home_transaction> home_transaction_; // set while it is open at a home
    std::vector<std::string> excluded_servers_;
    bool prefers_primary_ = false;
    std::string last_server_;
    std::string last_home_;
    std::uint32_t attempts_ = 0;
    clock::duration connection_wait_{0};
    bool has_reached_server_ = false;
    bool has_lost_answer_ = false; // of an attempt of the present operation
    wait_budget budget_;
};

} // namespace primrosehead::pooler
