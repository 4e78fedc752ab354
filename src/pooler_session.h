// Session of one client: answers its statements and keeps its values, prepared statements and open
// transaction. Single-threaded.
#pragma once

#include "commit_gate.h"
#include "line_statement.h"
#include "pooler_context.h"
#include "pooler_execution.h"
#include "pooler_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {
class event_line;
}

namespace primrosehead::pooler {

class session : public std::enable_shared_from_this<session> {
  public:
    session(context& ctx, boost::asio::ip::tcp::socket socket, std::uint64_t number);

    // Serves the client until it disconnects or the session is closed.
    [[nodiscard]] boost::asio::awaitable<void> run();

    // Closes the session unless an operation or transaction is in progress, so that the client
    // loses no work. Returns whether it is closed.
    bool close_if_idle();

    // Rolls back an open transaction that is idle. Its next statement fails, and COMMIT reports
    // `reason`.
    void abort_transaction(std::string_view reason);

    // Rolls back an open transaction that is idle at a server of an evacuated failure domain, once
    // its time to finish there is over. Its next statement reports this.
    void leave_evacuated_server(clock::time_point now);

    [[nodiscard]] bool is_busy() const noexcept { return is_busy_; }
    [[nodiscard]] bool is_in_transaction() const noexcept { return execution_.is_open(); }

  private:
    enum class read_result { line, closed, too_large };

    [[nodiscard]] boost::asio::awaitable<read_result> read_line(std::string& line);
    [[nodiscard]] boost::asio::awaitable<bool> start();
    [[nodiscard]] boost::asio::awaitable<bool> handle_message(const std::string& line);
    [[nodiscard]] boost::asio::awaitable<line_answer> answer(const std::string& id,
                                                             std::string_view text);
    [[nodiscard]] boost::asio::awaitable<line_answer>
    run_statement(const std::string& id, const line_statement& statement, std::string_view text);
    [[nodiscard]] boost::asio::awaitable<line_answer> end_transaction(const std::string& id,
                                                                      bool commit);
    [[nodiscard]] boost::asio::awaitable<line_answer> begin_transaction(bool read_only);
    [[nodiscard]] boost::asio::awaitable<line_answer> run_write(const operation& op,
                                                                const server_statement& statement);
    [[nodiscard]] boost::asio::awaitable<line_answer> commit_transaction(const std::string& id);
    // `sent_at`: when the commit was passed on.
    [[nodiscard]] boost::asio::awaitable<line_answer>
    confirm_commit(line_answer answer, const operation& op, commit_mark mark,
                   clock::time_point sent_at, clock::time_point deadline);
    [[nodiscard]] line_answer update_state(const line_statement& statement);
    [[nodiscard]] boost::asio::awaitable<std::optional<line_answer>> admit(operation& op);
    void refund_unused_token(const operation& op);
    [[nodiscard]] std::optional<line_answer> translate(const line_statement& statement,
                                                       std::string_view text,
                                                       server_statement& translated) const;
    [[nodiscard]] line_answer success() const;
    void record_statement(const std::string& id, std::string_view text, const line_answer& answer,
                          clock::time_point began_at);
    void add_decision_fields(event_line& line, answer_cause cause) const;
    void write_answer(const line_answer& answer);
    [[nodiscard]] boost::asio::awaitable<bool> flush();
    void arm_idle_timer();

    context& context_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer idle_timer_;
    std::uint64_t number_;

    std::string input_;
    std::size_t consumed_ = 0;
    bool has_partial_line_ = false; // part of a line was received
    std::string output_;
    bool is_busy_ = true; // the startup counts as an operation
    bool is_closed_ = false;

    caller from_;
    session_context state_;
    execution execution_;
    bool has_failed_transaction_ = false; // until the client ends the transaction
    std::string failure_reason_;
    bool is_abort_unreported_ = false; // of a transaction aborted by an evacuation
};

} // namespace primrosehead::pooler
