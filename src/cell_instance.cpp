#include "cell_instance.h"

#include "bus_runner.h"
#include "cell_directory.h"
#include "cell_members.h"
#include "cell_metrics.h"
#include "cell_orders.h"
#include "cell_service.h"
#include "clock_timer.h"
#include "disk_id.h"
#include "document_codec.h"
#include "event_log.h"
#include "primrosehead.pb.h"
#include "reload_signal.h"
#include "settings_watch.h"

#include <primrosehead/bus.h>
#include <primrosehead/replica.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <random>
#include <set>
#include <unistd.h>

namespace primrosehead::cell {

namespace net = boost::asio;

namespace {

constexpr auto no_throw = net::as_tuple(net::use_awaitable);

constexpr clock::duration tick_interval{20};
// Consensus over a network of milliseconds and a disk of some milliseconds a sync: elections are
// rare, and an instance that is out of processor time for a tenth of a second starts none.
constexpr clock::duration consensus_heartbeat{100};
constexpr clock::duration election_min{500};
constexpr clock::duration election_max{1'000};
// Documents are kilobytes: a snapshot replaces them soon.
constexpr std::uint32_t snapshot_after = 200;
// Operators and servers give up after a second.
constexpr clock::duration forward_timeout{800};
constexpr clock::duration join_interval{500};
constexpr clock::duration join_after_silence{1'500};
constexpr clock::duration remove_interval{1'000};
constexpr clock::duration housekeeping_interval{1'000};

std::string instance_on(std::string_view host)
{
    return "cell-" + std::string(host);
}

error nobody_leads()
{
    return error{error_kind::no_quorum, "No cell instance that is reached here leads.",
                 "Send again, to another instance.", ran::unknown, election_min};
}

error error_from(const pb::request_error& told)
{
    return error{error_kind_from(told.kind()), told.message(), told.remedy()};
}

// A question that was sent to the leader and waits for its answer.
struct pending_question {
    explicit pending_question(const net::any_io_executor& executor) : answered(executor) {}
    net::steady_timer answered;
    std::optional<pb::envelope> answer;
};

} // namespace

struct instance::implementation : public interface {
    implementation(const cell_settings& with, std::string path, platform_parts with_parts)
        : settings(with), parts(std::move(with_parts)), events(STDOUT_FILENO, with.instance),
          watch(std::move(path)), seeds(with.control)
    {
        route_spdlog(events, with.log.level);
    }

    status open();
    status run();

    net::awaitable<status> announce(const pb::server_announcement& announcement) override;
    net::awaitable<status> publish(const std::string& text) override;
    net::awaitable<result<std::string>> newest() override;

    [[nodiscard]] control_settings consensus_settings() const;
    [[nodiscard]] status open_replica();
    net::awaitable<void> tick_loop();
    void stop_with(status why);
    status advance(clock::time_point now);
    void lead(clock::time_point now);
    [[nodiscard]] bool leads(clock::time_point now) const;
    void read_document();
    status act(const group_action& due, clock::time_point now);
    void keep_membership(clock::time_point now);
    void ask_to_join(clock::time_point now);
    void tell_new_leader();
    void reload();
    [[nodiscard]] std::string leader_endpoint() const;
    [[nodiscard]] std::set<std::string> control_endpoints() const;
    [[nodiscard]] std::string endpoint_of(const std::string& instance) const;

    void receive(const bus_origin& origin, const pb::envelope& message);
    void answer_follower(const bus_origin& origin, const pb::envelope& message);
    void answer_announcement(const bus_origin& origin, const pb::envelope& message);
    void operate(const bus_origin& origin, const pb::envelope& message);
    void answer(const bus_origin& origin, std::uint64_t correlation, pb::operator_reply reply);
    void admit(const pb::member& joining, clock::time_point now);
    net::awaitable<std::optional<pb::envelope>> ask_leader(pb::envelope& question);
    net::awaitable<pb::operator_reply> change(const pb::command& command);
    [[nodiscard]] pb::envelope make_envelope() const;
    [[nodiscard]] pb::operator_reply show() const;

    const cell_settings settings;
    platform_parts parts;
    event_log events;
    settings_watch watch;
    net::io_context context{1};
    std::unique_ptr<bus_runner> messages;
    std::unique_ptr<replica> state;
    std::unique_ptr<promotion::platform> port;
    std::unique_ptr<orders> server_orders;
    std::shared_ptr<http::listener> listener;
    std::unique_ptr<metrics_server> numbers;
    std::optional<service> leading;
    directory servers;
    std::shared_ptr<const document> present;
    std::vector<std::string> seeds;
    std::map<std::uint64_t, std::shared_ptr<pending_question>> pending;
    std::uint64_t next_correlation = 1;
    std::string told_leader;
    std::string role;
    clock::time_point leader_heard_at{};
    clock::time_point joined_at{};
    clock::time_point removed_at{};
    clock::time_point housekept_at{};
    std::optional<status> stopped;
};

pb::envelope instance::implementation::make_envelope() const
{
    pb::envelope message;
    message.set_cell(settings.cell.text());
    message.set_from(instance_on(settings.host));
    return message;
}

// The members of a new cell are the instances that all settings name at the first start; an
// instance that is not among them, or starts later with an empty disk, joins.
control_settings instance::implementation::consensus_settings() const
{
    control_settings chosen;
    chosen.cell = settings.cell;
    chosen.instance = instance_name(instance_on(settings.host));
    chosen.failure_domain = settings.failure_domain;
    chosen.heartbeat = consensus_heartbeat;
    chosen.election_min = election_min;
    chosen.election_max = election_max;
    chosen.snapshot_after = snapshot_after;
    bool is_first = false;
    for (const std::string& address : settings.control) {
        const std::string_view host = host_of(address);
        chosen.control.push_back(
            {instance_name(instance_on(host)), bus_endpoint_of(host, settings.bus_port)});
        is_first = is_first || host == settings.host;
    }
    if (!settings.is_first_start || !is_first) {
        chosen.control.clear();
    }
    return chosen;
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
                              pb::envelope carried = make_envelope();
                              *carried.mutable_consensus() = message;
                              messages->messages().send(endpoint, carried);
                          }
                      });
    if (!ok(opened)) {
        return failure(opened);
    }
    state = std::move(value(opened));
    return std::monostate{};
}

status instance::implementation::open()
{
    result<std::unique_ptr<bus>> opened =
        bus::open(bus_endpoint_of(settings.host, settings.bus_port), std::nullopt);
    if (!ok(opened)) {
        return failure(opened);
    }
    messages =
        std::make_unique<bus_runner>(std::move(value(opened)), context.get_executor(),
                                     [this](const bus_origin& origin, const pb::envelope& message) {
                                         if (state) {
                                             receive(origin, message);
                                         }
                                     });
    const status replicated = open_replica();
    if (!ok(replicated)) {
        return replicated;
    }
    port = parts.make_port(settings, context.get_executor());
    server_orders = std::make_unique<orders>(context.get_executor(), parts.dialect, *port, events,
                                             instance_on(settings.host));
    http::listener_settings listening;
    listening.address = settings.listen;
    result<std::shared_ptr<http::listener>> listens =
        http::listener::open(context.get_executor(), listening, parts.make_handler(*this));
    if (!ok(listens)) {
        return failure(listens);
    }
    listener = value(listens);
    result<std::unique_ptr<metrics_server>> metered =
        metrics_server::open(context.get_executor(), settings.metrics_listen);
    if (!ok(metered)) {
        return failure(metered);
    }
    numbers = std::move(value(metered));
    read_document();
    return std::monostate{};
}

void instance::implementation::stop_with(status why)
{
    if (!stopped) {
        stopped = std::move(why);
        context.stop();
    }
}

bool instance::implementation::leads(clock::time_point now) const
{
    return leading && leading->term() == state->term() && state->is_current(now);
}

// The service lives as long as this instance leads one term, also over moments in which its lease
// has lapsed.
void instance::implementation::lead(clock::time_point now)
{
    if (role != state->role_name()) {
        role = state->role_name();
        events.decision("cell", "role")
            .field("role", role)
            .field("term", static_cast<std::int64_t>(state->term()));
    }
    if (leading && (leading->term() != state->term() || role != "leader")) {
        events.decision("cell", "stopped_leading")
            .field("term", static_cast<std::int64_t>(leading->term()));
        leading.reset();
    }
    if (leading || !state->is_current(now)) {
        return;
    }
    service_settings chosen;
    chosen.instance_lease = settings.revocation * 7 / 10;
    chosen.announcement_interval = settings.announcement_interval;
    leading.emplace(chosen, state->term(), now);
    server_orders->forget_answers();
    events.decision("cell", "leads")
        .field("term", static_cast<std::int64_t>(state->term()))
        .field("version", static_cast<std::int64_t>(state->state().version()));
}

void instance::implementation::read_document()
{
    const pb::published_record* const stored = state->state().published(document_name);
    if (stored == nullptr || (present && present->version() == stored->version())) {
        return;
    }
    const result<std::string> text = unpack_document(*stored);
    if (!ok(text)) {
        events.decision("cell", "document_unreadable").field("error", describe(failure(text)));
        return;
    }
    const result<std::shared_ptr<const document>> parsed = parts.parse_document(value(text));
    if (!ok(parsed)) {
        events.decision("cell", "document_unreadable").field("error", describe(failure(parsed)));
        return;
    }
    present = value(parsed);
    events.decision("cell", "document")
        .field("version", static_cast<std::int64_t>(present->version()))
        .field("routes", static_cast<std::int64_t>(present->content().routes.size()));
}

status instance::implementation::act(const group_action& due, clock::time_point now)
{
    pb::command command;
    if (const auto* const begin = std::get_if<promotion::begin_decision>(&due.what)) {
        events.decision("promotion", "begins")
            .field("group", due.group)
            .field("number", static_cast<std::int64_t>(begin->number))
            .field("reason", begin->reason);
        command.mutable_begin()->set_database(due.group);
        command.mutable_begin()->set_new_term(begin->number);
    }
    else if (const auto* const finish = std::get_if<promotion::finish_decision>(&due.what)) {
        events.decision("promotion", "finished")
            .field("group", due.group)
            .field("number", static_cast<std::int64_t>(finish->number))
            .field("server", finish->server)
            .field("position", format_position(finish->position));
        command.mutable_finish()->set_database(due.group);
        command.mutable_finish()->set_term(finish->number);
        command.mutable_finish()->set_primary(finish->server);
        command.mutable_finish()->set_primary_url(finish->address);
        command.mutable_finish()->set_start_index(finish->position.index);
    }
    else if (const auto* const note = std::get_if<promotion::record_members>(&due.what)) {
        events.decision("promotion", "members")
            .field("group", due.group)
            .field("primary", note->primary)
            .field("members", static_cast<std::int64_t>(note->members.size()));
        command.mutable_note()->set_database(due.group);
        command.mutable_note()->set_seen_primary(note->primary);
        for (const promotion::member& each : note->members) {
            pb::group_member& member = *command.mutable_note()->add_members();
            member.set_server(each.server);
            member.set_address(each.address);
            member.set_born_ms(each.born_ms);
        }
    }
    else {
        server_orders->carry_out(due);
        return std::monostate{};
    }
    return state->propose(command, now, [](const pb::operator_reply&) {});
}

// One change at a time; the next turn sees what became of it.
void instance::implementation::keep_membership(clock::time_point now)
{
    if (now - removed_at < remove_interval) {
        return;
    }
    removed_at = now;
    const std::string silent =
        member_to_remove(state->members(), state->member_progress(now), instance_on(settings.host));
    if (silent.empty()) {
        return;
    }
    events.decision("cell", "removes_member").field("instance", silent);
    status removed =
        state->remove_member(instance_name(silent), now, [](const pb::operator_reply&) {});
    if (!ok(removed)) {
        stop_with(std::move(removed));
    }
}

std::string instance::implementation::leader_endpoint() const
{
    return state->leader_endpoint();
}

std::string instance::implementation::endpoint_of(const std::string& instance) const
{
    for (const pb::member& member : state->members().members()) {
        if (member.instance() == instance && !member.endpoint().empty()) {
            return member.endpoint();
        }
    }
    // Instances are named after their host, so that one that joins can be answered.
    constexpr std::string_view prefix = "cell-";
    return instance.starts_with(prefix)
               ? bus_endpoint_of(std::string_view(instance).substr(prefix.size()),
                                 settings.bus_port)
               : std::string();
}

std::set<std::string> instance::implementation::control_endpoints() const
{
    std::set<std::string> endpoints;
    for (const pb::member& member : state->members().members()) {
        endpoints.insert(member.endpoint());
    }
    for (const std::string& seed : seeds) {
        endpoints.insert(bus_endpoint_of(host_of(seed), settings.bus_port));
    }
    endpoints.erase(bus_endpoint_of(settings.host, settings.bus_port));
    return endpoints;
}

void instance::implementation::ask_to_join(clock::time_point now)
{
    if (!leader_endpoint().empty()) {
        leader_heard_at = now;
    }
    if (now - leader_heard_at < join_after_silence || now - joined_at < join_interval) {
        return;
    }
    joined_at = now;
    pb::envelope message = make_envelope();
    pb::member& self = *message.mutable_operate()->mutable_join();
    self.set_instance(instance_on(settings.host));
    self.set_disk_id(state->disk_id());
    self.set_endpoint(bus_endpoint_of(settings.host, settings.bus_port));
    for (const std::string& endpoint : control_endpoints()) {
        messages->messages().send(endpoint, message);
    }
}

// The new leader hears at once what this instance knows of the servers.
void instance::implementation::tell_new_leader()
{
    const std::string leader = leader_endpoint();
    if (leader == told_leader) {
        return;
    }
    told_leader = leader;
    if (leader.empty() || leader == bus_endpoint_of(settings.host, settings.bus_port)) {
        return;
    }
    for (pb::server_announcement& known : servers.servers(clock::now())) {
        pb::envelope message = make_envelope();
        *message.mutable_announce() = std::move(known);
        messages->messages().send(leader, message);
    }
}

status instance::implementation::advance(clock::time_point now)
{
    status ticked = state->tick(now);
    if (!ok(ticked)) {
        return ticked;
    }
    lead(now);
    read_document();
    ask_to_join(now);
    tell_new_leader();
    if (now - housekept_at >= housekeeping_interval) {
        housekept_at = now;
        servers.forget_old(now);
        server_orders->close_idle(now);
        numbers->set(state->term(), state->state().version(),
                     leading ? leading->live_instances(now) : 0, role == "leader", events);
    }
    if (!leads(now)) {
        return std::monostate{};
    }
    server_orders->give_answers(*leading, now);
    keep_membership(now);
    for (const pb::command& command : leading->registrations(state->state(), now)) {
        status proposed = state->propose(command, now, [](const pb::operator_reply&) {});
        if (!ok(proposed)) {
            return proposed;
        }
    }
    for (const group_action& due : leading->advance(present.get(), state->state(), servers, now)) {
        status acted = act(due, now);
        if (!ok(acted)) {
            return acted;
        }
    }
    return std::monostate{};
}

void instance::implementation::reload()
{
    const std::optional<std::string> text = watch.changed();
    if (!text) {
        return;
    }
    const result<cell_settings> read = parse_cell_settings(*text);
    if (!ok(read)) {
        events.decision("cell", "reload_refused").field("error", describe(failure(read)));
        return;
    }
    seeds = value(read).control;
    events.decision("cell", "reload").field("control", static_cast<std::int64_t>(seeds.size()));
}

net::awaitable<void> instance::implementation::tick_loop()
{
    net::steady_timer timer(context);
    while (!stopped) {
        status advanced = advance(clock::now());
        if (!ok(advanced)) {
            stop_with(std::move(advanced));
            co_return;
        }
        reload();
        timer.expires_after(tick_interval);
        co_await timer.async_wait(no_throw);
    }
}

void instance::implementation::answer_follower(const bus_origin& origin,
                                               const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    pb::envelope carried = make_envelope();
    pb::follow_reply& reply = *carried.mutable_follow_answer();
    if (leads(now)) {
        reply = leading->follow(message.follow(), state->state(), servers, now);
        for (const pb::member& member : state->members().members()) {
            reply.add_control_endpoints(member.endpoint());
        }
    }
    else {
        reply.set_sequence(message.follow().sequence());
        reply.set_leader_hint(leader_endpoint());
        reply.set_control_term(state->term());
    }
    messages->messages().reply(origin, carried);
}

void instance::implementation::answer_announcement(const bus_origin& origin,
                                                   const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const bool taken = leads(now);
    if (taken) {
        servers.heard(message.announce(), now);
    }
    if (message.correlation() != 0) {
        pb::envelope carried = make_envelope();
        carried.set_correlation(message.correlation());
        carried.mutable_announce_answer()->set_taken(taken);
        messages->messages().reply(origin, carried);
    }
}

void instance::implementation::answer(const bus_origin& origin, std::uint64_t correlation,
                                      pb::operator_reply reply)
{
    pb::envelope carried = make_envelope();
    carried.set_correlation(correlation);
    *carried.mutable_operate_answer() = std::move(reply);
    messages->messages().reply(origin, carried);
}

void instance::implementation::admit(const pb::member& joining, clock::time_point now)
{
    for (const pb::member& member : state->members().members()) {
        if (member.instance() == joining.instance()) {
            return; // its messages show a new disk by themselves
        }
    }
    events.decision("cell", "admits_member")
        .field("instance", joining.instance())
        .field("disk", joining.disk_id());
    status added = state->add_member(joining, now, [](const pb::operator_reply&) {});
    if (!ok(added)) {
        stop_with(std::move(added));
    }
}

pb::operator_reply instance::implementation::show() const
{
    pb::operator_reply reply;
    reply.set_ok(true);
    if (const pb::published_record* const stored = state->state().published(document_name)) {
        *reply.mutable_published() = *stored;
    }
    return reply;
}

void instance::implementation::operate(const bus_origin& origin, const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const pb::operator_request& request = message.operate();
    const std::uint64_t correlation = message.correlation();
    if (!leads(now)) {
        pb::operator_reply reply;
        reply.set_not_leader(true);
        answer(origin, correlation, std::move(reply));
        return;
    }
    switch (request.body_case()) {
    case pb::operator_request::kChange: {
        status proposed = state->propose(
            request.change(), now, [this, origin, correlation](const pb::operator_reply& reply) {
                answer(origin, correlation, reply);
            });
        if (!ok(proposed)) {
            stop_with(std::move(proposed));
        }
        break;
    }
    case pb::operator_request::kShowPublished:
        answer(origin, correlation, show());
        break;
    case pb::operator_request::kJoin:
        admit(request.join(), now);
        break;
    default:
        events.decision("cell", "unknown_request").field("from", message.from());
    }
}

void instance::implementation::receive(const bus_origin& origin, const pb::envelope& message)
{
    if (message.cell() != settings.cell.text()) {
        events.decision("cell", "other_cell").field("cell", message.cell());
        return;
    }
    switch (message.body_case()) {
    case pb::envelope::kConsensus: {
        status received = state->receive(message.consensus(), clock::now());
        if (!ok(received)) {
            stop_with(std::move(received));
        }
        break;
    }
    case pb::envelope::kFollow:
        answer_follower(origin, message);
        break;
    case pb::envelope::kAnnounce:
        answer_announcement(origin, message);
        break;
    case pb::envelope::kAskTokens: {
        const clock::time_point now = clock::now();
        pb::envelope carried = make_envelope();
        if (leads(now)) {
            *carried.mutable_tokens() = leading->grant(message.ask_tokens(), now);
        }
        messages->messages().reply(origin, carried);
        break;
    }
    case pb::envelope::kOperate:
        operate(origin, message);
        break;
    case pb::envelope::kOperateAnswer:
    case pb::envelope::kAnnounceAnswer: {
        const auto found = pending.find(message.correlation());
        if (found != pending.end()) {
            found->second->answer = message;
            found->second->answered.cancel();
        }
        break;
    }
    default:
        events.decision("cell", "unknown_message").field("from", message.from());
    }
}

net::awaitable<std::optional<pb::envelope>>
instance::implementation::ask_leader(pb::envelope& question)
{
    const std::string leader = leader_endpoint();
    if (leader.empty()) {
        co_return std::nullopt;
    }
    const std::uint64_t correlation = next_correlation++;
    question.set_correlation(correlation);
    const auto waiting = std::make_shared<pending_question>(context.get_executor());
    pending.emplace(correlation, waiting);
    waiting->answered.expires_at(steady(clock::now() + forward_timeout));
    messages->messages().send(leader, question);
    co_await waiting->answered.async_wait(no_throw);
    pending.erase(correlation);
    co_return std::move(waiting->answer);
}

net::awaitable<status>
instance::implementation::announce(const pb::server_announcement& announcement)
{
    const clock::time_point now = clock::now();
    const bool changed = servers.heard(announcement, now);
    if (changed) {
        events.decision("directory", announcement.gone() ? "server_gone" : "server")
            .field("server", announcement.server())
            .field("group", announcement.group())
            .field("address", announcement.address())
            .field("primary", announcement.is_primary())
            .field("leaving", announcement.leaving())
            .field("sequence", static_cast<std::int64_t>(announcement.sequence()));
    }
    if (leads(now)) {
        co_return std::monostate{};
    }
    pb::envelope question = make_envelope();
    *question.mutable_announce() = announcement;
    const std::optional<pb::envelope> reply = co_await ask_leader(question);
    if (!reply || !reply->announce_answer().taken()) {
        co_return nobody_leads();
    }
    co_return std::monostate{};
}

net::awaitable<pb::operator_reply> instance::implementation::change(const pb::command& command)
{
    const clock::time_point now = clock::now();
    pb::operator_reply outcome;
    outcome.set_not_leader(true);
    if (!leads(now)) {
        pb::envelope question = make_envelope();
        *question.mutable_operate()->mutable_change() = command;
        const std::optional<pb::envelope> reply = co_await ask_leader(question);
        if (reply) {
            outcome = reply->operate_answer();
        }
        co_return outcome;
    }
    const auto waiting = std::make_shared<pending_question>(context.get_executor());
    waiting->answered.expires_at(steady(now + forward_timeout));
    status proposed = state->propose(command, now, [waiting](const pb::operator_reply& reply) {
        waiting->answer.emplace();
        *waiting->answer->mutable_operate_answer() = reply;
        waiting->answered.cancel();
    });
    if (!ok(proposed)) {
        stop_with(std::move(proposed));
        co_return outcome;
    }
    if (!waiting->answer) {
        co_await waiting->answered.async_wait(no_throw);
    }
    if (waiting->answer) {
        outcome = waiting->answer->operate_answer();
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
    *command.mutable_publish() = pack_document(document_name, version, text);
    const pb::operator_reply reply = co_await change(command);
    events.decision("document", reply.ok() ? "published" : "not_published")
        .field("version", static_cast<std::int64_t>(version))
        .field("held", static_cast<std::int64_t>(reply.version()))
        .field("error", reply.error().kind());
    if (reply.ok()) {
        co_return std::monostate{};
    }
    const error_kind kind = error_kind_from(reply.error().kind());
    const bool is_final =
        !reply.not_leader() &&
        (kind == error_kind::version_conflict || kind == error_kind::bad_request) &&
        reply.error().ran() == "no";
    if (is_final) {
        co_return error_from(reply.error());
    }
    co_return nobody_leads();
}

net::awaitable<result<std::string>> instance::implementation::newest()
{
    pb::operator_reply reply;
    if (leads(clock::now())) {
        reply = show();
    }
    else {
        pb::envelope question = make_envelope();
        question.mutable_operate()->set_show_published(std::string(document_name));
        const std::optional<pb::envelope> answered = co_await ask_leader(question);
        if (!answered || !answered->operate_answer().ok()) {
            co_return nobody_leads();
        }
        reply = answered->operate_answer();
    }
    if (!reply.has_published()) {
        co_return error{error_kind::no_quorum, "No document is published yet.",
                        "Publish one first."};
    }
    co_return unpack_document(reply.published());
}

status instance::implementation::run()
{
    net::signal_set stops(context, SIGTERM, SIGINT);
    stops.async_wait([this](const boost::system::error_code& failed, int) {
        if (!failed) {
            stop_with(std::monostate{});
        }
    });
    const reload_signal reloads(context.get_executor(), [this] { watch.look_now(); });
    events.decision("process", "start")
        .field("instance", instance_on(settings.host))
        .field("listen", settings.listen)
        .field("first_start", settings.is_first_start)
        .field("version", std::string_view(PRIMROSEHEAD_VERSION));
    net::co_spawn(context, tick_loop(), net::detached);
    context.run();
    messages.reset();
    status outcome = stopped.value_or(status{std::monostate{}});
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
