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

struct metric_name {
    metric_kind kind = metric_kind::counter;
    std::string name;
    std::string help;
    std::string labels;
    std::size_t index = 0; // among its kind's values
};

// "NAME{LABELS}" or "NAME" without labels; `extra` is one more label.
std::string series(std::string_view name, std::string_view labels, std::string_view extra = {})
{
    std::string all(labels);
    if (!extra.empty()) {
        all += all.empty() ? "" : ",";
        all += extra;
    }
    return all.empty() ? std::string(name) : fmt::format("{}{{{}}}", name, all);
}

} // namespace

// Deques keep the values in place while others are registered. Bounded by the program's own text:
// only code registers metrics.
struct metrics::implementation {
    static constexpr std::size_t max_counters = 1'024;

    std::size_t add_name(metric_kind kind, std::string_view name, std::string_view help,
                         std::string_view labels, std::size_t index);
    [[nodiscard]] const metric_name* find(std::string_view name, std::string_view labels) const;
    [[nodiscard]] counter_id register_value(metric_kind kind, std::string_view name,
                                            std::string_view help, std::string_view labels);
    void write_latency(std::string& text, const metric_name& of) const;
    void write_head(std::string& text, const metric_name& of, std::string_view previous) const;

    mutable std::mutex guard; // names; values are used without it
    std::vector<metric_name> names;
    std::array<std::atomic<std::int64_t>, max_counters> values{};
    std::size_t value_count = 0;
    std::deque<metrics_latency> latencies;
};

const metric_name* metrics::implementation::find(std::string_view name,
                                                 std::string_view labels) const
{
    for (const metric_name& known : names) {
        if (known.name == name && known.labels == labels) {
            return &known;
        }
    }
    return nullptr;
}

std::size_t metrics::implementation::add_name(metric_kind kind, std::string_view name,
                                              std::string_view help, std::string_view labels,
                                              std::size_t index)
{
    names.push_back({kind, std::string(name), std::string(help), std::string(labels), index});
    return index;
}

counter_id metrics::implementation::register_value(metric_kind kind, std::string_view name,
                                                   std::string_view help, std::string_view labels)
{
    const std::lock_guard lock(guard);
    if (const metric_name* known = find(name, labels)) {
        return {known->index};
    }
    if (value_count == max_counters) {
        throw std::length_error("metrics: more counters than max_counters");
    }
    return {add_name(kind, name, help, labels, value_count++)};
}

metrics::metrics() : body_(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

counter_id metrics::counter(std::string_view name, std::string_view help, std::string_view labels)
{
    return body_->register_value(metric_kind::counter, name, help, labels);
}

counter_id metrics::gauge(std::string_view name, std::string_view help, std::string_view labels)
{
    return body_->register_value(metric_kind::gauge, name, help, labels);
}

latency_id metrics::latency(std::string_view name, std::string_view help, std::string_view labels)
{
    const std::lock_guard lock(body_->guard);
    if (const metric_name* known = body_->find(name, labels)) {
        return {known->index};
    }
    const std::size_t index = body_->latencies.size();
    body_->latencies.emplace_back();
    return {body_->add_name(metric_kind::latency, name, help, labels, index)};
}

void metrics::add(counter_id counter, std::int64_t amount) noexcept
{
    body_->values[counter.index].fetch_add(amount, std::memory_order_relaxed);
}

void metrics::set(counter_id gauge, std::int64_t value) noexcept
{
    body_->values[gauge.index].store(value, std::memory_order_relaxed);
}

void metrics::record(latency_id latency, double milliseconds)
{
    body_->latencies[latency.index].record(milliseconds);
}

std::int64_t metrics::value(counter_id counter) const noexcept
{
    return body_->values[counter.index].load(std::memory_order_relaxed);
}

latency_summary metrics::summary(latency_id latency) const
{
    return body_->latencies[latency.index].summary();
}

void metrics::implementation::write_head(std::string& text, const metric_name& of,
                                         std::string_view previous) const
{
    if (of.name != previous) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", of.name, of.help, of.name,
                            type_name(of.kind));
    }
}

void metrics::implementation::write_latency(std::string& text, const metric_name& of) const
{
    const latency_summary seen = latencies[of.index].summary();
    for (std::size_t bucket = 0; bucket < latency_bounds_ms.size(); ++bucket) {
        const std::string bound = fmt::format(R"(le="{}")", latency_bounds_ms.at(bucket));
        text += fmt::format("{} {}\n", series(of.name + "_bucket", of.labels, bound),
                            seen.within.at(bucket));
    }
    text +=
        fmt::format("{} {}\n", series(of.name + "_bucket", of.labels, R"(le="+Inf")"), seen.count);
    text += fmt::format("{} {}\n", series(of.name + "_sum", of.labels), seen.sum_ms);
    text += fmt::format("{} {}\n", series(of.name + "_count", of.labels), seen.count);
}

std::string metrics::prometheus_text() const
{
    const std::lock_guard lock(body_->guard);
    std::string text;
    std::string_view previous;
    for (const metric_name& known : body_->names) {
        body_->write_head(text, known, previous);
        previous = known.name;
        if (known.kind == metric_kind::latency) {
            body_->write_latency(text, known);
            continue;
        }
        text += fmt::format("{} {}\n", series(known.name, known.labels), value({known.index}));
    }
    return text;
}

} // namespace primrosehead
