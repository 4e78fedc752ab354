#include "entry_answer.h"

#include "primrosehead.pb.h"

#include <boost/json.hpp>

#include <string>

namespace primrosehead {

namespace json = boost::json;

namespace {

constexpr std::int64_t ms_per_second = 1'000;

void add_common_headers(http::response& response, std::string_view request_id)
{
    response.headers.push_back({"Primrose-Request-Id", std::string(request_id)});
}

} // namespace

unsigned http_status(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::bad_request:
    case error_kind::bad_token:
    case error_kind::bad_settings:
        return 400;
    case error_kind::unauthenticated:
        return 401;
    case error_kind::forbidden:
        return 403;
    case error_kind::unknown_database:
    case error_kind::unknown_route:
    case error_kind::unknown_transaction:
        return 404;
    case error_kind::session_write_lost:
    case error_kind::version_conflict:
        return 409;
    case error_kind::backend_refused:
        return 422;
    case error_kind::rate_limited:
        return 429;
    case error_kind::connection_lost:
    case error_kind::wrong_term:
        return 502;
    case error_kind::overloaded:
    case error_kind::no_primary:
    case error_kind::no_replica:
    case error_kind::behind:
    case error_kind::stale_keys:
    case error_kind::leaving:
    case error_kind::not_leader:
    case error_kind::no_quorum:
        return 503;
    case error_kind::timed_out:
        return 504;
    case error_kind::corrupt_storage:
    case error_kind::storage_failed:
    case error_kind::internal:
        break;
    }
    return 500;
}

http::response problem_response(const error& failure, std::string_view request_id)
{
    http::response response;
    response.status = http_status(failure.kind);
    response.content_type = "application/problem+json";
    response.headers.push_back(
        {std::string(problem_kind_header), std::string(to_string(failure.kind))});
    json::object body{{"kind", to_string(failure.kind)},
                      {"title", failure.message},
                      {"remedy", failure.remedy},
                      {"ran", to_string(failure.ran)},
                      {"request_id", request_id}};
    if (failure.retry_after.count() > 0) {
        body["retry_after_ms"] = failure.retry_after.count();
        const std::int64_t seconds =
            (failure.retry_after.count() + ms_per_second - 1) / ms_per_second;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.body = json::serialize(body);
    add_common_headers(response, request_id);
    return response;
}

http::response success_response(const pb::backend_reply& reply, std::string_view transaction,
                                std::string_view session_token, std::string_view request_id)
{
    http::response response;
    response.body = "{";
    if (!transaction.empty()) {
        response.body += "\"transaction\":\"" + std::string(transaction) + "\",";
    }
    if (!reply.result().empty()) {
        response.body += "\"result\":" + reply.result() + ",";
    }
    response.body += "\"term\":" + std::to_string(reply.at().term());
    response.body += ",\"position\":" + std::to_string(reply.at().index());
    response.body += ",\"served_by\":" + json::serialize(json::string(reply.server()));
    response.body += ",\"role\":" + json::serialize(json::string(reply.role())) + "}";
    response.headers.push_back({"Primrose-Session", std::string(session_token)});
    add_common_headers(response, request_id);
    return response;
}

} // namespace primrosehead
