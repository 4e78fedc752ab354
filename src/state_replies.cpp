#include "state_replies.h"

#include <string>

namespace primrosehead {

pb::operator_reply accepted_reply(std::uint64_t version)
{
    pb::operator_reply reply;
    reply.set_ok(true);
    reply.set_version(version);
    return reply;
}

pb::operator_reply rejected_reply(const error& cause, std::uint64_t version)
{
    pb::operator_reply reply;
    *reply.mutable_error() = to_request_error(cause);
    reply.set_version(version);
    return reply;
}

pb::operator_reply rejected_reply(error_kind kind, std::string_view message,
                                  std::string_view remedy, std::uint64_t version)
{
    error cause;
    cause.kind = kind;
    cause.message = message;
    cause.remedy = remedy;
    return rejected_reply(cause, version);
}

pb::request_error to_request_error(const error& failure)
{
    pb::request_error message;
    message.set_kind(std::string(to_string(failure.kind)));
    message.set_message(failure.message);
    message.set_remedy(failure.remedy);
    message.set_ran(std::string(to_string(failure.ran)));
    message.set_retry_after_ms(static_cast<std::uint32_t>(failure.retry_after.count()));
    return message;
}

error to_error(const pb::request_error& message)
{
    error made;
    made.kind = parse_error_kind(message.kind());
    made.message = message.message();
    made.remedy = message.remedy();
    made.ran = message.ran() == to_string(ran::no) ? ran::no : ran::unknown;
    made.retry_after = clock::duration(message.retry_after_ms());
    return made;
}

} // namespace primrosehead
