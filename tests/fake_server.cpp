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

std::string text_of(const json::object& body, std::string_view name)
{
    const json::value* found = body.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : "";
}

http::response answer_of(unsigned status, const json::object& body)
{
    http::response made;
    made.status = status;
    made.body = json::serialize(body);
    return made;
}

http::response refusal(const std::string& id, std::string_view kind, unsigned status)
{
    return answer_of(status, {{"id", id}, {"kind", kind}, {"message", "test"}, {"ran", "no"}});
}

} // namespace

struct fake_server::state {
    mutable std::mutex guard;
    misbehaviour how = misbehaviour::none;
    clock::duration delay{0};
    std::vector<recorded_request> record;
    std::map<std::string, std::uint64_t> transactions; // name, connection
    std::uint64_t next_transaction = 0;
    std::uint64_t index = first_index;
    std::string last_id;
    std::uint32_t running = 0;
    std::uint32_t most_at_once = 0;

    // Notes a request and says how it is to be answered.
    std::pair<misbehaviour, clock::duration> note(const http::request& request,
                                                  const json::object& body)
    {
        const std::lock_guard lock(guard);
        record.push_back({request.target, text_of(body, "id"),
                          body.contains("statement") ? json::serialize(body.at("statement")) : "",
                          text_of(body, "transaction"), request.connection});
        ++running;
        most_at_once = std::max(most_at_once, running);
        return {how, delay};
    }

    http::response run(const http::request& request, const json::object& body)
    {
        const std::lock_guard lock(guard);
        const std::string id = text_of(body, "id");
        const std::string named = text_of(body, "transaction");
        const bool is_mine =
            transactions.contains(named) && transactions.at(named) == request.connection;
        if (!named.empty() && !is_mine) {
            return refusal(id, "unknown_transaction", 404);
        }
        if (how == misbehaviour::refuse) {
            return refusal(id, "no_such_table", 422);
        }
        json::object made{{"id", how == misbehaviour::wrong_id ? last_id : id}};
        last_id = id;
        if (request.target == "/v1/begin") {
            const std::string name = "t" + std::to_string(++next_transaction);
            transactions[name] = request.connection;
            made["transaction"] = name;
        }
        if (request.target == "/v1/commit" || request.target == "/v1/rollback") {
            transactions.erase(named);
        }
        if (request.target == "/v1/execute") {
            made["result"] = json::object{{"echo", body.at("statement")}};
            made["data_age_ms"] = 7;
        }
        made["term"] = 1;
        made["role"] = "primary";
        if (how != misbehaviour::without_field) {
            made["index"] = ++index;
        }
        http::response answer = answer_of(200, made);
        if (how == misbehaviour::cut) {
            answer.body.resize(answer.body.size() / 2);
            answer.close = true;
        }
        return answer;
    }

    void closed(std::uint64_t connection)
    {
        const std::lock_guard lock(guard);
        std::erase_if(transactions, [&](const auto& each) { return each.second == connection; });
    }
};

namespace {

net::awaitable<void> pause(clock::duration length)
{
    net::steady_timer timer(co_await net::this_coro::executor, length);
    co_await timer.async_wait(net::use_awaitable);
}

} // namespace

fake_server::fake_server(net::any_io_executor executor, std::uint32_t max_connections)
    : state_(std::make_shared<state>())
{
    const auto answer = [shared = state_](http::request request) -> net::awaitable<http::response> {
        return
            [](std::shared_ptr<state> kept, http::request asked) -> net::awaitable<http::response> {
                const json::object body = json::parse(asked.body).as_object();
                const auto [how, delay] = kept->note(asked, body);
                if (how == misbehaviour::hang) {
                    co_await pause(forever);
                }
                if (how == misbehaviour::late) {
                    co_await pause(delay);
                }
                http::response made = kept->run(asked, body);
                {
                    const std::lock_guard lock(kept->guard);
                    --kept->running;
                }
                co_return made;
            }(shared, std::move(request));
    };
    http::listener_settings settings;
    settings.address = "127.0.0.1:0";
    settings.max_connections = max_connections;
    auto opened = http::listener::open(
        std::move(executor), settings, answer,
        [shared = state_](std::uint64_t connection) { shared->closed(connection); });
    if (!ok(opened)) {
        throw std::runtime_error(describe(failure(opened)));
    }
    listener_ = value(opened);
}

fake_server::~fake_server()
{
    listener_->close();
}

void fake_server::misbehave(misbehaviour how, clock::duration delay)
{
    const std::lock_guard lock(state_->guard);
    state_->how = how;
    state_->delay = delay;
}

std::string fake_server::url() const
{
    return "http://127.0.0.1:" + std::to_string(listener_->port());
}

std::vector<recorded_request> fake_server::record() const
{
    const std::lock_guard lock(state_->guard);
    return state_->record;
}

std::size_t fake_server::open_transactions() const
{
    const std::lock_guard lock(state_->guard);
    return state_->transactions.size();
}

std::uint32_t fake_server::most_at_once() const
{
    const std::lock_guard lock(state_->guard);
    return state_->most_at_once;
}

std::uint32_t fake_server::connections() const
{
    return listener_->connections();
}

} // namespace primrosehead::testing
