#include <primrosehead/metrics.h>

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <thread>
#include <vector>

using namespace primrosehead;

TEST_CASE("metrics: counters and gauges are exported in the Prometheus text format")
{
    metrics registry;
    const counter_id served = registry.counter("requests_total", "Requests.", R"(outcome="ok")");
    const counter_id refused =
        registry.counter("requests_total", "Requests.", R"(outcome="refused")");
    const counter_id open = registry.gauge("connections", "Open connections.");
    registry.add(served);
    registry.add(served, 2);
    registry.add(refused);
    registry.set(open, 7);
    CHECK(registry.value(served) == 3);
    CHECK(registry.prometheus_text() == "# HELP requests_total Requests.\n"
                                        "# TYPE requests_total counter\n"
                                        "requests_total{outcome=\"ok\"} 3\n"
                                        "requests_total{outcome=\"refused\"} 1\n"
                                        "# HELP connections Open connections.\n"
                                        "# TYPE connections gauge\n"
                                        "connections 7\n");
}

TEST_CASE("metrics: registering the same name and labels returns the same handle")
{
    metrics registry;
    const counter_id first = registry.counter("a_total", "A.");
    const counter_id second = registry.counter("a_total", "A.");
    CHECK(first.index == second.index);
    CHECK(registry.counter("a_total", "A.", "x=\"1\"").index != first.index);
    CHECK(registry.latency("l_ms", "L.").index == registry.latency("l_ms", "L.").index);
}

TEST_CASE("metrics: latency quantiles are close to those of the recorded values")
{
    metrics registry;
    const latency_id latency = registry.latency("latency_ms", "Latency.");
    CHECK(registry.summary(latency).count == 0);
    constexpr int samples = 10'000;
    // Coprime to `samples`, so that each value occurs once, out of order.
    constexpr int stride = 7'919;
    for (int index = 0; index < samples; ++index) {
        registry.record(latency, (index * stride) % samples);
    }
    const latency_summary summary = registry.summary(latency);
    CHECK(summary.count == samples);
    CHECK(summary.max_ms == samples - 1);
    CHECK(std::abs(summary.p50_ms - samples * 0.5) < samples * 0.02);
    CHECK(std::abs(summary.p99_ms - samples * 0.99) < samples * 0.02);
    const std::string text = registry.prometheus_text();
    CHECK(text.find("# TYPE latency_ms histogram\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"1\"} 2\n") != std::string::npos); // 0 and 1
    CHECK(text.find("latency_ms_bucket{le=\"100\"} 101\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"10000\"} 10000\n") != std::string::npos);
    CHECK(text.find("latency_ms_bucket{le=\"+Inf\"} 10000\n") != std::string::npos);
    CHECK(text.find("latency_ms_count 10000\n") != std::string::npos);
}

TEST_CASE("metrics: concurrent updates are not lost")
{
    metrics registry;
    const counter_id counter = registry.counter("a_total", "A.");
    const latency_id latency = registry.latency("l_ms", "L.");
    constexpr int threads = 4;
    constexpr int iterations = 5'000;
    std::vector<std::jthread> workers;
    workers.reserve(threads);
    for (int thread = 0; thread < threads; ++thread) {
        workers.emplace_back([&] {
            for (int iteration = 0; iteration < iterations; ++iteration) {
                registry.add(counter);
                registry.record(latency, 1);
            }
        });
    }
    workers.clear();
    CHECK(registry.value(counter) == threads * iterations);
    CHECK(registry.summary(latency).count == threads * iterations);
    CHECK(registry.summary(latency).sum_ms == threads * iterations);
}
