#include "pooler_cause.h"

#include <utility>

namespace primrosehead::pooler {

line_answer make_error_answer(answer_cause cause, std::string_view code, std::string text)
{
    line_answer answer;
    answer.is_error = true;
    answer.code = code;
    answer.text = std::move(text);
    answer.cause = cause;
    return answer;
}

std::string_view to_string(answer_cause cause) noexcept
{
    switch (cause) {
    case answer_cause::server:
        return "server";
    case answer_cause::request:
        return "request";
    case answer_cause::key:
        return "key";
    case answer_cause::database:
        return "database";
    case answer_cause::unconfirmed:
        return "unconfirmed";
    case answer_cause::rate:
        return "rate";
    case answer_cause::crowded:
        return "crowded";
    case answer_cause::no_primary:
        return "no_primary";
    case answer_cause::no_server:
        return "no_server";
    case answer_cause::server_silent:
        return "server_silent";
    case answer_cause::overloaded:
        return "overloaded";
    case answer_cause::transaction:
        return "transaction";
    case answer_cause::region:
        return "region";
    case answer_cause::setup:
        return "setup";
    }
    return "server";
}

} // namespace primrosehead::pooler
