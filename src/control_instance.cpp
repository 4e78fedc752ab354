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

constexpr clock::duration turn{5};
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
    pb::request_error& why = *reply.mutable_error();
    why.set_kind(std::string(to_string(kind)));
    why.set_message(std::move(message));
    why.set_remedy(std::move(remedy));
    why.set_ran("no");
    return reply;
}

} // namespace

struct control_instance::implementation {
    explicit implementation(const control_settings& with)
        : settings(with), orders(with.instance.text())
    {
    }

    status open();
    status run();
    status advance(clock::time_point now);
    void lead(clock::time_point now);
    [[nodiscard]] bool leads(clock::time_point now) const;
    void take_order_answers();
    status act(const fleet::action& action, clock::time_point now);
    void push_state();
    void send_consensus(const pb::consensus_message& message);
    [[nodiscard]] std::string endpoint_of(const std::string& instance) const;
    status receive(const bus_origin& origin, const pb::envelope& message);
    void answer_heartbeat(const bus_origin& origin, const pb::envelope& message);
    status operate(const bus_origin& origin, const pb::envelope& message);
    void answer_operator(const bus_origin& origin, std::uint64_t correlation,
                         pb::operator_reply reply);
    [[nodiscard]] pb::operator_reply show(const pb::operator_request& request) const;
    [[nodiscard]] std::string describe_status(clock::time_point now) const;
    pb::envelope make_envelope() const;

    const control_settings settings;
    std::unique_ptr<bus> messages;
    std::unique_ptr<replica> state;
    control_orders orders;
    std::optional<fleet::service> service;
    std::uint64_t service_term = 0;
    std::map<std::string, bus_origin, std::less<>> origins; // of entry instances, by name
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
    messages = std::move(value(opened));
    std::random_device seed;
    result<std::unique_ptr<replica>> replicated =
        replica::open(settings, std::move(value(files)), random_disk_id(), seed(), clock::now(),
                      [this](const pb::consensus_message& message) { send_consensus(message); });
    if (!ok(replicated)) {
        return failure(replicated);
    }
    state = std::move(value(replicated));
    return std::monostate{};
}

std::string control_instance::implementation::endpoint_of(const std::string& instance) const
{
    if (state) {
        for (const pb::member& member : state->members().members()) {
            if (member.instance() == instance && !member.endpoint().empty()) {
                return member.endpoint();
            }
        }
    }
    for (const control_address& known : settings.control) {
        if (known.name.text() == instance) {
            return known.endpoint;
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
    pb::envelope carried = make_envelope();
    *carried.mutable_consensus() = message;
    messages->send(endpoint, carried);
}

// True when this instance may answer as the leader now.
bool control_instance::implementation::leads(clock::time_point now) const
{
    return service && service_term == state->term() && state->is_current(now);
}

// The fleet's service lives as long as this instance leads one term, also over moments in which its
// lease has lapsed: what it granted is not forgotten. A new service counts from now, when leases
// and grants of any earlier leader may still be out.
void control_instance::implementation::lead(clock::time_point now)
{
    if (service && (service_term != state->term() || state->role_name() != "leader")) {
        spdlog::info("control: Not the leader of term {} any more.", service_term);
        service.reset();
    }
    if (service || !state->is_current(now)) {
        return;
    }
    fleet::service_settings for_service;
    for_service.cell = settings.cell;
    for_service.environment = settings.environment;
    for_service.write_lease = settings.write_lease;
    for_service.grant = settings.grant;
    service.emplace(for_service, now);
    service_term = state->term();
    spdlog::info("control: Leader of term {}.", service_term);
}

void control_instance::implementation::take_order_answers()
{
    for (const order_answer& answer : orders.take_answers()) {
        if (!service) {
            continue;
        }
        if (!answer.accepted) {
            if (answer.seen_term > 0 && answer.kind != order_kind::follow) {
                service->on_refused(answer.database, answer.server, answer.seen_term);
            }
            continue;
        }
        switch (answer.kind) {
        case order_kind::fence:
            service->on_fenced(answer.database, answer.server, answer.term, answer.received);
            break;
        case order_kind::promote:
            service->on_promoted(answer.database, answer.server, answer.term, answer.start_index);
            break;
        case order_kind::follow:
            service->on_followed(answer.server, answer.term);
            break;
        }
    }
}

void control_instance::implementation::push_state()
{
    for (const auto& [instance, origin] : origins) {
        pb::envelope message = make_envelope();
        *message.mutable_beat_reply() = service->make_push(instance, state->state());
        message.mutable_beat_reply()->set_control_term(state->term());
        messages->reply(origin, message);
    }
}

status control_instance::implementation::act(const fleet::action& action, clock::time_point now)
{
    if (const auto* const change = std::get_if<fleet::propose>(&action)) {
        return state->propose(change->command, now, [](const pb::operator_reply&) {});
    }
    if (const auto* const order = std::get_if<fleet::order_server>(&action)) {
        const pb::group_record* const group = state->state().group(order->database);
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

status control_instance::implementation::advance(clock::time_point now)
{
    status ticked = state->tick(now);
    if (!ok(ticked)) {
        return ticked;
    }
    lead(now);
    take_order_answers();
    if (!leads(now)) {
        return std::monostate{};
    }
    for (const fleet::action& action : service->advance(state->state(), now)) {
        status acted = act(action, now);
        if (!ok(acted)) {
            return acted;
        }
    }
    return std::monostate{};
}

void control_instance::implementation::answer_heartbeat(const bus_origin& origin,
                                                        const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const pb::heartbeat& beat = message.beat();
    pb::envelope answer = make_envelope();
    pb::heartbeat_reply& reply = *answer.mutable_beat_reply();
    lead(now);
    if (leads(now)) {
        origins[beat.instance()] = origin;
        reply = service->handle_heartbeat(beat, state->state(), now);
        reply.set_is_leader(true);
    }
    else {
        reply.set_sequence(beat.sequence());
        reply.set_is_leader(false);
        reply.set_leader_hint(state->leader_endpoint());
    }
    reply.set_control_term(state->term());
    messages->reply(origin, answer);
}

void control_instance::implementation::answer_operator(const bus_origin& origin,
                                                       std::uint64_t correlation,
                                                       pb::operator_reply reply)
{
    pb::envelope answer = make_envelope();
    answer.set_correlation(correlation);
    *answer.mutable_operate_answer() = std::move(reply);
    messages->reply(origin, answer);
}

std::string control_instance::implementation::describe_status(clock::time_point now) const
{
    json::object text{
        {"instance", settings.instance.text()}, {"cell", settings.cell.text()},
        {"role", state->role_name()},           {"term", state->term()},
        {"current", state->is_current(now)},    {"leader", state->leader_endpoint()},
        {"version", state->state().version()},  {"commit_index", state->commit_index()}};
    json::array members;
    for (const pb::member& member : state->members().members()) {
        members.push_back(json::object{{"instance", member.instance()},
                                       {"disk_id", member.disk_id()},
                                       {"voter", member.voter()}});
    }
    text["members"] = std::move(members);
    if (service) {
        boost::system::error_code failed;
        text["fleet"] = json::parse(service->describe(state->state(), now), failed);
    }
    return json::serialize(text);
}

pb::operator_reply control_instance::implementation::show(const pb::operator_request& request) const
{
    pb::operator_reply reply;
    reply.set_request_id(request.request_id());
    const pb::environment_record* const record =
        state->state().environment(request.show_environment());
    if (record == nullptr) {
        return refusal(request.request_id(), error_kind::bad_request,
                       "There is no environment " + request.show_environment() + ".",
                       "Store a trial document first.");
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

status control_instance::implementation::operate(const bus_origin& origin,
                                                 const pb::envelope& message)
{
    const clock::time_point now = clock::now();
    const pb::operator_request& request = message.operate();
    const std::uint64_t correlation = message.correlation();
    if (request.body_case() == pb::operator_request::kStatus) {
        pb::operator_reply reply;
        reply.set_request_id(request.request_id());
        reply.set_ok(true);
        reply.set_not_leader(!state->is_current(now));
        reply.set_leader_hint(state->leader_endpoint());
        reply.set_text(describe_status(now));
        answer_operator(origin, correlation, std::move(reply));
        return std::monostate{};
    }
    if (!state->is_current(now)) {
        pb::operator_reply reply =
            refusal(request.request_id(), error_kind::not_leader,
                    "This control instance is not the leader.", "Ask the leader.");
        reply.mutable_error()->set_retry_after_ms(not_leader_retry_ms);
        reply.set_not_leader(true);
        reply.set_leader_hint(state->leader_endpoint());
        answer_operator(origin, correlation, std::move(reply));
        return std::monostate{};
    }
    const auto done = [this, origin, correlation,
                       id = request.request_id()](const pb::operator_reply& committed) {
        pb::operator_reply reply = committed;
        reply.set_request_id(id);
        answer_operator(origin, correlation, std::move(reply));
    };
    switch (request.body_case()) {
    case pb::operator_request::kChange: {
        pb::command change = request.change();
        change.set_request_id(request.request_id());
        return state->propose(change, now, done);
    }
    case pb::operator_request::kAddMember:
        return state->add_member(request.add_member(), now, done);
    case pb::operator_request::kRemoveMember:
        return state->remove_member(instance_name(request.remove_member()), now, done);
    case pb::operator_request::kShowEnvironment:
        answer_operator(origin, correlation, show(request));
        break;
    default:
        answer_operator(origin, correlation,
                        refusal(request.request_id(), error_kind::bad_request,
                                "A control instance does not answer this.",
                                "Ask an entry instance."));
    }
    return std::monostate{};
}

status control_instance::implementation::receive(const bus_origin& origin,
                                                 const pb::envelope& message)
{
    if (message.cell() != settings.cell.text()) {
        spdlog::warn("control: Dropped a message of cell {}.", message.cell());
        return std::monostate{};
    }
    switch (message.body_case()) {
    case pb::envelope::kConsensus:
        return state->receive(message.consensus(), clock::now());
    case pb::envelope::kBeat:
        answer_heartbeat(origin, message);
        break;
    case pb::envelope::kOperate:
        return operate(origin, message);
    default:
        spdlog::warn("control: Dropped a message from {} that is not for control instances.",
                     message.from());
    }
    return std::monostate{};
}

status control_instance::implementation::run()
{
    std::signal(SIGTERM, request_stop);
    std::signal(SIGINT, request_stop);
    spdlog::info("control: Instance {} of cell {} serves {}.", settings.instance.text(),
                 settings.cell.text(), settings.bus_endpoint);
    status outcome = std::monostate{};
    while (stop_requested == 0 && ok(outcome)) {
        messages->poll(turn, [&](const bus_origin& origin, const pb::envelope& message) {
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
