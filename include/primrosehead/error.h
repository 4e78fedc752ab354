// Typed errors, and the results that carry them.
#pragma once

#include <primrosehead/clock.h>

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace primrosehead {

// What went wrong. docs/API.md lists the HTTP status of each kind.
enum class error_kind {
    bad_request,         // malformed, oversized or half-sent input
    bad_settings,        // settings or environment document refused
    bad_token,           // session token not made by this system
    unauthenticated,     // no key, or not a valid one
    forbidden,           // key of another organisation
    unknown_database,    // no such database in the environment
    unknown_route,       // no such route in the environment
    unknown_transaction, // transaction ended or never was
    rate_limited,        // organisation above its rate and burst
    overloaded,          // queue would not reach this request before its deadline
    no_primary,          // no primary holds the term just now
    no_replica,          // no server can serve this read just now
    behind,              // server has not reached the required position
    session_write_lost,  // a promotion lost a write that this session saw
    stale_keys,          // key table not confirmed within its bound
    timed_out,           // deadline passed
    connection_lost,     // link broke while the request ran
    wrong_term,          // server is in another term
    backend_refused,     // statement refused by the database
    leaving,             // instance is stopping
    version_conflict,    // change based on an old version
    not_leader,          // control instance is not the leader
    no_quorum,           // control cannot reach a majority
    corrupt_storage,     // damaged file in the data folder
    storage_failed,      // the disk refused a read or write
    internal,            // a fault of this program
};

// Whether the request may have changed a database.
enum class ran { no, unknown };

// A failure with its cause in words, what the reader can do about it, and when to come back.
struct error {
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;
    enum ran ran = ran::no;
    clock::duration retry_after{0}; // zero: trying again does not help
};

[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(ran value) noexcept;

// The kind that `to_string` names; `error_kind::internal` for an unknown name.
[[nodiscard]] error_kind parse_error_kind(std::string_view name) noexcept;

// "kind: message remedy", for logs and command lines.
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
