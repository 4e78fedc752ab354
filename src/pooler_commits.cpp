#include "pooler_commits.h"

#include "event_log.h"
#include "line_answer.h"
#include "line_dialect.h"
#include "line_primary_check.h"
#include "pooler_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <optional>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

// A replica receives a commit within a network delay and applies it some milliseconds later.
constexpr clock::duration observation_interval{15};
constexpr clock::duration observation_timeout{300};

std::string_view name_of(commit_verdict verdict) noexcept
{
    switch (verdict) {
    case commit_verdict::confirmed:
        return "confirmed";
    case commit_verdict::undecided:
        return "undecided";
    case commit_verdict::unproved:
        return "unproved";
    case commit_verdict::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

commits::commits(net::any_io_executor executor, const line_dialect& dialect, pool& connections,
                 event_log& events)
    : executor_(std::move(executor)), dialect_(dialect), connections_(connections), events_(events)
{
}

void commits::record(const fence_map& fences, commit_gate::primaries known, clock::time_point as_of,
                     clock::time_point asked_at, clock::time_point now)
{
    gate_.record(fences, std::move(known), as_of, asked_at, now);
    std::erase_if(observed_at_,
                  [now](const auto& item) { return now - item.second > commit_lease; });
    changes_.wake_all();
}

void commits::add(const fence_map& fences, clock::time_point now)
{
    gate_.add(fences, now);
    changes_.wake_all();
}

net::awaitable<bool> commits::await_lease(clock::time_point deadline)
{
    while (!gate_.has_lease(clock::now())) {
        if (clock::now() >= deadline) {
            co_return false;
        }
        co_await changes_.wait(executor_, deadline);
    }
    co_return true;
}

net::awaitable<std::unique_ptr<pooled_connection>> commits::connect(const std::string& group,
                                                                    const std::string& server,
                                                                    const std::string& organisation)
{
    std::unique_ptr<pooled_connection> idle = connections_.take_idle_at(group, server);
    if (idle) {
        co_return idle;
    }
    connection_request request;
    request.group = group;
    request.organisation = organisation;
    request.pinned_server = server;
    request.deadline = request.outage_deadline = clock::now() + observation_timeout;
    acquire_result acquired = co_await connections_.acquire(request);
    co_return std::move(acquired.connection);
}

// Asks the server for its log position. Only a primary begins the transaction; every server returns
// its position.
net::awaitable<void> commits::observe(std::string group, std::string server,
                                      std::string organisation)
{
    std::unique_ptr<pooled_connection> connection = co_await connect(group, server, organisation);
    const commit_mark mark = gate_.mark(group);
    if (connection) {
        const std::string queries = make_primary_check(dialect_);
        const line_exchange result = co_await connection->link->exchange(
            queries, primary_check_queries, clock::now() + observation_timeout);
        const bool is_clean = result.is_complete() && !result.answers.back().is_error;
        const primary_check check = read_primary_check(result.answers, dialect_);
        const bool is_current = mark == gate_.mark(group);
        if (is_current && check != primary_check::unclear && result.answers.front().position) {
            gate_.record_position(group, server, *result.answers.front().position,
                                  check == primary_check::primary);
        }
        connections_.release(std::move(connection), is_clean);
    }
    observed_now_.erase(server);
    changes_.wake_all();
}

void commits::request_position(const std::string& group, const std::string& server,
                               const std::string& organisation, clock::time_point now)
{
    clock::time_point& observed_at = observed_at_[server];
    if (now - observed_at >= observation_interval && observed_now_.insert(server).second) {
        observed_at = now;
        net::co_spawn(executor_, observe(group, server, organisation), net::detached);
    }
}

net::awaitable<bool> commits::confirm(const acknowledged_commit& commit,
                                      const std::string& organisation, clock::time_point deadline)
{
    const clock::time_point since = commit.acknowledged_at;
    commit_decision first;
    gate_.record_acknowledged(commit);
    while (true) {
        const clock::time_point now = clock::now();
        const commit_decision decision = gate_.decide(
            commit, connections_.servers_known_since(commit.group, now - establishing_time), now);
        if (decision.verdict == commit_verdict::confirmed) {
            gate_.record_confirmed(commit);
            if (first.verdict == commit_verdict::unproved) {
                log("proved", commit, first, since);
            }
            co_return true;
        }
        if (decision.verdict == commit_verdict::unknown || now >= deadline) {
            log("not_confirmed", commit, decision, since);
            co_return false;
        }
        clock::time_point next = deadline;
        if (decision.verdict == commit_verdict::unproved) {
            first = decision;
            next = std::min(deadline, now + observation_interval);
            for (const std::string& server : decision.servers) {
                request_position(commit.group, server, organisation, now);
            }
        }
        co_await changes_.wait(executor_, next);
    }
}

void commits::log(std::string_view event, const acknowledged_commit& commit,
                  const commit_decision& decision, clock::time_point since)
{
    const clock::time_point now = clock::now();
    events_.decision("commit", event)
        .field("group", commit.group)
        .field("server", commit.server)
        .field("position", format_position(commit.position))
        .field("verdict", name_of(decision.verdict))
        .field("required", fmt::format("{}", fmt::join(decision.servers, " ")))
        .field("fenced", gate_.is_fenced(commit.group))
        .field("took_ms", (now - since).count())
        .field("lease_ms_ago", (now - gate_.as_of()).count());
}

} // namespace primrosehead::pooler
