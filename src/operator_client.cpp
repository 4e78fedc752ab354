#include "operator_client.h"

#include <utility>

namespace primrosehead {

namespace {

constexpr clock::duration poll_interval{10};
constexpr std::string_view sender_name = "primrosectl";

} // namespace

operator_client::operator_client(cell_name cell, std::unique_ptr<bus> bus_connection,
                                 exchange_timing timing)
    : cell_(std::move(cell)), bus_connection_(std::move(bus_connection)), timing_(timing)
{
}

result<operator_client> operator_client::open(cell_name cell,
                                              const std::optional<bus_key_settings>& key,
                                              exchange_timing timing)
{
    result<std::unique_ptr<bus>> bus_connection = bus::open({}, key);
    if (!ok(bus_connection)) {
        return failure(bus_connection);
    }
    return operator_client(std::move(cell), std::move(value(bus_connection)), timing);
}

pb::envelope operator_client::make_envelope(const pb::operator_request& request)
{
    pb::envelope message;
    message.set_cell(cell_.text());
    message.set_from(std::string(sender_name));
    message.set_correlation(++correlation_);
    *message.mutable_operate() = request;
    return message;
}

operator_outcome operator_client::execute(std::span<const std::string> endpoints,
                                          const pb::operator_request& request)
{
    operator_exchange exchange({endpoints.begin(), endpoints.end()}, timing_, clock::now());
    const auto on_message = [&](const bus_origin&, const pb::envelope& message) {
        const pb::operator_reply& reply = message.operate_answer();
        if (message.has_operate_answer() && reply.request_id() == request.request_id()) {
            exchange.receive(reply, clock::now());
        }
    };
    while (exchange.state(clock::now()) == exchange_state::in_progress) {
        if (const auto endpoint = exchange.next_send(clock::now())) {
            bus_connection_->send(*endpoint, make_envelope(request));
        }
        bus_connection_->poll(poll_interval, on_message);
    }
    operator_outcome outcome;
    outcome.state = exchange.state(clock::now());
    if (exchange.last_reply()) {
        outcome.reply = *exchange.last_reply();
    }
    return outcome;
}

} // namespace primrosehead
