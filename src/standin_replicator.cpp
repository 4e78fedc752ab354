#include "standin_replicator.h"

#include "standin_messages.h"

#include <primrosehead/http.h>

#include <spdlog/spdlog.h>

namespace primrosehead::standin {

namespace {

constexpr clock::duration apply_interval{2};
constexpr clock::duration retry_pause{20};
constexpr clock::duration connect_timeout{200};
constexpr clock::duration call_timeout{500};

http::request ask(const node& to, const log_question& question)
{
    http::request sent;
    sent.method = "GET";
    sent.target = log_target(question, to.settings.server);
    sent.headers = {{"Primrose-From", to.settings.server}};
    return sent;
}

// Takes in one answer; `false` when the link is of no more use.
bool take_in(node& to, const replication_source& source, const http::response& answer,
             clock::time_point asked_at)
{
    if (answer.status != 200) {
        return false;
    }
    const result<log_batch> batch = log_batch_from(answer.body);
    if (!ok(batch)) {
        spdlog::warn("standin: {}", describe(failure(batch)));
        return false;
    }
    const clock::time_point now = clock::now();
    const bool taken = ok(to.data.receive(source.term, value(batch), asked_at, now));
    to.data.apply(now, to.controls.lag);
    return taken;
}

} // namespace

boost::asio::awaitable<void> replicate(std::shared_ptr<node> to)
{
    const replication_source source = to->source;
    std::unique_ptr<http::client> link;
    while (!to->stopped && to->source == source) {
        if (!to->reaches(source.primary)) {
            link.reset();
            co_await pause_for(retry_pause);
            continue;
        }
        const clock::time_point asked_at = clock::now();
        if (link == nullptr || !link->is_open()) {
            result<std::unique_ptr<http::client>> opened =
                co_await http::client::connect(source.url, asked_at + connect_timeout);
            link = ok(opened) ? std::move(value(opened)) : nullptr;
        }
        bool useful = false;
        if (link != nullptr) {
            const http::request question = ask(*to, to->data.next_question());
            const result<http::response> answer =
                co_await link->call(question, clock::now() + call_timeout);
            const bool current = to->source == source && to->reaches(source.primary);
            useful = ok(answer) && current && take_in(*to, source, value(answer), asked_at);
        }
        if (!useful) {
            link.reset();
            co_await pause_for(retry_pause);
        }
    }
}

boost::asio::awaitable<void> apply_with_lag(std::shared_ptr<node> to)
{
    while (!to->stopped) {
        if (!to->controls.frozen) {
            to->data.apply(clock::now(), to->controls.lag);
        }
        co_await pause_for(apply_interval);
    }
}

} // namespace primrosehead::standin
