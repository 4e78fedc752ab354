// What an origin does after its call to a home ended, and what the caller is told. Pure.
//
// Only a call that certainly reached no server is repeated, except reads, which have no effect. A
// missing answer to a write or commit is `unknown`; a transaction whose commit was not sent keeps
// nothing.
#pragma once

#include <cstddef>
#include <string_view>

namespace primrosehead::pooler {

// Kinds of calls that differ in what a lost answer means.
enum class home_call_kind { read, write, first_statement, statement, commit };

// How a call ended.
enum class home_ending {
    answered,          // the server's answer to the statement
    refused_by_server, // not sent: the server refused to begin a transaction
    refused,           // not sent: the home's queue refused it
    leaving,           // not sent: the home is stopping
    unavailable,       // not sent: the home has no connection to the server
    lost,              // sent: the server did not answer
    invalid,           // not sent: the home refused the message
    silent,            // nothing is known: the home did not answer
};

inline constexpr std::size_t home_ending_count = 8;

enum class home_decision {
    use_answer,     // classify the server's answer as one of an own connection
    next_home,      // repeat the call at the server's next home
    next_server,    // repeat the operation, at another server if possible
    refuse,         // tell the caller: not run, with the home's time to retry
    answer_unknown, // tell the caller: may have taken effect
    answer_aborted, // tell the caller: rolled back
};

[[nodiscard]] home_decision decide_home_ending(home_call_kind kind, home_ending ending) noexcept;

// True if the call is given up once its home is silent. A write or commit waits for its answer
// until its deadline: the home may only be slow, and giving up makes the outcome unknown.
[[nodiscard]] constexpr bool ends_on_silence(home_call_kind kind) noexcept
{
    return kind != home_call_kind::write && kind != home_call_kind::commit;
}

// Names for logs.
[[nodiscard]] std::string_view to_string(home_call_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(home_ending ending) noexcept;

} // namespace primrosehead::pooler
