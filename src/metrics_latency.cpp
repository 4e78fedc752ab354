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

using total_accumulator =
    accumulators::accumulator_set<double, accumulators::stats<tag::count, tag::sum, tag::max>>;
using quantile_accumulator =
    accumulators::accumulator_set<double, accumulators::stats<tag::p_square_quantile>>;

// Returns the index of the calling thread's shard. Threads share shards when there are more threads
// than shards.
std::size_t thread_shard_index() noexcept
{
    static std::atomic<std::size_t> next{0};
    thread_local const std::size_t index = next.fetch_add(1) % shard_count;
    return index;
}

} // namespace

struct alignas(cache_line_bytes) metrics_latency::shard {
    std::mutex mutex;
    std::array<std::uint64_t, latency_bounds_ms.size()> buckets{};
    total_accumulator totals;
    quantile_accumulator median{accumulators::quantile_probability = median_probability};
    quantile_accumulator tail{accumulators::quantile_probability = tail_probability};
};

metrics_latency::metrics_latency() : shards_(std::make_unique<shard[]>(shard_count)) {}

metrics_latency::~metrics_latency() = default;

void metrics_latency::record(double milliseconds)
{
    shard& own = shards_[thread_shard_index()];
    const std::lock_guard lock(own.mutex);
    own.totals(milliseconds);
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
    latency_summary merged;
    for (std::size_t index = 0; index < shard_count; ++index) {
        shard& source = shards_[index];
        const std::lock_guard lock(source.mutex);
        const auto count = static_cast<std::uint64_t>(accumulators::count(source.totals));
        if (count == 0) {
            continue;
        }
        const auto weight = static_cast<double>(count);
        std::uint64_t cumulative_count = 0;
        for (std::size_t bucket = 0; bucket < source.buckets.size(); ++bucket) {
            cumulative_count += source.buckets.at(bucket);
            merged.cumulative_counts.at(bucket) += cumulative_count;
        }
        merged.count += count;
        merged.sum_ms += accumulators::sum(source.totals);
        merged.max_ms = std::max(merged.max_ms, accumulators::max(source.totals));
        merged.p50_ms += weight * accumulators::p_square_quantile(source.median);
        merged.p99_ms += weight * accumulators::p_square_quantile(source.tail);
    }
    if (merged.count > 0) {
        merged.p50_ms /= static_cast<double>(merged.count);
        merged.p99_ms /= static_cast<double>(merged.count);
    }
    return merged;
}

} // namespace primrosehead
