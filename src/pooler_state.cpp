#include "pooler_state.h"

#include <primrosehead/config.h>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace primrosehead::pooler {

namespace {

void add_query(setup_queries& target, const line_dialect& dialect, std::string_view text)
{
    fmt::format_to(std::back_inserter(target.queries), "{} - {}\r\n", dialect.query, text);
    ++target.count;
}

// True when the connection holds a value that the session never set, or as many prepared statements
// as it may. Single values and statements can't be removed; DISCARD removes all of them.
bool needs_discard(const pooled_connection& connection, const session_context& session,
                   const prepared_statement* needed)
{
    const bool has_unset_value =
        std::any_of(connection.values.begin(), connection.values.end(),
                    [&](const auto& item) { return !session.values.contains(item.first); });
    const bool is_statement_limit_reached =
        needed != nullptr && connection.prepared.size() >= config::max_connection_statements &&
        !connection.prepared.contains(needed->pool_name);
    return has_unset_value || is_statement_limit_reached;
}

} // namespace

std::string pooled_statement_name(bool is_write, std::string_view shape)
{
    // Collision-resistant, since clients choose the shapes.
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(shape.data()), shape.size(), digest.data());
    constexpr std::ptrdiff_t name_digest_bytes = 16;
    return fmt::format("{}{:02x}", is_write ? 'w' : 'r',
                       fmt::join(digest.begin(), digest.begin() + name_digest_bytes, ""));
}

setup_queries make_setup_queries(const pooled_connection& connection,
                                 const session_context& session, const prepared_statement* needed,
                                 bool in_transaction, const line_dialect& dialect)
{
    setup_queries setup;
    const bool discards = !in_transaction && needs_discard(connection, session, needed);
    if (discards) {
        add_query(setup, dialect, dialect.discard);
    }
    for (const auto& [name, value] : session.values) {
        const auto current = connection.values.find(name);
        if (discards || current == connection.values.end() || current->second != value) {
            add_query(setup, dialect, fmt::format("{} {} {}", dialect.set, name, value));
        }
    }
    if (needed != nullptr && (discards || !connection.prepared.contains(needed->pool_name))) {
        add_query(setup, dialect,
                  fmt::format("{} {} {} {}", dialect.prepare, needed->pool_name,
                              needed->is_write ? dialect.write : dialect.read, needed->shape));
    }
    return setup;
}

void record_setup(pooled_connection& connection, const session_context& session,
                  const prepared_statement* needed, bool in_transaction)
{
    if (!in_transaction && needs_discard(connection, session, needed)) {
        connection.prepared.clear();
    }
    connection.values = session.values;
    if (needed != nullptr) {
        connection.prepared.insert(needed->pool_name);
    }
}

bool all_succeeded(std::span<const line_answer> answers, std::size_t count, session_state state)
{
    return answers.size() >= count &&
           std::all_of(
               answers.begin(), answers.begin() + static_cast<std::ptrdiff_t>(count),
               [state](const line_answer& each) { return !each.is_error && each.state == state; });
}

} // namespace primrosehead::pooler
