// primrosectl: the command-line tool for operators, described in docs/OPERATIONS.md.
#include "command_line.h"
#include "ctl_cell.h"
#include "ctl_config.h"
#include "ctl_environments.h"
#include "ctl_explain.h"
#include "ctl_keys.h"
#include "ctl_target.h"
#include "document_audit.h"

#include <primrosehead/keys.h>

#include <absl/flags/flag.h>
#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>
#include <zmq.h>

ABSL_FLAG(std::string, config, "", "JSON file with cell, control and bus_key (see docs/CONFIG.md)");
ABSL_FLAG(std::string, cell, "", "cell name, instead of --config");
ABSL_FLAG(std::vector<std::string>, control, {},
          "endpoints of control instances, tcp://IP:PORT,...");
ABSL_FLAG(std::vector<std::string>, entry, {},
          "endpoints of entry instances, for drain and explain");
ABSL_FLAG(std::vector<std::string>, decision_log, {}, "decision logs, for explain");
ABSL_FLAG(std::vector<std::string>, log, {},
          "files with the instances' standard output, for explain");
ABSL_FLAG(std::string, request_id, "",
          "id of the request; a retry with the same id runs at most once");
ABSL_FLAG(std::string, base_version, "",
          "version that the change is based on, or that is promoted");
ABSL_FLAG(std::int64_t, timeout_ms, 10'000,
          "timeout of a request, including retries, in milliseconds");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string, in_force, "", "file with the document in force, for config check");
ABSL_FLAG(std::uint32_t, instances, 1,
          "pooler instances that share a server's connections, for config check");

namespace {

using namespace primrosehead;
using namespace primrosehead::ctl;
namespace json = boost::json;

constexpr std::string_view usage_text = R"(primrosectl [FLAGS] COMMAND

  check FILE                      checks an environment document
  config check FILE               checks a published document; 1: findings, 2: unreadable
  trial NAME FILE                 stores a document as the trial of the environment
  promote NAME --base-version N   makes trial version N the production document
  diff NAME                       prints what promoting the trial would change
  show NAME                       prints both documents and their versions
  keys issue ORGANISATION         creates a key and prints it; it can't be shown again
  keys withdraw KEY_ID            withdraws a key
  status                          prints the leader, members, instances, servers and database groups
  drain INSTANCE                  drains an entry instance: it accepts no new requests, then stops
  members add INSTANCE DISK_ID ENDPOINT
  members remove INSTANCE
  explain REQUEST_ID              prints the decisions made for a caller's request
  keygen                          generates a bus key pair and a session secret

Flags: --config FILE | --cell NAME --control ENDPOINT[,...]; --request-id ID, --base-version N,
--timeout-ms N, --json, --entry ENDPOINT[,...], --decision-log FILE[,...], --log FILE[,...],
--in-force FILE, --instances N, --help, --version.
Exit codes: 0 done, 1 refused, 2 bad usage or settings, 3 outcome unknown.
)";

int print_usage_error()
{
    return print_error(exit_usage, "Unknown command or wrong number of arguments. See --help.");
}

int keygen()
{
    constexpr std::size_t z85_key_bytes = 41; // including the terminating zero
    constexpr std::size_t secret_bytes = 32;
    std::array<char, z85_key_bytes> public_key{};
    std::array<char, z85_key_bytes> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) {
        return print_error(
            exit_refused,
            "libzmq was built without CURVE support. Install the libzmq package of Debian.");
    }
    const result<std::string> secret = random_hex(secret_bytes, system_random);
    if (!ok(secret)) {
        return print_error(failure(secret), exit_refused);
    }
    const json::object keys{{"bus_key", json::object{{"public_key", public_key.data()},
                                                     {"secret_key", secret_key.data()}}},
                            {"session_secret", value(secret)}};
    std::cout << json::serialize(keys) << '\n';
    return exit_success;
}

// Runs a command that contacts the cell.
int run_cell_command(const target& destination, std::string_view command, arguments command_args)
{
    const std::string_view first = command_args.empty() ? std::string_view() : command_args[0];
    if (command == "trial" && command_args.size() == 2) {
        return store_trial(destination, first, command_args[1]);
    }
    if (command == "status" && command_args.empty()) {
        return print_cell_status(destination);
    }
    if (command == "members" && command_args.size() == 4 && first == "add") {
        return add_member(destination, command_args.subspan(1));
    }
    if (command == "members" && command_args.size() == 2 && first == "remove") {
        return remove_member(destination, command_args[1]);
    }
    if (command == "keys" && command_args.size() == 2 && first == "issue") {
        return issue_key(destination, command_args[1]);
    }
    if (command == "keys" && command_args.size() == 2 && first == "withdraw") {
        return withdraw_key(destination, command_args[1]);
    }
    if (command_args.size() != 1) {
        return print_usage_error();
    }
    if (command == "promote") {
        return promote(destination, first);
    }
    if (command == "diff") {
        return diff(destination, first);
    }
    if (command == "show") {
        return show(destination, first);
    }
    if (command == "drain") {
        return drain(destination, first);
    }
    return explain(destination, first);
}

bool is_cell_command(std::string_view command)
{
    constexpr std::array<std::string_view, 9> commands{
        "trial", "promote", "diff", "show", "keys", "status", "drain", "members", "explain"};
    return std::find(commands.begin(), commands.end(), command) != commands.end();
}

int run(arguments args)
{
    if (args.empty()) {
        return print_usage_error();
    }
    const std::string_view command = args[0];
    const arguments command_args = args.subspan(1);
    if (command == "check" && command_args.size() == 1) {
        return check_document(command_args[0]);
    }
    if (command == "config" && command_args.size() == 2 && command_args[0] == "check") {
        return check_config(command_args[1], platform::read_draft);
    }
    if (command == "keygen" && command_args.empty()) {
        return keygen();
    }
    if (command == "explain" && command_args.size() == 1 && has_logs()) {
        return explain_from_logs(command_args[0]);
    }
    if (command == "explain" && command_args.size() == 1 && has_decision_logs()) {
        return explain_from_decision_logs(command_args[0]);
    }
    if (!is_cell_command(command)) {
        return print_usage_error();
    }
    const result<target> destination = read_target();
    return ok(destination) ? run_cell_command(value(destination), command, command_args)
                           : print_error(failure(destination));
}

// Handles --help and --version here, as Abseil's handlers don't exit with code 0.
bool print_help_or_version(arguments args)
{
    for (const std::string_view argument : args) {
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

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string_view> args(argv + 1, argv + argc);
    if (print_help_or_version(args)) {
        return exit_success;
    }
    spdlog::set_level(spdlog::level::err);
    std::vector<std::string_view> positional;
    const status flags = parse_flags(args, positional);
    return ok(flags) ? run(positional) : print_error(failure(flags));
}
