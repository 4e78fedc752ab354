#include "load_summary.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace primrosehead::load {

namespace json = boost::json;

namespace {

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

json::array organisations(const history::measures& measured)
{
    json::array list;
    for (const history::organisation_measure& each : measured.organisations) {
        list.push_back(json::object{{"organisation", each.organisation},
                                    {"requests", each.requests},
                                    {"within", each.within},
                                    {"answered_in_time", share(each.answered_in_time, each.within)},
                                    {"refused_wrongly", share(each.refused_wrongly, each.within)},
                                    {"window_excess", each.window_excess}});
    }
    return list;
}

json::object gaps(const history::measures& measured)
{
    json::object list;
    for (const history::database_measure& each : measured.databases) {
        list[each.database] = each.longest_write_gap_ms;
    }
    return list;
}

// Counts requests by kind of error, those with status 200 as "ok".
json::object kinds(const history::recorded_history& recorded)
{
    std::map<std::string, std::uint64_t> counted;
    for (const history::request_event& each : recorded.requests) {
        ++counted[each.status == 200 ? "ok" : each.error];
    }
    json::object list;
    for (const auto& [kind, count] : counted) {
        list[kind] = count;
    }
    return list;
}

} // namespace

std::string summary_json(const history::measures& measured, const run_totals& totals,
                         const history::recorded_history& recorded)
{
    double worst_served = 1.0;
    std::uint64_t within = 0;
    std::uint64_t refused = 0;
    double excess = 0;
    for (const history::organisation_measure& each : measured.organisations) {
        worst_served = std::min(worst_served, share(each.answered_in_time, each.within));
        within += each.within;
        refused += each.refused_wrongly;
        excess = std::max(excess, each.window_excess);
    }
    return json::serialize(json::object{
        {"operations", totals.operations},
        {"operations_not_ok", totals.failed},
        {"not_offered", totals.not_offered},
        {"faults", totals.faults},
        {"replica_servable_reads", measured.servable_reads},
        {"replica_read_share", share(measured.servable_reads_by_replicas, measured.servable_reads)},
        {"replica_share_of_all_reads", share(measured.reads_by_replicas, measured.reads)},
        {"longest_write_gap_ms", gaps(measured)},
        {"worst_served_share", worst_served},
        {"wrongly_refused_share", within == 0 ? 0.0 : share(refused, within)},
        {"window_excess", excess},
        {"read_median_us", measured.read_median_us},
        {"read_p99_us", measured.read_p99_us},
        {"write_median_us", measured.write_median_us},
        {"write_p99_us", measured.write_p99_us},
        {"kinds", kinds(recorded)},
        {"organisations", organisations(measured)}});
}

} // namespace primrosehead::load
