#include "operator_link.h"

#include <utility>

namespace primrosehead {

namespace {

constexpr clock::duration poll_time{10};
constexpr std::string_view sender_name = "primrosectl";

} // namespace

operator_link::operator_link(cell_name cell, std::unique_ptr<bus> messages, exchange_timing timing)
    : cell_(std::move(cell)), messages_(std::move(messages)), timing_(timing)
{
}

result<operator_link> operator_link::open(cell_name cell,
                                          const std::optional<bus_key_settings>& key,
                                          exchange_timing timing)
{
    result<std::unique_ptr<bus>> messages = bus::open({}, key);
    if (!ok(messages)) {
        return failure(messages);
    }
    return operator_link(std::move(cell), std::move(value(messages)), timing);
}

pb::envelope operator_link::make_envelope(const pb::operator_request& request)
{
    pb::envelope message;
    message.set_cell(cell_.text());
    message.set_from(std::string(sender_name));
    message.set_correlation(++correlation_);
    *message.mutable_operate() = request;
    return message;
}

operator_outcome operator_link::ask(std::span<const std::string> endpoints,
                                    const pb::operator_request& request)
{
    operator_exchange exchange({endpoints.begin(), endpoints.end()}, timing_, clock::now());
    const auto take = [&](const bus_origin&, const pb::envelope& message) {
        const pb::operator_reply& reply = message.operate_answer();
        if (message.has_operate_answer() && reply.request_id() == request.request_id()) {
            exchange.receive(reply, clock::now());
        }
    };
    while (exchange.state(clock::now()) == exchange_state::under_way) {
        if (const auto endpoint = exchange.next_send(clock::now())) {
            messages_->send(*endpoint, make_envelope(request));
        }
        messages_->poll(poll_time, take);
    }
    operator_outcome outcome;
    outcome.state = exchange.state(clock::now());
    if (exchange.answer()) {
        outcome.reply = *exchange.answer();
    }
    return outcome;
}

} // namespace primrosehead
