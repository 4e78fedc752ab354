// Backend server for tests: speaks the session line protocol, records the queries that it receives
// and injects faults on demand.
#pragma once

#include "line_dialect.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::testing {

class line_server {
  public:
    explicit line_server(const boost::asio::any_io_executor& executor);
    ~line_server();
    line_server(const line_server&) = delete;
    line_server& operator=(const line_server&) = delete;

    // IP:PORT.
    [[nodiscard]] std::string address() const;

    // Query texts in the order of arrival.
    [[nodiscard]] const std::vector<std::string>& received() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

    // From now on, records each write and closes its connection without an answer.
    void drop_write_answers();

    // From now on, records each commit and closes its connection without an answer.
    void drop_commit_answers();

    // From now on, fails up to `times` queries that begin with `prefix`, without running them.
    void fail_queries(std::string prefix, std::string_view code = line_dialect{}.statement_failed,
                      std::size_t times = std::numeric_limits<std::size_t>::max());

    // From now on, runs queries that begin with `prefix` and sends no answers to them, `times`
    // times.
    void lose_answers(std::string prefix,
                      std::size_t times = std::numeric_limits<std::size_t>::max());

    // From now on, answers statements without a signature.
    void omit_signatures();

    // What is sent in place of an answer.
    struct changed_answer {
        std::string bytes;
        bool is_last = false; // the connection is closed behind it
    };
    using answer_change = std::function<changed_answer(std::string answer)>;

    // From now on, runs queries that begin with `prefix` and changes what is sent, `times` times.
    void change_answers(std::string prefix, answer_change change,
                        std::size_t times = std::numeric_limits<std::size_t>::max());

    // From now on, rejects connections beyond `limit` open ones.
    void limit_connections(std::size_t limit);

    // From now on a replica, which begins no transaction, with this index in term 1.
    void follow(std::uint64_t log_index);

    // From now on, answers each read with this row.
    void set_row(std::string row);

    // Delays the answers to queries.
    void delay_answers(clock::duration time);

  private:
    struct state;
    static boost::asio::awaitable<void> serve(std::shared_ptr<state> self,
                                              boost::asio::ip::tcp::socket socket);
    static boost::asio::awaitable<void> accept(std::shared_ptr<state> self);

    std::shared_ptr<state> state_;
};

// Changes of answers. `replace` requires that the answer contains `from`.
[[nodiscard]] line_server::answer_change replace(std::string from, std::string to);
[[nodiscard]] line_server::answer_change send(std::string bytes, bool is_last = false);

// Returns how often the server received the query.
[[nodiscard]] std::size_t count(const line_server& server, std::string_view query);

} // namespace primrosehead::testing
