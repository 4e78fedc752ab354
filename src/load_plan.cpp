#include "load_plan.h"

#include "lab_json.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace primrosehead::load {

namespace {

constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr std::int64_t max_keys = 100'000;
constexpr std::int64_t max_sessions = 10'000;
constexpr double max_rate = 1e6;

organisation_plan read_organisation(lab::object_reader& reader)
{
    organisation_plan plan;
    plan.name = reader.string("name");
    plan.key = reader.string("key");
    plan.rate = reader.number("rate", 0, max_rate);
    plan.burst = reader.number("burst", 0, max_rate);
    plan.send_rate = reader.number("send_rate", 0, max_rate);
    plan.sessions =
        static_cast<std::uint32_t>(reader.integer("sessions", 1, max_sessions, plan.sessions));
    plan.batch = static_cast<std::uint32_t>(reader.integer("batch", 1, max_sessions, plan.batch));
    plan.outsider = reader.boolean("outsider", false);
    return plan;
}

database_plan read_database(lab::object_reader& reader)
{
    database_plan plan;
    plan.name = reader.string("name");
    plan.read_route = reader.string("read_route");
    plan.write_route = reader.string("write_route");
    plan.stale_route = reader.string("stale_route", plan.read_route);
    plan.foreign_route = reader.string("foreign_route", "");
    return plan;
}

operation_shares read_shares(lab::object_reader& reader, operation_shares fallback)
{
    const boost::json::value* found = reader.find("operations");
    if (found == nullptr) {
        return fallback;
    }
    lab::object_reader shares_reader(*found, "$.operations");
    const auto share = [&shares_reader](std::string_view name) {
        return shares_reader.number(name, 0, 1, 0.0);
    };
    const operation_shares shares{share("write"),    share("read"),        share("stale_read"),
                                  share("scan"),     share("transaction"), share("add"),
                                  share("rollback"), share("wrong_key")};
    if (!ok(shares_reader.finish())) {
        reader.set_error("operations", "shares from 0 to 1 of known operations");
    }
    return shares;
}

fault_plan read_fault(lab::object_reader& reader, const std::vector<std::int64_t>& pids)
{
    fault_plan plan;
    plan.at = clock::duration(reader.integer("at_ms", 0, max_duration_ms));
    plan.url = reader.string("url", "");
    if (const boost::json::value* body = reader.find("body")) {
        plan.body = boost::json::serialize(*body);
    }
    const std::int64_t pid = reader.integer("pid", 0, std::numeric_limits<int>::max(), 0);
    plan.pid = static_cast<int>(pid);
    plan.signal = reader.string("signal", "");
    const bool is_listed = std::find(pids.begin(), pids.end(), pid) != pids.end();
    if (pid != 0 && !is_listed) {
        reader.set_error("pid", "one of $.pids");
    }
    const bool is_known_signal =
        plan.signal == "KILL" || plan.signal == "STOP" || plan.signal == "CONT";
    if (pid != 0 && !is_known_signal) {
        reader.set_error("signal", "KILL, STOP or CONT");
    }
    if ((pid != 0) == !plan.url.empty()) {
        reader.set_error("url", "either a url or a pid");
    }
    return plan;
}

std::vector<std::int64_t> read_pids(lab::object_reader& reader)
{
    std::vector<std::int64_t> pids;
    const boost::json::value* found = reader.find("pids");
    if (found == nullptr) {
        return pids;
    }
    if (!found->is_array()) {
        reader.set_error("pids", "a list of process numbers");
        return pids;
    }
    for (const boost::json::value& each : found->get_array()) {
        const std::int64_t* pid = each.if_int64();
        if (pid == nullptr || *pid <= 1) {
            reader.set_error("pids", "a list of process numbers above 1");
            return pids;
        }
        pids.push_back(*pid);
    }
    return pids;
}

} // namespace

result<run_plan> parse_plan(std::string_view text)
{
    const result<boost::json::value> parsed = lab::parse_json(text);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    lab::object_reader reader(value(parsed), "$");
    run_plan plan;
    plan.duration = clock::duration(reader.integer("duration_ms", 1, max_duration_ms));
    plan.replica_lag = clock::duration(reader.integer("replica_lag_ms", 0, max_duration_ms, 0));
    reader.objects("entries", [&plan](lab::object_reader& element) {
        plan.entries.push_back({element.string("url"), element.number("weight", 0, max_rate, 1.0)});
    });
    reader.objects("organisations", [&plan](lab::object_reader& element) {
        plan.organisations.push_back(read_organisation(element));
    });
    reader.objects("databases", [&plan](lab::object_reader& element) {
        plan.databases.push_back(read_database(element));
    });
    const std::vector<std::int64_t> pids = read_pids(reader);
    reader.objects("faults", [&](lab::object_reader& element) {
        plan.faults.push_back(read_fault(element, pids));
    });
    plan.shares = read_shares(reader, plan.shares);
    plan.keys = static_cast<std::uint32_t>(reader.integer("keys", 1, max_keys, plan.keys));
    plan.timeout = clock::duration(reader.integer("timeout_ms", 1, 60'000, plan.timeout.count()));
    plan.max_age = clock::duration(reader.integer("max_age_ms", 0, 600'000, plan.max_age.count()));
    plan.direct = reader.boolean("direct", false);
    if (plan.entries.empty()) {
        reader.set_error("entries", "at least one entry");
    }
    if (plan.organisations.empty()) {
        reader.set_error("organisations", "at least one organisation");
    }
    if (plan.databases.empty()) {
        reader.set_error("databases", "at least one database");
    }
    const status checked = reader.finish();
    if (!ok(checked)) {
        return failure(checked);
    }
    return plan;
}

} // namespace primrosehead::load
