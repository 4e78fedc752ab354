// Checks a published document before operators send it: what the system would reject, what can
// never take effect, and limits that contradict each other. Pure.
#pragma once

#include "document.h"

#include <primrosehead/error.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {

enum class finding_kind {
    invalid,       // the system would reject the document
    never_matches, // an entry without effect
    contradiction, // limits that can't be met together
};

struct document_finding {
    finding_kind kind = finding_kind::invalid;
    std::string place; // such as "$.routes[name].timeout_ms"
    std::string message;
};

// Names of the document's lists and fields, for places.
struct document_words {
    std::string_view version = "version";
    std::string_view routes = "routes";
    std::string_view groups = "groups";
    std::string_view organisations = "organisations";
    std::string_view database = "database";
    std::string_view path_prefix = "path_prefix";
    std::string_view group = "group";
    std::string_view statement_timeout = "statement_timeout_ms";
    std::string_view latency_objective = "latency_objective_ms";
    std::string_view max_staleness = "max_staleness_ms";
    std::string_view connection_limit = "connection_limit";
    std::string_view keys = "keys";
    std::string_view rate = "rate";
    std::string_view burst = "burst";
};

// A document as far as it could be read, with findings about what could not.
struct document_draft {
    document_content content;
    std::vector<document_finding> findings;
    document_words words;
};

// Reads the operators' text. Fails if it is not a document at all. The format depends on the
// platform; see platform/.
using document_reader = std::function<result<document_draft>(std::string_view text)>;

struct document_check_options {
    std::uint32_t instances = 1; // pooler instances that share a server's connections
};

[[nodiscard]] std::string_view to_string(finding_kind kind) noexcept;

// Returns the draft's findings and those about its content, in the order of the document.
[[nodiscard]] std::vector<document_finding> check_document(const document_draft& draft,
                                                           document_check_options options);

// Returns a finding if `draft` can't replace the document in force.
[[nodiscard]] std::vector<document_finding> check_succession(const document_draft& draft,
                                                             const document_draft& in_force);

} // namespace primrosehead
