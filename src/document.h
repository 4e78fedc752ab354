// The operators' published document as the pooler and the control leader use it: routes, database
// groups, organisations with their keys. Immutable once made. Pure.
#pragma once

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

// What a read on a route may miss.
enum class route_consistency {
    latest,            // nothing that was acknowledged before it
    bounded_staleness, // only what is younger than the bound
    read_your_writes,  // the same, and nothing of its own session
};

struct document_route {
    std::string name;
    std::string database; // what callers ask for
    std::string path_prefix;
    std::string group; // whose servers run it
    route_consistency consistency = route_consistency::latest;
    clock::duration statement_timeout{1'000};
    clock::duration latency_objective{500}; // of a whole operation
    clock::duration max_staleness{0};       // of reads that are not `latest`
    std::uint32_t priority = 0;             // 0 goes first
    bool is_public = false;                 // callers need no key
};

struct document_group {
    std::string name;
    std::uint32_t connection_limit = 0;    // a server, over all instances
    bool commits_wait_for_replica = false; // a commit is acknowledged once a replica received it
};

struct document_organisation {
    std::string name;
    std::vector<std::string> keys;
    double rate = 0;  // operations a second
    double burst = 0; // operations
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
    // Refuses a document that contradicts itself: an unknown group, a route twice, a key of two
    // organisations, no statement timeout.
    [[nodiscard]] static result<std::shared_ptr<const document>> make(document_content content);

    [[nodiscard]] std::uint64_t version() const noexcept { return content_.version; }
    [[nodiscard]] const document_content& content() const noexcept { return content_; }

    // Null when there is none.
    [[nodiscard]] const document_route* route(std::string_view database) const;
    [[nodiscard]] const document_organisation* organisation_for_key(std::string_view key) const;
    [[nodiscard]] const document_group* group(std::string_view name) const;
    [[nodiscard]] const document_organisation* organisation(std::string_view name) const;

  private:
    explicit document(document_content content) : content_(std::move(content)) {}
    [[nodiscard]] status build_index();

    document_content content_;
    std::unordered_map<std::string_view, const document_route*> routes_;
    std::unordered_map<std::string_view, const document_organisation*> keys_;
    std::unordered_map<std::string_view, const document_group*> groups_;
    std::unordered_map<std::string_view, const document_organisation*> organisations_;
};

// Reads the operators' text. Each platform has its format; see platform/.
using document_parser =
    std::function<result<std::shared_ptr<const document>>(std::string_view text)>;

} // namespace primrosehead
