#include "cell_instance.h"

#include "bus_runner.h"
#include "cell_action_executor.h"
#include "cell_directory.h"
#include "cell_evacuations.h"
#include "cell_members.h"
#include "cell_metrics.h"
#include "cell_relay_runner.h"
#include "cell_reply_pacer.h"
#include "cell_service.h"
#include "clock_timer.h"
#include "disk_id.h"
#include "document_codec.h"
#include "event_log.h"
#include "primrosehead.pb.h"
#include "reload_signal.h"
#include "settings_watcher.h"
#include "state_replies.h"

#include <primrosehead/bus.h>
#include <primrosehead/config.h>
#include <primrosehead/replica.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unistd.h>
#include <utility>

namespace primrosehead::cell {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

constexpr clock::duration tick_interval{20};
// For network round trips and disk syncs of a few milliseconds. Elections are rare: an instance
// that gets no processor time for 100 ms does not start one.
constexpr clock::duration long_loop_delay{150};
constexpr clock::duration consensus_heartbeat{100};
constexpr clock::duration election_min{500};
constexpr clock::duration election_max{1'000};
// Log entries. Each document takes kilobytes, so the log is compacted often.
constexpr std::uint32_t snapshot_after = 200;
// Shorter than the 1 s after which operators and servers time out.
constexpr clock::duration forward_timeout{800};
constexpr clock::duration join_interval{500};
constexpr clock::duration join_after_silence{1'500};
constexpr clock::duration join_log_interval{10'000};
constexpr clock::duration membership_check_interval{1'000};
constexpr clock::duration housekeeping_interval{1'000};
constexpr clock::duration rejected_log_interval{60'000};

// An order that waited for longer while this process was stopped may be outdated: the operator has
// repeated it at another instance and may have withdrawn the evacuation since.
constexpr clock::duration max_order_delay{1'000};
// Time in which an instance that was stopped reads the orders that arrived meanwhile.
constexpr clock::duration delayed_order_period{500};

std::string member_name(std::string_view host)
{
    return "cell-" + std::string(host);
}

error no_leader_error()
{
    return error{error_kind::no_quorum, "This instance can't reach a leader of the cell.",
                 "Retry at another instance.", ran::unknown, election_min};
}

domain_set domains_of(const cell_settings& settings)
{
    domain_set domains;
    for (const auto& [domain, region] : settings.regions) {
        domains.insert(domain);
    }
    return domains;
}

// The outcome of a change for the operator: its rejection, if repeating the change gets the same
// one, and otherwise an error that makes the operator repeat it.
status outcome_of(const pb::operator_reply& reply)
{
    if (reply.ok()) {
        return std::monostate{};
    }
    const pb::request_error& reported = reply.error();
    const error_kind kind = parse_error_kind(reported.kind());
    const bool is_final = !reply.not_leader() && reported.ran() == "no" &&
                          (kind == error_kind::version_conflict || kind == error_kind::bad_request);
    return is_final ? error{kind, reported.message(), reported.remedy()} : no_leader_error();
}

// A request to the leader whose reply is awaited. The timer expires at the timeout and is cancelled
// when the reply arrives.
struct pending_request {
    explicit pending_request(const net::any_io_executor& executor) : timer(executor) {}
    net::steady_timer timer;
    std::optional<pb::envelope> reply;
};

} // namespace

struct instance::implementation : public control_api {
    implementation(const cell_settings& initial_settings, std::string path, platform_parts platform)
        : settings(initial_settings), parts(std::move(platform)),
          events(STDOUT_FILENO, initial_settings.instance), watch(std::move(path)),
          seeds(initial_settings.control), failure_domains(domains_of(initial_settings))
    {
        redirect_spdlog(events, initial_settings.log.level);
    }

    status open();
    status run();

    net::awaitable<status> announce(const pb::server_announcement& announcement) override;
    net::awaitable<status> set_evacuation(const std::string& domain, bool is_withdrawn) override;
    net::awaitable<status> publish(const std::string& text) override;
    net::awaitable<result<std::string>> latest_document() override;

    [[nodiscard]] control_settings consensus_settings() const;
    [[nodiscard]] status open_replica();
    net::awaitable<void> tick_loop();
    void stop(status outcome);
    void record_delay(clock::time_point now);
    void record_disk_outage(clock::time_point now);
    [[nodiscard]] bool may_be_outdated(clock::time_point now) const;
    status advance(clock::time_point now);
    void update_leadership(clock::time_point now);
    [[nodiscard]] bool is_leader(clock::time_point now) const;
    void load_document();
    status execute(const group_action& requested, clock::time_point now);
    void announce_fences(clock::time_point now);
    void remove_silent_member(clock::time_point now);
    void request_membership(clock::time_point now);
    void forward_announcements();
    bool apply_announcement(const pb::server_announcement& announcement, std::string_view from,
                            clock::time_point now);
    void pass_on_departure(const std::string& server, clock::time_point now);
    void record_deferred_replies();
    void record_rejected_announcements(clock::time_point now);
    void reload_settings();
    [[nodiscard]] std::string leader_endpoint() const;
    [[nodiscard]] std::set<std::string> control_endpoints() const;
    [[nodiscard]] std::string endpoint_of(const std::string& instance) const;

    void receive(const bus_origin& origin, const pb::envelope& message);
    void handle_follow(const bus_origin& origin, const pb::envelope& message);
    void handle_token_request(const bus_origin& origin, const pb::token_request& request);
    void handle_announcement(const bus_origin& origin, const pb::envelope& message);
    void handle_operator_request(const bus_origin& origin, const pb::envelope& message);
    void reply_to_operator(const bus_origin& origin, std::uint64_t correlation,
                           pb::operator_reply reply);
    void admit_member(const pb::member& joining, clock::time_point now);
    void forward_join(const pb::envelope& message);
    net::awaitable<std::optional<pb::envelope>> request_from_leader(pb::envelope& request);
    net::awaitable<pb::operator_reply> commit(const pb::command& command);
    [[nodiscard]] status propose_change(const pb::command& command, clock::time_point now,
                                        replica::completion done);
    [[nodiscard]] status propose_evacuation(const pb::command& command, clock::time_point now,
                                            replica::completion done);
    [[nodiscard]] pb::envelope make_envelope() const;
    [[nodiscard]] pb::operator_reply show_published() const;

    const cell_settings settings;
    platform_parts parts;
    event_log events;
    settings_watcher watch;
    net::io_context context{1};
    std::unique_ptr<bus_runner> bus_connection;
    evacuation_orders evacuations; // outlives the replica, whose completions use it
    std::unique_ptr<replica> consensus_replica;
    std::unique_ptr<promotion::platform> promotion_platform;
    std::unique_ptr<action_executor> executor;
    std::shared_ptr<http::listener> listener;
    std::unique_ptr<metrics_server> metrics_endpoint;
    std::optional<service> active_service;
    std::unique_ptr<relay_runner> relaying;
    std::map<std::string, bus_origin, std::less<>> follower_origins; // by instance
    directory servers{settings.leaving};
    std::shared_ptr<const document> current_document;
    std::vector<std::string> seeds;
    domain_set failure_domains; // of the settings
    std::map<std::uint64_t, std::shared_ptr<pending_request>> pending;
    std::uint64_t next_correlation = 1;
    std::string informed_leader;
    std::string role;
    clock::time_point leader_known_at{};
    clock::time_point join_requested_at{};
    clock::time_point join_logged_at{};
    clock::time_point membership_checked_at{};
    clock::time_point last_housekeeping_at{};
    clock::time_point last_tick_at{};
    std::uint64_t recorded_deferred_replies = 0;
    std::uint64_t recorded_rejections = 0;
    clock::time_point rejections_recorded_at{};
    clock::duration latest_delay{0}; // of the event loop, when it last was long
    clock::time_point delayed_at{};
    std::optional<clock::time_point> disk_lost_at; // as logged, until the disk is regained
    std::optional<status> exit_status;
};

pb::envelope instance::implementation::make_envelope() const
{
    pb::envelope message;
    message.set_cell(settings.cell.text());
    message.set_from(member_name(settings.host));
    return message;
}

// The initial members of a new cell are the instances that all settings name at the first start. An
// instance that is not among them, or that starts later with an empty disk, joins the cell.
control_settings instance::implementation::consensus_settings() const
{
    control_settings consensus;
    consensus.cell = settings.cell;
    consensus.instance = instance_name(member_name(settings.host));
    consensus.failure_domain = settings.failure_domain;
    consensus.heartbeat = consensus_heartbeat;
    consensus.election_min = election_min;
    consensus.election_max = election_max;
    consensus.snapshot_after = snapshot_after;
    bool is_initial_member = false;
    for (const std::string& address : settings.control) {
        const std::string_view host = host_of(address);
        consensus.control.push_back(
            {instance_name(member_name(host)), make_bus_endpoint(host, settings.bus_port)});
        is_initial_member = is_initial_member || host == settings.host;
    }
    if (!settings.is_first_start || !is_initial_member) {
        consensus.control.clear();
    }
    return consensus;
}

status instance::implementation::open_replica()
{
    result<std::unique_ptr<disk>> files = open_posix_disk(settings.data_folder);
    if (!ok(files)) {
        return failure(files);
    }
    std::random_device seed;
    result<std::unique_ptr<replica>> opened =
        replica::open(consensus_settings(), std::move(value(files)), random_disk_id(), seed(),
                      clock::now(), [this](const pb::consensus_message& message) {
                          const std::string endpoint = endpoint_of(message.to());
                          if (!endpoint.empty()) {
                              pb::envelope envelope = make_envelope();
                              *envelope.mutable_consensus() = message;
                              bus_connection->messages().send(endpoint, envelope);
                          }
                      });
    if (!ok(opened)) {
        return failure(opened);
    }
    consensus_replica = std::move(value(opened));
    return std::monostate{};
}

status instance::implementation::open()
{
    result<std::unique_ptr<bus>> opened =
        bus::open(make_bus_endpoint(settings.host, settings.bus_port), std::nullopt);
    if (!ok(opened)) {
        return failure(opened);
    }
    bus_connection =
        std::make_unique<bus_runner>(std::move(value(opened)), context.get_executor(),
                                     [this](const bus_origin& origin, const pb::envelope& message) {
                                         if (consensus_replica) {
                                             receive(origin, message);
                                         }
                                     });
    const status replica_opened = open_replica();
    if (!ok(replica_opened)) {
        return replica_opened;
    }
    promotion_platform = parts.make_promotion_platform(settings, context.get_executor());
    executor =
        std::make_unique<action_executor>(context.get_executor(), parts.dialect,
                                          *promotion_platform, events, member_name(settings.host));
    relaying =
        std::make_unique<relay_runner>(context.get_executor(), settings, member_name(settings.host),
                                       parts.dialect, events, bus_connection->messages());
    http::listener_settings options;
    options.address = settings.listen;
    options.max_body_bytes = config::max_published_bytes;
    options.body_name = "document";
    result<std::shared_ptr<http::listener>> opened_listener =
        http::listener::open(context.get_executor(), options, parts.make_handler(*this));
    if (!ok(opened_listener)) {
        return failure(opened_listener);
    }
    listener = value(opened_listener);
    result<std::unique_ptr<metrics_server>> opened_metrics =
        metrics_server::open(context.get_executor(), settings.metrics_listen);
    if (!ok(opened_metrics)) {
        return failure(opened_metrics);
    }
    metrics_endpoint = std::move(value(opened_metrics));
    load_document();
    return std::monostate{};
}

void instance::implementation::stop(status outcome)
{
    if (!exit_status) {
        exit_status = std::move(outcome);
        context.stop();
    }
}

bool instance::implementation::is_leader(clock::time_point now) const
{
    return active_service && active_service->term() == consensus_replica->term() &&
           consensus_replica->is_current(now);
}

// Creates the service when this instance becomes leader and destroys it at the end of the term. The
// service also outlives lapses of the leader's lease within the term.
void instance::implementation::update_leadership(clock::time_point now)
{
    if (role != consensus_replica->role_name()) {
        role = consensus_replica->role_name();
        events.decision("cell", "role")
            .field("role", role)
            .field("term", static_cast<std::int64_t>(consensus_replica->term()));
    }
    if (active_service &&
        (active_service->term() != consensus_replica->term() || role != "leader")) {
        events.decision("cell", "stopped_leading")
            .field("term", static_cast<std::int64_t>(active_service->term()))
            .field("new_term", static_cast<std::int64_t>(consensus_replica->term()))
            .field("loop_delay_ms", latest_delay.count())
            .field("loop_delay_age_ms", (now - delayed_at).count());
        active_service.reset();
        executor->discard_answers();
    }
    if (active_service || !consensus_replica->is_current(now)) {
        return;
    }
    service_settings timing;
    timing.instance_lease = settings.revocation * 7 / 10;
    timing.announcement_interval = settings.announcement_interval;
    timing.relays_from_instances = settings.relays_from_instances;
    timing.home_connections_per_instance = settings.home_connections_per_instance;
    timing.regions = settings.regions;
    active_service.emplace(timing, consensus_replica->term(), now);
    follower_origins.clear();
    executor->discard_answers();
    events.decision("cell", "leads")
        .field("term", static_cast<std::int64_t>(consensus_replica->term()))
        .field("version", static_cast<std::int64_t>(consensus_replica->state().version()));
}

void instance::implementation::load_document()
{
    const pb::published_record* const stored = consensus_replica->state().published(document_name);
    if (stored == nullptr ||
        (current_document && current_document->version() == stored->version())) {
        return;
    }
    const result<std::string> text = decompress_document(*stored);
    if (!ok(text)) {
        events.decision("cell", "document_unreadable").field("error", describe(failure(text)));
        return;
    }
    const result<std::shared_ptr<const document>> parsed = parts.parse_document(value(text));
    if (!ok(parsed)) {
        events.decision("cell", "document_unreadable").field("error", describe(failure(parsed)));
        return;
    }
    current_document = value(parsed);
    relaying->set_document(current_document);
    events.decision("cell", "document")
        .field("version", static_cast<std::int64_t>(current_document->version()))
        .field("routes", static_cast<std::int64_t>(current_document->content().routes.size()));
}

status instance::implementation::execute(const group_action& requested, clock::time_point now)
{
    pb::command command;
    if (const auto* const begin = std::get_if<promotion::begin_decision>(&requested.action)) {
        events.decision("promotion", "begins")
            .field("group", requested.group)
            .field("number", static_cast<std::int64_t>(begin->number))
            .field("reason", begin->reason);
        command.mutable_begin()->set_database(requested.group);
        command.mutable_begin()->set_new_term(begin->number);
    }
    else if (const auto* const finish =
                 std::get_if<promotion::finish_decision>(&requested.action)) {
        events.decision("promotion", "finished")
            .field("group", requested.group)
            .field("number", static_cast<std::int64_t>(finish->number))
            .field("server", finish->server)
            .field("position", format_position(finish->position));
        command.mutable_finish()->set_database(requested.group);
        command.mutable_finish()->set_term(finish->number);
        command.mutable_finish()->set_primary(finish->server);
        command.mutable_finish()->set_primary_url(finish->address);
        command.mutable_finish()->set_start_index(finish->position.index);
    }
    else if (const auto* const request =
                 std::get_if<promotion::record_request>(&requested.action)) {
        command.mutable_request()->set_database(requested.group);
        command.mutable_request()->set_term(request->number);
        command.mutable_request()->set_server(request->server);
    }
    else if (const auto* const resuming =
                 std::get_if<promotion::record_resuming>(&requested.action)) {
        command.mutable_resuming()->set_database(requested.group);
        for (const std::string& server : resuming->servers) {
            command.mutable_resuming()->add_servers(server);
        }
    }
    else if (const auto* const seen = std::get_if<promotion::report_primary>(&requested.action)) {
        events.decision("promotion", "primary")
            .field("group", requested.group)
            .field("server", seen->server)
            .field("previous", seen->previous)
            .field("position", format_position(seen->position));
        return std::monostate{};
    }
    else if (const auto* const record = std::get_if<promotion::record_members>(&requested.action)) {
        events.decision("promotion", "members")
            .field("group", requested.group)
            .field("primary", record->group.primary)
            .field("members", static_cast<std::int64_t>(record->group.members.size()))
            .field("required", format_position(record->group.required));
        command.mutable_note()->set_database(requested.group);
        command.mutable_note()->set_seen_primary(record->group.primary);
        command.mutable_note()->set_required_term(record->group.required.term);
        command.mutable_note()->set_required_index(record->group.required.index);
        for (const promotion::member& each : record->group.members) {
            pb::group_member& member = *command.mutable_note()->add_members();
            member.set_server(each.server);
            member.set_address(each.address);
            member.set_born_ms(each.born_ms);
        }
    }
    else {
        executor->execute(requested);
        return std::monostate{};
    }
    return consensus_replica->propose(command, now, [](const pb::operator_reply&) {});
}

// Proposes at most one change per interval; the next check sees its outcome.
void instance::implementation::remove_silent_member(clock::time_point now)
{
    if (now - membership_checked_at < membership_check_interval) {
        return;
    }
    membership_checked_at = now;
    const std::string silent =
        member_to_remove(consensus_replica->members(), consensus_replica->member_progress(now),
                         member_name(settings.host));
    if (silent.empty()) {
        return;
    }
    events.decision("cell", "removes_member").field("instance", silent);
    status removed = consensus_replica->remove_member(instance_name(silent), now,
                                                      [](const pb::operator_reply&) {});
    if (!ok(removed)) {
        stop(std::move(removed));
    }
}

std::string instance::implementation::leader_endpoint() const
{
    return consensus_replica->leader_endpoint();
}

std::string instance::implementation::endpoint_of(const std::string& instance) const
{
    for (const pb::member& member : consensus_replica->members().members()) {
        if (member.instance() == instance && !member.endpoint().empty()) {
            return member.endpoint();
        }
    }
    // Member names contain the host, so that an instance that is about to join can be reached.
    constexpr std::string_view prefix = "cell-";
    return instance.starts_with(prefix)
               ? make_bus_endpoint(std::string_view(instance).substr(prefix.size()),
                                   settings.bus_port)
               : std::string();
}

std::set<std::string> instance::implementation::control_endpoints() const
{
    std::set<std::string> endpoints;
    for (const pb::member& member : consensus_replica->members().members()) {
        endpoints.insert(member.endpoint());
    }
    for (const std::string& seed : seeds) {
        endpoints.insert(make_bus_endpoint(host_of(seed), settings.bus_port));
    }
    endpoints.erase(make_bus_endpoint(settings.host, settings.bus_port));
    return endpoints;
}

void instance::implementation::request_membership(clock::time_point now)
{
    if (!leader_endpoint().empty()) {
        leader_known_at = now;
    }
    if (now - leader_known_at < join_after_silence || now - join_requested_at < join_interval) {
        return;
    }
    join_requested_at = now;
    if (now - join_logged_at >= join_log_interval) {
        join_logged_at = now;
        events.decision("cell", "joins")
            .field("asked", fmt::format("{}", fmt::join(control_endpoints(), " ")));
    }
    pb::envelope message = make_envelope();
    pb::member& self = *message.mutable_operate()->mutable_join();
    self.set_instance(member_name(settings.host));
    self.set_disk_id(consensus_replica->disk_id());
    self.set_endpoint(make_bus_endpoint(settings.host, settings.bus_port));
    for (const std::string& endpoint : control_endpoints()) {
        bus_connection->messages().send(endpoint, message);
    }
}

// Sends a new leader all known server announcements at once, without waiting for the next ones.
void instance::implementation::forward_announcements()
{
    const std::string leader = leader_endpoint();
    if (leader == informed_leader) {
        return;
    }
    informed_leader = leader;
    if (leader.empty() || leader == make_bus_endpoint(settings.host, settings.bus_port)) {
        return;
    }
    for (pb::server_announcement& known : servers.servers(clock::now())) {
        pb::envelope message = make_envelope();
        *message.mutable_announce() = std::move(known);
        bus_connection->messages().send(leader, message);
    }
}

// Returns whether this changed anything that instances route by.
bool instance::implementation::apply_announcement(const pb::server_announcement& announcement,
                                                  std::string_view from, clock::time_point now)
{
    const bool has_changed = servers.apply(announcement, now);
    const directory_entry* const known = servers.find(announcement.server());
    const bool is_ignored =
        !has_changed && announcement.gone() && known != nullptr && !known->announcement.gone();
    if (!has_changed && !is_ignored) {
        return false;
    }
    const auto leaving_for = servers.departures().leaving_for(known->announcement, now);
    const std::string_view applied = announcement.gone() ? "server_gone" : "server";
    events.decision("directory", is_ignored ? "departure_ignored" : applied)
        .field("server", announcement.server())
        .field("group", known->announcement.group())
        .field("address", known->announcement.address())
        .field("primary", known->announcement.is_primary())
        .field("leaving", known->announcement.leaving())
        .field("leaving_ms", leaving_for.value_or(clock::duration(-1)).count())
        .field("sequence", static_cast<std::int64_t>(announcement.sequence()))
        .field("from", from);
    return has_changed;
}

// The next leader has to know since when a server is leaving if this one fails right after it has
// acknowledged that.
void instance::implementation::pass_on_departure(const std::string& server, clock::time_point now)
{
    const std::optional<pb::server_announcement> known = servers.announcement_of(server, now);
    if (!known || !known->leaving()) {
        return;
    }
    pb::envelope message = make_envelope();
    *message.mutable_announce() = *known;
    for (const std::string& endpoint : control_endpoints()) {
        bus_connection->messages().send(endpoint, message);
    }
}

// Counts and logs the large replies that were deferred since the last call.
void instance::implementation::record_deferred_replies()
{
    const std::uint64_t deferred =
        relaying->large_replies().deferred() +
        (active_service ? active_service->large_replies().deferred() : 0);
    // The leader's part ends with its term.
    const std::uint64_t added =
        deferred - std::min(deferred, std::exchange(recorded_deferred_replies, deferred));
    if (added > 0) {
        metrics_endpoint->add_deferred_replies(added);
        events.decision("cell", "replies_deferred")
            .field("count", static_cast<std::int64_t>(added))
            .field("bytes_in_flight",
                   static_cast<std::int64_t>(relaying->large_replies().bytes_in_flight()));
    }
}

// Logs the invalid announcements that other control instances passed on.
void instance::implementation::record_rejected_announcements(clock::time_point now)
{
    const bool is_due = rejections_recorded_at == clock::time_point{} ||
                        now - rejections_recorded_at >= rejected_log_interval;
    if (servers.rejected() == recorded_rejections || !is_due) {
        return;
    }
    recorded_rejections = servers.rejected();
    rejections_recorded_at = now;
    events.decision("directory", "rejected")
        .field("total", static_cast<std::int64_t>(recorded_rejections));
}

// Logs a long delay of the event loop: heartbeats and votes were delayed as well.
void instance::implementation::record_delay(clock::time_point now)
{
    const clock::duration delay = now - last_tick_at - tick_interval;
    const bool is_first = last_tick_at == clock::time_point{};
    last_tick_at = now;
    if (is_first || delay < long_loop_delay) {
        return;
    }
    latest_delay = delay;
    delayed_at = now;
    events.decision("cell", "loop_delayed").field("delay_ms", delay.count()).field("role", role);
}

// Logs the loss of the disk and its recovery.
void instance::implementation::record_disk_outage(clock::time_point now)
{
    const std::optional<replica::disk_outage>& outage = consensus_replica->outage();
    if (outage.has_value() == disk_lost_at.has_value()) {
        return;
    }
    const auto term = static_cast<std::int64_t>(consensus_replica->term());
    if (outage) {
        disk_lost_at = outage->since;
        events.decision("disk", "lost")
            .field("error", outage->cause.message)
            .field("role", consensus_replica->role_name())
            .field("term", term);
        return;
    }
    events.decision("disk", "regained")
        .field("lost_ms", (now - *disk_lost_at).count())
        .field("role", consensus_replica->role_name())
        .field("term", term);
    disk_lost_at.reset();
}

status instance::implementation::advance(clock::time_point now)
{
    record_delay(now);
    record_disk_outage(now);
    status ticked = consensus_replica->tick(now);
    if (!ok(ticked)) {
        return ticked;
    }
    record_disk_outage(now);
    update_leadership(now);
    load_document();
    request_membership(now);
    forward_announcements();
    relaying->tick(leader_endpoint(), now);
    if (now - last_housekeeping_at >= housekeeping_interval) {
        last_housekeeping_at = now;
        servers.evict_stale(now);
        executor->close_idle_probes(now);
        metrics_endpoint->update(consensus_replica->term(), consensus_replica->state().version(),
                                 active_service ? active_service->live_instances(now) : 0,
                                 role == "leader", events);
        record_deferred_replies();
        record_rejected_announcements(now);
    }
    if (!is_leader(now)) {
        return std::monostate{};
    }
    executor->deliver_answers(*active_service, now);
    remove_silent_member(now);
    for (const pb::command& command :
         active_service->pending_registrations(consensus_replica->state(), now)) {
        status proposed =
            consensus_replica->propose(command, now, [](const pb::operator_reply&) {});
        if (!ok(proposed)) {
            return proposed;
        }
    }
    for (const group_action& requested : active_service->advance(
             current_document.get(), consensus_replica->state(), servers, now)) {
        status acted = execute(requested, now);
        if (!ok(acted)) {
            return acted;
        }
    }
    announce_fences(now);
    return std::monostate{};
}

void instance::implementation::announce_fences(clock::time_point now)
{
    const std::optional<fence_notice> notice = active_service->take_fence_notice(now);
    if (!notice) {
        return;
    }
    for (const pb::commit_fence& fence : notice->reply.fences()) {
        events.decision("promotion", "fence")
            .field("group", fence.group())
            .field("candidates", fmt::format("{}", fmt::join(fence.candidates(), " ")))
            .field("serial", static_cast<std::int64_t>(fence.id().serial()))
            .field("followers", static_cast<std::int64_t>(notice->instances.size()));
    }
    pb::envelope message = make_envelope();
    *message.mutable_follow_answer() = notice->reply;
    for (const std::string& instance : notice->instances) {
        if (const auto origin = follower_origins.find(instance); origin != follower_origins.end()) {
            bus_connection->messages().reply(origin->second, message);
        }
    }
}

void instance::implementation::reload_settings()
{
    const std::optional<std::string> text = watch.read_if_changed();
    if (!text) {
        return;
    }
    const result<cell_settings> parsed = parse_cell_settings(*text);
    if (!ok(parsed)) {
        events.decision("cell", "reload_refused").field("error", describe(failure(parsed)));
        return;
    }
    seeds = value(parsed).control;
    failure_domains = domains_of(value(parsed));
    events.decision("cell", "reload").field("control", static_cast<std::int64_t>(seeds.size()));
}

net::awaitable<void> instance::implementation::tick_loop()
{
    net::steady_timer timer(context);
    while (!exit_status) {
        status advanced = advance(clock::now());
        if (!ok(advanced)) {
            stop(std::move(advanced));
            co_return;
        }
        reload_settings();
        timer.expires_after(tick_interval);
        co_await timer.async_wait(no_throw);
    }
}

void instance::implementation::handle_follow(const bus_origin& origin, const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    if (!message.follow().is_relay() && relaying->is_serving()) {
        relaying->follow(origin, message.follow(),
                         consensus_replica->state().published(document_name));
        return;
    }
    pb::envelope response = make_envelope();
    pb::follow_reply& reply = *response.mutable_follow_answer();
    if (is_leader(now)) {
        reply = active_service->follow(message.follow(), consensus_replica->state(), servers, now);
        reply.set_confirmed_age_ms(consensus_replica->contact_age(now).count());
        follower_origins.insert_or_assign(message.follow().instance(), origin);
        for (const pb::member& member : consensus_replica->members().members()) {
            reply.add_control_endpoints(member.endpoint());
        }
    }
    else {
        reply.set_sequence(message.follow().sequence());
        reply.set_leader_hint(leader_endpoint());
        reply.set_control_term(consensus_replica->term());
        reply.set_retry_after_ms(
            reply_pacer::retry_after_ms(message.follow().instance(), now)); // if nobody leads
    }
    bus_connection->messages().reply(origin, response);
}

void instance::implementation::handle_announcement(const bus_origin& origin,
                                                   const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const bool taken = is_leader(now);
    const bool has_changed = apply_announcement(message.announce(), message.from(), now);
    if (taken && has_changed) {
        pass_on_departure(message.announce().server(), now);
    }
    if (message.correlation() != 0) {
        pb::envelope response = make_envelope();
        response.set_correlation(message.correlation());
        response.mutable_announce_answer()->set_taken(taken);
        bus_connection->messages().reply(origin, response);
    }
}

void instance::implementation::reply_to_operator(const bus_origin& origin,
                                                 std::uint64_t correlation,
                                                 pb::operator_reply reply)
{
    pb::envelope response = make_envelope();
    response.set_correlation(correlation);
    *response.mutable_operate_answer() = std::move(reply);
    bus_connection->messages().reply(origin, response);
}

void instance::implementation::admit_member(const pb::member& joining, clock::time_point now)
{
    for (const pb::member& member : consensus_replica->members().members()) {
        if (member.instance() == joining.instance()) {
            return; // a new disk is recognised from its messages
        }
    }
    events.decision("cell", "admits_member")
        .field("instance", joining.instance())
        .field("disk", joining.disk_id());
    status added = consensus_replica->add_member(joining, now, [](const pb::operator_reply&) {});
    if (!ok(added)) {
        stop(std::move(added));
    }
}

// An instance without a member list knows the seeds only, none of which may lead.
void instance::implementation::forward_join(const pb::envelope& message)
{
    const std::string& joining = message.operate().join().instance();
    const std::string leader = leader_endpoint();
    if (message.from() != joining || leader.empty()) {
        return;
    }
    pb::envelope forwarded = make_envelope();
    *forwarded.mutable_operate() = message.operate();
    bus_connection->messages().send(leader, forwarded);
}

pb::operator_reply instance::implementation::show_published() const
{
    pb::operator_reply reply;
    reply.set_ok(true);
    if (const pb::published_record* const stored =
            consensus_replica->state().published(document_name)) {
        *reply.mutable_published() = *stored;
    }
    return reply;
}

void instance::implementation::handle_operator_request(const bus_origin& origin,
                                                       const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const pb::operator_request& request = message.operate();
    const std::uint64_t correlation = message.correlation();
    if (!is_leader(now)) {
        if (request.has_join()) {
            forward_join(message);
            return;
        }
        pb::operator_reply reply;
        reply.set_not_leader(true);
        reply_to_operator(origin, correlation, std::move(reply));
        return;
    }
    switch (request.body_case()) {
    case pb::operator_request::kChange: {
        status proposed = propose_change(
            request.change(), now, [this, origin, correlation](const pb::operator_reply& reply) {
                reply_to_operator(origin, correlation, reply);
            });
        if (!ok(proposed)) {
            stop(std::move(proposed));
        }
        break;
    }
    case pb::operator_request::kShowPublished:
        reply_to_operator(origin, correlation, show_published());
        break;
    case pb::operator_request::kJoin:
        admit_member(request.join(), now);
        break;
    default:
        events.decision("cell", "unknown_request").field("from", message.from());
    }
}

void instance::implementation::handle_token_request(const bus_origin& origin,
                                                    const pb::token_request& request)
{
    const clock::time_point now = clock::now();
    if (!request.is_relay() && relaying->is_serving()) {
        relaying->grant_tokens(origin, request);
        return;
    }
    if (!is_leader(now)) {
        return; // the requester learns of the next leader from its follow requests
    }
    pb::envelope response = make_envelope();
    *response.mutable_tokens() = active_service->grant_tokens(request, now);
    bus_connection->messages().reply(origin, response);
}

void instance::implementation::receive(const bus_origin& origin, const pb::envelope& message)
{
    if (message.cell() != settings.cell.text()) {
        events.decision("cell", "other_cell").field("cell", message.cell());
        return;
    }
    switch (message.body_case()) {
    case pb::envelope::kConsensus: {
        status received = consensus_replica->receive(message.consensus(), clock::now());
        if (!ok(received)) {
            stop(std::move(received));
        }
        break;
    }
    case pb::envelope::kFollow:
        handle_follow(origin, message);
        break;
    case pb::envelope::kAnnounce:
        handle_announcement(origin, message);
        break;
    case pb::envelope::kAskTokens:
        handle_token_request(origin, message.ask_tokens());
        break;
    case pb::envelope::kFollowAnswer:
        relaying->receive(message.follow_answer());
        break;
    case pb::envelope::kTokens:
        relaying->receive_tokens(message.tokens());
        break;
    case pb::envelope::kOperate:
        handle_operator_request(origin, message);
        break;
    case pb::envelope::kOperateAnswer:
    case pb::envelope::kAnnounceAnswer: {
        const auto found = pending.find(message.correlation());
        if (found != pending.end()) {
            found->second->reply = message;
            found->second->timer.cancel();
        }
        break;
    }
    default:
        events.decision("cell", "unknown_message").field("from", message.from());
    }
}

net::awaitable<std::optional<pb::envelope>>
instance::implementation::request_from_leader(pb::envelope& request)
{
    const std::string leader = leader_endpoint();
    if (leader.empty()) {
        co_return std::nullopt;
    }
    const std::uint64_t correlation = next_correlation++;
    request.set_correlation(correlation);
    const auto pending_reply = std::make_shared<pending_request>(context.get_executor());
    pending.emplace(correlation, pending_reply);
    pending_reply->timer.expires_at(to_steady_time(clock::now() + forward_timeout));
    bus_connection->messages().send(leader, request);
    co_await pending_reply->timer.async_wait(no_throw);
    pending.erase(correlation);
    co_return std::move(pending_reply->reply);
}

net::awaitable<status>
instance::implementation::announce(const pb::server_announcement& announcement)
{
    const clock::time_point now = clock::now();
    const bool has_changed = apply_announcement(announcement, {}, now);
    if (is_leader(now)) {
        if (has_changed) {
            pass_on_departure(announcement.server(), now);
        }
        co_return std::monostate{};
    }
    pb::envelope request = make_envelope();
    *request.mutable_announce() = announcement;
    if (announcement.leaving()) {
        servers.departures().write_age(*request.mutable_announce(), now);
    }
    const std::optional<pb::envelope> reply = co_await request_from_leader(request);
    if (!reply || !reply->announce_answer().taken()) {
        co_return no_leader_error();
    }
    co_return std::monostate{};
}

// Proposes an operator's change at the leader.
status instance::implementation::propose_change(const pb::command& command, clock::time_point now,
                                                replica::completion done)
{
    return command.has_evacuate() ? propose_evacuation(command, now, std::move(done))
                                  : consensus_replica->propose(command, now, std::move(done));
}

status instance::implementation::propose_evacuation(const pb::command& command,
                                                    clock::time_point now, replica::completion done)
{
    const pb::set_evacuation& order = command.evacuate();
    if (const std::optional<error> refusal =
            evacuations.check(order, failure_domains, consensus_replica->state())) {
        events.decision("evacuation", "refused")
            .field("domain", order.failure_domain())
            .field("withdrawn", order.withdrawn())
            .field("error", describe(*refusal));
        done(rejected_reply(*refusal));
        return std::monostate{};
    }
    evacuations.begin(order);
    return consensus_replica->propose(
        command, now, [this, order, done = std::move(done)](const pb::operator_reply& reply) {
            evacuations.finish(order);
            events.decision("evacuation", reply.ok() ? "committed" : "not_committed")
                .field("domain", order.failure_domain())
                .field("withdrawn", order.withdrawn())
                .field("version", static_cast<std::int64_t>(reply.version()))
                .field("error", reply.error().kind());
            done(reply);
        });
}

net::awaitable<pb::operator_reply> instance::implementation::commit(const pb::command& command)
{
    const clock::time_point now = clock::now();
    pb::operator_reply outcome;
    outcome.set_not_leader(true);
    if (!is_leader(now)) {
        pb::envelope request = make_envelope();
        *request.mutable_operate()->mutable_change() = command;
        const std::string leader = leader_endpoint();
        const std::optional<pb::envelope> reply = co_await request_from_leader(request);
        if (reply) {
            outcome = reply->operate_answer();
        }
        else if (command.has_evacuate() && !leader.empty()) {
            // The bus would deliver a queued order at the end of a partition, when the evacuation
            // may have been withdrawn. Consensus messages on the connection are repeated.
            bus_connection->messages().disconnect(leader);
        }
        co_return outcome;
    }
    const auto pending_reply = std::make_shared<pending_request>(context.get_executor());
    pending_reply->timer.expires_at(to_steady_time(now + forward_timeout));
    status proposed =
        propose_change(command, now, [pending_reply](const pb::operator_reply& reply) {
            pending_reply->reply.emplace();
            *pending_reply->reply->mutable_operate_answer() = reply;
            pending_reply->timer.cancel();
        });
    if (!ok(proposed)) {
        stop(std::move(proposed));
        co_return outcome;
    }
    if (!pending_reply->reply) {
        co_await pending_reply->timer.async_wait(no_throw);
    }
    if (pending_reply->reply) {
        outcome = pending_reply->reply->operate_answer();
    }
    co_return outcome;
}

net::awaitable<status> instance::implementation::publish(const std::string& text)
{
    const result<std::shared_ptr<const document>> parsed = parts.parse_document(text);
    if (!ok(parsed)) {
        events.decision("document", "refused").field("error", describe(failure(parsed)));
        co_return failure(parsed);
    }
    const std::uint64_t version = value(parsed)->version();
    pb::command command;
    *command.mutable_publish() = compress_document(document_name, version, text);
    const pb::operator_reply reply = co_await commit(command);
    events.decision("document", reply.ok() ? "published" : "not_published")
        .field("version", static_cast<std::int64_t>(version))
        .field("held", static_cast<std::int64_t>(reply.version()))
        .field("error", reply.error().kind());
    co_return outcome_of(reply);
}

// True if an order that is read now may have arrived while this process was stopped.
bool instance::implementation::may_be_outdated(clock::time_point now) const
{
    return now - last_tick_at >= max_order_delay ||
           (latest_delay >= max_order_delay && now - delayed_at < delayed_order_period);
}

net::awaitable<status> instance::implementation::set_evacuation(const std::string& domain,
                                                                bool is_withdrawn)
{
    const clock::time_point received_at = clock::now();
    if (may_be_outdated(received_at)) {
        events.decision("evacuation", "outdated")
            .field("domain", domain)
            .field("withdrawn", is_withdrawn)
            .field("loop_delay_ms", latest_delay.count());
        metrics_endpoint->record_evacuation_order(false);
        co_return no_leader_error();
    }
    pb::command command;
    command.mutable_evacuate()->set_failure_domain(domain);
    command.mutable_evacuate()->set_withdrawn(is_withdrawn);
    const pb::operator_reply reply = co_await commit(command);
    events.decision("evacuation", reply.ok() ? "acknowledged" : "not_acknowledged")
        .field("domain", domain)
        .field("withdrawn", is_withdrawn)
        .field("version", static_cast<std::int64_t>(reply.version()))
        .field("error", reply.error().kind())
        .field("took_ms", (clock::now() - received_at).count());
    metrics_endpoint->record_evacuation_order(reply.ok());
    co_return outcome_of(reply);
}

net::awaitable<result<std::string>> instance::implementation::latest_document()
{
    pb::operator_reply reply;
    if (is_leader(clock::now())) {
        reply = show_published();
    }
    else {
        pb::envelope request = make_envelope();
        request.mutable_operate()->set_show_published(std::string(document_name));
        const std::optional<pb::envelope> forwarded_reply = co_await request_from_leader(request);
        if (!forwarded_reply || !forwarded_reply->operate_answer().ok()) {
            co_return no_leader_error();
        }
        reply = forwarded_reply->operate_answer();
    }
    if (!reply.has_published()) {
        co_return error{error_kind::no_quorum, "No document has been published yet.",
                        "Publish a document first."};
    }
    co_return decompress_document(reply.published());
}

status instance::implementation::run()
{
    net::signal_set stops(context, SIGTERM, SIGINT);
    stops.async_wait([this](const boost::system::error_code& failed, int) {
        if (!failed) {
            stop(std::monostate{});
        }
    });
    const reload_signal reloads(context.get_executor(), [this] { watch.check_now(); });
    events.decision("process", "start")
        .field("instance", member_name(settings.host))
        .field("listen", settings.listen)
        .field("first_start", settings.is_first_start)
        .field("version", std::string_view(PRIMROSEHEAD_VERSION));
    net::co_spawn(context, tick_loop(), net::detached);
    context.run();
    bus_connection.reset();
    status outcome = exit_status.value_or(status{std::monostate{}});
    events.decision("process", "stop")
        .field("reason", ok(outcome) ? "asked to stop" : describe(failure(outcome)));
    return outcome;
}

instance::instance(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
instance::~instance() = default;

result<std::unique_ptr<instance>> instance::open(const cell_settings& settings,
                                                 std::string settings_path, platform_parts parts)
{
    auto body =
        std::make_unique<implementation>(settings, std::move(settings_path), std::move(parts));
    const status opened = body->open();
    if (!ok(opened)) {
        return failure(opened);
    }
    return std::unique_ptr<instance>(new instance(std::move(body)));
}

status instance::run()
{
    return body_->run();
}

} // namespace primrosehead::cell
