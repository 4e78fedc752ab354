#include <primrosehead/config.h>
#include <primrosehead/fair_queue.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace primrosehead;

namespace {

using ticket = fair_queue::ticket;

fair_queue::queued_request make_request(std::string_view organisation, clock::time_point deadline,
                                        std::uint32_t weight = 1)
{
    return {organisation_name(organisation), weight, deadline};
}

// Runs a queue in simulated time. Each started request occupies its slot for its service time.
class simulation {
  public:
    explicit simulation(std::uint32_t slots, queue_order order = queue_order::fair)
        : queue_(slots, order)
    {
    }

    bool arrive(std::string_view organisation, clock::duration service,
                clock::duration timeout = clock::duration(1'000'000), std::uint32_t weight = 1)
    {
        const auto entered =
            queue_.enqueue(make_request(organisation, now_ + timeout, weight), now_);
        if (!ok(entered)) {
            ++refused_[std::string(organisation)];
            return false;
        }
        arrivals_[value(entered)] = {std::string(organisation), now_, service};
        start();
        return true;
    }

    // Advances the time to `end` and completes the requests whose service time ends by then.
    void run_until(clock::time_point end)
    {
        while (!ends_.empty() && ends_.begin()->first <= end) {
            const auto [at, completed] = *ends_.begin();
            ends_.erase(ends_.begin());
            now_ = at;
            queue_.complete(completed, arrivals_[completed].service);
            start();
        }
        now_ = end;
        start();
    }

    [[nodiscard]] clock::time_point now() const { return now_; }
    [[nodiscard]] clock::duration longest_wait(const std::string& organisation)
    {
        return longest_[organisation];
    }
    [[nodiscard]] int served(const std::string& organisation) { return served_[organisation]; }
    [[nodiscard]] int refused(const std::string& organisation) { return refused_[organisation]; }
    [[nodiscard]] int expired() const { return expired_; }
    [[nodiscard]] std::size_t size() const { return queue_.size(); }

  private:
    struct arrival {
        std::string organisation;
        clock::time_point at;
        clock::duration service{0};
    };

    void start()
    {
        std::vector<ticket> expired;
        while (const auto started = queue_.next(now_, expired)) {
            const arrival& request = arrivals_[*started];
            ends_.emplace(now_ + request.service, *started);
            longest_[request.organisation] =
                std::max(longest_[request.organisation], now_ - request.at);
            ++served_[request.organisation];
        }
        expired_ += static_cast<int>(expired.size());
    }

    fair_queue queue_;
    clock::time_point now_ = from_ms(0);
    std::map<ticket, arrival> arrivals_;
    std::multimap<clock::time_point, ticket> ends_;
    std::map<std::string, clock::duration> longest_;
    std::map<std::string, int> served_;
    std::map<std::string, int> refused_;
    int expired_ = 0;
};

} // namespace

TEST_CASE("fair queue: free slots are assigned at once, other requests wait in order")
{
    fair_queue queue(2);
    std::vector<ticket> expired;
    const clock::time_point start = from_ms(0);
    for (int number = 0; number < 3; ++number) {
        REQUIRE(ok(queue.enqueue(make_request("a", from_ms(1'000)), start)));
    }
    const auto first = queue.next(start, expired);
    const auto second = queue.next(start, expired);
    CHECK(first == std::optional<ticket>(1));
    CHECK(second == std::optional<ticket>(2));
    CHECK(!queue.next(start, expired));
    CHECK(queue.size() == 1);
    CHECK(queue.running() == 2);
    queue.complete(*first, clock::duration(10));
    CHECK(queue.next(from_ms(10), expired) == std::optional<ticket>(3));
    CHECK(expired.empty());
}

TEST_CASE("fair queue: a request that would miss its deadline is refused on arrival")
{
    simulation queue_run(1);
    queue_run.arrive("a", clock::duration(100));
    queue_run.run_until(from_ms(100)); // the service time has been measured
    REQUIRE(queue_run.arrive("a", clock::duration(100)));
    REQUIRE(queue_run.arrive("a", clock::duration(100), clock::duration(1'000)));
    CHECK(queue_run.arrive("a", clock::duration(100), clock::duration(300)));
    CHECK(!queue_run.arrive("a", clock::duration(100), clock::duration(300)));

    fair_queue queue(1);
    const auto late = queue.enqueue(make_request("a", from_ms(5)), from_ms(5));
    REQUIRE(!ok(late));
    CHECK(failure(late).kind == error_kind::overloaded);
    CHECK(failure(late).ran == ran::no);
    CHECK(failure(late).retry_after > clock::duration::zero());
}

TEST_CASE("fair queue: a free slot is assigned regardless of earlier service times")
{
    simulation queue_run(1);
    queue_run.arrive("a", clock::duration(5'000));
    queue_run.run_until(from_ms(5'000));
    CHECK(queue_run.arrive("a", clock::duration(1), clock::duration(10)));
}

TEST_CASE("fair queue: a waiting request whose deadline passes is returned as expired")
{
    simulation queue_run(1);
    queue_run.arrive("a", clock::duration(500));
    REQUIRE(queue_run.arrive("a", clock::duration(1), clock::duration(100)));
    queue_run.run_until(from_ms(100));
    CHECK(queue_run.expired() == 1);
    CHECK(queue_run.size() == 0);
}

TEST_CASE("fair queue: a cancelled request leaves the queue")
{
    fair_queue queue(1);
    std::vector<ticket> expired;
    REQUIRE(ok(queue.enqueue(make_request("a", from_ms(1'000)), from_ms(0))));
    REQUIRE(queue.next(from_ms(0), expired));
    const auto second = queue.enqueue(make_request("a", from_ms(1'000)), from_ms(0));
    REQUIRE(ok(second));
    queue.cancel(value(second));
    CHECK(queue.size() == 0);
    queue.complete(1, clock::duration(1));
    CHECK(!queue.next(from_ms(1), expired));
}

TEST_CASE("fair queue: slot time is shared by weight, also with slow statements")
{
    simulation queue_run(3);
    constexpr int requests = 170;
    for (int number = 0; number < requests; ++number) {
        queue_run.arrive("fast", clock::duration(5), clock::duration(1'000'000), 1);
        queue_run.arrive("slow", clock::duration(20), clock::duration(1'000'000), 1);
        queue_run.arrive("heavy", clock::duration(5), clock::duration(1'000'000), 2);
    }
    queue_run.run_until(from_ms(500));
    const int fast_time = queue_run.served("fast") * 5;
    const int slow_time = queue_run.served("slow") * 20;
    const int heavy_time = queue_run.served("heavy") * 5;
    CHECK(fast_time > slow_time * 8 / 10);
    CHECK(fast_time < slow_time * 12 / 10);
    CHECK(heavy_time > fast_time * 16 / 10);
}

TEST_CASE("fair queue: a full queue still accepts organisations below their share")
{
    simulation queue_run(1);
    for (std::size_t number = 0; number < config::max_queued_per_server + 10; ++number) {
        queue_run.arrive("many", clock::duration(1));
    }
    CHECK(queue_run.size() == config::max_queued_per_server);
    CHECK(queue_run.refused("many") == 9);
    CHECK(queue_run.arrive("few", clock::duration(1)));
    CHECK(queue_run.size() == config::max_queued_per_server);
    CHECK(queue_run.expired() == 1);
}

namespace {

constexpr clock::duration longest_service{20};
constexpr std::uint32_t property_slots = 3;
constexpr int organisations = 8;

// Sends a flood of requests from one organisation and a request of another one now and then.
// Returns the longest wait of those others.
clock::duration longest_wait_beside_flood(unsigned seed, queue_order order)
{
    simulation queue_run(property_slots, order);
    std::mt19937 random(seed);
    const auto draw = [&random](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    for (int step = 0; step < 400; ++step) {
        const int flood = draw(0, 4);
        for (int number = 0; number < flood; ++number) {
            queue_run.arrive("flood",
                             clock::duration(draw(1, static_cast<int>(longest_service.count()))));
        }
        if (step % 20 == 0) {
            const std::string quiet = "quiet" + std::to_string(draw(1, organisations - 1));
            queue_run.arrive(quiet,
                             clock::duration(draw(1, static_cast<int>(longest_service.count()))));
        }
        queue_run.run_until(queue_run.now() + clock::duration(draw(1, 4)));
    }
    clock::duration longest{0};
    for (int number = 1; number < organisations; ++number) {
        longest = std::max(longest, queue_run.longest_wait("quiet" + std::to_string(number)));
    }
    return longest;
}

// Upper bound on the wait of an organisation's only request: the running requests, and one request
// of each other organisation, spread over all slots.
constexpr clock::duration fair_wait_bound{
    longest_service.count() * (1 + (organisations + property_slots - 1) / property_slots)};

} // namespace

TEST_CASE("fair queue: a flood does not delay other organisations beyond the fair bound")
{
    constexpr unsigned seeds = 200;
    unsigned caught_without_fairness = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        CHECK(longest_wait_beside_flood(seed, queue_order::fair) <= fair_wait_bound);
        const clock::duration unfair = longest_wait_beside_flood(seed, queue_order::fifo);
        caught_without_fairness += unfair > fair_wait_bound ? 1 : 0;
    }
    CHECK(caught_without_fairness > seeds * 9 / 10); // the bound does not hold without fairness
}
