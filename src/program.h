// The command line that all servers share: --config, --check-config, --help, --version.
#pragma once

#include <string>
#include <string_view>

namespace primrosehead {

// Exit codes of every program.
inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_settings = 2;

struct program_options {
    std::string config_text; // of the --config file
    bool check_only = false;
    bool is_valid = false; // false: the reason was printed; exit with exit_bad_settings
};

// Reads the command line and the settings file.
[[nodiscard]] program_options read_command_line(int count, char** arguments,
                                                std::string_view usage);

// Prints "NAME: TEXT" on standard error.
void complain(std::string_view text);

} // namespace primrosehead
