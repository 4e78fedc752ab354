#include "cell_action_executor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <utility>

namespace primrosehead::cell {

namespace net = boost::asio;

namespace {

// Idle time after which a probe and its connection are closed. Checks of a primary run several
// times per second and share one connection.
constexpr clock::duration probe_idle_timeout{2'000};
constexpr clock::duration promotion_request_timeout{1'000};

std::string_view name_of(promotion::probe_result result) noexcept
{
    switch (result) {
    case promotion::probe_result::answered:
        return "answered";
    case promotion::probe_result::not_primary:
        return "not primary";
    case promotion::probe_result::refused:
        return "refused";
    case promotion::probe_result::silent:
        return "silent";
    case promotion::probe_result::not_sent:
        return "not sent";
    }
    return "unknown";
}

std::string_view name_of(promotion::promotion_outcome outcome) noexcept
{
    switch (outcome) {
    case promotion::promotion_outcome::accepted:
        return "accepted";
    case promotion::promotion_outcome::refused:
        return "refused";
    case promotion::promotion_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

action_executor::action_executor(net::any_io_executor executor, const line_dialect& dialect,
                                 promotion::platform& platform, event_log& events,
                                 std::string holder)
    : executor_(std::move(executor)), dialect_(dialect), platform_(platform), events_(events),
      holder_(std::move(holder))
{
}

std::shared_ptr<promotion::probe> action_executor::probe_for(const std::string& group,
                                                             const std::string& server,
                                                             const std::string& address)
{
    std::shared_ptr<promotion::probe>& probe = probes_[server];
    if (!probe || probe->address() != address) {
        probe = std::make_shared<promotion::probe>(executor_, dialect_, group, server, address);
    }
    return probe;
}

void action_executor::collect(const std::string& group, answer_handler deliver)
{
    answers_.push_back({group, std::move(deliver)});
}

void action_executor::deliver_answers(service& leader, clock::time_point now)
{
    for (const pending_answer& pending : std::exchange(answers_, {})) {
        if (promotion::planner* const planner = leader.find_planner(pending.group)) {
            pending.deliver(*planner, now);
        }
    }
}

void action_executor::discard_answers()
{
    answers_.clear();
    ++generation_;
}

void action_executor::close_idle_probes(clock::time_point now)
{
    std::erase_if(probes_, [now](const auto& item) {
        return !item.second->is_busy() && now - item.second->last_used_at() > probe_idle_timeout;
    });
}

void action_executor::log_order(std::string_view event, const order_context& order,
                                const promotion::status_answer& answer)
{
    events_.decision("promotion", event)
        .field("group", order.group)
        .field("server", order.server)
        .field("number", static_cast<std::int64_t>(order.number))
        .field("took_ms", (clock::now() - order.sent_at).count())
        .field("result", name_of(answer.result))
        .field("code", answer.code)
        .field("received", format_position(answer.status.received))
        .field("term", static_cast<std::int64_t>(answer.status.term))
        .field("term_held", static_cast<std::int64_t>(answer.status.term_held));
}

net::awaitable<void> action_executor::check_primary(std::string group,
                                                    promotion::check_primary action)
{
    const auto probe = probe_for(group, action.server, action.address);
    const std::uint64_t generation = generation_;
    const clock::time_point sent_at = clock::now();
    const promotion::primary_answer answer = co_await probe->check_primary();
    if (generation != generation_) {
        co_return;
    }
    collect(group, [server = action.server, answer, sent_at](promotion::planner& planner,
                                                             clock::time_point now) {
        switch (answer.result) {
        case promotion::probe_result::answered:
            planner.on_primary(server, answer.position, sent_at, now);
            break;
        case promotion::probe_result::not_primary:
            planner.on_not_primary(server, now);
            break;
        case promotion::probe_result::not_sent:
            break;
        case promotion::probe_result::refused:
        case promotion::probe_result::silent:
            planner.on_unreachable(server, answer.result == promotion::probe_result::refused, now);
            break;
        }
    });
}

net::awaitable<void> action_executor::check_status(std::string group,
                                                   promotion::check_status action)
{
    const auto probe = probe_for(group, action.server, action.address);
    const std::uint64_t generation = generation_;
    const clock::time_point sent_at = clock::now();
    const std::string statement(dialect_.status);
    const promotion::status_answer answer = co_await probe->execute(statement);
    // A busy server is neither down nor known to be in any state.
    const bool is_informative =
        answer.result != promotion::probe_result::not_sent && answer.code != dialect_.busy;
    if (generation != generation_ || !is_informative) {
        co_return;
    }
    collect(group, [server = action.server, answer, sent_at](promotion::planner& planner,
                                                             clock::time_point now) {
        if (answer.result == promotion::probe_result::answered) {
            planner.on_status(server, answer.status, sent_at, now);
        }
        else {
            planner.on_unreachable(server, answer.result == promotion::probe_result::refused, now);
        }
    });
}

net::awaitable<void> action_executor::pause(std::string group, promotion::pause_replica action)
{
    const auto probe = probe_for(group, action.server, action.address);
    const std::uint64_t generation = generation_;
    const std::string statement = fmt::format("{} {}", dialect_.pause, action.term);
    const order_context order{group, action.server, action.number, clock::now()};
    const promotion::status_answer answer = co_await probe->execute(statement);
    log_order("pause", order, answer);
    if (answer.result == promotion::probe_result::answered && generation == generation_) {
        collect(group, [action, answer](promotion::planner& planner, clock::time_point now) {
            planner.on_paused(action.server, action.number, answer.status, now);
        });
    }
}

net::awaitable<void> action_executor::demote(std::string group, promotion::demote_primary action)
{
    const auto probe = probe_for(group, action.server, action.address);
    const std::uint64_t generation = generation_;
    const std::string statement = fmt::format("{} {}", dialect_.step_down, action.term);
    const order_context order{group, action.server, action.number, clock::now()};
    const promotion::status_answer answer = co_await probe->execute(statement);
    log_order("demote", order, answer);
    if (answer.result == promotion::probe_result::answered && generation == generation_) {
        collect(group, [action, answer](promotion::planner& planner, clock::time_point now) {
            planner.on_demoted(action.server, action.number, answer.status, now);
        });
    }
}

net::awaitable<void> action_executor::resume(std::string group, promotion::resume_replica action)
{
    const auto probe = probe_for(group, action.server, action.address);
    const std::uint64_t generation = generation_;
    const std::string statement(dialect_.resume);
    const order_context order{group, action.server, action.number, clock::now()};
    const promotion::status_answer answer = co_await probe->execute(statement);
    log_order("resume", order, answer);
    if (answer.result == promotion::probe_result::answered && generation == generation_) {
        collect(group, [action, answer](promotion::planner& planner, clock::time_point now) {
            planner.on_resumed(action.server, answer.status, now);
        });
    }
}

// Together with the answer this tells which requests may be carried out late, and what their server
// had when they were sent.
void action_executor::log_request(std::string_view group,
                                  const promotion::request_promotion& action)
{
    std::string paused;
    for (const auto& [server, position] : action.evidence.paused) {
        paused +=
            fmt::format("{}{}={}", paused.empty() ? "" : ",", server, format_position(position));
    }
    events_.decision("promotion", "requested")
        .field("group", group)
        .field("server", action.server)
        .field("number", static_cast<std::int64_t>(action.number))
        .field("primary", action.evidence.primary)
        .field("received", format_position(action.evidence.received))
        .field("paused", paused)
        .field("demoted", format_position(action.evidence.demoted))
        .field("leaving_ms", action.evidence.leaving_for.value_or(clock::duration(-1)).count());
}

net::awaitable<void> action_executor::request_promotion(std::string group,
                                                        promotion::request_promotion action)
{
    const std::uint64_t generation = generation_;
    promotion::promotion_request request;
    request.group = group;
    request.server = action.server;
    request.holder = holder_;
    request.number = action.number;
    log_request(group, action);
    const clock::time_point sent_at = clock::now();
    const promotion::promotion_outcome outcome =
        co_await platform_.promote(request, sent_at + promotion_request_timeout);
    events_.decision("promotion", "call")
        .field("group", group)
        .field("server", action.server)
        .field("number", static_cast<std::int64_t>(action.number))
        .field("took_ms", (clock::now() - sent_at).count())
        .field("result", name_of(outcome));
    if (generation == generation_) {
        collect(group, [action, outcome](promotion::planner& planner, clock::time_point now) {
            planner.on_promotion_answer(action.server, action.number, outcome, now);
        });
    }
}

void action_executor::execute(const group_action& requested)
{
    using namespace promotion;
    if (const auto* const primary_check =
            std::get_if<promotion::check_primary>(&requested.action)) {
        net::co_spawn(executor_, check_primary(requested.group, *primary_check), net::detached);
    }
    else if (const auto* const status_check =
                 std::get_if<promotion::check_status>(&requested.action)) {
        net::co_spawn(executor_, check_status(requested.group, *status_check), net::detached);
    }
    else if (const auto* const pause_action = std::get_if<pause_replica>(&requested.action)) {
        net::co_spawn(executor_, pause(requested.group, *pause_action), net::detached);
    }
    else if (const auto* const demote_action = std::get_if<demote_primary>(&requested.action)) {
        net::co_spawn(executor_, demote(requested.group, *demote_action), net::detached);
    }
    else if (const auto* const resume_action = std::get_if<resume_replica>(&requested.action)) {
        net::co_spawn(executor_, resume(requested.group, *resume_action), net::detached);
    }
    else if (const auto* const promotion_action =
                 std::get_if<promotion::request_promotion>(&requested.action)) {
        net::co_spawn(executor_, request_promotion(requested.group, *promotion_action),
                      net::detached);
    }
}

} // namespace primrosehead::cell
