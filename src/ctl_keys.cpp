#include "ctl_keys.h"

#include <primrosehead/keys.h>

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <iostream>

ABSL_DECLARE_FLAG(bool, json);

namespace primrosehead::ctl {

namespace json = boost::json;

int issue_key(const target& destination, std::string_view organisation)
{
    const result<issued_key> key = make_key(organisation_name(organisation), system_random);
    if (!ok(key)) {
        return print_error(failure(key), exit_refused);
    }
    pb::operator_request request;
    *request.mutable_change()->mutable_issue()->mutable_key() = value(key).record;
    const operator_outcome outcome = send_to_control(destination, request);
    const int code = exit_code(outcome);
    if (code == exit_unknown) {
        return print_error(
            code, "The outcome is unknown: no reply arrived before the timeout. Withdraw key " +
                      value(key).record.key_id() + " and issue a new one.");
    }
    if (code != exit_success) {
        return print_outcome(destination, outcome, {});
    }
    if (absl::GetFlag(FLAGS_json)) {
        json::object object = outcome_json(destination, outcome);
        object["key_id"] = value(key).record.key_id();
        object["organisation"] = organisation;
        object["key"] = value(key).text;
        std::cout << json::serialize(object) << '\n';
    }
    else {
        std::cout << value(key).text << '\n';
    }
    return code;
}

int withdraw_key(const target& destination, std::string_view key_id)
{
    pb::command body;
    body.mutable_withdraw()->set_key_id(std::string(key_id));
    return submit_change(destination, body, "Key " + std::string(key_id) + " is withdrawn.");
}

} // namespace primrosehead::ctl
