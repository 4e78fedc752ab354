#include "admission_load.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace primrosehead::admission {

namespace {

constexpr std::size_t server_queue = 40;
constexpr double spread = 0.7;
constexpr std::int64_t fifo_retry_ms = 50;

struct operation {
    load_route route;
    std::uint32_t organisation = 0;
    std::int64_t arrived_ms = 0;
    double work_ms = 0;
    bool fails = false;
    std::uint32_t attempts = 0;
};

// The queue of one server, with either pace.
class any_queue {
  public:
    virtual ~any_queue() = default;
    virtual std::optional<refusal> submit(work item, clock::time_point now) = 0;
    virtual std::optional<std::uint64_t> start_next(clock::time_point now) = 0;
    virtual void finish(std::uint64_t id, outcome result, clock::time_point now) = 0;
    virtual std::vector<refusal> expire(clock::time_point now) = 0;
    virtual clock::duration cost(const work& item, clock::time_point now) = 0;
    virtual double concurrency(clock::time_point now) = 0;
};

template <class Pace>
class queue_of final : public any_queue {
  public:
    queue_of(std::uint32_t slots, service_order order) : queue_(slots, order) {}
    std::optional<refusal> submit(work item, clock::time_point now) override
    {
        return queue_.submit(std::move(item), now);
    }
    std::optional<std::uint64_t> start_next(clock::time_point now) override
    {
        return queue_.start_next(now);
    }
    void finish(std::uint64_t id, outcome result, clock::time_point now) override
    {
        queue_.finish(id, result, now);
    }
    std::vector<refusal> expire(clock::time_point now) override { return queue_.expire(now); }
    clock::duration cost(const work& item, clock::time_point now) override
    {
        return queue_.cost_estimate(item, now);
    }
    double concurrency(clock::time_point now) override { return queue_.concurrency(now); }

  private:
    basic_queue<Pace> queue_;
};

struct statement {
    std::uint64_t id = 0;
    double left_ms = 0;
    bool fails = false;
};

struct server_state {
    simulated_server model;
    std::unique_ptr<any_queue> admission; // null: fifo
    std::deque<statement> queued;
    std::vector<statement> running;
};

class player {
  public:
    player(const load& played, const std::vector<simulated_server>& servers, dispatch method)
        : load_(played), method_(method), random_(played.seed)
    {
        for (const simulated_server& model : servers) {
            server_state& added = servers_.emplace_back();
            added.model = model;
            if (method == dispatch::learned) {
                added.admission =
                    std::make_unique<queue_of<server_pace>>(model.slots, played.order);
            }
            else if (method != dispatch::fifo) {
                added.admission = std::make_unique<queue_of<fixed_pace>>(model.slots, played.order);
            }
        }
    }

    load_result run()
    {
        constexpr std::int64_t drain_ms = 12'000;
        for (now_ms_ = 0; now_ms_ < load_.duration_ms + drain_ms; ++now_ms_) {
            if (now_ms_ < load_.duration_ms) {
                arrive();
            }
            attempt_again();
            for (server_state& each : servers_) {
                serve(each);
            }
        }
        result_.last_concurrency =
            servers_.front().admission ? servers_.front().admission->concurrency(now()) : 0;
        return std::move(result_);
    }

  private:
    [[nodiscard]] clock::time_point now() const
    {
        return clock::time_point(clock::duration(1'000'000 + now_ms_));
    }

    void arrive()
    {
        for (const load_route& route : load_.routes) {
            std::poisson_distribution<int> arrivals(route.per_second / 1'000);
            for (int count = arrivals(random_); count > 0; --count) {
                add_operation(route);
            }
        }
    }

    void add_operation(const load_route& route)
    {
        std::uniform_int_distribution<std::uint32_t> any(0, load_.organisations +
                                                                load_.busy_factor - 2);
        const std::uint32_t drawn = any(random_);
        std::lognormal_distribution<double> work_time(std::log(route.work_ms) - spread * spread / 2,
                                                      spread);
        operation added{route, drawn < load_.organisations ? drawn : 0, now_ms_,
                        work_time(random_)};
        const std::uint64_t id = ++last_id_;
        operations_.emplace(id, added);
        attempt(id);
    }

    void attempt_again()
    {
        const auto due = retries_.upper_bound(now_ms_);
        std::vector<std::uint64_t> ids;
        for (auto each = retries_.begin(); each != due; ++each) {
            ids.push_back(each->second);
        }
        retries_.erase(retries_.begin(), due);
        for (const std::uint64_t id : ids) {
            attempt(id);
        }
    }

    void attempt(std::uint64_t id)
    {
        operation& tried = operations_.at(id);
        ++tried.attempts;
        const std::int64_t start = 1'000'000 + tried.arrived_ms;
        const work item{id,
                        "organisation-" + std::to_string(tried.organisation),
                        tried.route.priority,
                        now(),
                        from_ms(start + tried.route.deadline_ms),
                        from_ms(start + tried.route.objective_ms),
                        false};
        server_state& chosen = choose(item);
        if (chosen.admission) {
            if (const auto refused = chosen.admission->submit(item, now())) {
                refuse(id, refused->retry_after.count());
            }
            return;
        }
        send(chosen, id);
    }

    server_state& choose(const work& item)
    {
        std::uniform_int_distribution<std::size_t> any(0, servers_.size() - 1);
        const std::size_t first = any(random_);
        if (method_ == dispatch::fifo || method_ == dispatch::fixed) {
            return servers_[first];
        }
        std::size_t best = first;
        for (std::size_t step = 1; step < servers_.size(); ++step) {
            const std::size_t other = (first + step) % servers_.size();
            if (servers_[other].admission->cost(item, now()) <
                servers_[best].admission->cost(item, now())) {
                best = other;
            }
        }
        return servers_[best];
    }

    void send(server_state& server, std::uint64_t id)
    {
        const operation& sent = operations_.at(id);
        if (server.running.size() >= server.model.slots && server.queued.size() >= server_queue) {
            ++result_.busy_answers;
            if (server.admission) {
                server.admission->finish(id, outcome::busy, now());
            }
            refuse(id, fifo_retry_ms);
            return;
        }
        if (server.admission && sent.arrived_ms + sent.route.deadline_ms <= now_ms_) {
            ++result_.started_expired;
        }
        std::bernoulli_distribution fails(server.model.failing_share);
        const bool is_failing = fails(random_);
        server.queued.push_back({id, sent.work_ms * (is_failing ? 0.25 : 1), is_failing});
    }

    void refuse(std::uint64_t id, std::int64_t retry_after_ms)
    {
        const operation& refused = operations_.at(id);
        const std::int64_t again = now_ms_ + std::max<std::int64_t>(1, retry_after_ms);
        if (refused.attempts < load_.max_attempts &&
            again < refused.arrived_ms + refused.route.deadline_ms) {
            retries_.emplace(again, id);
            return;
        }
        end(id, &load_counts::refused);
    }

    void end(std::uint64_t id, std::uint32_t load_counts::*counter)
    {
        const operation& ended = operations_.at(id);
        const auto time_ms = static_cast<double>(now_ms_ - ended.arrived_ms);
        const bool is_answered =
            counter == &load_counts::in_objective || counter == &load_counts::late;
        for (load_counts* counts : {&result_.all, &result_.by_priority[ended.route.priority],
                                    &result_.by_organisation[ended.organisation]}) {
            ++counts->operations;
            ++(counts->*counter);
            if (is_answered) {
                counts->times_ms.push_back(time_ms);
            }
        }
        operations_.erase(id);
    }

    void serve(server_state& server)
    {
        progress(server);
        if (server.admission) {
            for (const refusal& each : server.admission->expire(now())) {
                refuse(each.id, each.retry_after.count());
            }
            while (const auto id = server.admission->start_next(now())) {
                send(server, *id);
            }
            result_.min_concurrency =
                std::min(result_.min_concurrency, server.admission->concurrency(now()));
        }
        while (server.running.size() < server.model.slots && !server.queued.empty()) {
            server.running.push_back(server.queued.front());
            server.queued.pop_front();
        }
    }

    void progress(server_state& server)
    {
        const double done = server.model.speed(now_ms_, server.running.size());
        std::vector<statement> ended;
        for (statement& each : server.running) {
            each.left_ms -= done;
            if (each.left_ms <= 0) {
                ended.push_back(each);
            }
        }
        std::erase_if(server.running, [](const statement& each) { return each.left_ms <= 0; });
        for (const statement& each : ended) {
            answer(server, each);
        }
    }

    void answer(server_state& server, const statement& ended)
    {
        if (server.admission) {
            server.admission->finish(ended.id, ended.fails ? outcome::failed : outcome::done,
                                     now());
        }
        if (ended.fails) {
            refuse(ended.id, 1);
            return;
        }
        const operation& operation = operations_.at(ended.id);
        const std::int64_t time = now_ms_ - operation.arrived_ms;
        end(ended.id, time <= operation.route.objective_ms  ? &load_counts::in_objective
                      : time <= operation.route.deadline_ms ? &load_counts::late
                                                            : &load_counts::missed);
    }

    const load& load_;
    dispatch method_;
    std::mt19937 random_;
    std::vector<server_state> servers_;
    std::map<std::uint64_t, operation> operations_;
    std::multimap<std::int64_t, std::uint64_t> retries_;
    std::uint64_t last_id_ = 0;
    std::int64_t now_ms_ = 0;
    load_result result_;
};

} // namespace

double load_counts::share(std::uint32_t count) const
{
    return operations == 0 ? 0 : static_cast<double>(count) / operations;
}

double load_counts::percentile(double share) const
{
    if (times_ms.empty()) {
        return 0;
    }
    std::vector<double> sorted = times_ms;
    std::ranges::sort(sorted);
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

load_result play(const load& played, const std::vector<simulated_server>& servers, dispatch method)
{
    return player(played, servers, method).run();
}

} // namespace primrosehead::admission
