#include "cell_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <utility>

namespace primrosehead::cell {

namespace net = boost::asio;

namespace {

constexpr clock::duration close_after{2'000}; // checks of a primary come several times a second
constexpr clock::duration call_timeout{1'000};

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

orders::orders(net::any_io_executor executor, const line_dialect& dialect,
               promotion::platform& platform, event_log& events, std::string holder)
    : executor_(std::move(executor)), dialect_(dialect), platform_(platform), events_(events),
      holder_(std::move(holder))
{
}

std::shared_ptr<promotion::probe>
orders::probe_for(const std::string& group, const std::string& server, const std::string& address)
{
    std::shared_ptr<promotion::probe>& found = probes_[server];
    if (!found || found->address() != address) {
        found = std::make_shared<promotion::probe>(executor_, dialect_, group, server, address);
    }
    return found;
}

void orders::collect(const std::string& group, answer give)
{
    answers_.push_back({group, std::move(give)});
}

void orders::give_answers(service& to, clock::time_point now)
{
    for (const collected& each : std::exchange(answers_, {})) {
        if (promotion::planner* const plan = to.find(each.group)) {
            each.give(*plan, now);
        }
    }
}

void orders::forget_answers()
{
    answers_.clear();
    ++generation_;
}

void orders::close_idle(clock::time_point now)
{
    std::erase_if(probes_, [now](const auto& item) {
        return !item.second->is_busy() && now - item.second->last_used_at() > close_after;
    });
}

void orders::note_order(std::string_view group, std::string_view order, std::string_view server,
                        const promotion::status_answer& told)
{
    events_.decision("promotion", order)
        .field("group", group)
        .field("server", server)
        .field("result", name_of(told.result))
        .field("code", told.code)
        .field("received", format_position(told.status.received))
        .field("term_held", static_cast<std::int64_t>(told.status.term_held));
}

net::awaitable<void> orders::check_primary(std::string group, promotion::check_primary what)
{
    const auto probe = probe_for(group, what.server, what.address);
    const std::uint64_t generation = generation_;
    const clock::time_point asked_at = clock::now();
    const promotion::primary_answer told = co_await probe->check_primary();
    if (generation != generation_) {
        co_return;
    }
    collect(group, [server = what.server, told, asked_at](promotion::planner& plan,
                                                          clock::time_point now) {
        switch (told.result) {
        case promotion::probe_result::answered:
            plan.on_primary(server, told.position, asked_at, now);
            break;
        case promotion::probe_result::not_primary:
            plan.on_not_primary(server, now);
            break;
        case promotion::probe_result::refused:
        case promotion::probe_result::silent:
            plan.on_unreachable(server, told.result == promotion::probe_result::refused, now);
            break;
        }
    });
}

net::awaitable<void> orders::check_status(std::string group, promotion::check_status what)
{
    const auto probe = probe_for(group, what.server, what.address);
    const std::uint64_t generation = generation_;
    const clock::time_point asked_at = clock::now();
    const std::string statement(dialect_.status);
    const promotion::status_answer told = co_await probe->execute(statement);
    if (generation != generation_) {
        co_return;
    }
    collect(group, [server = what.server, told, asked_at](promotion::planner& plan,
                                                          clock::time_point now) {
        if (told.result == promotion::probe_result::answered) {
            plan.on_status(server, told.status, asked_at, now);
        }
        else {
            plan.on_unreachable(server, told.result == promotion::probe_result::refused, now);
        }
    });
}

net::awaitable<void> orders::pause(std::string group, promotion::pause_replica what)
{
    const auto probe = probe_for(group, what.server, what.address);
    const std::uint64_t generation = generation_;
    const std::string statement = fmt::format("{} {}", dialect_.pause, what.term);
    const promotion::status_answer told = co_await probe->execute(statement);
    note_order(group, "pause", what.server, told);
    if (told.result == promotion::probe_result::answered && generation == generation_) {
        collect(group,
                [server = what.server, told](promotion::planner& plan, clock::time_point now) {
                    plan.on_paused(server, told.status, now);
                });
    }
}

net::awaitable<void> orders::demote(std::string group, promotion::demote_primary what)
{
    const auto probe = probe_for(group, what.server, what.address);
    const std::uint64_t generation = generation_;
    const std::string statement = fmt::format("{} {}", dialect_.step_down, what.term);
    const promotion::status_answer told = co_await probe->execute(statement);
    note_order(group, "demote", what.server, told);
    if (told.result == promotion::probe_result::answered && generation == generation_) {
        collect(group,
                [server = what.server, told](promotion::planner& plan, clock::time_point now) {
                    plan.on_demoted(server, told.status, now);
                });
    }
}

net::awaitable<void> orders::resume(std::string group, promotion::resume_replica what)
{
    const auto probe = probe_for(group, what.server, what.address);
    const std::string statement(dialect_.resume);
    const promotion::status_answer told = co_await probe->execute(statement);
    note_order(group, "resume", what.server, told);
}

net::awaitable<void> orders::call(std::string group, promotion::request_promotion what)
{
    const std::uint64_t generation = generation_;
    promotion::promotion_request request;
    request.group = group;
    request.server = what.server;
    request.holder = holder_;
    request.number = what.number;
    const promotion::promotion_outcome outcome =
        co_await platform_.promote(request, clock::now() + call_timeout);
    events_.decision("promotion", "call")
        .field("group", group)
        .field("server", what.server)
        .field("number", static_cast<std::int64_t>(what.number))
        .field("result", name_of(outcome));
    if (generation == generation_) {
        collect(group, [what, outcome](promotion::planner& plan, clock::time_point now) {
            plan.on_promotion_answer(what.server, what.number, outcome, now);
        });
    }
}

void orders::carry_out(const group_action& due)
{
    using namespace promotion;
    if (const auto* const lead = std::get_if<promotion::check_primary>(&due.what)) {
        net::co_spawn(executor_, check_primary(due.group, *lead), net::detached);
    }
    else if (const auto* const asked = std::get_if<promotion::check_status>(&due.what)) {
        net::co_spawn(executor_, check_status(due.group, *asked), net::detached);
    }
    else if (const auto* const paused = std::get_if<pause_replica>(&due.what)) {
        net::co_spawn(executor_, pause(due.group, *paused), net::detached);
    }
    else if (const auto* const demoted = std::get_if<demote_primary>(&due.what)) {
        net::co_spawn(executor_, demote(due.group, *demoted), net::detached);
    }
    else if (const auto* const resumed = std::get_if<resume_replica>(&due.what)) {
        net::co_spawn(executor_, resume(due.group, *resumed), net::detached);
    }
    else if (const auto* const called = std::get_if<request_promotion>(&due.what)) {
        net::co_spawn(executor_, call(due.group, *called), net::detached);
    }
}

} // namespace primrosehead::cell
