#include "command_line.h"

#include <absl/flags/reflection.h>

#include <algorithm>
#include <optional>
#include <string>

namespace primrosehead {

namespace {

// A flag argument: "--name", or "--name=value".
struct flag_argument {
    std::string name; // with underscores, as in Abseil
    std::optional<std::string_view> value;
};

flag_argument split_flag(std::string_view argument)
{
    const std::string_view body = argument.substr(2);
    const std::size_t end = body.find('=');
    flag_argument parsed{std::string(body.substr(0, end)), std::nullopt};
    std::replace(parsed.name.begin(), parsed.name.end(), '-', '_');
    if (end != std::string_view::npos) {
        parsed.value = body.substr(end + 1);
    }
    return parsed;
}

} // namespace

status parse_flags(std::span<const std::string_view> arguments,
                   std::vector<std::string_view>& positional)
{
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        if (!arguments[index].starts_with("--")) {
            positional.push_back(arguments[index]);
            continue;
        }
        flag_argument parsed = split_flag(arguments[index]);
        absl::CommandLineFlag* const flag = absl::FindCommandLineFlag(parsed.name);
        if (!parsed.value && flag != nullptr && flag->IsOfType<bool>()) {
            parsed.value = "true";
        }
        if (!parsed.value && index + 1 < arguments.size()) {
            parsed.value = arguments[++index];
        }
        std::string cause;
        if (flag == nullptr || !parsed.value ||
            !flag->ParseFrom({parsed.value->data(), parsed.value->size()}, &cause)) {
            return error{error_kind::bad_request, "Invalid flag --" + parsed.name + ". " + cause,
                         "See --help.", ran::no, clock::duration::zero()};
        }
    }
    return {};
}

} // namespace primrosehead
