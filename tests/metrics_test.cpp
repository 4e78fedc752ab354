#include <primrosehead/metrics.h>

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <thread>
#include <vector>

using namespace primrosehead;

TEST_CASE("metrics: counters and gauges show in Prometheus' text format")
{
    metrics all;
    const counter_id served = all.counter("requests_total", "Requests.", R"(outcome="ok")");
    const counter_id refused = all.counter("requests_total", "Requests.", R"(outcome="refused")");
    const counter_id open = all.gauge("connections", "Open connections.");
    all.add(served);
    all.add(served, 2);
    all.add(refused);
    all.set(open, 7);
    CHECK(all.value(served) == 3);
    CHECK(all.prometheus_text() == "# HELP requests_total Requests.\n"
                                   "# TYPE requests_total counter\n"
                                   "requests_total{outcome=\"ok\"} 3\n"
                                   "requests_total{outcome=\"refused\"} 1\n"
                                   "# HELP connections Open connections.\n"
                                   "# TYPE connections gauge\n"
                                   "connections 7\n");
}

TEST_CASE("metrics: the same name and labels give the same handle")
{
    metrics all;
    const counter_id first = all.counter("a_total", "A.");
    const counter_id again = all.counter("a_total", "A.");
    CHECK(first.index == again.index);
    CHECK(all.counter("a_total", "A.", "x=\"1\"").index != first.index);
    CHECK(all.latency("l_ms", "L.").index == all.latency("l_ms", "L.").index);
}

TEST_CASE("metrics: latency quantiles are near those of what was recorded")
{
    metrics all;
    const latency_id latency = all.latency("latency_ms", "Latency.");
    CHECK(all.summary(latency).count == 0);
    constexpr int samples = 10'000;
    constexpr int stride = 7'919; // prime: every value once, out of order
    for (int index = 0; index < samples; ++index) {
        all.record(latency, (index * stride) % samples);
    }
    const latency_summary seen = all.summary(latency);
    CHECK(seen.count == samples);
    CHECK(seen.max_ms == samples - 1);
    CHECK(std::abs(seen.p50_ms - samples * 0.5) < samples * 0.02);
    CHECK(std::abs(seen.p99_ms - samples * 0.99) < samples * 0.02);
    const std::string text = all.prometheus_text();
    CHECK(text.find("# TYPE latency_ms histogram\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"1\"} 2\n") != std::string::npos); // 0 and 1
    CHECK(text.find("latency_ms_bucket{le=\"100\"} 101\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"10000\"} 10000\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"+Inf\"} 10000\n") != std::string::npos);
    CHECK(text.find("latency_ms_count 10000\n") != std::string::npos);
}

TEST_CASE("metrics: nothing is lost over threads")
{
    metrics all;
    const counter_id counter = all.counter("a_total", "A.");
    const latency_id latency = all.latency("l_ms", "L.");
    constexpr int threads = 4;
    constexpr int rounds = 5'000;
    std::vector<std::jthread> running;
    running.reserve(threads);
    for (int thread = 0; thread < threads; ++thread) {
        running.emplace_back([&] {
            for (int round = 0; round < rounds; ++round) {
                all.add(counter);
                all.record(latency, 1);
            }
        });
    }
    running.clear();
    CHECK(all.value(counter) == threads * rounds);
    CHECK(all.summary(latency).count == threads * rounds);
    CHECK(all.summary(latency).sum_ms == threads * rounds);
}
