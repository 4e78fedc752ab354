// Executes a leader's actions: probes of and commands to backend servers, and promotion
// requests to the platform. Collects the answers for the promotion planners.
#pragma once

#include "cell_service.h"
#include "event_log.h"
#include "line_dialect.h"
#include "promotion_platform.h"
#include "promotion_probe.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace primrosehead::cell {

class action_executor {
  public:
    action_executor(boost::asio::any_io_executor executor, const line_dialect& dialect,
                    promotion::platform& platform, event_log& events, std::string holder);

    // Starts the action; its answer is collected later. Ignores decisions, which go through the
    // replicated log.
    void execute(const group_action& requested);

    // Passes the answers collected since the last call to the planners of `leader`.
    void deliver_answers(service& leader, clock::time_point now);

    // Discards all answers, collected and outstanding: they belong to an earlier service.
    void discard_answers();

    // Closes the connections of probes that are no longer in use.
    void close_idle_probes(clock::time_point now);

  private:
    using answer_handler = std::function<void(promotion::planner& planner, clock::time_point now)>;
    struct pending_answer {
        std::string group;
        answer_handler deliver;
    };

    // An order to a server, for the log.
    struct order_context {
        std::string_view group;
        std::string_view server;
        std::uint64_t number = 0; // of the decision
        clock::time_point sent_at;
    };

    [[nodiscard]] std::shared_ptr<promotion::probe>
    probe_for(const std::string& group, const std::string& server, const std::string& address);
    boost::asio::awaitable<void> check_primary(std::string group, promotion::check_primary action);
    boost::asio::awaitable<void> check_status(std::string group, promotion::check_status action);
    boost::asio::awaitable<void> pause(std::string group, promotion::pause_replica action);
    boost::asio::awaitable<void> demote(std::string group, promotion::demote_primary action);
    boost::asio::awaitable<void> resume(std::string group, promotion::resume_replica action);
    boost::asio::awaitable<void> request_promotion(std::string group,
                                                   promotion::request_promotion action);
    void log_order(std::string_view event, const order_context& order,
                   const promotion::status_answer& answer);
    void log_request(std::string_view group, const promotion::request_promotion& action);
    void collect(const std::string& group, answer_handler deliver);

    boost::asio::any_io_executor executor_;
    const line_dialect& dialect_;
    promotion::platform& platform_;
    event_log& events_;
    std::string holder_;
    std::map<std::string, std::shared_ptr<promotion::probe>, std::less<>> probes_;
    std::vector<pending_answer> answers_;
    std::uint64_t generation_ = 0; // increases with every discard_answers()
};

} // namespace primrosehead::cell
