#include "program.h"

#include "command_line.h"

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <absl/flags/flag.h>

#include <iostream>
#include <span>
#include <vector>

ABSL_FLAG(std::string, config, "", "JSON settings file (docs/CONFIG.md)");
ABSL_FLAG(bool, check_config, false, "check the settings and exit");

namespace primrosehead {

namespace {

constexpr std::string_view flags_text = R"(
  --config FILE     JSON settings file (docs/CONFIG.md)
  --check-config    check the settings and exit
  --help, --version
Exit codes: 0 done, 1 failed, 2 bad command line or settings.
)";

// Prints what --help or --version ask for.
bool print_information(std::span<const std::string_view> given, std::string_view usage)
{
    for (const std::string_view argument : given) {
        if (argument == "--help" || argument == "-h") {
            std::cout << usage << '\n' << flags_text;
            return true;
        }
        if (argument == "--version") {
            std::cout << "primrosehead " PRIMROSEHEAD_VERSION "\n";
            return true;
        }
    }
    return false;
}

} // namespace

void print_error(std::string_view text)
{
    std::cerr << text << '\n';
}

void print_error(const error& failure)
{
    print_error(describe(failure));
}

program_options read_command_line(int count, char** arguments, std::string_view usage)
{
    const std::vector<std::string_view> given(arguments + 1, arguments + count);
    program_options options;
    if (print_information(given, usage)) {
        options.exit_code = exit_success;
        return options;
    }
    std::vector<std::string_view> rest;
    const status parsed = parse_flags(given, rest);
    if (!ok(parsed)) {
        print_error(failure(parsed));
        return options;
    }
    options.check_only = absl::GetFlag(FLAGS_check_config);
    if (!rest.empty()) {
        print_error("Unexpected argument \"" + std::string(rest[0]) + "\". See --help.");
        return options;
    }
    const std::string path = absl::GetFlag(FLAGS_config);
    if (path.empty()) {
        print_error("No settings. Name a file with --config FILE (docs/CONFIG.md).");
        return options;
    }
    result<std::string> text = read_file(path);
    if (!ok(text)) {
        print_error(failure(text));
        return options;
    }
    options.config_text = std::move(value(text));
    options.is_valid = true;
    return options;
}

} // namespace primrosehead
