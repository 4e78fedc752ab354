#include "gateway_server.h"

#include "gateway_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace primrosehead {

namespace net = boost::asio;

namespace {

// A shorter timeout reflects the request's deadline rather than the server's health.
constexpr clock::duration min_significant_timeout{250};

log_position to_position(const pb::position& position)
{
    return {position.term(), position.index()};
}

pool_limits limits_from(const server_info& info)
{
    return {info.url, info.slots, info.connection_limit};
}

// Returns true for kinds of errors that only the server itself returns.
bool is_server_reply(error_kind kind)
{
    return kind == error_kind::behind || kind == error_kind::wrong_term ||
           kind == error_kind::backend_refused;
}

} // namespace

gateway_server::gateway_server(std::shared_ptr<gateway_context> context,
                               const pb::server_report& first, clock::time_point now)
    : context_(std::move(context)), name_(first.server()), database_(first.database()),
      domain_(first.failure_domain()), strand_(net::make_strand(context_->executor)),
      report_(std::make_unique<known_report>(parse_report(first, now))),
      watch_(context_->settings.health, now - clock::duration(first.age_ms())),
      pool_(std::make_unique<gateway_pool>(context_, strand_,
                                           limits_from(parse_report(first, now).info)))
{
}

gateway_server::~gateway_server() = default;

known_report gateway_server::parse_report(const pb::server_report& report, clock::time_point now)
{
    known_report parsed;
    server_info& info = parsed.info;
    info.name = server_name(report.server());
    info.database = database_name(report.database());
    info.failure_domain = failure_domain_name(report.failure_domain());
    info.url = report.url();
    info.role = report.role() == "primary" ? server_role::primary : server_role::replica;
    info.applied = to_position(report.applied());
    info.data_age = clock::duration(report.data_age_ms());
    info.reported_at = now - clock::duration(report.age_ms());
    info.slots = std::max(1U, report.slots());
    info.connection_limit = std::max(1U, report.connection_limit());
    info.leaving = report.leaving();
    info.leaving_since = info.reported_at;
    parsed.received = to_position(report.received());
    parsed.promised_term = report.term();
    parsed.primary_since = info.reported_at;
    parsed.announced_at = report.age_ms() == 0 ? now : clock::time_point();
    return parsed;
}

void gateway_server::apply_report(const pb::server_report& report, clock::time_point now)
{
    auto next = std::make_unique<known_report>(parse_report(report, now));
    const bool is_newer = report_.read([&](const known_report& known) {
        if (known.info.leaving) {
            next->info.leaving_since = known.info.leaving_since;
        }
        if (known.info.role == server_role::primary) {
            next->primary_since = known.primary_since;
        }
        next->announced_at = std::max(next->announced_at, known.announced_at);
        return next->info.reported_at > known.info.reported_at;
    });
    if (!is_newer) {
        return;
    }
    const clock::time_point reported_at = next->info.reported_at;
    const pool_limits limits = limits_from(next->info);
    report_.publish(std::move(next));
    net::post(strand_, [self = shared_from_this(), reported_at, now, limits] {
        const server_health before = self->watch_.state();
        self->watch_.record_announcement(reported_at, now);
        self->pool_->configure(limits);
        self->publish_health(before);
    });
}

known_report gateway_server::report() const
{
    known_report current = report_.read([](const known_report& known) { return known; });
    server_info& info = current.info;
    info.health = health_.load(std::memory_order_relaxed);
    info.outstanding = outstanding_.load(std::memory_order_relaxed);
    info.latency = latency();
    if (seen_term_.load(std::memory_order_acquire) == info.applied.term) {
        const std::uint64_t seen = seen_index_.load(std::memory_order_relaxed);
        info.applied.index = std::max(info.applied.index, seen);
    }
    return current;
}

clock::duration gateway_server::latency() const noexcept
{
    return clock::duration(latency_ms_.load(std::memory_order_relaxed));
}

net::awaitable<result<pb::backend_reply>> gateway_server::run(pb::backend_request request,
                                                              clock::time_point deadline)
{
    const auto self = shared_from_this();
    co_return co_await net::co_spawn(strand_, pool_->execute(std::move(request), deadline),
                                     net::use_awaitable);
}

net::awaitable<result<pb::backend_reply>>
gateway_server::begin(pb::backend_request request, std::uint64_t number, clock::time_point deadline)
{
    const auto self = shared_from_this();
    co_return co_await net::co_spawn(strand_, pool_->begin(std::move(request), number, deadline),
                                     net::use_awaitable);
}

net::awaitable<result<pb::backend_reply>>
gateway_server::run_in_transaction(std::uint64_t number, pb::backend_request request,
                                   clock::time_point deadline)
{
    const auto self = shared_from_this();
    co_return co_await net::co_spawn(
        strand_, pool_->run_in_transaction(number, std::move(request), deadline),
        net::use_awaitable);
}

void gateway_server::record_outcome(const result<pb::backend_reply>& outcome,
                                    clock::duration elapsed, bool is_plain_read)
{
    if (ok(outcome) && value(outcome).has_at()) {
        record_position(value(outcome).at());
    }
    const bool has_reply = ok(outcome) || is_server_reply(failure(outcome).kind);
    const error_kind kind = ok(outcome) ? error_kind::internal : failure(outcome).kind;
    if (!has_reply && kind == error_kind::timed_out && elapsed < min_significant_timeout) {
        return;
    }
    const bool is_measured = is_plain_read && ok(outcome);
    net::post(strand_, [self = shared_from_this(), has_reply, kind, elapsed, is_measured] {
        const server_health before = self->watch_.state();
        if (has_reply) {
            const clock::duration known = self->watch_.latency();
            self->watch_.record_success(is_measured ? elapsed : known, clock::now());
        }
        else {
            self->watch_.record_failure(kind, clock::now());
        }
        self->publish_health(before);
    });
}

// Positions in replies are newer than those in reports. Of two concurrent replies the lower index
// may be kept, which is still a valid lower bound.
void gateway_server::record_position(const pb::position& position) noexcept
{
    if (seen_term_.load(std::memory_order_relaxed) != position.term()) {
        seen_index_.store(position.index(), std::memory_order_relaxed);
        seen_term_.store(position.term(), std::memory_order_release);
        return;
    }
    if (seen_index_.load(std::memory_order_relaxed) < position.index()) {
        seen_index_.store(position.index(), std::memory_order_relaxed);
    }
}

void gateway_server::check(clock::duration median_of_others)
{
    net::post(strand_, [self = shared_from_this(), median_of_others] {
        const server_health before = self->watch_.state();
        self->watch_.check(median_of_others, clock::now());
        self->publish_health(before);
        self->pool_->sweep(clock::now());
    });
}

void gateway_server::publish_health(server_health before)
{
    const server_health after = watch_.state();
    latency_ms_.store(watch_.latency().count(), std::memory_order_relaxed);
    health_.store(after, std::memory_order_relaxed);
    if (before != after) {
        spdlog::info("gateway: Server {} changed from {} to {}: {}.", name_.text(),
                     to_string(before), to_string(after), watch_.reason());
    }
}

} // namespace primrosehead
