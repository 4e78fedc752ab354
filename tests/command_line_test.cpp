#include "command_line.h"

#include <absl/flags/flag.h>
#include <doctest/doctest.h>

#include <array>

ABSL_FLAG(std::string, test_text, "", "for tests");
ABSL_FLAG(bool, test_switch, false, "for tests");

using namespace primrosehead;

TEST_CASE("command line: flags with dashes or underscores are set, other arguments are positional")
{
    const std::array<std::string_view, 5> arguments{"show", "--test-text", "a b", "--test_switch",
                                                    "kura"};
    std::vector<std::string_view> positional;
    REQUIRE(ok(parse_flags(arguments, positional)));
    CHECK(absl::GetFlag(FLAGS_test_text) == "a b");
    CHECK(absl::GetFlag(FLAGS_test_switch));
    CHECK(positional == std::vector<std::string_view>{"show", "kura"});
}

TEST_CASE("command line: unknown flags and invalid values are typed errors")
{
    std::vector<std::string_view> positional;
    for (const std::string_view argument :
         {"--no-such-flag", "--test-switch=maybe", "--test-text"}) {
        const std::array arguments{argument};
        const status parsed = parse_flags(arguments, positional);
        REQUIRE(!ok(parsed));
        CHECK(failure(parsed).kind == error_kind::bad_request);
    }
}
