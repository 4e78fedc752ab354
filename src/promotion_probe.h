// Asks one backend server whether it leads, for its status, and gives it orders.
#pragma once

#include "line_connection.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace primrosehead::promotion {

enum class probe_result { answered, not_primary, refused, silent };

struct primary_answer {
    probe_result result = probe_result::silent;
    log_position position;
};
struct status_answer {
    probe_result result = probe_result::silent;
    server_status status;
    std::string code; // of an error that the server answered
};

class probe {
  public:
    probe(boost::asio::any_io_executor executor, const line_dialect& dialect, std::string group,
          std::string server, std::string address);

    // Begins and rolls back a transaction that only a primary begins. Takes no slot.
    // One question at a time; a second one waits.
    [[nodiscard]] boost::asio::awaitable<primary_answer> check_primary();

    // `statement`: status, pause, resume or step-down, which all answer with the status.
    [[nodiscard]] boost::asio::awaitable<status_answer> execute(const std::string& statement);

    [[nodiscard]] bool is_busy() const noexcept { return is_busy_; }
    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    // When it was used last: an idle connection takes one of the server's few.
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
    std::string connect_error_code_; // why the server refused the last connection
    [[nodiscard]] boost::asio::awaitable<void> acquire();

    bool is_busy_ = false;
    clock::time_point last_used_at_{};
};

} // namespace primrosehead::promotion
