#include "admission_service_times.h"

#include <algorithm>
#include <cmath>

namespace primrosehead::admission {

namespace {

constexpr double default_service_ms = 20;
constexpr double min_service_ms = 0.5; // round trips are in whole milliseconds
constexpr double service_weight = 0.1; // of a new measurement
constexpr double max_change = 4; // one slow statement counts as at most this many average ones
constexpr double arrival_time_constant_ms = 500;

double aged(double count, clock::time_point since, clock::time_point now)
{
    const double age_ms = std::max(0.0, static_cast<double>((now - since).count()));
    return count * std::exp(-age_ms / arrival_time_constant_ms);
}

} // namespace

void service_times::record_arrival(std::uint32_t priority, clock::time_point now)
{
    priority_times& times = priorities_[priority];
    times.arrivals = aged(times.arrivals, times.aged_at, now) + 1;
    times.aged_at = now;
}

void service_times::record_service(std::uint32_t priority, clock::duration round_trip)
{
    priority_times& times = priorities_[priority];
    const double measured = std::max(min_service_ms, static_cast<double>(round_trip.count()));
    if (times.service_ms == 0) {
        times.service_ms = default_service_ms;
    }
    const double bounded = std::min(measured, max_change * times.service_ms);
    times.service_ms += service_weight * (bounded - times.service_ms);
}

double service_times::service_ms(std::uint32_t priority) const
{
    const auto found = priorities_.find(priority);
    return found == priorities_.end() || found->second.service_ms == 0 ? default_service_ms
                                                                       : found->second.service_ms;
}

double service_times::slots_above(std::uint32_t priority, clock::time_point now) const
{
    double slots = 0;
    for (const auto& [urgent, times] : priorities_) {
        if (urgent >= priority) {
            break;
        }
        const double per_ms = aged(times.arrivals, times.aged_at, now) / arrival_time_constant_ms;
        slots += per_ms * service_ms(urgent);
    }
    return slots;
}

} // namespace primrosehead::admission
