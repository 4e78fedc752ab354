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

organisation_plan read_organisation(lab::object_reader& from)
{
    organisation_plan read;
    read.name = from.string("name");
    read.key = from.string("key");
    read.rate = from.number("rate", 0, max_rate);
    read.burst = from.number("burst", 0, max_rate);
    read.send_rate = from.number("send_rate", 0, max_rate);
    read.sessions =
        static_cast<std::uint32_t>(from.integer("sessions", 1, max_sessions, read.sessions));
    read.batch = static_cast<std::uint32_t>(from.integer("batch", 1, max_sessions, read.batch));
    read.outsider = from.boolean("outsider", false);
    return read;
}

database_plan read_database(lab::object_reader& from)
{
    database_plan read;
    read.name = from.string("name");
    read.read_route = from.string("read_route");
    read.write_route = from.string("write_route");
    read.stale_route = from.string("stale_route", read.read_route);
    read.foreign_route = from.string("foreign_route", "");
    return read;
}

operation_shares read_shares(lab::object_reader& from, operation_shares fallback)
{
    const boost::json::value* found = from.find("operations");
    if (found == nullptr) {
        return fallback;
    }
    lab::object_reader part(*found, "$.operations");
    const auto share = [&part](std::string_view name) { return part.number(name, 0, 1, 0.0); };
    const operation_shares read{share("write"),    share("read"),        share("stale_read"),
                                share("scan"),     share("transaction"), share("add"),
                                share("rollback"), share("wrong_key")};
    if (!ok(part.finish())) {
        from.set_error("operations", "shares from 0 to 1 of known operations");
    }
    return read;
}

fault_plan read_fault(lab::object_reader& from, const std::vector<std::int64_t>& pids)
{
    fault_plan read;
    read.at = clock::duration(from.integer("at_ms", 0, max_duration_ms));
    read.url = from.string("url", "");
    if (const boost::json::value* body = from.find("body")) {
        read.body = boost::json::serialize(*body);
    }
    const std::int64_t pid = from.integer("pid", 0, std::numeric_limits<int>::max(), 0);
    read.pid = static_cast<int>(pid);
    read.signal = from.string("signal", "");
    const bool listed = std::find(pids.begin(), pids.end(), pid) != pids.end();
    if (pid != 0 && !listed) {
        from.set_error("pid", "one of $.pids");
    }
    const bool known = read.signal == "KILL" || read.signal == "STOP" || read.signal == "CONT";
    if (pid != 0 && !known) {
        from.set_error("signal", "KILL, STOP or CONT");
    }
    if ((pid != 0) == !read.url.empty()) {
        from.set_error("url", "either a url or a pid");
    }
    return read;
}

std::vector<std::int64_t> read_pids(lab::object_reader& from)
{
    std::vector<std::int64_t> read;
    const boost::json::value* found = from.find("pids");
    if (found == nullptr) {
        return read;
    }
    if (!found->is_array()) {
        from.set_error("pids", "a list of process numbers");
        return read;
    }
    for (const boost::json::value& each : found->get_array()) {
        const std::int64_t* pid = each.if_int64();
        if (pid == nullptr || *pid <= 1) {
            from.set_error("pids", "a list of process numbers above 1");
            return read;
        }
        read.push_back(*pid);
    }
    return read;
}

} // namespace

result<run_plan> parse_plan(std::string_view text)
{
    const result<boost::json::value> parsed = lab::parse_json(text);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    lab::object_reader from(value(parsed), "$");
    run_plan read;
    read.duration = clock::duration(from.integer("duration_ms", 1, max_duration_ms));
    read.replica_lag = clock::duration(from.integer("replica_lag_ms", 0, max_duration_ms, 0));
    from.objects("entries", [&read](lab::object_reader& one) {
        read.entries.push_back({one.string("url"), one.number("weight", 0, max_rate, 1.0)});
    });
    from.objects("organisations", [&read](lab::object_reader& one) {
        read.organisations.push_back(read_organisation(one));
    });
    from.objects("databases", [&read](lab::object_reader& one) {
        read.databases.push_back(read_database(one));
    });
    const std::vector<std::int64_t> pids = read_pids(from);
    from.objects("faults",
                 [&](lab::object_reader& one) { read.faults.push_back(read_fault(one, pids)); });
    read.shares = read_shares(from, read.shares);
    read.keys = static_cast<std::uint32_t>(from.integer("keys", 1, max_keys, read.keys));
    read.timeout = clock::duration(from.integer("timeout_ms", 1, 60'000, read.timeout.count()));
    read.max_age = clock::duration(from.integer("max_age_ms", 0, 600'000, read.max_age.count()));
    read.direct = from.boolean("direct", false);
    if (read.entries.empty()) {
        from.set_error("entries", "at least one entry");
    }
    if (read.organisations.empty()) {
        from.set_error("organisations", "at least one organisation");
    }
    if (read.databases.empty()) {
        from.set_error("databases", "at least one database");
    }
    const status checked = from.finish();
    if (!ok(checked)) {
        return failure(checked);
    }
    return read;
}

} // namespace primrosehead::load
