#include "ctl_environments.h"

#include "operator_diff.h"

#include <primrosehead/environment.h>

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <boost/json.hpp>

#include <charconv>
#include <iostream>
#include <optional>

ABSL_DECLARE_FLAG(std::string, base_version);
ABSL_DECLARE_FLAG(bool, json);

namespace primrosehead::ctl {

namespace json = boost::json;

namespace {

// Requests the record of an environment as JSON.
operator_outcome fetch_environment(const target& destination, std::string_view name)
{
    pb::operator_request request;
    request.set_show_environment(std::string(name));
    return send_request(destination, destination.control, request,
                        destination.request_id + "-show");
}

// Parses --base-version; returns nullopt if the flag is not given.
result<std::optional<std::uint64_t>> base_version_flag()
{
    const std::string text = absl::GetFlag(FLAGS_base_version);
    if (text.empty()) {
        return std::optional<std::uint64_t>();
    }
    std::uint64_t version = 0;
    const char* const end = text.data() + text.size();
    const auto [parse_end, code] = std::from_chars(text.data(), end, version);
    if (code != std::errc() || parse_end != end) {
        return error{error_kind::bad_request, "--base-version must be a number.",
                     "Use the version that primrosectl show prints.", ran::no,
                     clock::duration::zero()};
    }
    return std::optional(version);
}

// Returns the version to base a trial on: that of --base-version, or the current trial version.
result<std::uint64_t> trial_base(const target& destination, std::string_view name)
{
    const auto base_version = base_version_flag();
    if (!ok(base_version)) {
        return failure(base_version);
    }
    if (value(base_version)) {
        return *value(base_version);
    }
    const operator_outcome current = fetch_environment(destination, name);
    if (current.state != exchange_state::answered) {
        return error{error_kind::no_quorum, "The current trial version can't be read.",
                     "Retry, or pass --base-version.", ran::no, clock::duration::zero()};
    }
    return current.reply.ok() ? number_field(parse_object(current.reply.text()), "trial_version")
                              : 0;
}

void print_change(const document_change& change)
{
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json::serialize(json::object{
                         {"path", change.path}, {"before", change.before}, {"after", change.after}})
                  << '\n';
        return;
    }
    std::cout << change.path << ": " << (change.before.empty() ? "none" : change.before) << " -> "
              << (change.after.empty() ? "none" : change.after) << '\n';
}

} // namespace

int check_document(std::string_view path)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return print_error(failure(text));
    }
    const result<environment> parsed = parse_environment(value(text));
    if (!ok(parsed)) {
        return print_error(failure(parsed));
    }
    std::cout << "The document is valid: " << value(parsed).databases.size() << " databases, "
              << value(parsed).routes.size() << " routes, " << value(parsed).organisations.size()
              << " organisations.\n";
    return exit_success;
}

int store_trial(const target& destination, std::string_view name, std::string_view path)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return print_error(failure(text));
    }
    const result<environment> parsed = parse_environment(value(text));
    if (!ok(parsed)) {
        return print_error(failure(parsed));
    }
    const result<std::uint64_t> base = trial_base(destination, name);
    if (!ok(base)) {
        return print_error(failure(base),
                           failure(base).kind == error_kind::no_quorum ? exit_refused : exit_usage);
    }
    pb::command body;
    body.mutable_trial()->set_name(std::string(name));
    body.mutable_trial()->set_base_version(value(base));
    body.mutable_trial()->set_document(value(text));
    return submit_change(destination, body,
                         "Trial version " + std::to_string(value(base) + 1) + " of " +
                             std::string(name) + " is stored.");
}

int promote(const target& destination, std::string_view name)
{
    const auto base = base_version_flag();
    if (!ok(base)) {
        return print_error(failure(base));
    }
    if (!value(base)) {
        return print_error(
            exit_usage,
            "promote requires --base-version N, the trial version to promote (see show).");
    }
    pb::command body;
    body.mutable_promote()->set_name(std::string(name));
    body.mutable_promote()->set_base_version(*value(base));
    return submit_change(destination, body,
                         "Version " + std::to_string(*value(base)) + " of " + std::string(name) +
                             " is in production.");
}

int show(const target& destination, std::string_view name)
{
    const operator_outcome outcome = fetch_environment(destination, name);
    if (exit_code(outcome) != exit_success) {
        return print_outcome(destination, outcome, {});
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << outcome.reply.text() << '\n';
        return exit_success;
    }
    const json::object record = parse_object(outcome.reply.text());
    std::cout << "production: version " << number_field(record, "production_version") << '\n'
              << text_field(record, "production_document") << '\n'
              << "trial: version " << number_field(record, "trial_version") << '\n'
              << text_field(record, "trial_document") << '\n';
    return exit_success;
}

int diff(const target& destination, std::string_view name)
{
    const operator_outcome outcome = fetch_environment(destination, name);
    if (exit_code(outcome) != exit_success) {
        return print_outcome(destination, outcome, {});
    }
    const json::object record = parse_object(outcome.reply.text());
    const auto changes = diff_documents(text_field(record, "production_document"),
                                        text_field(record, "trial_document"));
    if (!ok(changes)) {
        return print_error(failure(changes));
    }
    std::cerr << "production version " << number_field(record, "production_version")
              << " -> trial version " << number_field(record, "trial_version") << ", "
              << value(changes).size() << " changes\n";
    for (const document_change& change : value(changes)) {
        print_change(change);
    }
    return exit_success;
}

} // namespace primrosehead::ctl
