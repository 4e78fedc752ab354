#include "command_line.h"

#include <absl/flags/reflection.h>

#include <algorithm>
#include <optional>
#include <string>

namespace primrosehead {

namespace {

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

} // namespace

status parse_flags(std::span<const std::string_view> all, std::vector<std::string_view>& rest)
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

} // namespace primrosehead
