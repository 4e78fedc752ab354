// A client session that runs one operation at a time and sends each request to a randomly chosen
// entry.
#pragma once

#include "history_operation.h"
#include "load_plan.h"

#include <primrosehead/http.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace primrosehead::load {

// State shared by all sessions of a run. Not thread-safe.
struct run_context {
    const run_plan& plan;
    std::mt19937_64 random;
    std::uint64_t next_operation = 1;
    std::function<void(const std::string& line)> write_line;
    std::uint64_t operations = 0;
    std::uint64_t failed = 0;
};

// Returns the time of the monotonic clock in microseconds.
[[nodiscard]] std::int64_t now_us();

class session {
  public:
    session(std::shared_ptr<run_context> run, const organisation_plan& organisation,
            std::string name)
        : run_(std::move(run)), organisation_(organisation), name_(std::move(name))
    {
    }

    [[nodiscard]] bool is_busy() const noexcept { return busy_; }

    // Runs one operation of a random kind, weighted by the plan's shares.
    [[nodiscard]] boost::asio::awaitable<void> run_one();

  private:
    struct answer {
        bool arrived = false;
        unsigned status = 0;
        std::string body;
        std::string token;
        std::string request_id;
        std::string error;
        std::string ran; // field of a refusal: whether the request was executed
        std::string role;
    };
    struct call {
        std::string target;
        std::string body;
        std::string key; // caller's key
        std::string idempotency_key;
        bool with_token = true;
        bool counted = true;
        bool read = false;
    };
    struct added_counter {
        std::string database;
        std::string key;
    };

    [[nodiscard]] history::operation start(const std::string& kind);
    void finish(history::operation& op);
    [[nodiscard]] const database_plan& database() const { return *database_; }
    [[nodiscard]] std::string choose_kind();
    [[nodiscard]] const std::string& choose_entry();
    [[nodiscard]] std::string group_name();
    void choose_database();

    boost::asio::awaitable<answer> send(const history::operation& op, const call& outgoing);
    boost::asio::awaitable<answer> send_once(const call& outgoing);
    void record_request(const history::operation& op, const call& outgoing, const answer& reply,
                        std::int64_t called_us);
    void apply_answer(history::operation& op, const answer& reply);
    [[nodiscard]] call statement(const std::string& route, const std::string& text) const;

    boost::asio::awaitable<void> write();
    boost::asio::awaitable<void> read(const std::string& kind);
    boost::asio::awaitable<void> read_counter();
    boost::asio::awaitable<void> scan();
    boost::asio::awaitable<void> transaction(const std::string& kind);
    boost::asio::awaitable<void> add();
    boost::asio::awaitable<void> attempt_unauthorised_read(const std::string& kind);
    boost::asio::awaitable<bool> put_group(history::operation& op, const std::string& transaction);

    std::shared_ptr<run_context> run_;
    const organisation_plan& organisation_;
    std::string name_;
    const database_plan* database_ = nullptr;
    std::string token_;
    std::map<std::string, std::unique_ptr<http::client>> clients_;
    std::deque<added_counter> counters_;
    bool busy_ = false;
};

} // namespace primrosehead::load
