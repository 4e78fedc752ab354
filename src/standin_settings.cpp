#include "standin_settings.h"

#include "lab_json.h"

#include <algorithm>

namespace primrosehead::standin {

namespace {

constexpr std::int64_t max_slots = 1'024;
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t max_delay_ms = 600'000;

clock::duration read_delay(lab::object_reader& members, std::string_view key,
                           clock::duration fallback)
{
    return clock::duration(members.integer(key, 0, max_delay_ms, fallback.count()));
}

log_settings read_log(lab::object_reader& members)
{
    log_settings settings;
    const boost::json::value* member = members.find("log");
    if (member == nullptr) {
        return settings;
    }
    lab::object_reader section(*member, "$.log");
    settings.level = section.string("level", settings.level);
    settings.format = section.string("format", settings.format);
    settings.file = section.string("file", "");
    if (!ok(section.finish())) {
        members.set_error("log", "an object with level, format and file");
    }
    return settings;
}

database_faults read_faults(lab::object_reader& members)
{
    database_faults faults;
    const boost::json::value* member = members.find("faults");
    if (member == nullptr) {
        return faults;
    }
    lab::object_reader section(*member, "$.faults");
    faults.forget_idempotency = section.boolean("forget_idempotency", false);
    faults.mix_transactions = section.boolean("mix_transactions", false);
    faults.ignore_terms = section.boolean("ignore_terms", false);
    faults.unstable_snapshot = section.boolean("unstable_snapshot", false);
    if (!ok(section.finish())) {
        members.set_error("faults", "an object with known fault names and boolean values");
    }
    return faults;
}

void check_group(lab::object_reader& members, const server_settings& settings)
{
    const bool includes_itself =
        std::any_of(settings.group.begin(), settings.group.end(),
                    [&](const peer_settings& peer) { return peer.server == settings.server; });
    if (includes_itself) {
        members.set_error("group", "the other servers of the group, without this one");
    }
}

} // namespace

result<server_settings> parse_server_settings(std::string_view text)
{
    const result<boost::json::value> parsed = lab::parse_json(text);
    if (!ok(parsed)) {
        return failure(parsed);
    }
    lab::object_reader members(value(parsed), "$");
    server_settings settings;
    settings.server = members.string("server");
    settings.database = members.string("database");
    settings.failure_domain = members.string("failure_domain");
    settings.listen = members.string("listen");
    settings.control_listen = members.string("control_listen", "");
    settings.announce_urls = members.strings("announce_urls");
    members.objects("group", [&settings](lab::object_reader& peer) {
        settings.group.push_back(peer_settings{peer.string("server"), peer.string("url")});
    });
    settings.slots =
        static_cast<std::uint32_t>(members.integer("slots", 1, max_slots, settings.slots));
    settings.connection_limit = static_cast<std::uint32_t>(
        members.integer("connection_limit", 1, max_connections, settings.connection_limit));
    settings.accept_delay = read_delay(members, "new_connection_ms", settings.accept_delay);
    settings.service_time = read_delay(members, "service_ms", settings.service_time);
    settings.lag = read_delay(members, "lag_ms", settings.lag);
    settings.data_folder = members.string("data_folder", "");
    settings.faults = read_faults(members);
    settings.log = read_log(members);
    check_group(members, settings);
    const status checked = members.finish();
    if (!ok(checked)) {
        return failure(checked);
    }
    return settings;
}

} // namespace primrosehead::standin
