#include "command_line.h"

#include <absl/flags/flag.h>
#include <doctest/doctest.h>

#include <array>

ABSL_FLAG(std::string, test_text, "", "for tests");
ABSL_FLAG(bool, test_switch, false, "for tests");

using namespace primrosehead;

TEST_CASE("command line: flags are set, with dashes or underscores, and the rest is left")
{
    const std::array<std::string_view, 5> given{"show", "--test-text", "a b", "--test_switch",
                                                "kura"};
    std::vector<std::string_view> rest;
    REQUIRE(ok(parse_flags(given, rest)));
    CHECK(absl::GetFlag(FLAGS_test_text) == "a b");
    CHECK(absl::GetFlag(FLAGS_test_switch));
    CHECK(rest == std::vector<std::string_view>{"show", "kura"});
}

TEST_CASE("command line: unknown flags and bad values are typed errors")
{
    std::vector<std::string_view> rest;
    for (const std::string_view bad : {"--no-such-flag", "--test-switch=maybe", "--test-text"}) {
        const std::array given{bad};
        const status parsed = parse_flags(given, rest);
        REQUIRE(!ok(parsed));
        CHECK(failure(parsed).kind == error_kind::bad_request);
    }
}
