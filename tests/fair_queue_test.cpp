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

fair_queue::queued_request ask(std::string_view organisation, clock::time_point deadline,
                               std::uint32_t weight = 1)
{
    return {organisation_name(organisation), weight, deadline};
}

// Runs a queue over simulated time. Each started request holds its slot for its service time.
class simulation {
  public:
    explicit simulation(std::uint32_t slots, queue_order order = queue_order::fair)
        : queue_(slots, order)
    {
    }

    bool arrive(std::string_view organisation, clock::duration service,
                clock::duration timeout = clock::duration(1'000'000), std::uint32_t weight = 1)
    {
        const auto entered = queue_.enqueue(ask(organisation, now_ + timeout, weight), now_);
        if (!ok(entered)) {
            ++refused_[std::string(organisation)];
            return false;
        }
        arrivals_[value(entered)] = {std::string(organisation), now_, service};
        start();
        return true;
    }

    // Moves time on, ending what ends on the way.
    void run_until(clock::time_point end)
    {
        while (!ends_.empty() && ends_.begin()->first <= end) {
            const auto [at, done] = *ends_.begin();
            ends_.erase(ends_.begin());
            now_ = at;
            queue_.complete(done, arrivals_[done].service);
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
            const arrival& one = arrivals_[*started];
            ends_.emplace(now_ + one.service, *started);
            longest_[one.organisation] = std::max(longest_[one.organisation], now_ - one.at);
            ++served_[one.organisation];
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

TEST_CASE("fair queue: free slots are given at once, the rest waits in order")
{
    fair_queue queue(2);
    std::vector<ticket> expired;
    const clock::time_point start = from_ms(0);
    for (int number = 0; number < 3; ++number) {
        REQUIRE(ok(queue.enqueue(ask("a", from_ms(1'000)), start)));
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

TEST_CASE("fair queue: a request that would not be reached in time is refused when it comes")
{
    simulation one(1);
    one.arrive("a", clock::duration(100));
    one.run_until(from_ms(100)); // the service time is known now
    REQUIRE(one.arrive("a", clock::duration(100)));
    REQUIRE(one.arrive("a", clock::duration(100), clock::duration(1'000)));
    CHECK(one.arrive("a", clock::duration(100), clock::duration(300)));
    CHECK(!one.arrive("a", clock::duration(100), clock::duration(300)));

    fair_queue queue(1);
    const auto late = queue.enqueue(ask("a", from_ms(5)), from_ms(5));
    REQUIRE(!ok(late));
    CHECK(failure(late).kind == error_kind::overloaded);
    CHECK(failure(late).ran == ran::no);
    CHECK(failure(late).retry_after > clock::duration::zero());
}

TEST_CASE("fair queue: a free slot is given whatever earlier requests took")
{
    simulation one(1);
    one.arrive("a", clock::duration(5'000));
    one.run_until(from_ms(5'000));
    CHECK(one.arrive("a", clock::duration(1), clock::duration(10)));
}

TEST_CASE("fair queue: a waiting request whose deadline passes comes out as expired")
{
    simulation one(1);
    one.arrive("a", clock::duration(500));
    REQUIRE(one.arrive("a", clock::duration(1), clock::duration(100)));
    one.run_until(from_ms(100));
    CHECK(one.expired() == 1);
    CHECK(one.size() == 0);
}

TEST_CASE("fair queue: an abandoned request gives its place up")
{
    fair_queue queue(1);
    std::vector<ticket> expired;
    REQUIRE(ok(queue.enqueue(ask("a", from_ms(1'000)), from_ms(0))));
    REQUIRE(queue.next(from_ms(0), expired));
    const auto second = queue.enqueue(ask("a", from_ms(1'000)), from_ms(0));
    REQUIRE(ok(second));
    queue.cancel(value(second));
    CHECK(queue.size() == 0);
    queue.complete(1, clock::duration(1));
    CHECK(!queue.next(from_ms(1), expired));
}

TEST_CASE("fair queue: slot time is shared by weight, also when one has slow statements")
{
    simulation one(3);
    constexpr int each = 170;
    for (int number = 0; number < each; ++number) {
        one.arrive("fast", clock::duration(5), clock::duration(1'000'000), 1);
        one.arrive("slow", clock::duration(20), clock::duration(1'000'000), 1);
        one.arrive("heavy", clock::duration(5), clock::duration(1'000'000), 2);
    }
    one.run_until(from_ms(500));
    const int fast_time = one.served("fast") * 5;
    const int slow_time = one.served("slow") * 20;
    const int heavy_time = one.served("heavy") * 5;
    CHECK(fast_time > slow_time * 8 / 10);
    CHECK(fast_time < slow_time * 12 / 10);
    CHECK(heavy_time > fast_time * 16 / 10);
}

TEST_CASE("fair queue: a full queue keeps a place for organisations below their share")
{
    simulation one(1);
    for (std::size_t number = 0; number < config::max_queued_per_server + 10; ++number) {
        one.arrive("many", clock::duration(1));
    }
    CHECK(one.size() == config::max_queued_per_server);
    CHECK(one.refused("many") == 9);
    CHECK(one.arrive("few", clock::duration(1)));
    CHECK(one.size() == config::max_queued_per_server);
    CHECK(one.expired() == 1);
}

namespace {

constexpr clock::duration longest_service{20};
constexpr std::uint32_t property_slots = 3;
constexpr int organisations = 8;

// One organisation floods, the others ask now and then; returns the longest wait of those others.
clock::duration longest_wait_beside_flood(unsigned seed, queue_order order)
{
    simulation one(property_slots, order);
    std::mt19937 random(seed);
    const auto draw = [&random](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    for (int step = 0; step < 400; ++step) {
        const int flood = draw(0, 4);
        for (int number = 0; number < flood; ++number) {
            one.arrive("flood",
                       clock::duration(draw(1, static_cast<int>(longest_service.count()))));
        }
        if (step % 20 == 0) {
            const std::string quiet = "quiet" + std::to_string(draw(1, organisations - 1));
            one.arrive(quiet, clock::duration(draw(1, static_cast<int>(longest_service.count()))));
        }
        one.run_until(one.now() + clock::duration(draw(1, 4)));
    }
    clock::duration longest{0};
    for (int number = 1; number < organisations; ++number) {
        longest = std::max(longest, one.longest_wait("quiet" + std::to_string(number)));
    }
    return longest;
}

// A newly waiting request waits for the requests that run, and for one request of each other
// organisation at most, over all slots.
constexpr clock::duration fair_wait_bound{
    longest_service.count() * (1 + (organisations + property_slots - 1) / property_slots)};

} // namespace

TEST_CASE("fair queue: no flood makes another organisation wait beyond its fair share")
{
    constexpr unsigned seeds = 200;
    unsigned caught_without_fairness = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        CHECK(longest_wait_beside_flood(seed, queue_order::fair) <= fair_wait_bound);
        const clock::duration unfair = longest_wait_beside_flood(seed, queue_order::fifo);
        caught_without_fairness += unfair > fair_wait_bound ? 1 : 0;
    }
    CHECK(caught_without_fairness > seeds * 9 / 10); // the check can fail
}
