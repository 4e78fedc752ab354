#include "pooler_access.h"

#include "pooler_cause.h"
#include "pooler_context.h"
#include "pooler_execution.h"
#include "pooler_follower.h"

#include <primrosehead/clock.h>

#include <fmt/format.h>

#include <memory>
#include <string_view>

namespace primrosehead::pooler {

std::optional<line_answer> check_access(const context& ctx, const caller& from)
{
    const std::shared_ptr<const document>& snapshot = ctx.control.current_document();
    if (!ctx.control.is_confirmed(clock::now())) {
        return make_error_answer(
            answer_cause::unconfirmed, ctx.dialect.busy,
            "not run: this instance is cut off from control; use another instance");
    }
    const document_route* const route = snapshot->route(from.database);
    if (route == nullptr) {
        return make_error_answer(answer_cause::database, ctx.dialect.unknown_database,
                                 fmt::format("database {} does not exist", from.database));
    }
    if (!route->is_public && snapshot->organisation_for_key(from.key) == nullptr) {
        return make_error_answer(answer_cause::key, ctx.dialect.denied, "invalid key");
    }
    return std::nullopt;
}

std::optional<line_answer> check_right(const context& ctx, const operation& op)
{
    if (!op.from) {
        return std::nullopt;
    }
    std::optional<line_answer> refusal = check_access(ctx, *op.from);
    if (refusal) {
        return refusal;
    }
    const document_organisation* const holder =
        ctx.control.current_document()->organisation_for_key(op.from->key);
    const std::string_view name = holder == nullptr ? std::string_view() : holder->name;
    if (name == op.organisation) {
        return std::nullopt;
    }
    return make_error_answer(answer_cause::key, ctx.dialect.aborted,
                             "not run: the key was given to another organisation; begin again");
}

} // namespace primrosehead::pooler
