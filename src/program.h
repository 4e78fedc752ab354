// The command line that all servers share: --config, --check-config, --help, --version.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/log.h>

#include <string>
#include <string_view>

namespace primrosehead {

// Exit codes of every program.
inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_bad_settings = 2;

struct program_options {
    std::string config_text; // of the --config file
    bool check_only = false;
    bool is_valid = false; // false: the reason, or the help, was printed; exit with `exit_code`
    int exit_code = exit_bad_settings;
};

// Reads the command line and the settings file.
[[nodiscard]] program_options read_command_line(int count, char** arguments,
                                                std::string_view usage);

// Prints a line on standard error.
void print_error(std::string_view text);
void print_error(const error& failure);

// The main function of a server: `parse` reads the settings, `name` gives the process's name for
// the logs, `run` serves until it is told to stop. Returns the exit code.
template <class Parse, class Name, class Run>
int run_server(int count, char** arguments, std::string_view usage, Parse parse, Name name, Run run)
{
    const program_options options = read_command_line(count, arguments, usage);
    if (!options.is_valid) {
        return options.exit_code;
    }
    const auto settings = parse(options.config_text);
    if (!ok(settings)) {
        print_error(failure(settings));
        return exit_bad_settings;
    }
    if (options.check_only) {
        return exit_success;
    }
    const status logging = configure_logging(value(settings).log, name(value(settings)));
    if (!ok(logging)) {
        print_error(failure(logging));
        return exit_bad_settings;
    }
    const status outcome = run(value(settings));
    if (!ok(outcome)) {
        print_error(failure(outcome));
        return exit_failure;
    }
    return exit_success;
}

} // namespace primrosehead
