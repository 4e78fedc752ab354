#include "program.h"

#include <primrosehead/error.h>
#include <primrosehead/settings.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <iostream>

ABSL_FLAG(std::string, config, "", "JSON settings file (docs/CONFIG.md)");
ABSL_FLAG(bool, check_config, false, "check the settings and exit");

namespace primrosehead {

namespace {

std::string version_text()
{
    return "primrosehead " PRIMROSEHEAD_VERSION "\n";
}

} // namespace

void complain(std::string_view text)
{
    std::cerr << text << '\n';
}

program_options read_command_line(int count, char** arguments, std::string_view usage)
{
    absl::FlagsUsageConfig configuration;
    configuration.version_string = version_text;
    absl::SetFlagsUsageConfig(configuration);
    absl::SetProgramUsageMessage(absl::string_view(usage.data(), usage.size()));
    const std::vector<char*> rest = absl::ParseCommandLine(count, arguments);
    program_options options;
    options.check_only = absl::GetFlag(FLAGS_check_config);
    if (rest.size() > 1) {
        complain("Unexpected argument \"" + std::string(rest[1]) + "\". See --help.");
        return options;
    }
    const std::string path = absl::GetFlag(FLAGS_config);
    if (path.empty()) {
        complain("No settings. Name a file with --config FILE (docs/CONFIG.md).");
        return options;
    }
    result<std::string> text = read_file(path);
    if (!ok(text)) {
        complain(describe(failure(text)));
        return options;
    }
    options.config_text = std::move(value(text));
    options.is_valid = true;
    return options;
}

} // namespace primrosehead
