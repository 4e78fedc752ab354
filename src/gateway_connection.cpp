#include "gateway_connection.h"

#include <utility>

namespace primrosehead {

namespace net = boost::asio;

gateway_connection::gateway_connection(std::unique_ptr<http::client> client,
                                       gateway_wire::id_check check)
    : client_(std::move(client)), check_(check)
{
}

net::awaitable<result<std::unique_ptr<gateway_connection>>>
gateway_connection::open(std::string url, clock::time_point deadline, gateway_wire::id_check check)
{
    auto client = co_await http::client::connect(url, deadline);
    if (!ok(client)) {
        co_return failure(client);
    }
    co_return std::unique_ptr<gateway_connection>(
        new gateway_connection(value(std::move(client)), check));
}

net::awaitable<result<pb::backend_reply>>
gateway_connection::call(const pb::backend_request& request, clock::time_point deadline)
{
    auto encoded = gateway_wire::encode(request, deadline - clock::now());
    if (!ok(encoded)) {
        co_return failure(encoded);
    }
    usable_ = false; // until a complete reply has arrived
    http::request sent;
    sent.method = "POST";
    sent.target = std::move(value(encoded).target);
    sent.body = std::move(value(encoded).body);
    const result<http::response> received = co_await client_->call(sent, deadline);
    if (!ok(received)) {
        co_return failure(received);
    }
    const http::response& response = value(received);
    gateway_wire::decoded_reply reply = gateway_wire::decode(
        request, response.status, response.body, check_, std::exchange(is_new_, false));
    usable_ = reply.is_connection_reusable;
    co_return std::move(reply.outcome);
}

bool gateway_connection::is_usable() const noexcept
{
    return usable_ && client_->is_open();
}

} // namespace primrosehead
