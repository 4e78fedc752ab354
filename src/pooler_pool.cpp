#include "pooler_pool.h"

#include "cell_announcement_order.h"
#include "cell_directory.h"
#include "clock_timer.h"
#include "event_log.h"
#include "pooler_home_limits.h"
#include "pooler_placement.h"
#include "pooler_wait.h"
#include "primrosehead.pb.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace primrosehead::pooler {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

// Covers the time that a startup spends in the server's queue for slots.
constexpr clock::duration open_timeout{600};
// Idle timeout of connections above this instance's fair share, so that other instances get them.
constexpr clock::duration surplus_idle_timeout{400};
// Idle timeout of connections within the fair share.
constexpr clock::duration idle_timeout{8'000};
// A home keeps its connections for this time after the last operation that an origin passed to it.
constexpr clock::duration home_idle_time{8'000};
// Connections left free at each server for the current and the previous control leader.
constexpr std::uint32_t reserved_control_connections = 2;
// Interval at which a statement of a transaction asks for a start at a cold server.
constexpr clock::duration cold_retry_interval{25};
// Bounds of what is logged about ignored announcements.
constexpr std::size_t max_logged_ignored = 16;
constexpr std::size_t max_logged_name_bytes = 128;
constexpr clock::duration leaving_use_log_interval{1'000};
// Time for a statement's way to its server, and for the age of what is known of the server.
constexpr clock::duration leaving_margin{300};

} // namespace

// A statement of an open transaction that waits until its server may run another statement.
struct queued_statement {
    net::steady_timer* wakeup = nullptr;
    bool is_admitted = false;
};

struct pool::queued_request {
    queued_request(const net::any_io_executor& executor, connection_request& pending)
        : request(pending), wakeup(executor)
    {
    }
    connection_request& request;
    net::steady_timer wakeup;
    std::optional<choice> assigned;
    acquire_error error = acquire_error::none;

    [[nodiscard]] bool is_waiting() const { return !assigned && error == acquire_error::none; }
};

pool::pool(net::any_io_executor executor, const line_dialect& dialect, event_log& events,
           std::string failure_domain)
    : executor_(std::move(executor)), dialect_(dialect), events_(events),
      failure_domain_(std::move(failure_domain)), warm_up_(events.process())
{
}

pool::~pool() = default;

pool::group_state& pool::state_of(std::string_view name)
{
    const auto found = groups_.find(name);
    return found != groups_.end() ? found->second
                                  : groups_.emplace(std::string(name), group_state{}).first->second;
}

bool pool::has_waiting_requests(std::string_view name)
{
    return !state_of(name).queue.empty();
}

primary_tracker& pool::primary_of(std::string_view name)
{
    return state_of(name).primary;
}

freshness_tracker& pool::freshness_of(std::string_view name)
{
    return state_of(name).positions;
}

std::vector<std::string> pool::groups() const
{
    std::vector<std::string> names;
    for (const auto& [name, state] : groups_) {
        names.push_back(name);
    }
    return names;
}

void pool::close_idle(pooled_server& server)
{
    server.open -= static_cast<std::uint32_t>(server.idle.size());
    server.idle.clear();
}

void pool::update_primary_candidates(group_state& state)
{
    std::vector<primary_tracker::known_server> known;
    for (const auto& [id, server] : state.servers) {
        if (!is_evacuated(*server)) {
            known.push_back({id, server->claims_primary});
        }
    }
    state.primary.set_servers(std::move(known));
}

void pool::update_server(const pb::server_announcement& announcement, clock::time_point now)
{
    std::shared_ptr<pooled_server>& server =
        state_of(announcement.group()).servers[announcement.server()];
    const bool is_restarted = server && server->born_ms != announcement.born_ms();
    if (!server || server->address != announcement.address() || is_restarted) {
        if (server) {
            server->is_removed = true;
            close_idle(*server);
        }
        server = std::make_shared<pooled_server>();
        server->id = announcement.server();
        server->group = announcement.group();
        server->address = announcement.address();
        server->born_ms = announcement.born_ms();
        server->known_since = now;
    }
    server->slots = std::max(1U, announcement.slots());
    server->failure_domain = announcement.failure_domain();
    if (learns_concurrency_ && !server->pace) {
        server->pace.emplace(server->slots);
    }
    if (server->pace) {
        server->pace->set_announced_slots(server->slots, now);
    }
    server->is_local = announcement.failure_domain() == failure_domain_;
    if (server->announced_at == clock::time_point{} ||
        server->sequence != announcement.sequence()) {
        // A repeated announcement may understate its age.
        server->sequence = announcement.sequence();
        server->announced_at = now - clock::duration(announcement.age_ms());
        server->cold_until = server->announced_at + clock::duration(announcement.warm_up_left_ms());
    }
    server->claims_primary = announcement.is_primary();
    update_departure(*server, announcement, now);
    if (is_evacuated(*server)) {
        close_idle(*server); // its failure domain has changed
    }
}

bool pool::is_outdated(const pb::server_announcement& announcement) const
{
    const std::shared_ptr<pooled_server> known =
        find_server(announcement.group(), announcement.server());
    if (!known) {
        return false;
    }
    return cell::is_later({known->born_ms, known->sequence},
                          {announcement.born_ms(), announcement.sequence()});
}

void pool::update_departure(pooled_server& server, const pb::server_announcement& announcement,
                            clock::time_point now)
{
    if (!announcement.leaving()) {
        departures_.forget(server.id);
        server.leaving_since.reset();
        return;
    }
    const bool is_known = server.is_leaving();
    departures_.record_leaving(announcement, now - clock::duration(announcement.leaving_ms()), now);
    server.leaving_since = departures_.leaving_since(announcement);
    if (!is_known) {
        events_.decision("pool", "server_leaving")
            .field("server", server.id)
            .field("group", server.group)
            .field("leaving_ms", (now - *server.leaving_since).count())
            .field("sequence", static_cast<std::int64_t>(server.sequence))
            .field("primary", announcement.is_primary());
    }
}

void pool::log_use(pooled_server& server, clock::time_point now)
{
    if (!server.is_leaving() || now - server.leaving_use_logged_at < leaving_use_log_interval) {
        return;
    }
    server.leaving_use_logged_at = now;
    events_.decision("pool", "leaving_server_used")
        .field("server", server.id)
        .field("group", server.group)
        .field("leaving_ms", (now - *server.leaving_since).count())
        .field("primary", state_of(server.group).primary.likely_primary(now));
}

// Logs the announcements that were not ignored before.
void pool::log_ignored(std::map<std::string, std::string, std::less<>> ignored)
{
    for (const auto& [server, cause] : ignored) {
        const auto known = ignored_.find(server);
        if (known == ignored_.end() || known->second != cause) {
            events_.decision("pool", "server_ignored")
                .field("server", server)
                .field("error", cause);
        }
    }
    ignored_ = std::move(ignored);
}

void pool::set_servers(std::span<const pb::server_announcement> servers, bool is_complete,
                       clock::time_point now)
{
    std::map<std::string_view, std::string_view> listed; // group by server
    std::set<std::string_view> gone;
    std::map<std::string, std::string, std::less<>> ignored;
    for (const pb::server_announcement& announcement : servers) {
        if (announcement.gone()) {
            const bool has_deregistered = !announcement.group().empty(); // else it was only silent
            if (has_deregistered && is_outdated(announcement)) {         // an earlier start has
                listed.insert_or_assign(announcement.server(), announcement.group());
                continue;
            }
            gone.insert(announcement.server());
            if (has_deregistered) {
                departures_.record_gone(announcement, now);
            }
            continue;
        }
        if (departures_.is_gone(announcement)) {
            continue;
        }
        if (const status checked = cell::check_announcement(announcement); !ok(checked)) {
            if (ignored.size() < max_logged_ignored) {
                ignored.emplace(announcement.server().substr(0, max_logged_name_bytes),
                                failure(checked).message);
            }
            continue;
        }
        listed.insert_or_assign(announcement.server(), announcement.group());
        if (!is_outdated(announcement)) {
            update_server(announcement, now);
        }
    }
    log_ignored(std::move(ignored));
    for (auto& [name, state] : groups_) {
        std::erase_if(state.servers, [&, &group = name](auto& item) {
            const auto found = listed.find(item.first);
            const bool was_listed = found != listed.end() && found->second == group;
            const bool is_elsewhere = found != listed.end() && !was_listed;
            const bool is_removed =
                !was_listed && (is_complete || is_elsewhere || gone.contains(item.first));
            if (is_removed) {
                item.second->is_removed = true;
                close_idle(*item.second);
            }
            return is_removed;
        });
        update_primary_candidates(state);
        dispatch(state);
    }
    std::erase_if(groups_, [](const auto& item) { return item.second.is_unused(); });
}

void pool::set_evacuations(std::span<const std::string> domains, std::uint64_t version,
                           clock::time_point now)
{
    if (!evacuations_.apply(domains, version, now)) {
        return;
    }
    events_.decision("evacuation", "in_force")
        .field("domains", fmt::format("{}", fmt::join(domains, " ")))
        .field("version", static_cast<std::int64_t>(version));
    for (auto& [name, state] : groups_) {
        for (auto& [id, server] : state.servers) {
            if (is_evacuated(*server)) {
                close_idle(*server);
            }
        }
        update_primary_candidates(state);
        dispatch(state);
    }
}

void pool::set_regions(std::map<std::string, std::string, std::less<>> regions)
{
    regions_ = std::move(regions);
}

std::string_view pool::region_of(std::string_view failure_domain) const
{
    const auto found = regions_.find(failure_domain);
    return found == regions_.end() ? std::string_view() : std::string_view(found->second);
}

void pool::set_warm_up(std::string_view name, double per_s, clock::duration time)
{
    group_state& state = state_of(name);
    state.warm_up_per_s = per_s;
    state.warm_up_time = time;
}

bool pool::is_cold(const group_state& state, pooled_server& server, clock::time_point now)
{
    const warm_up_facts facts{server.announced_at, server.cold_until,
                              evacuations_.withdrawn_at(server.failure_domain), state.warm_up_time};
    const bool is_limited = state.warm_up_per_s > 0 && pooler::is_cold(facts, now);
    if (is_limited == server.is_cold) {
        return is_limited;
    }
    server.is_cold = is_limited;
    if (!is_limited) {
        warm_up_.record_warm(server.id);
    }
    events_.decision("pool", is_limited ? "server_cold" : "server_warm")
        .field("server", server.id)
        .field("group", server.group)
        .field("left_ms", (server.cold_until - now).count())
        .field("per_s", static_cast<std::int64_t>(state.warm_up_per_s));
    return is_limited;
}

bool pool::may_start(group_state& state, pooled_server& server, warm_up_share share,
                     clock::time_point now)
{
    if (!is_cold(state, server, now)) {
        return true;
    }
    return warm_up_.may_start(server.id, state.warm_up_per_s, share, now);
}

void pool::retry_waiting()
{
    for (auto& [name, state] : groups_) {
        if (!state.queue.empty()) {
            dispatch(state);
        }
    }
}

void pool::set_limits(std::string_view name, std::uint32_t connection_limit,
                      std::uint32_t instances)
{
    group_state& state = state_of(name);
    state.connection_limit = connection_limit > reserved_control_connections
                                 ? connection_limit - reserved_control_connections
                                 : 1;
    state.instances = std::max(1U, instances);
}

bool pool::may_begin_at(const pooled_server& server, clock::time_point now) const
{
    const bool has_left =
        server.leaving_since && now - *server.leaving_since >= leaving_period_ - leaving_margin;
    return !has_left && !server.is_removed && !is_evacuated(server);
}

bool pool::can_reach_primary(const group_state& state, clock::time_point now) const
{
    const auto known = state.servers.find(state.primary.likely_primary(now));
    return known != state.servers.end() && !known->second->is_avoided(now) &&
           may_begin_at(*known->second, now);
}

// No candidate without an error: the request waits for a server that is cold.
std::vector<std::shared_ptr<pooled_server>>
pool::candidates(group_state& state, const connection_request& request, warm_up_share share,
                 clock::time_point now, acquire_error& error)
{
    std::vector<std::shared_ptr<pooled_server>> found;
    if (!request.pinned_server.empty()) {
        const auto pinned = state.servers.find(request.pinned_server);
        if (pinned == state.servers.end() || pinned->second->is_avoided(now) ||
            !may_begin_at(*pinned->second, now)) {
            error = acquire_error::no_server;
        }
        else if (may_start(state, *pinned->second, share, now)) {
            found.push_back(pinned->second);
        }
        return found;
    }
    if (request.role == required_role::primary) {
        if (!can_reach_primary(state, now)) {
            error = acquire_error::no_primary;
            return found;
        }
        const auto known = state.servers.find(state.primary.likely_primary(now));
        if (!request.regions.contains(region_of(known->second->failure_domain))) {
            error = acquire_error::outside_regions;
            return found;
        }
        if (may_start(state, *known->second, share, now)) {
            found.push_back(known->second);
        }
        return found;
    }
    bool is_any_inside = state.servers.empty();
    bool waits_for_cold = false;
    for (const auto& [id, server] : state.servers) {
        if (!request.regions.contains(region_of(server->failure_domain))) {
            continue;
        }
        is_any_inside = true;
        const bool was_tried =
            std::find(request.excluded_servers.begin(), request.excluded_servers.end(), id) !=
            request.excluded_servers.end();
        if (!was_tried && !server->is_avoided(now) && !server->is_lagging(now) &&
            !server->is_leaving() && !is_evacuated(*server)) {
            if (may_start(state, *server, share, now)) {
                found.push_back(server);
            }
            else {
                waits_for_cold = true;
            }
        }
    }
    if (!is_any_inside) {
        error = acquire_error::outside_regions;
    }
    else if (found.empty() && !waits_for_cold) {
        error = acquire_error::no_server;
    }
    return found;
}

std::unique_ptr<pooled_connection> pool::take_idle(pooled_server& server,
                                                   const connection_request& request)
{
    const auto is_own = [&](const std::unique_ptr<pooled_connection>& each) {
        return each->organisation == request.organisation;
    };
    const auto matches = [&](const std::unique_ptr<pooled_connection>& each) {
        return is_own(each) && request.values != nullptr && each->values == *request.values;
    };
    // Most recently used first, so that surplus connections reach their idle timeout.
    auto found = std::find_if(server.idle.rbegin(), server.idle.rend(), matches);
    if (found == server.idle.rend()) {
        found = std::find_if(server.idle.rbegin(), server.idle.rend(), is_own);
    }
    if (found == server.idle.rend()) {
        return nullptr;
    }
    std::unique_ptr<pooled_connection> taken = std::move(*found);
    server.idle.erase(std::next(found).base());
    return taken;
}

void pool::close_oldest_foreign(pooled_server& server, std::string_view organisation)
{
    auto oldest = server.idle.end();
    for (auto each = server.idle.begin(); each != server.idle.end(); ++each) {
        const bool is_foreign = (*each)->organisation != organisation;
        if (is_foreign &&
            (oldest == server.idle.end() || (*each)->last_used_at < (*oldest)->last_used_at)) {
            oldest = each;
        }
    }
    if (oldest != server.idle.end()) {
        server.idle.erase(oldest);
        --server.open;
    }
}

placement_server pool::describe(const group_state& state, const pooled_server& server,
                                const connection_request& request, clock::time_point now) const
{
    placement_server candidate;
    candidate.is_local = server.is_local;
    candidate.slots = server.slots;
    candidate.open = server.open;
    candidate.limit = divide_connections(state.connection_limit, state.instances).limit;
    candidate.running = server.running;
    candidate.running_limit = server.running_limit(now);
    candidate.latency_ms = server.expected_latency_ms(now);
    candidate.may_open = server.may_open(now);
    if (!request.pinned_server.empty()) {
        // The home's queue has decided that the statement may run.
        candidate.limit = home_connection_limit(state.connection_limit);
        candidate.running_limit = std::numeric_limits<std::uint32_t>::max();
        candidate.may_open = true;
    }
    if (now < server.saturated_until) {
        candidate.limit = std::min(candidate.limit, server.saturated_limit);
    }
    for (const std::unique_ptr<pooled_connection>& each : server.idle) {
        if (each->organisation != request.organisation) {
            ++candidate.idle_other_organisation;
        }
        else if (request.values != nullptr && each->values == *request.values) {
            ++candidate.idle_matching;
        }
        else {
            ++candidate.idle_needs_setup;
        }
    }
    return candidate;
}

std::vector<placement_server>
pool::describe_all(const group_state& state,
                   std::span<const std::shared_ptr<pooled_server>> servers,
                   const connection_request& request, clock::time_point now) const
{
    const std::string primary_id =
        request.role == required_role::any ? state.primary.likely_primary(now) : "";
    std::vector<placement_server> described;
    described.reserve(servers.size());
    for (const std::shared_ptr<pooled_server>& server : servers) {
        placement_server candidate = describe(state, *server, request, now);
        candidate.index = described.size();
        candidate.avoid_as_primary = server->id == primary_id;
        described.push_back(candidate);
    }
    return described;
}

std::shared_ptr<pooled_server> pool::choose_server(const connection_request& request,
                                                   clock::time_point now, acquire_error& error)
{
    group_state& state = state_of(request.group);
    state.is_requested = true;
    // The home limits requests to a cold server.
    const std::vector<std::shared_ptr<pooled_server>> servers =
        candidates(state, request, warm_up_share::home, now, error);
    std::vector<placement_server> placement_servers = describe_all(state, servers, request, now);
    for (placement_server& candidate : placement_servers) {
        // The home has the connections and limits what runs.
        candidate.idle_matching = 1;
        candidate.running_limit = std::numeric_limits<std::uint32_t>::max();
    }
    const std::optional<placement> best = choose_placement(placement_servers);
    return best ? servers[best->index] : nullptr;
}

std::shared_ptr<pooled_server> pool::find_server(std::string_view group, std::string_view id) const
{
    const auto state = groups_.find(group);
    if (state == groups_.end()) {
        return nullptr;
    }
    const auto found = state->second.servers.find(id);
    return found == state->second.servers.end() ? nullptr : found->second;
}

std::optional<pool::choice> pool::choose(group_state& state, const connection_request& request,
                                         clock::time_point now, acquire_error& error)
{
    const std::vector<std::shared_ptr<pooled_server>> servers =
        candidates(state, request, request.share, now, error);
    const std::optional<placement> best =
        choose_placement(describe_all(state, servers, request, now));
    if (!best) {
        return std::nullopt;
    }
    choice result;
    result.server = servers[best->index];
    result.is_cold = is_cold(state, *result.server, now);
    if (result.is_cold) {
        warm_up_.record_start(result.server->id, now);
    }
    if (best->choice == connection_choice::matching ||
        best->choice == connection_choice::needs_setup) {
        result.connection = take_idle(*result.server, request);
        ++stats_.reused;
        return result;
    }
    if (best->choice == connection_choice::replace_idle) {
        close_oldest_foreign(*result.server, request.organisation);
        ++stats_.replaced;
    }
    ++result.server->open; // reserves the connection before it is opened
    result.server->opened_at = now;
    return result;
}

net::awaitable<std::unique_ptr<pooled_connection>> pool::open(std::shared_ptr<pooled_server> server,
                                                              const connection_request& request,
                                                              clock::time_point deadline)
{
    const std::string startup =
        fmt::format("{} {} {} {}\r\n", dialect_.startup, server->group,
                    request.organisation.empty() ? "-" : request.organisation, server->id);
    const std::string address = server->address;
    ++stats_.opened;
    line_connection::open_result opened =
        co_await line_connection::open(executor_, dialect_, address, startup, deadline);
    const clock::time_point now = clock::now();
    if (auto* const link = std::get_if<std::unique_ptr<line_connection>>(&opened)) {
        server->record_success();
        server->record_opened();
        auto result = std::make_unique<pooled_connection>();
        result->link = std::move(*link);
        result->server = server;
        result->organisation = request.organisation;
        result->last_used_at = now;
        co_return result;
    }
    const open_failure& failure = std::get<open_failure>(opened);
    --server->open;
    ++stats_.open_failures;
    events_.decision("pool", "open_failed")
        .field("server", server->id)
        .field("group", server->group)
        .field("result", failure.kind == open_failure_kind::rejected
                             ? std::string_view(failure.code)
                         : failure.kind == open_failure_kind::timed_out ? "no answer"
                                                                        : "refused")
        .field("open", static_cast<std::int64_t>(server->open));
    if (failure.kind == open_failure_kind::rejected && failure.code == dialect_.too_many) {
        ++stats_.saturated;
        server->record_saturation(now);
    }
    else if (failure.kind == open_failure_kind::rejected && failure.code == dialect_.busy) {
        server->record_latency(static_cast<double>(open_timeout.count()), now);
    }
    else {
        mark_unreachable(*server, failure.kind == open_failure_kind::refused, now);
    }
    co_return nullptr;
}

// Orders queued requests by priority, then by arrival.
void pool::enqueue(group_state& state, queued_request& queued)
{
    const auto insertion_point =
        std::find_if(state.queue.begin(), state.queue.end(), [&](const queued_request* each) {
            return each->request.priority > queued.request.priority;
        });
    state.queue.insert(insertion_point, &queued);
}

void pool::dispatch(group_state& state)
{
    const clock::time_point now = clock::now();
    for (auto each = state.queue.begin(); each != state.queue.end();) {
        queued_request& queued = **each;
        acquire_error error = acquire_error::none;
        queued.assigned = choose(state, queued.request, now, error);
        if (!queued.assigned && error == acquire_error::none) {
            ++each;
            continue;
        }
        queued.error = error;
        each = state.queue.erase(each);
        queued.wakeup.cancel();
    }
}

net::awaitable<void> pool::wait(group_state& state, queued_request& queued)
{
    ++stats_.waited;
    queued.wakeup.expires_at(to_steady_time(queued.request.deadline));
    co_await queued.wakeup.async_wait(no_throw);
    const clock::time_point now = clock::now();
    if (queued.is_waiting() && now < queued.request.outage_deadline &&
        is_stalled(state, queued.request, now)) {
        queued.wakeup.expires_at(to_steady_time(queued.request.outage_deadline));
        co_await queued.wakeup.async_wait(no_throw);
    }
    state.queue.remove(&queued);
}

bool pool::is_stalled(const group_state& state, const connection_request& request,
                      clock::time_point now) const
{
    const std::string primary_id =
        request.role == required_role::primary ? state.primary.likely_primary(now) : "";
    return std::all_of(state.servers.begin(), state.servers.end(), [&](const auto& item) {
        const pooled_server& server = *item.second;
        const bool is_candidate =
            request.role == required_role::any ? !server.is_leaving() : server.id == primary_id;
        return !is_candidate || has_stalled(server.served_at, server.expected_latency_ms(now), now);
    });
}

net::awaitable<acquire_result> pool::acquire(connection_request& request)
{
    group_state& state = state_of(request.group);
    state.is_requested = true;
    acquire_result outcome;
    if (!request.pinned_server.empty()) {
        const auto pinned = state.servers.find(request.pinned_server);
        if (pinned != state.servers.end()) {
            pinned->second->home_until = clock::now() + home_idle_time;
        }
    }
    while (true) {
        queued_request queued(executor_, request);
        enqueue(state, queued);
        dispatch(state);
        if (queued.is_waiting()) {
            co_await wait(state, queued);
        }
        if (!queued.assigned) {
            outcome.error = queued.error;
            if (queued.is_waiting()) {
                const bool has_primary =
                    request.role == required_role::any || can_reach_primary(state, clock::now());
                outcome.error = has_primary ? acquire_error::saturated : acquire_error::no_primary;
            }
            co_return outcome;
        }
        const std::shared_ptr<pooled_server> server = queued.assigned->server;
        if (!may_begin_at(*server, clock::now())) { // since it was assigned
            queued.assigned->connection.reset();
            --server->open;
            continue;
        }
        if (queued.assigned->connection && queued.assigned->connection->link->is_usable()) {
            outcome.connection = std::move(queued.assigned->connection);
        }
        else {
            queued.assigned->connection.reset(); // closed by the server; a new one replaces it
            outcome.connection = co_await open(server, request, clock::now() + open_timeout);
        }
        if (outcome.connection && may_begin_at(*server, clock::now())) {
            outcome.connection->holds_start = queued.assigned->is_cold;
            outcome.connection->share = request.share;
            co_return outcome;
        }
        if (outcome.connection) { // closed to new operations while it was being opened
            release(std::move(outcome.connection), false);
        }
        dispatch(state);
        const clock::time_point now = clock::now();
        const clock::time_point deadline = is_stalled(state, request, now)
                                               ? std::max(request.deadline, request.outage_deadline)
                                               : request.deadline;
        if (now >= deadline) {
            outcome.error = acquire_error::saturated;
            co_return outcome;
        }
    }
}

void pool::release(std::unique_ptr<pooled_connection> connection, bool is_clean)
{
    const std::shared_ptr<pooled_server> server = connection->server;
    const bool is_kept =
        is_clean && !server->is_removed && !server->is_leaving() && !is_evacuated(*server);
    if (is_kept) {
        connection->last_used_at = clock::now();
        server->idle.push_back(std::move(connection));
    }
    else {
        connection.reset();
        --server->open;
    }
    dispatch(state_of(server->group));
}

net::awaitable<bool> pool::start_at_cold(std::shared_ptr<pooled_server> server, warm_up_share share,
                                         clock::time_point deadline)
{
    net::steady_timer timer(executor_);
    while (!may_start(state_of(server->group), *server, share, clock::now())) {
        if (clock::now() + cold_retry_interval >= deadline) {
            co_return false;
        }
        timer.expires_after(cold_retry_interval);
        co_await timer.async_wait(no_throw);
    }
    if (is_cold(state_of(server->group), *server, clock::now())) {
        warm_up_.record_start(server->id, clock::now());
    }
    co_return true;
}

net::awaitable<bool> pool::wait_if_cold(pooled_connection& connection, clock::time_point deadline,
                                        bool is_commit)
{
    const std::shared_ptr<pooled_server> server = connection.server;
    const bool holds_start = std::exchange(connection.holds_start, false);
    const warm_up_share share = connection.share;
    const group_state& state = state_of(server->group);
    if (holds_start || !is_cold(state, *server, clock::now())) {
        co_return true;
    }
    if (is_commit) {
        warm_up_.record_unlimited_start(server->id, state.warm_up_per_s, share, clock::now());
        co_return true;
    }
    co_return co_await start_at_cold(server, share, deadline);
}

net::awaitable<bool> pool::start_when_admitted(pooled_connection& connection,
                                               clock::time_point deadline, bool is_commit)
{
    const std::shared_ptr<pooled_server> server = connection.server;
    if (must_end_transactions(*server, clock::now())) {
        co_return false;
    }
    if (!co_await wait_if_cold(connection, deadline, is_commit)) {
        co_return false;
    }
    if (server->running < server->running_limit(clock::now())) {
        ++server->running;
        co_return true;
    }
    net::steady_timer wakeup(executor_);
    wakeup.expires_at(to_steady_time(deadline));
    queued_statement queued{&wakeup, false};
    server->queued_statements.push_back(&queued);
    co_await wakeup.async_wait(no_throw);
    server->queued_statements.remove(&queued);
    if (queued.is_admitted && must_end_transactions(*server, clock::now())) {
        --server->running;
        admit_queued_statements(*server, clock::now());
        co_return false;
    }
    co_return queued.is_admitted;
}

void pool::admit_queued_statements(pooled_server& server, clock::time_point now)
{
    for (queued_statement* each : server.queued_statements) {
        if (server.running >= server.running_limit(now)) {
            break;
        }
        if (!each->is_admitted) {
            each->is_admitted = true;
            ++server.running;
            each->wakeup->cancel();
        }
    }
}

void pool::record_finish(pooled_server& server, double latency_ms, clock::time_point now)
{
    --server.running;
    server.record_latency(latency_ms, now);
    admit_queued_statements(server, now);
    dispatch(state_of(server.group));
}

void pool::cancel_start(pooled_server& server)
{
    --server.running;
    admit_queued_statements(server, clock::now());
    dispatch(state_of(server.group));
}

void pool::record_unanswered(pooled_server& server, bool has_timed_out, clock::time_point sent_at,
                             clock::time_point now)
{
    events_.decision("pool", "unanswered")
        .field("server", server.id)
        .field("group", server.group)
        .field("timed_out", has_timed_out)
        .field("after_ms", (now - sent_at).count());
    if (has_timed_out && server.served_at < sent_at) {
        mark_unreachable(server, false, now);
    }
}

void pool::mark_unreachable(pooled_server& server, bool was_refused, clock::time_point now)
{
    server.record_failure(now, was_refused);
    close_idle(server);
    group_state& state = state_of(server.group);
    state.primary.record_unreachable(server.id, now);
    events_.decision("pool", "server_avoided")
        .field("server", server.id)
        .field("group", server.group)
        .field("failures", static_cast<std::int64_t>(server.failures))
        .field("for_ms", (server.avoided_until - now).count());
}

std::vector<std::string> pool::servers_known_since(std::string_view group,
                                                   clock::time_point since) const
{
    std::vector<std::string> names;
    if (const auto found = groups_.find(group); found != groups_.end()) {
        for (const auto& [id, server] : found->second.servers) {
            if (server->known_since <= since) {
                names.push_back(id);
            }
        }
    }
    return names;
}

std::unique_ptr<pooled_connection> pool::take_idle_at(std::string_view group,
                                                      std::string_view server)
{
    group_state& state = state_of(group);
    const auto found = state.servers.find(server);
    if (found == state.servers.end() || found->second->idle.empty()) {
        return nullptr;
    }
    std::unique_ptr<pooled_connection> taken = std::move(found->second->idle.back());
    found->second->idle.pop_back();
    if (!taken->link->is_usable()) {
        --found->second->open;
        return nullptr;
    }
    return taken;
}

std::unique_ptr<pooled_connection> pool::take_idle_at_primary(std::string_view name,
                                                              clock::time_point now)
{
    return take_idle_at(name, state_of(name).primary.likely_primary(now));
}

void pool::evict_idle(clock::time_point now)
{
    departures_.expire(now);
    for (auto& [name, state] : groups_) {
        const std::uint32_t share =
            divide_connections(state.connection_limit, state.instances).kept;
        for (auto& [id, server] : state.servers) {
            pooled_server& each = *server;
            const std::uint32_t kept =
                now < each.home_until ? home_connection_limit(state.connection_limit) : share;
            std::uint32_t excess = each.open > kept ? each.open - kept : 0;
            const std::size_t closed = std::erase_if(each.idle, [&](const auto& connection) {
                const clock::duration unused = now - connection->last_used_at;
                const bool is_excess = excess > 0 && unused > surplus_idle_timeout;
                excess -= is_excess ? 1 : 0;
                return is_excess || unused > idle_timeout || each.is_leaving();
            });
            each.open -= static_cast<std::uint32_t>(closed);
        }
        dispatch(state);
    }
}

group_status pool::status_of(std::string_view name, clock::time_point now)
{
    const group_state& state = state_of(name);
    const primary_sighting sighting = state.primary.sighting(now);
    const std::optional<clock::time_point> newest = state.positions.newest_request_at();
    group_status result;
    result.primary = sighting.server;
    result.primary_failure_time = sighting.failing_for;
    result.waiting = state.queue.size();
    result.avoided_servers = static_cast<std::size_t>(
        std::count_if(state.servers.begin(), state.servers.end(),
                      [&](const auto& item) { return item.second->is_avoided(now); }));
    if (newest) {
        result.position_age = now - *newest;
    }
    return result;
}

pool_stats pool::stats() const
{
    pool_stats now = stats_;
    now.evacuated_domains = static_cast<std::uint32_t>(evacuations_.size());
    for (const auto& [name, state] : groups_) {
        now.waiting += static_cast<std::uint32_t>(state.queue.size());
        for (const auto& [id, server] : state.servers) {
            now.open += server->open;
        }
    }
    return now;
}

} // namespace primrosehead::pooler
