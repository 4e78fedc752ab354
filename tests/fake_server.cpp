#include "fake_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <stdexcept>
#include <utility>

namespace primrosehead::testing {

namespace net = boost::asio;
namespace json = boost::json;

namespace {

constexpr clock::duration forever{3'600'000};
constexpr std::uint64_t first_index = 10;

std::string string_field(const json::object& body, std::string_view name)
{
    const json::value* found = body.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : "";
}

http::response make_response(unsigned status, const json::object& body)
{
    http::response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

http::response error_response(const std::string& id, std::string_view kind, unsigned status)
{
    return make_response(status, {{"id", id}, {"kind", kind}, {"message", "test"}, {"ran", "no"}});
}

} // namespace

struct fake_server::state {
    mutable std::mutex mutex;
    fault_mode fault = fault_mode::none;
    clock::duration delay{0};
    std::vector<recorded_request> record;
    std::map<std::string, std::uint64_t> transactions; // transaction to connection
    std::uint64_t next_transaction = 0;
    std::uint64_t index = first_index;
    std::string last_id;
    std::uint32_t running = 0;
    std::uint32_t max_concurrent_requests = 0;

    // Records a request and returns the fault and the delay to apply to it.
    std::pair<fault_mode, clock::duration> record_request(const http::request& request,
                                                          const json::object& body)
    {
        const std::lock_guard lock(mutex);
        record.push_back({request.target, string_field(body, "id"),
                          body.contains("statement") ? json::serialize(body.at("statement")) : "",
                          string_field(body, "transaction"), request.connection});
        ++running;
        max_concurrent_requests = std::max(max_concurrent_requests, running);
        return {fault, delay};
    }

    http::response run(const http::request& request, const json::object& body)
    {
        const std::lock_guard lock(mutex);
        const std::string id = string_field(body, "id");
        const std::string transaction = string_field(body, "transaction");
        const bool is_open_here = transactions.contains(transaction) &&
                                  transactions.at(transaction) == request.connection;
        if (!transaction.empty() && !is_open_here) {
            return error_response(id, "unknown_transaction", 404);
        }
        if (fault == fault_mode::rejected) {
            return error_response(id, "no_such_table", 422);
        }
        json::object fields{{"id", fault == fault_mode::wrong_id ? last_id : id}};
        last_id = id;
        if (request.target == "/v1/begin") {
            const std::string name = "t" + std::to_string(++next_transaction);
            transactions[name] = request.connection;
            fields["transaction"] = name;
        }
        if (request.target == "/v1/commit" || request.target == "/v1/rollback") {
            transactions.erase(transaction);
        }
        if (request.target == "/v1/execute") {
            fields["result"] = json::object{{"echo", body.at("statement")}};
            fields["data_age_ms"] = 7;
        }
        fields["term"] = 1;
        fields["role"] = "primary";
        if (fault != fault_mode::missing_field) {
            fields["index"] = ++index;
        }
        http::response response = make_response(200, fields);
        if (fault == fault_mode::truncated) {
            response.body.resize(response.body.size() / 2);
            response.close = true;
        }
        return response;
    }

    void connection_closed(std::uint64_t connection)
    {
        const std::lock_guard lock(mutex);
        std::erase_if(transactions, [&](const auto& each) { return each.second == connection; });
    }
};

namespace {

net::awaitable<void> sleep_for(clock::duration duration)
{
    net::steady_timer timer(co_await net::this_coro::executor, duration);
    co_await timer.async_wait(net::use_awaitable);
}

} // namespace

fake_server::fake_server(net::any_io_executor executor, std::uint32_t max_connections)
    : state_(std::make_shared<state>())
{
    const auto handle_request =
        [shared = state_](http::request request) -> net::awaitable<http::response> {
        return [](std::shared_ptr<state> server,
                  http::request received) -> net::awaitable<http::response> {
            const json::object body = json::parse(received.body).as_object();
            const auto [fault, delay] = server->record_request(received, body);
            if (fault == fault_mode::hang) {
                co_await sleep_for(forever);
            }
            if (fault == fault_mode::delayed) {
                co_await sleep_for(delay);
            }
            http::response response = server->run(received, body);
            {
                const std::lock_guard lock(server->mutex);
                --server->running;
            }
            co_return response;
        }(shared, std::move(request));
    };
    http::listener_settings settings;
    settings.address = "127.0.0.1:0";
    settings.max_connections = max_connections;
    auto opened = http::listener::open(
        std::move(executor), settings, handle_request,
        [shared = state_](std::uint64_t connection) { shared->connection_closed(connection); });
    if (!ok(opened)) {
        throw std::runtime_error(describe(failure(opened)));
    }
    listener_ = value(opened);
}

fake_server::~fake_server()
{
    listener_->close();
}

void fake_server::set_fault(fault_mode fault, clock::duration delay)
{
    const std::lock_guard lock(state_->mutex);
    state_->fault = fault;
    state_->delay = delay;
}

std::string fake_server::url() const
{
    return "http://127.0.0.1:" + std::to_string(listener_->port());
}

std::vector<recorded_request> fake_server::record() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->record;
}

std::size_t fake_server::open_transactions() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->transactions.size();
}

std::uint32_t fake_server::max_concurrent_requests() const
{
    const std::lock_guard lock(state_->mutex);
    return state_->max_concurrent_requests;
}

std::uint32_t fake_server::connections() const
{
    return listener_->connection_count();
}

} // namespace primrosehead::testing
