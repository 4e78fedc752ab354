// Checks whether one backend server is the primary, and sends it status requests and orders.
#pragma once

#include "line_connection.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace primrosehead::promotion {

enum class probe_result {
    answered,
    not_primary,
    refused,  // nothing accepts connections
    silent,   // no answer, or none that belongs to the request
    not_sent, // the order was outdated before the server could be asked
};

struct primary_answer {
    probe_result result = probe_result::silent;
    log_position position;
};
struct status_answer {
    probe_result result = probe_result::silent;
    server_status status;
    std::string code; // error code from the server, if any
};

class probe {
  public:
    probe(boost::asio::any_io_executor executor, const line_dialect& dialect, std::string group,
          std::string server, std::string address);

    // Begins and rolls back a transaction that only a primary accepts. Occupies no slot of the
    // server. Requests run one at a time; further ones wait.
    [[nodiscard]] boost::asio::awaitable<primary_answer> check_primary();

    // Executes a status, pause, resume or step-down statement, all of which return the status. It
    // is not sent any more once its timeout has passed: the caller may have stopped leading
    // meanwhile.
    [[nodiscard]] boost::asio::awaitable<status_answer> execute(const std::string& statement);

    [[nodiscard]] bool is_busy() const noexcept { return is_busy_; }
    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    // Time of the last request. An idle connection counts against the server's connection limit.
    [[nodiscard]] clock::time_point last_used_at() const noexcept { return last_used_at_; }

  private:
    [[nodiscard]] boost::asio::awaitable<probe_result> connect(clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<line_exchange>
    exchange(const std::string& queries, std::size_t count, clock::time_point deadline);

    boost::asio::any_io_executor executor_;
    const line_dialect& dialect_;
    std::string group_;
    std::string server_;
    std::string address_;
    std::unique_ptr<line_connection> connection_;
    std::string connect_error_code_; // of the latest attempt to connect, empty if it succeeded
    [[nodiscard]] boost::asio::awaitable<void> acquire();

    bool is_busy_ = false;
    clock::time_point last_used_at_{};
};

} // namespace primrosehead::promotion
