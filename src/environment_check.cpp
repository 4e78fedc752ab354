#include "environment_check.h"

#include "json_check.h"

#include <set>
#include <string>

namespace primrosehead {

namespace {

std::string quoted(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

// Checks the names of one section: well formed, and each there once.
template <class Settings>
status check_names(const std::vector<Settings>& section, std::string_view path)
{
    std::set<std::string_view> seen;
    for (std::size_t index = 0; index < section.size(); ++index) {
        const std::string& name = section[index].name.text();
        const std::string name_path = item_path(path, index, "name");
        status well_formed = check_name(name_path, name);
        if (!ok(well_formed)) {
            return well_formed;
        }
        if (!seen.insert(name).second) {
            return settings_error(name_path, "a name used once", quoted(name) + " a second time",
                                  "Rename or remove one of the two.");
        }
    }
    return {};
}

status check_route_database(const environment& subject, const route_settings& route,
                            std::size_t index)
{
    if (subject.find(route.database) != nullptr) {
        return {};
    }
    return settings_error(item_path("$.routes", index, "database"),
                          "the name of one of $.databases", quoted(route.database.text()),
                          "Add the database to $.databases or name one that is there.");
}

status check_route_organisations(const environment& subject, const route_settings& route,
                                 std::size_t index)
{
    const std::string list = item_path("$.routes", index, "organisations");
    if (route.open && !route.organisations.empty()) {
        return settings_error(list, "no list on a route open to all", "a list",
                              "Remove the list, or set \"open\" to false.");
    }
    std::set<organisation_name> seen;
    for (std::size_t position = 0; position < route.organisations.size(); ++position) {
        const organisation_name& organisation = route.organisations[position];
        if (subject.find(organisation) == nullptr) {
            return settings_error(item_path(list, position), "the name of one of $.organisations",
                                  quoted(organisation.text()),
                                  "Add it to $.organisations or name one that is there.");
        }
        if (!seen.insert(organisation).second) {
            return settings_error(item_path(list, position), "a name used once",
                                  quoted(organisation.text()) + " a second time",
                                  "Remove one of the two.");
        }
    }
    return {};
}

status check_route_access(const route_settings& route, std::size_t index)
{
    if (route.access == access::write && route.max_age.count() > 0) {
        return settings_error(item_path("$.routes", index, "max_age_ms"), "0 on a write route",
                              std::to_string(route.max_age.count()),
                              "Remove it: only reads accept data of an age.");
    }
    return {};
}

status check_route(const environment& subject, std::size_t index)
{
    const route_settings& route = subject.routes[index];
    status outcome = check_route_database(subject, route, index);
    if (ok(outcome)) {
        outcome = check_route_organisations(subject, route, index);
    }
    if (ok(outcome)) {
        outcome = check_route_access(route, index);
    }
    return outcome;
}

status check_policies(const policy_settings& policies)
{
    if (policies.failure_after >= policies.key_bound) {
        return settings_error("$.policies.failure_after_ms", "less than key_bound_ms",
                              std::to_string(policies.failure_after.count()),
                              "Lower it, or raise key_bound_ms.");
    }
    return {};
}

} // namespace

status check_environment(const environment& subject)
{
    for (const status& names :
         {check_names(subject.databases, "$.databases"), check_names(subject.routes, "$.routes"),
          check_names(subject.organisations, "$.organisations")}) {
        if (!ok(names)) {
            return names;
        }
    }
    for (std::size_t index = 0; index < subject.routes.size(); ++index) {
        status route = check_route(subject, index);
        if (!ok(route)) {
            return route;
        }
    }
    return check_policies(subject.policies);
}

} // namespace primrosehead
