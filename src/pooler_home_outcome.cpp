#include "pooler_home_outcome.h"

namespace primrosehead::pooler {

namespace {

// The transaction was open at the home: whatever happened, its commit was not sent.
home_decision decide_in_transaction(home_call_kind kind, home_ending ending) noexcept
{
    const bool may_have_committed = kind == home_call_kind::commit &&
                                    (ending == home_ending::lost || ending == home_ending::silent);
    return may_have_committed ? home_decision::answer_unknown : home_decision::answer_aborted;
}

} // namespace

home_decision decide_home_ending(home_call_kind kind, home_ending ending) noexcept
{
    if (ending == home_ending::answered) {
        return home_decision::use_answer;
    }
    if (kind == home_call_kind::statement || kind == home_call_kind::commit) {
        return decide_in_transaction(kind, ending);
    }
    switch (ending) {
    case home_ending::answered:
    case home_ending::refused_by_server:
        return home_decision::use_answer;
    case home_ending::refused:
        return home_decision::refuse;
    case home_ending::leaving:
    case home_ending::unavailable:
    case home_ending::invalid:
        return home_decision::next_home;
    case home_ending::lost:
    case home_ending::silent:
        break;
    }
    switch (kind) {
    case home_call_kind::read:
        return ending == home_ending::silent ? home_decision::next_home
                                             : home_decision::next_server;
    case home_call_kind::write:
        return home_decision::answer_unknown;
    case home_call_kind::first_statement:
    case home_call_kind::statement:
    case home_call_kind::commit:
        break;
    }
    return home_decision::answer_aborted;
}

std::string_view to_string(home_call_kind kind) noexcept
{
    switch (kind) {
    case home_call_kind::read:
        return "read";
    case home_call_kind::write:
        return "write";
    case home_call_kind::first_statement:
        return "first_statement";
    case home_call_kind::statement:
        return "statement";
    case home_call_kind::commit:
        break;
    }
    return "commit";
}

std::string_view to_string(home_ending ending) noexcept
{
    switch (ending) {
    case home_ending::answered:
        return "answered";
    case home_ending::refused_by_server:
        return "refused_by_server";
    case home_ending::refused:
        return "refused";
    case home_ending::leaving:
        return "leaving";
    case home_ending::unavailable:
        return "unavailable";
    case home_ending::lost:
        return "lost";
    case home_ending::invalid:
        return "invalid";
    case home_ending::silent:
        break;
    }
    return "silent";
}

} // namespace primrosehead::pooler
