#include "settings_check.h"

#include "json_check.h"

#include <primrosehead/environment.h>

#include <arpa/inet.h>

#include <charconv>
#include <set>
#include <string>

namespace primrosehead {

namespace {

constexpr std::string_view tcp_scheme = "tcp://";
constexpr unsigned max_port = 65'535;
constexpr std::string_view address_remedy =
    "Write an IP number, a colon and a port, such as 127.0.0.1:7000.";

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

bool is_ip_number(std::string_view host)
{
    unsigned char bytes[sizeof(in6_addr)];
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const std::string unbracketed(host.substr(1, host.size() - 2));
        return inet_pton(AF_INET6, unbracketed.c_str(), bytes) == 1;
    }
    return inet_pton(AF_INET, std::string(host).c_str(), bytes) == 1;
}

bool is_port(std::string_view text, port_rule rule)
{
    unsigned port = 0;
    const char* const end = text.data() + text.size();
    const auto [parse_end, code] = std::from_chars(text.data(), end, port);
    if (text.empty() || code != std::errc() || parse_end != end || port > max_port) {
        return false;
    }
    return port != 0 || rule == port_rule::allow_any;
}

bool is_address(std::string_view address, port_rule rule)
{
    const std::size_t colon = address.rfind(':');
    return colon != std::string_view::npos && is_ip_number(address.substr(0, colon)) &&
           is_port(address.substr(colon + 1), rule);
}

// The first error of several checks.
status first_error(std::initializer_list<status> checks)
{
    for (const status& check : checks) {
        if (!ok(check)) {
            return check;
        }
    }
    return {};
}

std::string to_ms_text(clock::duration value)
{
    return std::to_string(value.count());
}

status check_own_endpoint(const control_settings& settings)
{
    for (std::size_t index = 0; index < settings.control.size(); ++index) {
        const control_address& address = settings.control[index];
        if (address.name == settings.instance && address.endpoint != settings.bus_endpoint) {
            return settings_error(item_path("$.control", index, "endpoint"),
                                  "this instance's bus_endpoint " + quoted(settings.bus_endpoint),
                                  quoted(address.endpoint), "Make the two the same.");
        }
    }
    return {};
}

status check_timing(const control_settings& settings)
{
    if (settings.heartbeat >= settings.election_min) {
        return settings_error("$.heartbeat_ms", "less than election_min_ms",
                              to_ms_text(settings.heartbeat),
                              "Lower it to a third of election_min_ms or less.");
    }
    if (settings.election_min >= settings.election_max) {
        return settings_error("$.election_max_ms", "more than election_min_ms",
                              to_ms_text(settings.election_max),
                              "Raise it to about twice election_min_ms.");
    }
    const clock::duration key_bound = policy_settings{}.key_bound;
    if (settings.write_lease >= key_bound) {
        return settings_error("$.write_lease_ms",
                              "less than the default key bound of " + to_ms_text(key_bound),
                              to_ms_text(settings.write_lease),
                              "Lower it: a failover waits this long for an unreachable instance.");
    }
    return {};
}

status check_log_settings(const log_settings& log)
{
    if (log.file.find('\0') != std::string::npos) {
        return settings_error("$.log.file", "a file path", "a zero byte", "Remove the zero byte.");
    }
    return {};
}

} // namespace

status check_address(std::string_view path, std::string_view address, port_rule rule)
{
    if (is_address(address, rule)) {
        return {};
    }
    return settings_error(path, "IP:PORT", quoted(address), address_remedy);
}

status check_endpoint(std::string_view path, std::string_view endpoint)
{
    if (endpoint.starts_with(tcp_scheme) &&
        is_address(endpoint.substr(tcp_scheme.size()), port_rule::fixed)) {
        return {};
    }
    return settings_error(path, "tcp://IP:PORT", quoted(endpoint),
                          "Write tcp://, an IP number, a colon and a port, such as "
                          "tcp://127.0.0.1:7100.");
}

status check_control_addresses(std::span<const control_address> control)
{
    std::set<std::string_view> names;
    std::set<std::string_view> endpoints;
    for (std::size_t index = 0; index < control.size(); ++index) {
        const control_address& address = control[index];
        const std::string name_path = item_path("$.control", index, "name");
        const std::string endpoint_path = item_path("$.control", index, "endpoint");
        status well_formed = first_error({check_name(name_path, address.name.text()),
                                          check_endpoint(endpoint_path, address.endpoint)});
        if (!ok(well_formed)) {
            return well_formed;
        }
        if (!names.insert(address.name.text()).second) {
            return settings_error(name_path, "a name used once",
                                  quoted(address.name.text()) + " a second time",
                                  "Rename or remove one of the two.");
        }
        if (!endpoints.insert(address.endpoint).second) {
            return settings_error(endpoint_path, "an endpoint used once",
                                  quoted(address.endpoint) + " a second time",
                                  "Give each control instance its own endpoint.");
        }
    }
    return {};
}

status check_entry_settings(const entry_settings& settings)
{
    status outcome = first_error(
        {check_name("$.cell", settings.cell.text()),
         check_name("$.instance", settings.instance.text()),
         check_name("$.failure_domain", settings.failure_domain.text()),
         check_name("$.environment", settings.environment),
         check_address("$.listen", settings.listen, port_rule::allow_any),
         check_address("$.announce_listen", settings.announce_listen, port_rule::allow_any),
         check_endpoint("$.bus_endpoint", settings.bus_endpoint),
         check_control_addresses(settings.control), check_log_settings(settings.log)});
    if (!ok(outcome)) {
        return outcome;
    }
    if (settings.listen == settings.announce_listen && !settings.listen.ends_with(":0")) {
        return settings_error("$.announce_listen", "another address than $.listen",
                              quoted(settings.announce_listen), "Give it a port of its own.");
    }
    return {};
}

status check_control_settings(const control_settings& settings)
{
    return first_error({check_name("$.cell", settings.cell.text()),
                        check_name("$.instance", settings.instance.text()),
                        check_name("$.failure_domain", settings.failure_domain.text()),
                        check_name("$.environment", settings.environment),
                        check_endpoint("$.bus_endpoint", settings.bus_endpoint),
                        check_control_addresses(settings.control), check_own_endpoint(settings),
                        check_timing(settings), check_log_settings(settings.log)});
}

} // namespace primrosehead
