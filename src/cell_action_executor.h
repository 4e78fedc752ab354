// Carries out a leader's questions and orders to backend servers and the platform, and collects the
// answers.
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

    void execute(const group_action& due);

    // Hands what was answered since to the plans.
    void deliver_answers(service& to, clock::time_point now);

    // Answers on their way belong to a service before.
    void discard_answers();

    // Closes connections that no check uses any more.
    void close_idle_probes(clock::time_point now);

  private:
    using answer_handler = std::function<void(promotion::planner& plan, clock::time_point now)>;
    struct pending_answer {
        std::string group;
        answer_handler deliver;
    };

    [[nodiscard]] std::shared_ptr<promotion::probe>
    probe_for(const std::string& group, const std::string& server, const std::string& address);
    boost::asio::awaitable<void> check_primary(std::string group, promotion::check_primary action);
    boost::asio::awaitable<void> check_status(std::string group, promotion::check_status action);
    boost::asio::awaitable<void> pause(std::string group, promotion::pause_replica action);
    boost::asio::awaitable<void> demote(std::string group, promotion::demote_primary action);
    boost::asio::awaitable<void> resume(std::string group, promotion::resume_replica action);
    boost::asio::awaitable<void> call(std::string group, promotion::request_promotion action);
    void log_action(std::string_view group, std::string_view order, std::string_view server,
                    const promotion::status_answer& told);
    void collect(const std::string& group, answer_handler deliver);

    boost::asio::any_io_executor executor_;
    const line_dialect& dialect_;
    promotion::platform& platform_;
    event_log& events_;
    std::string holder_;
    std::map<std::string, std::shared_ptr<promotion::probe>, std::less<>> probes_;
    std::vector<pending_answer> answers_;
    std::uint64_t generation_ = 0;
};

} // namespace primrosehead::cell
