#include "standin_switches.h"

#include "lab_json.h"

namespace primrosehead::standin {

namespace {

constexpr std::int64_t max_delay_ms = 600'000;

} // namespace

result<switches> apply_switches(const switches& before, std::string_view text)
{
    const result<boost::json::value> parsed = lab::parse_json(text);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    lab::object_reader members(value(parsed), "$");
    switches after = before;
    after.lag = clock::duration(members.integer("lag_ms", 0, max_delay_ms, before.lag.count()));
    after.extra_service_time = clock::duration(
        members.integer("slow_ms", 0, max_delay_ms, before.extra_service_time.count()));
    after.frozen = members.boolean("freeze", before.frozen);
    after.refuse_connections = members.boolean("refuse_connections", before.refuse_connections);
    after.leaving = members.boolean("leaving", before.leaving);
    after.crash = members.boolean("crash", false);
    const bool has_cut_member =
        value(parsed).is_object() && value(parsed).as_object().contains("cut");
    const std::vector<std::string> cut = members.strings("cut");
    if (has_cut_member) {
        after.cut = {cut.begin(), cut.end()};
    }
    const status checked = members.finish();
    if (!ok(checked)) {
        return failure(checked);
    }
    return after;
}

} // namespace primrosehead::standin
