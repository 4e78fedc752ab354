#include "environment_check.h"
#include "environment_schema.h"
#include "json_check.h"

#include <primrosehead/config.h>
#include <primrosehead/environment.h>

#include <boost/json.hpp>

#include <string>

namespace primrosehead {

namespace json = boost::json;

namespace {

const json_schema& schema()
{
    static const json_schema compiled{environment_schema_text};
    return compiled;
}

database_settings read_database(const json::object& from)
{
    database_settings database;
    database.name = database_name(text_field(from, "name"));
    if (text_field(from, "durability") == "primary") {
        database.durability = durability::primary;
    }
    return database;
}

route_settings read_route(const json::object& from)
{
    route_settings route;
    route.name = route_name(text_field(from, "name"));
    route.database = database_name(text_field(from, "database"));
    route.access = text_field(from, "access") == "write" ? access::write : access::read;
    read_field(from, "open", route.open);
    read_field(from, "repeatable", route.repeatable);
    read_field(from, "max_age_ms", route.max_age);
    read_field(from, "timeout_ms", route.timeout);
    for (const json::value& organisation : array_field(from, "organisations")) {
        route.organisations.emplace_back(std::string_view(organisation.as_string()));
    }
    return route;
}

organisation_settings read_organisation(const json::object& from)
{
    organisation_settings organisation;
    organisation.name = organisation_name(text_field(from, "name"));
    read_field(from, "rate", organisation.rate);
    read_field(from, "burst", organisation.burst);
    read_field(from, "weight", organisation.weight);
    return organisation;
}

policy_settings read_policies(const json::object& from)
{
    policy_settings policies;
    read_field(from, "key_bound_ms", policies.key_bound);
    read_field(from, "floor_share", policies.floor_share);
    read_field(from, "replica_reads", policies.replica_reads);
    read_field(from, "retry_share", policies.retry_share);
    read_field(from, "failure_after_ms", policies.failure_after);
    if (text_field(from, "limits") == "static_split") {
        policies.limits = limit_policy::static_split;
    }
    if (text_field(from, "choice") == "round_robin") {
        policies.choice = choice_policy::round_robin;
    }
    return policies;
}

environment read_environment(const json::object& from)
{
    environment made;
    for (const json::value& item : array_field(from, "databases")) {
        made.databases.push_back(read_database(item.as_object()));
    }
    for (const json::value& item : array_field(from, "routes")) {
        made.routes.push_back(read_route(item.as_object()));
    }
    for (const json::value& item : array_field(from, "organisations")) {
        made.organisations.push_back(read_organisation(item.as_object()));
    }
    if (const json::value* policies = from.if_contains("policies")) {
        made.policies = read_policies(policies->as_object());
    }
    return made;
}

} // namespace

result<environment> parse_environment(std::string_view document)
{
    if (document.size() > config::max_document_bytes) {
        return settings_error(
            "$", "at most " + std::to_string(config::max_document_bytes) + " bytes",
            std::to_string(document.size()) + " bytes", "Split the environment in two.");
    }
    const result<json::value> checked = schema().read(document);
    if (!ok(checked)) {
        return failure(checked);
    }
    environment made = read_environment(value(checked).as_object());
    const status consistent = check_environment(made);
    if (!ok(consistent)) {
        return failure(consistent);
    }
    return made;
}

} // namespace primrosehead
