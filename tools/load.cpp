// primrose-load: runs a plan of load and faults, and writes the history and a summary.
#include "load_plan.h"
#include "load_run.h"
#include "load_summary.h"
#include "program.h"

#include <absl/flags/flag.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random arrivals and choices");
ABSL_FLAG(std::string, history, "", "output file for the history (JSON lines)");
ABSL_FLAG(std::string, summary, "", "output file for the JSON summary; standard output if empty");

namespace {

using namespace primrosehead;

int run_plan_file(const load::run_plan& plan)
{
    std::ofstream history_file;
    const std::string history_path = absl::GetFlag(FLAGS_history);
    if (!history_path.empty()) {
        history_file.open(history_path, std::ios::trunc);
        if (!history_file) {
            print_error("Can't write " + history_path +
                        ". Specify a file that this user may write.");
            return exit_bad_settings;
        }
    }
    std::string history_text;
    const load::run_totals totals =
        load::run(plan, absl::GetFlag(FLAGS_seed), [&](const std::string& line) {
            history_text += line;
            history_text += '\n';
            history_file << line << '\n';
        });
    const result<history::recorded_history> recorded_history = history::read_history(history_text);
    if (!ok(recorded_history)) {
        print_error(describe(failure(recorded_history)));
        return exit_failure;
    }
    const std::string summary =
        load::summary_json(history::measure(value(recorded_history), plan.replica_lag), totals,
                           value(recorded_history));
    const std::string summary_path = absl::GetFlag(FLAGS_summary);
    if (summary_path.empty()) {
        std::cout << summary << '\n';
        return exit_success;
    }
    std::ofstream summary_file(summary_path);
    summary_file << summary << '\n';
    if (!summary_file.flush()) {
        print_error("Can't write the summary to " + summary_path +
                    ". Specify a file that this user may write.");
        return exit_failure;
    }
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
