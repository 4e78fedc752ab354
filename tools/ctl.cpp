// primrosectl: operators' command line. docs/OPERATIONS.md describes its use.
#include "operator_diff.h"
#include "operator_link.h"
#include "state_replies.h"

#include <primrosehead/environment.h>
#include <primrosehead/keys.h>
#include <primrosehead/settings.h>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/escaping.h>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>
#include <zmq.h>

ABSL_FLAG(std::string, config, "", "JSON file with cell, control and bus_key (docs/CONFIG.md)");
ABSL_FLAG(std::string, cell, "", "cell name, in place of --config");
ABSL_FLAG(std::vector<std::string>, control, {},
          "endpoints of control instances, tcp://IP:PORT,...");
ABSL_FLAG(std::vector<std::string>, entry, {},
          "endpoints of entry instances for drain and explain");
ABSL_FLAG(std::vector<std::string>, decision_log, {}, "decision log files for explain");
ABSL_FLAG(std::string, request_id, "", "id of the change; a resend with the same id runs once");
ABSL_FLAG(std::string, base_version, "", "version that the change is based on");
ABSL_FLAG(std::int64_t, timeout_ms, 10'000, "how long to try");
ABSL_FLAG(bool, json, false, "print JSON");

namespace {

using namespace primrosehead;
namespace json = boost::json;

constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unknown = 3;

constexpr std::string_view usage_text = R"(primrosectl [FLAGS] COMMAND

  check FILE                      checks an environment document
  trial NAME FILE                 stores a document as the environment's trial
  promote NAME --base-version N   makes trial version N the production document
  diff NAME                       what promoting would change
  show NAME                       both documents and their versions
  keys issue ORGANISATION         makes a key and prints it once
  keys withdraw KEY_ID            ends a key
  status                          leader, members, instances, servers, database groups
  drain INSTANCE                  an entry instance takes no new work and stops
  members add INSTANCE DISK_ID ENDPOINT
  members remove INSTANCE
  explain REQUEST_ID              the decisions made for a caller's request
  keygen                          a new bus key pair and session secret

Flags: --config FILE | --cell NAME --control ENDPOINT[,...]; --request-id ID, --base-version N,
--timeout-ms N, --json, --entry ENDPOINT[,...], --decision-log FILE[,...], --help, --version.
Exit codes: 0 done, 1 refused, 2 bad usage or settings, 3 outcome unknown.
)";

using arguments = std::span<const std::string_view>;

int complain(int code, std::string_view text)
{
    std::cerr << "primrosectl: " << text << '\n';
    return code;
}

int complain(const error& failed, int code = exit_usage)
{
    return complain(code, describe(failed));
}

int bad_usage()
{
    return complain(exit_usage, "Unknown command or wrong number of arguments. See --help.");
}

std::string random_hex(std::size_t size)
{
    std::string bytes(size, '\0');
    (void)system_random({reinterpret_cast<unsigned char*>(bytes.data()), size});
    return absl::BytesToHexString(bytes);
}

// Where to send requests, and under which id.
struct target {
    operator_settings settings;
    std::vector<std::string> control;
    std::string request_id;
    clock::duration limit{0};
};

result<operator_settings> read_settings()
{
    const std::string path = absl::GetFlag(FLAGS_config);
    if (!path.empty()) {
        const result<std::string> text = read_file(path);
        return ok(text) ? parse_operator_settings(value(text)) : failure(text);
    }
    json::array control;
    for (const std::string& endpoint : absl::GetFlag(FLAGS_control)) {
        const std::string name = "control-" + std::to_string(control.size() + 1);
        control.push_back(json::object{{"name", name}, {"endpoint", endpoint}});
    }
    const json::object settings{{"cell", absl::GetFlag(FLAGS_cell)}, {"control", control}};
    return parse_operator_settings(json::serialize(settings));
}

result<target> read_target()
{
    constexpr std::size_t request_id_bytes = 12;
    result<operator_settings> settings = read_settings();
    if (!ok(settings)) {
        return failure(settings);
    }
    target made;
    made.settings = value(std::move(settings));
    for (const control_address& address : made.settings.control) {
        made.control.push_back(address.endpoint);
    }
    made.request_id = absl::GetFlag(FLAGS_request_id);
    if (made.request_id.empty()) {
        made.request_id = "ctl-" + random_hex(request_id_bytes);
    }
    made.limit = clock::duration(absl::GetFlag(FLAGS_timeout_ms));
    return made;
}

operator_outcome unreachable(const error& failed)
{
    operator_outcome outcome;
    outcome.state = exchange_state::answered;
    outcome.reply = refused(failed);
    return outcome;
}

operator_outcome ask(const target& to, std::span<const std::string> endpoints,
                     pb::operator_request request, std::string_view request_id)
{
    exchange_timing timing;
    timing.limit = to.limit;
    result<operator_link> link = operator_link::open(to.settings.cell, to.settings.bus_key, timing);
    if (!ok(link)) {
        return unreachable(failure(link));
    }
    request.set_request_id(std::string(request_id));
    return value(link).ask(endpoints, request);
}

operator_outcome ask_control(const target& to, const pb::operator_request& request)
{
    return ask(to, to.control, request, to.request_id);
}

int exit_code(const operator_outcome& outcome)
{
    switch (outcome.state) {
    case exchange_state::answered:
        return outcome.reply.ok() ? exit_done : exit_refused;
    case exchange_state::not_run:
        return exit_refused;
    case exchange_state::under_way:
    case exchange_state::unknown:
        break;
    }
    return exit_unknown;
}

std::string outcome_text(const target& to, const operator_outcome& outcome)
{
    if (outcome.state == exchange_state::unknown) {
        return "The outcome is unknown: no answer came in time. Send it again with --request-id " +
               to.request_id + ": it runs at most once.";
    }
    if (outcome.state == exchange_state::not_run) {
        return "Not run: no control instance leads just now. Try again; see primrosectl status.";
    }
    return describe(from_message(outcome.reply.error()));
}

json::object outcome_json(const target& to, const operator_outcome& outcome)
{
    json::object shown{{"ok", exit_code(outcome) == exit_done},
                       {"request_id", to.request_id},
                       {"version", outcome.reply.version()}};
    if (exit_code(outcome) != exit_done) {
        shown["kind"] =
            outcome.state == exchange_state::unknown ? "unknown" : outcome.reply.error().kind();
        shown["message"] = outcome_text(to, outcome);
    }
    return shown;
}

// Prints the outcome of a change; `done` says what a success means.
int report(const target& to, const operator_outcome& outcome, const std::string& done)
{
    const int code = exit_code(outcome);
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json::serialize(outcome_json(to, outcome)) << '\n';
    }
    else if (code == exit_done) {
        std::cout << done << '\n';
    }
    return code == exit_done ? code : complain(code, outcome_text(to, outcome));
}

int change(const target& to, const pb::command& body, const std::string& done)
{
    pb::operator_request request;
    *request.mutable_change() = body;
    return report(to, ask_control(to, request), done);
}

// The record of an environment as JSON.
operator_outcome show_environment(const target& to, std::string_view name)
{
    pb::operator_request request;
    request.set_show_environment(std::string(name));
    return ask(to, to.control, request, to.request_id + "-show");
}

json::object parse_object(const std::string& text)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(text, code);
    return !code && parsed.is_object() ? parsed.as_object() : json::object();
}

std::uint64_t number_field(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    boost::system::error_code code;
    return found == nullptr ? 0 : found->to_number<std::uint64_t>(code);
}

std::string text_field(const json::object& from, std::string_view name)
{
    const json::value* found = from.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(std::string_view(found->as_string()))
               : std::string();
}

// --base-version; nothing when it is not given.
result<std::optional<std::uint64_t>> base_version_flag()
{
    const std::string text = absl::GetFlag(FLAGS_base_version);
    if (text.empty()) {
        return std::optional<std::uint64_t>();
    }
    std::uint64_t version = 0;
    const char* const end = text.data() + text.size();
    const auto [stopped, code] = std::from_chars(text.data(), end, version);
    if (code != std::errc() || stopped != end) {
        return error{error_kind::bad_request, "--base-version is not a number.",
                     "Give the version that primrosectl show names.", ran::no,
                     clock::duration::zero()};
    }
    return std::optional(version);
}

int check_document(std::string_view path)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return complain(failure(text));
    }
    const result<environment> parsed = parse_environment(value(text));
    if (!ok(parsed)) {
        return complain(failure(parsed));
    }
    std::cout << "The document is valid: " << value(parsed).databases.size() << " databases, "
              << value(parsed).routes.size() << " routes, " << value(parsed).organisations.size()
              << " organisations.\n";
    return exit_done;
}

// The version to base a trial on: the flag's, or the one that is shown now.
result<std::uint64_t> trial_base(const target& to, std::string_view name)
{
    const auto given = base_version_flag();
    if (!ok(given)) {
        return failure(given);
    }
    if (value(given)) {
        return *value(given);
    }
    const operator_outcome shown = show_environment(to, name);
    if (shown.state != exchange_state::answered) {
        return error{error_kind::no_quorum, "The present version can't be read.",
                     "Try again, or give --base-version.", ran::no, clock::duration::zero()};
    }
    return shown.reply.ok() ? number_field(parse_object(shown.reply.text()), "trial_version") : 0;
}

int store_trial(const target& to, std::string_view name, std::string_view path)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return complain(failure(text));
    }
    const result<environment> parsed = parse_environment(value(text));
    if (!ok(parsed)) {
        return complain(failure(parsed));
    }
    const result<std::uint64_t> base = trial_base(to, name);
    if (!ok(base)) {
        return complain(failure(base),
                        failure(base).kind == error_kind::no_quorum ? exit_refused : exit_usage);
    }
    pb::command body;
    body.mutable_trial()->set_name(std::string(name));
    body.mutable_trial()->set_base_version(value(base));
    body.mutable_trial()->set_document(value(text));
    return change(to, body,
                  "Trial version " + std::to_string(value(base) + 1) + " of " + std::string(name) +
                      " is stored.");
}

int promote(const target& to, std::string_view name)
{
    const auto base = base_version_flag();
    if (!ok(base)) {
        return complain(failure(base));
    }
    if (!value(base)) {
        return complain(exit_usage,
                        "promote needs --base-version N: the trial version to promote (see show).");
    }
    pb::command body;
    body.mutable_promote()->set_name(std::string(name));
    body.mutable_promote()->set_base_version(*value(base));
    return change(to, body,
                  "Version " + std::to_string(*value(base)) + " of " + std::string(name) +
                      " is in production.");
}

int show(const target& to, std::string_view name)
{
    const operator_outcome outcome = show_environment(to, name);
    if (exit_code(outcome) != exit_done) {
        return report(to, outcome, {});
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << outcome.reply.text() << '\n';
        return exit_done;
    }
    const json::object record = parse_object(outcome.reply.text());
    std::cout << "production: version " << number_field(record, "production_version") << '\n'
              << text_field(record, "production_document") << '\n'
              << "trial: version " << number_field(record, "trial_version") << '\n'
              << text_field(record, "trial_document") << '\n';
    return exit_done;
}

void print_change(const document_change& changed)
{
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << json::serialize(json::object{{"path", changed.path},
                                                  {"before", changed.before},
                                                  {"after", changed.after}})
                  << '\n';
        return;
    }
    std::cout << changed.path << ": " << (changed.before.empty() ? "none" : changed.before)
              << " -> " << (changed.after.empty() ? "none" : changed.after) << '\n';
}

int diff(const target& to, std::string_view name)
{
    const operator_outcome outcome = show_environment(to, name);
    if (exit_code(outcome) != exit_done) {
        return report(to, outcome, {});
    }
    const json::object record = parse_object(outcome.reply.text());
    const auto changes = diff_documents(text_field(record, "production_document"),
                                        text_field(record, "trial_document"));
    if (!ok(changes)) {
        return complain(failure(changes));
    }
    std::cerr << "production version " << number_field(record, "production_version")
              << " -> trial version " << number_field(record, "trial_version") << ", "
              << value(changes).size() << " changes\n";
    for (const document_change& changed : value(changes)) {
        print_change(changed);
    }
    return exit_done;
}

int issue_key(const target& to, std::string_view organisation)
{
    const result<issued_key> key = make_key(organisation_name(organisation), system_random);
    if (!ok(key)) {
        return complain(failure(key), exit_refused);
    }
    pb::operator_request request;
    *request.mutable_change()->mutable_issue()->mutable_key() = value(key).record;
    const operator_outcome outcome = ask_control(to, request);
    const int code = exit_code(outcome);
    if (code == exit_unknown) {
        return complain(code, "The outcome is unknown: no answer came in time. Withdraw the key " +
                                  value(key).record.key_id() + " and issue another.");
    }
    if (code != exit_done) {
        return report(to, outcome, {});
    }
    if (absl::GetFlag(FLAGS_json)) {
        json::object shown = outcome_json(to, outcome);
        shown["key_id"] = value(key).record.key_id();
        shown["organisation"] = organisation;
        shown["key"] = value(key).text;
        std::cout << json::serialize(shown) << '\n';
    }
    else {
        std::cout << value(key).text << '\n';
    }
    return code;
}

int withdraw_key(const target& to, std::string_view key_id)
{
    pb::command body;
    body.mutable_withdraw()->set_key_id(std::string(key_id));
    return change(to, body, "Key " + std::string(key_id) + " is withdrawn.");
}

pb::operator_request status_request()
{
    pb::operator_request request;
    request.set_status(true);
    return request;
}

// The leader's status; while none leads, that of any control instance that answers.
operator_outcome ask_status(const target& to)
{
    operator_outcome first = ask(to, to.control, status_request(), to.request_id + "-status");
    const std::string leader = first.reply.leader_hint();
    if (first.state != exchange_state::answered || !first.reply.not_leader() || leader.empty()) {
        return first;
    }
    const std::array endpoints{leader};
    operator_outcome second =
        ask(to, endpoints, status_request(), to.request_id + "-leader-status");
    return second.state == exchange_state::answered ? second : first;
}

int status_of_cell(const target& to)
{
    const operator_outcome outcome = ask_status(to);
    if (exit_code(outcome) != exit_done) {
        return complain(exit_unknown, "No control instance answered. Check --control and --cell.");
    }
    if (outcome.reply.not_leader()) {
        (void)complain(exit_done, "No control instance leads just now; this may be out of date.");
    }
    std::cout << outcome.reply.text() << '\n';
    return exit_done;
}

// The bus endpoint of an entry instance: --entry, or what the leader's status names.
std::vector<std::string> entry_endpoints(const target& to, std::string_view instance)
{
    std::vector<std::string> given = absl::GetFlag(FLAGS_entry);
    if (!given.empty()) {
        return given;
    }
    const json::object status = parse_object(ask_status(to).reply.text());
    const json::value* fleet = status.if_contains("fleet");
    const json::value* all = fleet != nullptr && fleet->is_object()
                                 ? fleet->as_object().if_contains("instances")
                                 : nullptr;
    if (all == nullptr || !all->is_object()) {
        return {};
    }
    std::vector<std::string> found;
    for (const auto& entry : all->as_object()) {
        const std::string_view name(entry.key());
        if (entry.value().is_object() && (instance.empty() || name == instance)) {
            const std::string endpoint = text_field(entry.value().as_object(), "endpoint");
            found.push_back(endpoint);
        }
    }
    std::erase(found, std::string());
    return found;
}

int drain(const target& to, std::string_view instance)
{
    const std::vector<std::string> endpoints = entry_endpoints(to, instance);
    if (endpoints.size() > 1) {
        return complain(exit_usage, "drain takes one --entry ENDPOINT: that of the instance.");
    }
    if (endpoints.empty()) {
        return complain(exit_refused, "No live instance " + std::string(instance) +
                                          ". See primrosectl status, or give --entry ENDPOINT.");
    }
    pb::operator_request request;
    request.set_drain_instance(std::string(instance));
    return report(to, ask(to, endpoints, request, to.request_id),
                  std::string(instance) + " takes no new work.");
}

int add_member(const target& to, arguments of)
{
    pb::operator_request request;
    pb::member& added = *request.mutable_add_member();
    added.set_instance(std::string(of[0]));
    added.set_disk_id(std::string(of[1]));
    added.set_endpoint(std::string(of[2]));
    return report(to, ask_control(to, request),
                  added.instance() + " is a member; it votes once it holds everything.");
}

int remove_member(const target& to, std::string_view instance)
{
    pb::operator_request request;
    request.set_remove_member(std::string(instance));
    return report(to, ask_control(to, request), std::string(instance) + " is no member any more.");
}

// Prints the lines of a decision log that carry the request's id.
bool explain_from_file(const std::string& path, std::string_view request_id)
{
    std::ifstream file(path);
    if (!file) {
        (void)complain(exit_usage, "Can't read the decision log " + path + ".");
        return false;
    }
    bool found = false;
    std::string line;
    while (std::getline(file, line)) {
        if (text_field(parse_object(line), "request") == request_id) {
            std::cout << line << '\n';
            found = true;
        }
    }
    return found;
}

// Prints an instance's decisions; false when it has none.
bool print_decisions(const std::string& text)
{
    boost::system::error_code code;
    const json::value parsed = json::parse(text, code);
    if (code || !parsed.is_array() || parsed.as_array().empty()) {
        return false;
    }
    for (const json::value& made : parsed.as_array()) {
        std::cout << json::serialize(made) << '\n';
    }
    return true;
}

// Asks each instance on its own: only the one that took the request knows it.
bool explain_from_entries(const target& to, std::string_view request_id)
{
    pb::operator_request request;
    request.set_explain_request(std::string(request_id));
    for (const std::string& endpoint : entry_endpoints(to, {})) {
        const std::array one{endpoint};
        const operator_outcome outcome = ask(to, one, request, to.request_id + "-explain");
        if (exit_code(outcome) == exit_done && print_decisions(outcome.reply.text())) {
            return true;
        }
    }
    return false;
}

int explained(bool found, std::string_view request_id)
{
    if (found) {
        return exit_done;
    }
    return complain(exit_refused, "No decision for " + std::string(request_id) +
                                      " was found. Decisions in memory are bounded: name the "
                                      "instance's file with --decision-log.");
}

int explain_files(std::string_view request_id)
{
    bool found = false;
    for (const std::string& path : absl::GetFlag(FLAGS_decision_log)) {
        found = explain_from_file(path, request_id) || found;
    }
    return explained(found, request_id);
}

int keygen()
{
    constexpr std::size_t z85_key_bytes = 41; // with its final zero
    constexpr std::size_t secret_bytes = 32;
    std::array<char, z85_key_bytes> public_key{};
    std::array<char, z85_key_bytes> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
        return complain(exit_refused, "This libzmq was built without CURVE. Install Debian's.");
    }
    const json::object made{{"bus_key", json::object{{"public_key", public_key.data()},
                                                     {"secret_key", secret_key.data()}}},
                            {"session_secret", random_hex(secret_bytes)}};
    std::cout << json::serialize(made) << '\n';
    return exit_done;
}

// Commands that need the cell.
int run_on_cell(const target& to, std::string_view command, arguments of)
{
    const std::string_view first = of.empty() ? std::string_view() : of[0];
    if (command == "trial" && of.size() == 2) {
        return store_trial(to, first, of[1]);
    }
    if (command == "status" && of.empty()) {
        return status_of_cell(to);
    }
    if (command == "members" && of.size() == 4 && first == "add") {
        return add_member(to, of.subspan(1));
    }
    if (command == "members" && of.size() == 2 && first == "remove") {
        return remove_member(to, of[1]);
    }
    if (command == "keys" && of.size() == 2 && first == "issue") {
        return issue_key(to, of[1]);
    }
    if (command == "keys" && of.size() == 2 && first == "withdraw") {
        return withdraw_key(to, of[1]);
    }
    if (of.size() != 1) {
        return bad_usage();
    }
    if (command == "promote") {
        return promote(to, first);
    }
    if (command == "diff") {
        return diff(to, first);
    }
    if (command == "show") {
        return show(to, first);
    }
    if (command == "drain") {
        return drain(to, first);
    }
    return explained(explain_from_entries(to, first), first);
}

bool is_cell_command(std::string_view command)
{
    constexpr std::array<std::string_view, 9> commands{
        "trial", "promote", "diff", "show", "keys", "status", "drain", "members", "explain"};
    return std::find(commands.begin(), commands.end(), command) != commands.end();
}

int run(arguments all)
{
    if (all.empty()) {
        return bad_usage();
    }
    const std::string_view command = all[0];
    const arguments of = all.subspan(1);
    if (command == "check" && of.size() == 1) {
        return check_document(of[0]);
    }
    if (command == "keygen" && of.empty()) {
        return keygen();
    }
    if (command == "explain" && of.size() == 1 && !absl::GetFlag(FLAGS_decision_log).empty()) {
        return explain_files(of[0]);
    }
    if (!is_cell_command(command)) {
        return bad_usage();
    }
    const result<target> to = read_target();
    return ok(to) ? run_on_cell(value(to), command, of) : complain(failure(to));
}

// --help and --version end with code 0, which Abseil's own don't.
bool print_information(arguments all)
{
    for (const std::string_view argument : all) {
        if (argument == "--help" || argument == "-h") {
            std::cout << usage_text;
            return true;
        }
        if (argument == "--version") {
            std::cout << "primrosectl " PRIMROSEHEAD_VERSION "\n";
            return true;
        }
    }
    return false;
}

// A flag as it stands on the command line: "--name", "--name=value" or "--name value".
struct flag_text {
    std::string name; // with underscores, as Abseil has it
    std::optional<std::string_view> value;
};

flag_text split_flag(std::string_view argument)
{
    const std::string_view body = argument.substr(2);
    const std::size_t end = body.find('=');
    flag_text split{std::string(body.substr(0, end)), std::nullopt};
    std::replace(split.name.begin(), split.name.end(), '-', '_');
    if (end != std::string_view::npos) {
        split.value = body.substr(end + 1);
    }
    return split;
}

// Sets the flags and leaves the rest. Abseil's own parser ends the process with code 1.
status parse_flags(arguments all, std::vector<std::string_view>& rest)
{
    for (std::size_t index = 0; index < all.size(); ++index) {
        if (!all[index].starts_with("--")) {
            rest.push_back(all[index]);
            continue;
        }
        flag_text given = split_flag(all[index]);
        absl::CommandLineFlag* const flag = absl::FindCommandLineFlag(given.name);
        if (!given.value && flag != nullptr && flag->IsOfType<bool>()) {
            given.value = "true";
        }
        if (!given.value && index + 1 < all.size()) {
            given.value = all[++index];
        }
        std::string cause;
        if (flag == nullptr || !given.value ||
            !flag->ParseFrom({given.value->data(), given.value->size()}, &cause)) {
            return error{error_kind::bad_request, "Bad flag --" + given.name + ". " + cause,
                         "See --help.", ran::no, clock::duration::zero()};
        }
    }
    return {};
}

} // namespace

int main(int count, char** raw)
{
    const std::vector<std::string_view> given(raw + 1, raw + count);
    if (print_information(given)) {
        return exit_done;
    }
    spdlog::set_level(spdlog::level::err);
    std::vector<std::string_view> positional;
    const status flags = parse_flags(given, positional);
    return ok(flags) ? run(positional) : complain(failure(flags));
}
