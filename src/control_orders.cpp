#include "control_orders.h"

#include "control_order_answer.h"

#include <primrosehead/http.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <mutex>
#include <thread>

namespace primrosehead {

namespace net = boost::asio;
namespace json = boost::json;

namespace {

constexpr clock::duration order_timeout{400};

// An order as an HTTP request, with its outcome.
struct http_order {
    order_answer answer; // completed when the response arrives
    std::string url;
    std::string target;
    std::string body;
};

json::array term_starts_json(const pb::group_record& group)
{
    json::array starts;
    for (const pb::term_start& start : group.starts()) {
        starts.push_back(json::object{{"term", start.term()}, {"index", start.index()}});
    }
    return starts;
}

http_order make_http_order(const fleet::order_server& order, const pb::group_record& group)
{
    http_order request;
    request.answer.database = order.database;
    if (const auto* const fence = std::get_if<failover::fence_server>(&order.order)) {
        request.answer.kind = order_kind::fence;
        request.answer.server = fence->server.text();
        request.answer.term = fence->term;
        request.url = fence->url;
        request.target = "/v1/fence";
        request.body = json::serialize(json::object{{"term", fence->term}});
    }
    else if (const auto* const promote = std::get_if<failover::promote_server>(&order.order)) {
        request.answer.kind = order_kind::promote;
        request.answer.server = promote->server.text();
        request.answer.term = promote->term;
        request.url = promote->url;
        request.target = "/v1/promote";
        request.body = json::serialize(
            json::object{{"term", promote->term}, {"starts", term_starts_json(group)}});
    }
    return request;
}

http_order make_http_order(const fleet::follow_server& order)
{
    http_order request;
    request.answer.kind = order_kind::follow;
    request.answer.database = order.database;
    request.answer.server = order.server;
    request.answer.term = order.group.term();
    request.url = order.url;
    request.target = "/v1/follow";
    request.body = json::serialize(json::object{{"term", order.group.term()},
                                                {"primary", order.group.primary()},
                                                {"url", order.group.primary_url()},
                                                {"starts", term_starts_json(order.group)}});
    return request;
}

} // namespace

struct control_orders::implementation {
    explicit implementation(std::string control_name)
        : instance(std::move(control_name)), work_guard(net::make_work_guard(context)),
          thread([this] { context.run(); })
    {
    }
    ~implementation()
    {
        context.stop();
        thread.join();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void start(http_order order);
    net::awaitable<void> execute(std::shared_ptr<http_order> order);

    std::string instance;
    net::io_context context;
    net::executor_work_guard<net::io_context::executor_type> work_guard;
    std::mutex mutex;
    std::vector<order_answer> answers;
    std::thread thread;
};

void control_orders::implementation::start(http_order order)
{
    if (order.url.empty()) {
        return;
    }
    auto shared_order = std::make_shared<http_order>(std::move(order));
    net::co_spawn(context, execute(std::move(shared_order)), net::detached);
}

net::awaitable<void> control_orders::implementation::execute(std::shared_ptr<http_order> order)
{
    const clock::time_point deadline = clock::now() + order_timeout;
    result<std::unique_ptr<http::client>> client =
        co_await http::client::connect(order->url, deadline);
    if (ok(client)) {
        http::request request;
        request.method = "POST";
        request.target = order->target;
        request.headers.push_back({"Primrose-From", "control"});
        request.body = order->body;
        const result<http::response> response = co_await value(client)->call(request, deadline);
        if (ok(response)) {
            read_order_answer(value(response).status, value(response).body, order->answer);
        }
    }
    spdlog::info("placement: order {} for term {} to server {} of database {}: {}.", order->target,
                 order->answer.term, order->answer.server, order->answer.database,
                 order->answer.accepted ? "accepted" : "not accepted");
    const std::lock_guard lock(mutex);
    answers.push_back(order->answer);
}

control_orders::control_orders(std::string instance)
    : body_(std::make_unique<implementation>(std::move(instance)))
{
}
control_orders::~control_orders() = default;

void control_orders::send(const fleet::order_server& order, const pb::group_record& group)
{
    body_->start(make_http_order(order, group));
}

void control_orders::send(const fleet::follow_server& order)
{
    body_->start(make_http_order(order));
}

std::vector<order_answer> control_orders::take_answers()
{
    const std::lock_guard lock(body_->mutex);
    return std::exchange(body_->answers, {});
}

} // namespace primrosehead
