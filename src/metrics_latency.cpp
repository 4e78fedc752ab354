#include "metrics_latency.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <mutex>

namespace primrosehead {

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

namespace {

constexpr std::size_t shard_count = 8;
constexpr std::size_t cache_line_bytes = 64;
constexpr double median_probability = 0.5;
constexpr double tail_probability = 0.99;

using totals =
    accumulators::accumulator_set<double, accumulators::stats<tag::count, tag::sum, tag::max>>;
using quantile = accumulators::accumulator_set<double, accumulators::stats<tag::p_square_quantile>>;

// The shard of the calling thread.
std::size_t own_shard() noexcept
{
    static std::atomic<std::size_t> next{0};
    thread_local const std::size_t own = next.fetch_add(1) % shard_count;
    return own;
}

} // namespace

struct alignas(cache_line_bytes) metrics_latency::shard {
    std::mutex guard;
    std::array<std::uint64_t, latency_bounds_ms.size()> buckets{};
    totals all;
    quantile median{accumulators::quantile_probability = median_probability};
    quantile tail{accumulators::quantile_probability = tail_probability};
};

metrics_latency::metrics_latency() : shards_(std::make_unique<shard[]>(shard_count)) {}

metrics_latency::~metrics_latency() = default;

void metrics_latency::record(double milliseconds)
{
    shard& own = shards_[own_shard()];
    const std::lock_guard lock(own.guard);
    own.all(milliseconds);
    own.median(milliseconds);
    own.tail(milliseconds);
    const auto bucket =
        std::lower_bound(latency_bounds_ms.begin(), latency_bounds_ms.end(), milliseconds);
    if (bucket != latency_bounds_ms.end()) {
        ++own.buckets.at(static_cast<std::size_t>(bucket - latency_bounds_ms.begin()));
    }
}

latency_summary metrics_latency::summary() const
{
    latency_summary whole;
    for (std::size_t index = 0; index < shard_count; ++index) {
        shard& part = shards_[index];
        const std::lock_guard lock(part.guard);
        const auto count = static_cast<std::uint64_t>(accumulators::count(part.all));
        if (count == 0) {
            continue;
        }
        const auto weight = static_cast<double>(count);
        std::uint64_t within = 0;
        for (std::size_t bucket = 0; bucket < part.buckets.size(); ++bucket) {
            within += part.buckets.at(bucket);
            whole.within.at(bucket) += within;
        }
        whole.count += count;
        whole.sum_ms += accumulators::sum(part.all);
        whole.max_ms = std::max(whole.max_ms, accumulators::max(part.all));
        whole.p50_ms += weight * accumulators::p_square_quantile(part.median);
        whole.p99_ms += weight * accumulators::p_square_quantile(part.tail);
    }
    if (whole.count > 0) {
        whole.p50_ms /= static_cast<double>(whole.count);
        whole.p99_ms /= static_cast<double>(whole.count);
    }
    return whole;
}

} // namespace primrosehead
