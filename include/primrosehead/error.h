// Typed errors, and result types that hold a value or an error.
#pragma once

#include <primrosehead/clock.h>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace primrosehead {

// What went wrong. docs/API.md lists the HTTP status of each kind.
enum class error_kind {
    bad_request,         // malformed, oversized or truncated input
    bad_settings,        // invalid settings or environment document
    bad_token,           // session token not issued by this system
    unauthenticated,     // missing or invalid key
    forbidden,           // key of another organisation
    unknown_database,    // no such database in the environment
    unknown_route,       // no such route in the environment
    unknown_transaction, // transaction ended or never existed
    rate_limited,        // organisation exceeded its rate and burst
    overloaded,          // request could not leave the queue before its deadline
    no_primary,          // no primary in the current term at present
    no_replica,          // no server can serve this read at present
    behind,              // server has not reached the required position
    session_write_lost,  // a promotion lost a write observed by this session
    stale_keys,          // key table not confirmed within its maximum age
    timed_out,           // deadline passed
    connection_lost,     // connection broke during the request
    wrong_term,          // server is in a different term
    backend_refused,     // statement rejected by the database
    leaving,             // instance is shutting down
    version_conflict,    // change based on an outdated version
    not_leader,          // control instance is not the leader
    no_quorum,           // control cannot reach a majority
    corrupt_storage,     // damaged file in the data folder
    storage_failed,      // a read or write on the disk failed
    internal,            // a bug in this program
};

// Whether the request may have run: `no` if it certainly has not changed a database.
enum class ran { no, unknown };

// A failure: its cause, what the reader can do about it, and when to retry.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;
    enum ran ran = ran::no;
    clock::duration retry_after{0}; // zero: a retry does not help
};

[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(ran value) noexcept;

// Returns the kind with this name, as `to_string` gives it; `error_kind::internal` for an unknown
// name.
[[nodiscard]] error_kind parse_error_kind(std::string_view name) noexcept;

// Returns "kind: message remedy", for logs and command line output.
[[nodiscard]] std::string describe(const error& failure);

// Either a value or an error.
template <class Value>
using result = std::variant<Value, error>;

// A result without a value.
using status = result<std::monostate>;

template <class Value>
[[nodiscard]] constexpr bool ok(const result<Value>& outcome) noexcept
{
    return outcome.index() == 0;
}

template <class Value>
[[nodiscard]] constexpr Value& value(result<Value>& outcome)
{
    return std::get<0>(outcome);
}

template <class Value>
[[nodiscard]] constexpr const Value& value(const result<Value>& outcome)
{
    return std::get<0>(outcome);
}

template <class Value>
[[nodiscard]] constexpr Value&& value(result<Value>&& outcome)
{
    return std::get<0>(std::move(outcome));
}

template <class Value>
[[nodiscard]] constexpr const error& failure(const result<Value>& outcome)
{
    return std::get<1>(outcome);
}

} // namespace primrosehead
