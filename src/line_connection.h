// One connection to a backend server over the session line protocol.
#pragma once

#include "line_answer.h"
#include "line_dialect.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace primrosehead {

// Why a connection could not be opened.
enum class open_failure_kind {
    refused,   // nothing listens on the address, or the connection was reset
    timed_out, // no answer before the deadline
    rejected,  // the server answered with an error
};
struct open_failure {
    open_failure_kind kind = open_failure_kind::refused;
    std::string code;
};

// The answers received for the queries of one exchange. The connection must not be reused after
// `is_broken` or `has_timed_out`.
struct line_exchange {
    std::vector<line_answer> answers;
    bool is_unsent = false; // the connection was not usable any more; broken as well
    bool is_broken = false;
    bool has_timed_out = false;

    [[nodiscard]] bool is_complete() const noexcept { return !is_broken && !has_timed_out; }

    // The answer to a statement inside a transaction that was sent with the ROLLBACK behind it.
    // Null if it is missing; an error of an incomplete exchange may be the ROLLBACK's.
    [[nodiscard]] const line_answer* answer_before_rollback() const noexcept;
};

class line_connection {
  public:
    using open_result = std::variant<std::unique_ptr<line_connection>, open_failure>;

    // Connects to "IP:PORT" and sends the startup line, which must end in CR LF. Pass a named
    // variable as `startup`: g++ 12 copies temporary aggregates of awaited calls bitwise.
    [[nodiscard]] static boost::asio::awaitable<open_result>
    open(boost::asio::any_io_executor executor, const line_dialect& dialect,
         const std::string& address, const std::string& startup, clock::time_point deadline);

    // Sends `queries` and reads `count` answers, unless the connection is not usable any more.
    // `last_state` is the state that only the last answer reports: if an earlier one does, an
    // answer was lost, and the exchange is broken.
    [[nodiscard]] boost::asio::awaitable<line_exchange>
    exchange(const std::string& queries, std::size_t count, clock::time_point deadline,
             std::optional<session_state> last_state = std::nullopt);

    // Returns false if the server closed the idle connection or sent unsolicited data.
    [[nodiscard]] bool is_usable();

    // The last log position reported by the server.
    [[nodiscard]] const std::optional<log_position>& position() const noexcept { return position_; }

    ~line_connection();
    line_connection(const line_connection&) = delete;
    line_connection& operator=(const line_connection&) = delete;

  private:
    line_connection(const boost::asio::any_io_executor& executor, const line_dialect& dialect);

    void arm_timer(clock::time_point deadline);
    void disarm_timer();
    [[nodiscard]] boost::asio::awaitable<void> read_answers(std::size_t count,
                                                            line_exchange& outcome);
    [[nodiscard]] bool consume_lines(std::size_t count, line_exchange& outcome);
    [[nodiscard]] bool feed_line(std::string_view line, line_exchange& outcome);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> expired_ = std::make_shared<bool>(false);
    line_answer_reader reader_;
    std::string buffer_;
    std::size_t consumed_ = 0;
    std::optional<log_position> position_;
    std::optional<session_state> last_state_; // of the exchange in progress
};

} // namespace primrosehead
