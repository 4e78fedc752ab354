// primrose-check: checks whether a recorded history satisfies each promise.
//
// Exit code 0: every promise held or was not exercised; 1: a promise is broken; 2: invalid input.
#include "history_check.h"
#include "program.h"

#include <primrosehead/settings.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdio>
#include <iostream>

ABSL_FLAG(std::string, history, "", "history file written by primrose-load");
ABSL_FLAG(std::vector<std::string>, records, {},
          "execution records of the stand-ins, separated by commas");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");

namespace {

using namespace primrosehead;

void print_table(const std::vector<history::finding>& findings)
{
    for (const history::finding& finding : findings) {
        std::printf("%-36s %-14s %8llu", finding.promise.c_str(),
                    std::string(to_string(finding.verdict)).c_str(),
                    static_cast<unsigned long long>(finding.checked));
        if (finding.verdict == history::verdict::broken) {
            std::printf("  operation %llu: %s", static_cast<unsigned long long>(finding.operation),
                        finding.detail.c_str());
        }
        std::printf("\n");
    }
}

void print_json(const std::vector<history::finding>& findings)
{
    boost::json::array list;
    for (const history::finding& finding : findings) {
        list.push_back(boost::json::object{{"promise", finding.promise},
                                           {"verdict", to_string(finding.verdict)},
                                           {"checked", finding.checked},
                                           {"operation", finding.operation},
                                           {"detail", finding.detail}});
    }
    std::cout << boost::json::serialize(list) << '\n';
}

result<std::vector<history::finding>> check(const std::string& path,
                                            const std::vector<std::string>& record_paths)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        return failure(text);
    }
    const result<history::recorded_history> recorded_history = history::read_history(value(text));
    if (!ok(recorded_history)) {
        return failure(recorded_history);
    }
    std::vector<history::finding> findings = history::check_all(value(recorded_history));
    history::execution_evidence evidence;
    for (const std::string& record_path : record_paths) {
        const result<std::string> record = read_file(record_path);
        if (!ok(record)) {
            return failure(record);
        }
        const status read =
            history::read_execution_record(value(record), value(recorded_history).keys, evidence);
        if (!ok(read)) {
            return failure(read);
        }
    }
    if (!record_paths.empty()) {
        findings.push_back(history::check_refused_not_executed(value(recorded_history), evidence));
        findings.push_back(history::check_no_key_leaked(evidence));
    }
    return findings;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Checks a history: primrose-check --history FILE "
                                 "[--records FILE,FILE...] [--json]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("primrose-check " PRIMROSEHEAD_VERSION "\n"); };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    const auto findings = check(absl::GetFlag(FLAGS_history), absl::GetFlag(FLAGS_records));
    if (!ok(findings)) {
        print_error(describe(failure(findings)));
        return exit_bad_settings;
    }
    if (absl::GetFlag(FLAGS_json)) {
        print_json(value(findings));
    }
    else {
        print_table(value(findings));
    }
    for (const history::finding& finding : value(findings)) {
        if (finding.verdict == history::verdict::broken) {
            return exit_failure;
        }
    }
    return exit_success;
}
