// The operators' published document: routes, database groups, and organisations with their keys.
// Immutable. Pure.
#pragma once

#include "document_regions.h"

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrosehead {

// Consistency of the reads on a route.
enum class route_consistency {
    latest,            // reads see every write acknowledged before them
    bounded_staleness, // reads may miss writes younger than `max_staleness`
    read_your_writes,  // as above, but reads see all writes of their own session
};

struct document_route {
    std::string name;
    std::string database; // the name that callers connect to
    std::string path_prefix;
    std::string group; // whose servers run the statements
    route_consistency consistency = route_consistency::latest;
    clock::duration statement_timeout{1'000};
    clock::duration latency_objective{500};   // of an operation, including waits and retries
    clock::duration max_staleness{0};         // of reads, unless the route is `latest`
    std::uint32_t priority = 0;               // 0 is the highest
    bool is_public = false;                   // callers need no API key
    std::vector<std::string> allowed_regions; // empty: all
};

struct document_group {
    std::string name;
    std::uint32_t connection_limit = 0; // per server, over all instances
    // A commit is acknowledged once a replica has received it.
    bool commits_wait_for_replica = false;
    clock::duration warm_up_time{0}; // of a server that has not announced how long it takes
    double warm_up_per_s = 0;        // requests to a cold server, over all instances; 0: no limit
};

struct document_organisation {
    std::string name;
    std::vector<std::string> keys;
    double rate = 0;                          // operations per second
    double burst = 0;                         // operations
    std::vector<std::string> allowed_regions; // empty: all
};

struct document_content {
    std::uint64_t version = 0;
    std::vector<document_route> routes;
    std::vector<document_group> groups;
    std::vector<document_organisation> organisations;
    clock::duration idle_transaction_timeout{3'000};
};

class document {
  public:
    // Fails with `error_kind::bad_request` if the document is inconsistent: an empty or duplicate
    // name, an unknown group, a duplicate route, a key of two organisations, or a route without
    // statement timeout.
    [[nodiscard]] static result<std::shared_ptr<const document>> make(document_content content);

    [[nodiscard]] std::uint64_t version() const noexcept { return content_.version; }
    [[nodiscard]] const document_content& content() const noexcept { return content_; }

    // These return null if there is no such item.
    [[nodiscard]] const document_route* route(std::string_view database) const;
    [[nodiscard]] const document_organisation* organisation_for_key(std::string_view key) const;
    [[nodiscard]] const document_group* group(std::string_view name) const;
    [[nodiscard]] const document_organisation* organisation(std::string_view name) const;

    // Returns the regions in which operations of the route by the organisation may run.
    [[nodiscard]] region_set regions_for(const document_route& route,
                                         std::string_view organisation) const;
    // Returns the regions that all routes of the group allow.
    [[nodiscard]] region_set regions_of_group(std::string_view group) const;

  private:
    explicit document(document_content content) : content_(std::move(content)) {}
    [[nodiscard]] status build_index();

    document_content content_;
    std::unordered_map<std::string_view, const document_route*> routes_;
    std::unordered_map<std::string_view, const document_organisation*> keys_;
    std::unordered_map<std::string_view, const document_group*> groups_;
    std::unordered_map<std::string_view, const document_organisation*> organisations_;
};

// Parses the operators' text. The format depends on the platform; see platform/.
using document_parser =
    std::function<result<std::shared_ptr<const document>>(std::string_view text)>;

} // namespace primrosehead
