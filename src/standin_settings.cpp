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
    log_settings read;
    const boost::json::value* found = members.find("log");
    if (found == nullptr) {
        return read;
    }
    lab::object_reader part(*found, "$.log");
    read.level = part.string("level", read.level);
    read.format = part.string("format", read.format);
    read.file = part.string("file", "");
    if (!ok(part.finish())) {
        members.set_error("log", "an object with level, format and file");
    }
    return read;
}

database_faults read_faults(lab::object_reader& members)
{
    database_faults read;
    const boost::json::value* found = members.find("faults");
    if (found == nullptr) {
        return read;
    }
    lab::object_reader part(*found, "$.faults");
    read.forget_idempotency = part.boolean("forget_idempotency", false);
    read.mix_transactions = part.boolean("mix_transactions", false);
    read.ignore_terms = part.boolean("ignore_terms", false);
    read.unstable_snapshot = part.boolean("unstable_snapshot", false);
    if (!ok(part.finish())) {
        members.set_error("faults", "an object with known fault names and boolean values");
    }
    return read;
}

void check_group(lab::object_reader& members, const server_settings& read)
{
    const bool names_itself =
        std::any_of(read.group.begin(), read.group.end(),
                    [&](const peer_settings& peer) { return peer.server == read.server; });
    if (names_itself) {
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
    server_settings read;
    read.server = members.string("server");
    read.database = members.string("database");
    read.failure_domain = members.string("failure_domain");
    read.listen = members.string("listen");
    read.control_listen = members.string("control_listen", "");
    read.announce_urls = members.strings("announce_urls");
    members.objects("group", [&read](lab::object_reader& peer) {
        read.group.push_back(peer_settings{peer.string("server"), peer.string("url")});
    });
    read.slots = static_cast<std::uint32_t>(members.integer("slots", 1, max_slots, read.slots));
    read.connection_limit = static_cast<std::uint32_t>(
        members.integer("connection_limit", 1, max_connections, read.connection_limit));
    read.accept_delay = read_delay(members, "new_connection_ms", read.accept_delay);
    read.service_time = read_delay(members, "service_ms", read.service_time);
    read.lag = read_delay(members, "lag_ms", read.lag);
    read.data_folder = members.string("data_folder", "");
    read.faults = read_faults(members);
    read.log = read_log(members);
    check_group(members, read);
    const status checked = members.finish();
    if (!ok(checked)) {
        return failure(checked);
    }
    return read;
}

} // namespace primrosehead::standin
