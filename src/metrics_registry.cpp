#include "metrics_latency.h"

#include <primrosehead/metrics.h>

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <vector>

namespace primrosehead {

namespace {

enum class metric_kind { counter, gauge, latency };

std::string_view type_name(metric_kind kind) noexcept
{
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::latency:
        break;
    }
    return "histogram";
}

struct metric_info {
    metric_kind kind = metric_kind::counter;
    std::string name;
    std::string help;
    std::string labels;
    std::size_t index = 0; // index of its value: in `values`, or in `latencies` for a latency
};

// Returns "NAME{LABELS}", or "NAME" without labels. `extra` is an additional label or empty.
std::string series(std::string_view name, std::string_view labels, std::string_view extra = {})
{
    std::string joined(labels);
    if (!extra.empty()) {
        joined += joined.empty() ? "" : ",";
        joined += extra;
    }
    return joined.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, joined);
}

} // namespace

// The array and the deque keep values at fixed addresses while others are registered. The number of
// metrics is bounded, since only code registers them, never input.
struct metrics::implementation {
    static constexpr std::size_t max_counters = 1'024;

    std::size_t add_info(metric_kind kind, std::string_view name, std::string_view help,
                         std::string_view labels, std::size_t index);
    [[nodiscard]] const metric_info* find(std::string_view name, std::string_view labels) const;
    [[nodiscard]] counter_id register_value(metric_kind kind, std::string_view name,
                                            std::string_view help, std::string_view labels);
    void write_latency(std::string& text, const metric_info& metric) const;
    void write_header(std::string& text, const metric_info& metric,
                      std::string_view previous) const;

    mutable std::mutex mutex; // protects `infos`; values are accessed without it
    std::vector<metric_info> infos;
    std::array<std::atomic<std::int64_t>, max_counters> values{};
    std::size_t value_count = 0;
    std::deque<metrics_latency> latencies;
};

const metric_info* metrics::implementation::find(std::string_view name,
                                                 std::string_view labels) const
{
    for (const metric_info& known : infos) {
        if (known.name == name && known.labels == labels) {
            return &known;
        }
    }
    return nullptr;
}

std::size_t metrics::implementation::add_info(metric_kind kind, std::string_view name,
                                              std::string_view help, std::string_view labels,
                                              std::size_t index)
{
    infos.push_back({kind, std::string(name), std::string(help), std::string(labels), index});
    return index;
}

counter_id metrics::implementation::register_value(metric_kind kind, std::string_view name,
                                                   std::string_view help, std::string_view labels)
{
    const std::lock_guard lock(mutex);
    if (const metric_info* known = find(name, labels)) {
        return {known->index};
    }
    if (value_count == max_counters) {
        throw std::length_error("metrics: more than max_counters counters and gauges registered");
    }
    return {add_info(kind, name, help, labels, value_count++)};
}

metrics::metrics() : impl_(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

counter_id metrics::counter(std::string_view name, std::string_view help, std::string_view labels)
{
    return impl_->register_value(metric_kind::counter, name, help, labels);
}

counter_id metrics::gauge(std::string_view name, std::string_view help, std::string_view labels)
{
    return impl_->register_value(metric_kind::gauge, name, help, labels);
}

latency_id metrics::latency(std::string_view name, std::string_view help, std::string_view labels)
{
    const std::lock_guard lock(impl_->mutex);
    if (const metric_info* known = impl_->find(name, labels)) {
        return {known->index};
    }
    const std::size_t index = impl_->latencies.size();
    impl_->latencies.emplace_back();
    return {impl_->add_info(metric_kind::latency, name, help, labels, index)};
}

void metrics::add(counter_id counter, std::int64_t amount) noexcept
{
    impl_->values[counter.index].fetch_add(amount, std::memory_order_relaxed);
}

void metrics::set(counter_id gauge, std::int64_t value) noexcept
{
    impl_->values[gauge.index].store(value, std::memory_order_relaxed);
}

void metrics::record(latency_id latency, double milliseconds)
{
    impl_->latencies[latency.index].record(milliseconds);
}

std::int64_t metrics::value(counter_id counter) const noexcept
{
    return impl_->values[counter.index].load(std::memory_order_relaxed);
}

latency_summary metrics::summary(latency_id latency) const
{
    return impl_->latencies[latency.index].summary();
}

void metrics::implementation::write_header(std::string& text, const metric_info& metric,
                                           std::string_view previous) const
{
    if (metric.name != previous) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", metric.name, metric.help, metric.name,
                            type_name(metric.kind));
    }
}

void metrics::implementation::write_latency(std::string& text, const metric_info& metric) const
{
    const latency_summary summary = latencies[metric.index].summary();
    for (std::size_t bucket = 0; bucket < latency_bounds_ms.size(); ++bucket) {
        const std::string bound = fmt::format(R"(le="{}")", latency_bounds_ms.at(bucket));
        text += fmt::format("{} {}\n", series(metric.name + "_bucket", metric.labels, bound),
                            summary.cumulative_counts.at(bucket));
    }
    text += fmt::format("{} {}\n", series(metric.name + "_bucket", metric.labels, R"(le="+Inf")"),
                        summary.count);
    text += fmt::format("{} {}\n", series(metric.name + "_sum", metric.labels), summary.sum_ms);
    text += fmt::format("{} {}\n", series(metric.name + "_count", metric.labels), summary.count);
}

std::string metrics::prometheus_text() const
{
    const std::lock_guard lock(impl_->mutex);
    std::string text;
    std::string_view previous;
    for (const metric_info& known : impl_->infos) {
        impl_->write_header(text, known, previous);
        previous = known.name;
        if (known.kind == metric_kind::latency) {
            impl_->write_latency(text, known);
            continue;
        }
        text += fmt::format("{} {}\n", series(known.name, known.labels), value({known.index}));
    }
    return text;
}

} // namespace primrosehead
