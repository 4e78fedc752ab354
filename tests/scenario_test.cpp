#include "scenario_script.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace primrosehead;
using namespace primrosehead::scenario;

namespace {

constexpr std::uint64_t seeds = 3;            // of a run that has to hold
constexpr std::uint64_t seeds_to_breach = 10; // of a run that has to break

std::vector<std::filesystem::path> scenario_files()
{
    std::vector<std::filesystem::path> files;
    const std::filesystem::path folder =
        std::filesystem::path(PRIMROSEHEAD_SOURCE_DIR) / "scenarios";
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".scn") {
            files.push_back(entry.path());
        }
    }
    std::ranges::sort(files);
    return files;
}

script load(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const result<script> parsed = parse_script(text.str());
    REQUIRE(ok(parsed));
    return value(parsed);
}

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("every scenario holds, and breaks without the mechanisms that it names")
{
    for (const std::filesystem::path& path : scenario_files()) {
        const std::string name = path.filename();
        CAPTURE(name);
        const script steps = load(path);
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            const outcome observed = run_script(steps, seed, safeguards{});
            CHECK(join_lines(observed.failures) == "");
            CHECK(join_lines(observed.breaches) == "");
        }
        for (const std::string& safeguard : steps.required_safeguards) {
            CAPTURE(safeguard);
            safeguards enabled;
            REQUIRE(disable_safeguard(safeguard, enabled));
            bool is_detected = false;
            for (std::uint64_t seed = 1; seed <= seeds_to_breach && !is_detected; ++seed) {
                const outcome observed = run_script(steps, seed, enabled);
                is_detected = !observed.breaches.empty() || !observed.failures.empty();
            }
            CHECK(is_detected);
        }
    }
}

TEST_CASE("a scenario's run is the same every time")
{
    const script steps = load(scenario_files().front());
    safeguards enabled;
    enabled.entries.require_lease = false;
    const outcome first = run_script(steps, 7, enabled);
    const outcome second = run_script(steps, 7, enabled);
    CHECK(first.breaches == second.breaches);
    CHECK(first.failures == second.failures);
}

TEST_CASE("a script line that nobody understands is an error")
{
    CHECK_FALSE(ok(parse_script("without luck expect breach")));
    const result<script> parsed = parse_script("start 5 control\ndance");
    REQUIRE(ok(parsed));
    CHECK(run_script(value(parsed), 1, safeguards{}).failures.size() == 1);
}
