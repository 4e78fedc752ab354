#include "document_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace primrosehead {

namespace {

class checker {
  public:
    checker(const document_draft& draft, document_check_options options)
        : content_(draft.content), words_(draft.words), options_(options), findings_(draft.findings)
    {
    }

    std::vector<document_finding> run()
    {
        check_routes();
        check_groups();
        check_organisations();
        return std::move(findings_);
    }

  private:
    void add(finding_kind kind, std::string_view list, std::string_view item,
             std::string_view field, std::string message)
    {
        std::string place = fmt::format("$.{}[{}]", list, item);
        if (!field.empty()) {
            place += fmt::format(".{}", field);
        }
        findings_.push_back({kind, std::move(place), std::move(message)});
    }

    void check_routes()
    {
        std::set<std::string_view> names;
        std::set<std::pair<std::string_view, std::string_view>> locations;
        std::map<std::string_view, std::string_view> first_by_database;
        for (const document_route& route : content_.routes) {
            if (!names.insert(route.name).second) {
                add(finding_kind::invalid, words_.routes, route.name, {},
                    "Another route has this name.");
            }
            const auto [first, is_first] = first_by_database.emplace(route.database, route.name);
            if (!locations.emplace(route.database, route.path_prefix).second) {
                add(finding_kind::invalid, words_.routes, route.name, words_.path_prefix,
                    fmt::format("Route \"{}\" has the same {} and {}.", first->second,
                                words_.database, words_.path_prefix));
            }
            else if (!is_first) {
                add(finding_kind::never_matches, words_.routes, route.name, words_.database,
                    fmt::format("Callers name only the {}, so route \"{}\" hides this one.",
                                words_.database, first->second));
            }
            check_route(route);
        }
    }

    void check_route(const document_route& route)
    {
        const auto has_name = [&](const document_group& group) {
            return group.name == route.group;
        };
        if (std::ranges::none_of(content_.groups, has_name)) {
            add(finding_kind::invalid, words_.routes, route.name, words_.group,
                fmt::format("There is no \"{}\" in {}.", route.group, words_.groups));
        }
        if (route.statement_timeout <= clock::duration::zero()) {
            add(finding_kind::invalid, words_.routes, route.name, words_.statement_timeout,
                "The timeout must be above 0 ms.");
        }
        else if (route.statement_timeout < route.latency_objective) {
            add(finding_kind::contradiction, words_.routes, route.name, words_.statement_timeout,
                fmt::format("Statements end after {} ms, before the objective of {} ms.",
                            route.statement_timeout.count(), route.latency_objective.count()));
        }
        if (route.latency_objective <= clock::duration::zero()) {
            add(finding_kind::contradiction, words_.routes, route.name, words_.latency_objective,
                "No operation can meet an objective of 0 ms.");
        }
        if (route.consistency == route_consistency::bounded_staleness &&
            route.max_staleness <= clock::duration::zero()) {
            add(finding_kind::contradiction, words_.routes, route.name, words_.max_staleness,
                "This type of route needs a maximum staleness above 0 ms.");
        }
    }

    void check_groups()
    {
        std::set<std::string_view> names;
        for (const document_group& group : content_.groups) {
            if (group.name.empty() || !names.insert(group.name).second) {
                add(finding_kind::invalid, words_.groups, group.name, {},
                    "The name is empty or used more than once.");
            }
            const auto leads_here = [&](const document_route& route) {
                return route.group == group.name;
            };
            if (std::ranges::none_of(content_.routes, leads_here)) {
                add(finding_kind::never_matches, words_.groups, group.name, {},
                    "No route leads here.");
            }
            else if (group.connection_limit < std::max(1U, options_.instances)) {
                add(finding_kind::contradiction, words_.groups, group.name, words_.connection_limit,
                    fmt::format("{} connections per server for {} instances.",
                                group.connection_limit, options_.instances));
            }
        }
    }

    void check_organisations()
    {
        const bool has_route = std::ranges::any_of(
            content_.routes, [](const document_route& route) { return !route.is_public; });
        std::set<std::string_view> names;
        std::map<std::string_view, std::string_view> owners;
        for (const document_organisation& organisation : content_.organisations) {
            if (organisation.name.empty() || !names.insert(organisation.name).second) {
                add(finding_kind::invalid, words_.organisations, organisation.name, {},
                    "The name is empty or used more than once.");
            }
            if (!has_route) {
                add(finding_kind::never_matches, words_.organisations, organisation.name, {},
                    "No route asks for a key.");
            }
            check_keys(organisation, owners);
            check_limits(organisation);
        }
    }

    void check_keys(const document_organisation& organisation,
                    std::map<std::string_view, std::string_view>& owners)
    {
        if (organisation.keys.empty()) {
            add(finding_kind::never_matches, words_.organisations, organisation.name, words_.keys,
                "Without a key no caller belongs to it.");
        }
        // Keys are secrets: findings name their holders only.
        for (const std::string& key : organisation.keys) {
            const auto [owner, is_new] = owners.emplace(key, organisation.name);
            if (is_new) {
                continue;
            }
            const bool is_own = owner->second == organisation.name;
            add(is_own ? finding_kind::never_matches : finding_kind::invalid, words_.organisations,
                organisation.name, words_.keys,
                is_own ? std::string("A key is listed more than once.")
                       : fmt::format("\"{}\" has one of these keys too.", owner->second));
        }
    }

    void check_limits(const document_organisation& organisation)
    {
        if (organisation.rate <= 0) {
            add(finding_kind::contradiction, words_.organisations, organisation.name, words_.rate,
                "With a rate of 0 no operation is admitted after the burst.");
        }
        if (organisation.burst < 1) {
            add(finding_kind::contradiction, words_.organisations, organisation.name, words_.burst,
                "A burst under one operation admits none.");
        }
    }

    const document_content& content_;
    const document_words& words_;
    document_check_options options_;
    std::vector<document_finding> findings_;
};

} // namespace

std::string_view to_string(finding_kind kind) noexcept
{
    switch (kind) {
    case finding_kind::invalid:
        return "invalid";
    case finding_kind::never_matches:
        return "never_matches";
    case finding_kind::contradiction:
        return "contradiction";
    }
    return "";
}

std::vector<document_finding> check_document(const document_draft& draft,
                                             document_check_options options)
{
    return checker(draft, options).run();
}

std::vector<document_finding> check_succession(const document_draft& draft,
                                               const document_draft& in_force)
{
    if (draft.content.version > in_force.content.version) {
        return {};
    }
    return {{finding_kind::invalid, fmt::format("$.{}", draft.words.version),
             fmt::format("Version {} is not above version {}, which is in force.",
                         draft.content.version, in_force.content.version)}};
}

} // namespace primrosehead
