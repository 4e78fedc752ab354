#include "control_order_answer.h"
#include "control_orders.h"
#include "disk_id.h"
#include "primrosehead.pb.h"

#include <primrosehead/bus.h>
#include <primrosehead/control.h>
#include <primrosehead/fleet.h>
#include <primrosehead/journal.h>
#include <primrosehead/replica.h>

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <random>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr clock::duration poll_timeout{5};
constexpr std::uint32_t not_leader_retry_ms = 100;

// Set by the signal handler.
volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int)
{
    stop_requested = 1;
}

pb::operator_reply refusal(const std::string& request_id, error_kind kind, std::string message,
                           std::string remedy)
{
    pb::operator_reply reply;
    reply.set_request_id(request_id);
    pb::request_error& error = *reply.mutable_error();
    error.set_kind(std::string(to_string(kind)));
    error.set_message(std::move(message));
    error.set_remedy(std::move(remedy));
    error.set_ran("no");
    return reply;
}

} // namespace

struct control_instance::implementation {
    explicit implementation(const control_settings& initial_settings)
        : settings(initial_settings), orders(initial_settings.instance.text())
    {
    }

    status open();
    status run();
    status advance(clock::time_point now);
    void record_disk_outage(clock::time_point now);
    void update_leadership(clock::time_point now);
    [[nodiscard]] bool is_leader(clock::time_point now) const;
    void process_order_answers();
    status execute(const fleet::action& action, clock::time_point now);
    void push_state();
    void send_consensus(const pb::consensus_message& message);
    [[nodiscard]] std::string endpoint_of(const std::string& instance) const;
    status receive(const bus_origin& origin, const pb::envelope& message);
    void handle_heartbeat(const bus_origin& origin, const pb::envelope& message);
    status handle_operator_request(const bus_origin& origin, const pb::envelope& message);
    void reply_to_operator(const bus_origin& origin, std::uint64_t correlation,
                           pb::operator_reply reply);
    [[nodiscard]] pb::operator_reply show_environment(const pb::operator_request& request) const;
    [[nodiscard]] std::string describe_status(clock::time_point now) const;
    pb::envelope make_envelope() const;

    const control_settings settings;
    std::unique_ptr<bus> bus_connection;
    std::unique_ptr<replica> consensus_replica;
    control_orders orders;
    std::optional<fleet::service> active_service;
    std::uint64_t active_service_term = 0;
    std::optional<clock::time_point> disk_lost_at;          // as logged, until the disk is regained
    std::map<std::string, bus_origin, std::less<>> origins; // by entry instance name
};

pb::envelope control_instance::implementation::make_envelope() const
{
    pb::envelope message;
    message.set_cell(settings.cell.text());
    message.set_from(settings.instance.text());
    return message;
}

status control_instance::implementation::open()
{
    result<std::unique_ptr<disk>> files = open_posix_disk(settings.data_folder);
    if (!ok(files)) {
        return failure(files);
    }
    result<std::unique_ptr<bus>> opened = bus::open(settings.bus_endpoint, settings.bus_key);
    if (!ok(opened)) {
        return failure(opened);
    }
    bus_connection = std::move(value(opened));
    std::random_device seed;
    result<std::unique_ptr<replica>> replicated =
        replica::open(settings, std::move(value(files)), random_disk_id(), seed(), clock::now(),
                      [this](const pb::consensus_message& message) { send_consensus(message); });
    if (!ok(replicated)) {
        return failure(replicated);
    }
    consensus_replica = std::move(value(replicated));
    return std::monostate{};
}

std::string control_instance::implementation::endpoint_of(const std::string& instance) const
{
    if (consensus_replica) {
        for (const pb::member& member : consensus_replica->members().members()) {
            if (member.instance() == instance && !member.endpoint().empty()) {
                return member.endpoint();
            }
        }
    }
    for (const control_address& address : settings.control) {
        if (address.name.text() == instance) {
            return address.endpoint;
        }
    }
    return {};
}

void control_instance::implementation::send_consensus(const pb::consensus_message& message)
{
    const std::string endpoint = endpoint_of(message.to());
    if (endpoint.empty()) {
        return;
    }
    pb::envelope envelope = make_envelope();
    *envelope.mutable_consensus() = message;
    bus_connection->send(endpoint, envelope);
}

// Returns true if this instance is the leader with a valid lease, and may answer as such.
bool control_instance::implementation::is_leader(clock::time_point now) const
{
    return active_service && active_service_term == consensus_replica->term() &&
           consensus_replica->is_current(now);
}

// Creates the fleet service when this instance becomes leader and destroys it at the end of the
// term. The service outlives lapses of the leader's lease within the term, so its grants stay
// recorded. A new service counts from now, as leases and grants of an earlier leader may still be
// valid.
void control_instance::implementation::update_leadership(clock::time_point now)
{
    if (active_service && (active_service_term != consensus_replica->term() ||
                           consensus_replica->role_name() != "leader")) {
        spdlog::info("control: Lost leadership of term {}.", active_service_term);
        active_service.reset();
    }
    if (active_service || !consensus_replica->is_current(now)) {
        return;
    }
    fleet::service_settings fleet_settings;
    fleet_settings.cell = settings.cell;
    fleet_settings.environment = settings.environment;
    fleet_settings.write_lease = settings.write_lease;
    fleet_settings.grant = settings.grant;
    active_service.emplace(fleet_settings, now);
    active_service_term = consensus_replica->term();
    spdlog::info("control: Became leader of term {}.", active_service_term);
}

void control_instance::implementation::process_order_answers()
{
    for (const order_answer& answer : orders.take_answers()) {
        if (!active_service) {
            continue;
        }
        if (!answer.accepted) {
            if (answer.seen_term > 0 && answer.kind != order_kind::follow) {
                active_service->on_refused(answer.database, answer.server, answer.seen_term);
            }
            continue;
        }
        switch (answer.kind) {
        case order_kind::fence:
            active_service->on_fenced(answer.database, answer.server, answer.term, answer.received);
            break;
        case order_kind::promote:
            active_service->on_promoted(answer.database, answer.server, answer.term,
                                        answer.start_index);
            break;
        case order_kind::follow:
            active_service->on_followed(answer.server, answer.term);
            break;
        }
    }
}

void control_instance::implementation::push_state()
{
    for (const auto& [instance, origin] : origins) {
        pb::envelope message = make_envelope();
        *message.mutable_beat_reply() =
            active_service->make_push(instance, consensus_replica->state());
        message.mutable_beat_reply()->set_control_term(consensus_replica->term());
        bus_connection->reply(origin, message);
    }
}

status control_instance::implementation::execute(const fleet::action& action, clock::time_point now)
{
    if (const auto* const change = std::get_if<fleet::propose>(&action)) {
        return consensus_replica->propose(change->command, now, [](const pb::operator_reply&) {});
    }
    if (const auto* const order = std::get_if<fleet::order_server>(&action)) {
        const pb::group_record* const group = consensus_replica->state().group(order->database);
        orders.send(*order, group == nullptr ? pb::group_record() : *group);
    }
    else if (const auto* const follow = std::get_if<fleet::follow_server>(&action)) {
        orders.send(*follow);
    }
    else {
        push_state();
    }
    return std::monostate{};
}

// Logs the loss of the disk and its recovery.
void control_instance::implementation::record_disk_outage(clock::time_point now)
{
    const std::optional<replica::disk_outage>& outage = consensus_replica->outage();
    if (outage.has_value() == disk_lost_at.has_value()) {
        return;
    }
    if (outage) {
        disk_lost_at = outage->since;
        spdlog::error("control: Lost the disk as {} of term {}: {}", consensus_replica->role_name(),
                      consensus_replica->term(), outage->cause.message);
        return;
    }
    spdlog::info("control: Regained the disk after {} ms.", (now - *disk_lost_at).count());
    disk_lost_at.reset();
}

status control_instance::implementation::advance(clock::time_point now)
{
    record_disk_outage(now);
    status ticked = consensus_replica->tick(now);
    if (!ok(ticked)) {
        return ticked;
    }
    record_disk_outage(now);
    update_leadership(now);
    process_order_answers();
    if (!is_leader(now)) {
        return std::monostate{};
    }
    for (const fleet::action& action : active_service->advance(consensus_replica->state(), now)) {
        status executed = execute(action, now);
        if (!ok(executed)) {
            return executed;
        }
    }
    return std::monostate{};
}

void control_instance::implementation::handle_heartbeat(const bus_origin& origin,
                                                        const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const pb::heartbeat& heartbeat = message.beat();
    pb::envelope answer = make_envelope();
    pb::heartbeat_reply& reply = *answer.mutable_beat_reply();
    update_leadership(now);
    if (is_leader(now)) {
        origins[heartbeat.instance()] = origin;
        reply = active_service->handle_heartbeat(heartbeat, consensus_replica->state(), now);
        reply.set_is_leader(true);
    }
    else {
        reply.set_sequence(heartbeat.sequence());
        reply.set_is_leader(false);
        reply.set_leader_hint(consensus_replica->leader_endpoint());
    }
    reply.set_control_term(consensus_replica->term());
    bus_connection->reply(origin, answer);
}

void control_instance::implementation::reply_to_operator(const bus_origin& origin,
                                                         std::uint64_t correlation,
                                                         pb::operator_reply reply)
{
    pb::envelope answer = make_envelope();
    answer.set_correlation(correlation);
    *answer.mutable_operate_answer() = std::move(reply);
    bus_connection->reply(origin, answer);
}

std::string control_instance::implementation::describe_status(clock::time_point now) const
{
    json::object description{{"instance", settings.instance.text()},
                             {"cell", settings.cell.text()},
                             {"role", consensus_replica->role_name()},
                             {"term", consensus_replica->term()},
                             {"current", consensus_replica->is_current(now)},
                             {"leader", consensus_replica->leader_endpoint()},
                             {"version", consensus_replica->state().version()},
                             {"commit_index", consensus_replica->commit_index()},
                             {"disk_writable", !consensus_replica->outage()}};
    json::array members;
    for (const pb::member& member : consensus_replica->members().members()) {
        members.push_back(json::object{{"instance", member.instance()},
                                       {"disk_id", member.disk_id()},
                                       {"voter", member.voter()}});
    }
    description["members"] = std::move(members);
    if (active_service) {
        boost::system::error_code ec;
        description["fleet"] =
            json::parse(active_service->describe(consensus_replica->state(), now), ec);
    }
    return json::serialize(description);
}

pb::operator_reply
control_instance::implementation::show_environment(const pb::operator_request& request) const
{
    pb::operator_reply reply;
    reply.set_request_id(request.request_id());
    const pb::environment_record* const record =
        consensus_replica->state().environment(request.show_environment());
    if (record == nullptr) {
        return refusal(request.request_id(), error_kind::bad_request,
                       "Environment " + request.show_environment() + " does not exist.",
                       "Store a trial document for it first.");
    }
    reply.set_ok(true);
    reply.set_version(record->production_version());
    reply.set_text(
        json::serialize(json::object{{"name", record->name()},
                                     {"trial_version", record->trial_version()},
                                     {"trial_document", record->trial_document()},
                                     {"production_version", record->production_version()},
                                     {"production_document", record->production_document()}}));
    return reply;
}

status control_instance::implementation::handle_operator_request(const bus_origin& origin,
                                                                 const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const pb::operator_request& request = message.operate();
    const std::uint64_t correlation = message.correlation();
    if (request.body_case() == pb::operator_request::kStatus) {
        pb::operator_reply reply;
        reply.set_request_id(request.request_id());
        reply.set_ok(true);
        reply.set_not_leader(!consensus_replica->is_current(now));
        reply.set_leader_hint(consensus_replica->leader_endpoint());
        reply.set_text(describe_status(now));
        reply_to_operator(origin, correlation, std::move(reply));
        return std::monostate{};
    }
    if (!consensus_replica->is_current(now)) {
        pb::operator_reply reply =
            refusal(request.request_id(), error_kind::not_leader,
                    "This control instance is not the leader.", "Send the request to the leader.");
        reply.mutable_error()->set_retry_after_ms(not_leader_retry_ms);
        reply.set_not_leader(true);
        reply.set_leader_hint(consensus_replica->leader_endpoint());
        reply_to_operator(origin, correlation, std::move(reply));
        return std::monostate{};
    }
    const auto done = [this, origin, correlation,
                       id = request.request_id()](const pb::operator_reply& committed) {
        pb::operator_reply reply = committed;
        reply.set_request_id(id);
        reply_to_operator(origin, correlation, std::move(reply));
    };
    switch (request.body_case()) {
    case pb::operator_request::kChange: {
        pb::command change = request.change();
        change.set_request_id(request.request_id());
        return consensus_replica->propose(change, now, done);
    }
    case pb::operator_request::kAddMember:
        return consensus_replica->add_member(request.add_member(), now, done);
    case pb::operator_request::kRemoveMember:
        return consensus_replica->remove_member(instance_name(request.remove_member()), now, done);
    case pb::operator_request::kShowEnvironment:
        reply_to_operator(origin, correlation, show_environment(request));
        break;
    default:
        reply_to_operator(origin, correlation,
                          refusal(request.request_id(), error_kind::bad_request,
                                  "A control instance does not handle this request.",
                                  "Send it to an entry instance."));
    }
    return std::monostate{};
}

status control_instance::implementation::receive(const bus_origin& origin,
                                                 const pb::envelope& message)
{
    if (message.cell() != settings.cell.text()) {
        spdlog::warn("control: Dropped a message of another cell, {}.", message.cell());
        return std::monostate{};
    }
    switch (message.body_case()) {
    case pb::envelope::kConsensus:
        return consensus_replica->receive(message.consensus(), clock::now());
    case pb::envelope::kBeat:
        handle_heartbeat(origin, message);
        break;
    case pb::envelope::kOperate:
        return handle_operator_request(origin, message);
    default:
        spdlog::warn(
            "control: Dropped a message from {} of a kind that control instances do not handle.",
            message.from());
    }
    return std::monostate{};
}

status control_instance::implementation::run()
{
    std::signal(SIGTERM, request_stop);
    std::signal(SIGINT, request_stop);
    spdlog::info("control: Instance {} of cell {} listens on {}.", settings.instance.text(),
                 settings.cell.text(), settings.bus_endpoint);
    status outcome = std::monostate{};
    while (stop_requested == 0 && ok(outcome)) {
        bus_connection->poll(poll_timeout,
                             [&](const bus_origin& origin, const pb::envelope& message) {
                                 if (ok(outcome)) {
                                     outcome = receive(origin, message);
                                 }
                             });
        if (ok(outcome)) {
            outcome = advance(clock::now());
        }
    }
    spdlog::info("control: Stopped.");
    return outcome;
}

control_instance::control_instance(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
control_instance::~control_instance() = default;

result<std::unique_ptr<control_instance>> control_instance::open(const control_settings& settings)
{
    auto body = std::make_unique<implementation>(settings);
    const status opened = body->open();
    if (!ok(opened)) {
        return failure(opened);
    }
    return std::unique_ptr<control_instance>(new control_instance(std::move(body)));
}

status control_instance::run()
{
    return body_->run();
}

} // namespace primrosehead
