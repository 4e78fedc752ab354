#include "document.h"

#include <fmt/format.h>

#include <set>
#include <utility>

namespace primrosehead {

namespace {

error invalid_document(std::string message, std::string remedy)
{
    return error{error_kind::bad_request, std::move(message), std::move(remedy)};
}

template <class Table, class Key>
auto find_or_null(const Table& table, const Key& key) -> decltype(table.begin()->second)
{
    const auto found = table.find(key);
    return found == table.end() ? nullptr : found->second;
}

} // namespace

status document::build_index()
{
    for (const document_group& group : content_.groups) {
        if (group.name.empty() || !groups_.emplace(group.name, &group).second) {
            return invalid_document(
                fmt::format("Service name \"{}\" is empty or used more than once.", group.name),
                "Give every service a unique name.");
        }
    }
    std::set<std::pair<std::string_view, std::string_view>> locations;
    for (const document_route& route : content_.routes) {
        if (!groups_.contains(route.group)) {
            return invalid_document(
                fmt::format("Route \"{}\" refers to the unknown service \"{}\".", route.name,
                            route.group),
                "Add the service or correct its name.");
        }
        if (route.statement_timeout <= clock::duration::zero()) {
            return invalid_document(
                fmt::format("Route \"{}\" has no statement timeout.", route.name),
                "Set a timeout above 0 ms.");
        }
        if (!locations.emplace(route.database, route.path_prefix).second) {
            return invalid_document(
                fmt::format("Two routes have the host \"{}\" and the path prefix \"{}\".",
                            route.database, route.path_prefix),
                "Remove one of them.");
        }
        routes_.emplace(route.database, &route);
    }
    for (const document_organisation& organisation : content_.organisations) {
        if (organisation.name.empty() ||
            !organisations_.emplace(organisation.name, &organisation).second) {
            return invalid_document(
                fmt::format("Organisation name \"{}\" is empty or used more than once.",
                            organisation.name),
                "Give every organisation a unique name.");
        }
        for (const std::string& key : organisation.keys) {
            const auto inserted = keys_.emplace(key, &organisation);
            if (!inserted.second && inserted.first->second != &organisation) {
                return invalid_document(fmt::format("Organisations \"{}\" and \"{}\" share a key.",
                                                    inserted.first->second->name,
                                                    organisation.name),
                                        "Give each organisation its own keys.");
            }
        }
    }
    return std::monostate{};
}

result<std::shared_ptr<const document>> document::make(document_content content)
{
    // The indexes point into the content, so they are built after it was moved to its final place.
    std::shared_ptr<document> created(new document(std::move(content)));
    const status indexed = created->build_index();
    if (!ok(indexed)) {
        return failure(indexed);
    }
    return std::shared_ptr<const document>(std::move(created));
}

const document_route* document::route(std::string_view database) const
{
    return find_or_null(routes_, database);
}

const document_organisation* document::organisation_for_key(std::string_view key) const
{
    return find_or_null(keys_, key);
}

const document_group* document::group(std::string_view name) const
{
    return find_or_null(groups_, name);
}

const document_organisation* document::organisation(std::string_view name) const
{
    return find_or_null(organisations_, name);
}

region_set document::regions_for(const document_route& route,
                                 std::string_view organisation_name) const
{
    region_set regions;
    regions.restrict_to(route.allowed_regions);
    if (const document_organisation* const found = organisation(organisation_name)) {
        regions.restrict_to(found->allowed_regions);
    }
    return regions;
}

region_set document::regions_of_group(std::string_view group) const
{
    region_set regions;
    for (const document_route& route : content_.routes) {
        if (route.group == group) {
            regions.restrict_to(route.allowed_regions);
        }
    }
    return regions;
}

} // namespace primrosehead
