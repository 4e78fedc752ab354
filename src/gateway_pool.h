// Pool of this instance's connections to one backend server. A fair queue admits statements to the
// server's slots, and another admits transactions, each of which is pinned to a connection. All
// calls are made on the server's strand.
#pragma once

#include "gateway_admission.h"
#include "gateway_connection.h"
#include "gateway_context.h"
#include "gateway_transaction.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace primrosehead {

// Address and limits of a server, from its reports.
struct pool_limits {
    std::string url;
    std::uint32_t slots = 1;
    std::uint32_t connection_limit = 1;

    friend bool operator==(const pool_limits&, const pool_limits&) = default;
};

class gateway_pool {
  public:
    gateway_pool(std::shared_ptr<gateway_context> context, boost::asio::any_io_executor strand,
                 pool_limits limits);

    void configure(const pool_limits& limits);

    // Runs a statement outside transactions.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>>
    execute(pb::backend_request request, clock::time_point deadline);

    // Begins transaction `number`. The reply carries the server's own identifier of it.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>>
    begin(pb::backend_request request, std::uint64_t number, clock::time_point deadline);

    // Runs a statement, commit or rollback of transaction `number`.
    [[nodiscard]] boost::asio::awaitable<result<pb::backend_reply>>
    run_in_transaction(std::uint64_t number, pb::backend_request request,
                       clock::time_point deadline);

    // Closes idle connections, and those of abandoned transactions, which rolls these back.
    void sweep(clock::time_point now);

  private:
    using connection_ptr = std::shared_ptr<gateway_connection>;
    using outcome = result<pb::backend_reply>;

    struct idle_connection {
        connection_ptr connection;
        clock::time_point since;
    };

    struct acquired_connection {
        connection_ptr connection;
        bool is_reused = false;
    };

    struct pinned_transaction {
        transaction_machine states;
        connection_ptr connection;
        std::uint64_t number = 0;
        std::string organisation;
        std::string server_transaction_id; // as issued by the server
        std::uint32_t weight = 1;
        bool write = false;
        fair_queue::ticket ticket = 0;
        clock::time_point begun_at;
        clock::time_point last_used;
    };
    using pinned = std::shared_ptr<pinned_transaction>;

    [[nodiscard]] std::uint32_t capacity() const noexcept;
    [[nodiscard]] std::uint32_t transaction_slots() const noexcept;

    boost::asio::awaitable<result<acquired_connection>>
    acquire_connection(clock::time_point deadline);
    boost::asio::awaitable<outcome>
    call_with_resend(pb::backend_request request, connection_ptr& used, clock::time_point deadline);
    void release_connection(connection_ptr connection);

    boost::asio::awaitable<outcome> begin_admitted(pb::backend_request request,
                                                   std::uint64_t number, fair_queue::ticket ticket,
                                                   clock::time_point deadline);
    boost::asio::awaitable<outcome> statement(pinned transaction, pb::backend_request request,
                                              clock::time_point deadline);
    boost::asio::awaitable<outcome> commit(pinned transaction, pb::backend_request request,
                                           clock::time_point deadline);
    boost::asio::awaitable<outcome> roll_back(pinned transaction, pb::backend_request request,
                                              clock::time_point deadline);
    void remove_transaction(const pinned& transaction);

    std::shared_ptr<gateway_context> context_;
    boost::asio::any_io_executor strand_;
    pool_limits limits_;
    gateway_admission statement_queue_;
    gateway_admission transaction_queue_;
    std::vector<idle_connection> idle_;
    std::unordered_map<std::uint64_t, pinned> transactions_;
    std::shared_ptr<std::uint32_t> open_ = std::make_shared<std::uint32_t>(0);
};

} // namespace primrosehead
