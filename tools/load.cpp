// primrose-load: runs a plan of load and faults and writes its history and summary.
#include "load_plan.h"
#include "load_run.h"
#include "load_summary.h"
#include "program.h"

#include <absl/flags/flag.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and choices");
ABSL_FLAG(std::string, history, "", "file for the history (JSON lines)");
ABSL_FLAG(std::string, summary, "", "file for the JSON summary; standard output when empty");

namespace {

using namespace primrosehead;

int run_plan_file(const load::run_plan& plan)
{
    std::ofstream file;
    const std::string path = absl::GetFlag(FLAGS_history);
    if (!path.empty()) {
        file.open(path, std::ios::trunc);
        if (!file) {
            print_error("Can't write " + path + ". Name a file that this user may write.");
            return exit_bad_settings;
        }
    }
    std::string whole;
    const load::run_totals totals =
        load::run(plan, absl::GetFlag(FLAGS_seed), [&](const std::string& line) {
            whole += line;
            whole += '\n';
            file << line << '\n';
        });
    const result<history::recorded> recorded = history::read_history(whole);
    if (!ok(recorded)) {
        print_error(describe(failure(recorded)));
        return exit_failure;
    }
    const std::string summary = load::summary_json(
        history::measure(value(recorded), plan.replica_lag), totals, value(recorded));
    const std::string summary_path = absl::GetFlag(FLAGS_summary);
    if (summary_path.empty()) {
        std::cout << summary << '\n';
        return exit_success;
    }
    std::ofstream(summary_path) << summary << '\n';
    return exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    const program_options options =
        read_command_line(argc, argv,
                          "Runs a plan of load and faults: primrose-load --config PLAN --seed N "
                          "--history FILE --summary FILE");
    if (!options.is_valid) {
        return options.exit_code;
    }
    const result<load::run_plan> plan = load::parse_plan(options.config_text);
    if (!ok(plan)) {
        print_error(describe(failure(plan)));
        return exit_bad_settings;
    }
    if (options.check_only) {
        return exit_success;
    }
    spdlog::set_default_logger(spdlog::stderr_logger_mt("load"));
    return run_plan_file(value(plan));
}
