#include <primrosehead/error.h>

#include <array>

namespace primrosehead {

namespace {

struct kind_name {
    error_kind kind;
    std::string_view name;
};

constexpr std::array kind_names{
    kind_name{error_kind::bad_request, "bad_request"},
    kind_name{error_kind::bad_settings, "bad_settings"},
    kind_name{error_kind::bad_token, "bad_token"},
    kind_name{error_kind::unauthenticated, "unauthenticated"},
    kind_name{error_kind::forbidden, "forbidden"},
    kind_name{error_kind::unknown_database, "unknown_database"},
    kind_name{error_kind::unknown_route, "unknown_route"},
    kind_name{error_kind::unknown_transaction, "unknown_transaction"},
    kind_name{error_kind::rate_limited, "rate_limited"},
    kind_name{error_kind::overloaded, "overloaded"},
    kind_name{error_kind::no_primary, "no_primary"},
    kind_name{error_kind::no_replica, "no_replica"},
    kind_name{error_kind::behind, "behind"},
    kind_name{error_kind::session_write_lost, "session_write_lost"},
    kind_name{error_kind::stale_keys, "stale_keys"},
    kind_name{error_kind::timed_out, "timed_out"},
    kind_name{error_kind::connection_lost, "connection_lost"},
    kind_name{error_kind::wrong_term, "wrong_term"},
    kind_name{error_kind::backend_refused, "backend_refused"},
    kind_name{error_kind::leaving, "leaving"},
    kind_name{error_kind::version_conflict, "version_conflict"},
    kind_name{error_kind::not_leader, "not_leader"},
    kind_name{error_kind::no_quorum, "no_quorum"},
    kind_name{error_kind::corrupt_storage, "corrupt_storage"},
    kind_name{error_kind::storage_failed, "storage_failed"},
    kind_name{error_kind::internal, "internal"},
};

} // namespace

std::string_view to_string(error_kind kind) noexcept
{
    for (const kind_name& candidate : kind_names) {
        if (candidate.kind == kind) {
            return candidate.name;
        }
    }
    return "internal";
}

std::string_view to_string(ran value) noexcept
{
    return value == ran::no ? "no" : "unknown";
}

error_kind parse_error_kind(std::string_view name) noexcept
{
    for (const kind_name& candidate : kind_names) {
        if (candidate.name == name) {
            return candidate.kind;
        }
    }
    return error_kind::internal;
}

std::string describe(const error& failure)
{
    std::string text(to_string(failure.kind));
    text += ": ";
    text += failure.message;
    if (!failure.remedy.empty()) {
        text += ' ';
        text += failure.remedy;
    }
    return text;
}

} // namespace primrosehead
