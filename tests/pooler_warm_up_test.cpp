#include "document_format.h"
#include "document_regions.h"
#include "pooler_warm_up.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace primrosehead;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

std::vector<pooler::warm_up> make_fleet(std::size_t instances, std::uint32_t known_size)
{
    std::vector<pooler::warm_up> fleet;
    for (std::size_t i = 0; i < instances; ++i) {
        fleet.emplace_back(fmt::format("entry-{}", i));
        fleet.back().set_fleet_size(known_size, at(-2'000));
    }
    return fleet;
}

// Sends whenever it is allowed to, from `begin` on. Returns the times of the requests.
std::vector<std::int64_t> send_all(std::vector<pooler::warm_up>& fleet, std::string_view server,
                                   double per_s, std::int64_t begin, std::int64_t end)
{
    std::vector<std::int64_t> sent;
    // A small fleet's instances have several tokens within the interval of the pool's retries.
    const std::int64_t step = fleet.size() > 8 ? 25 : 5;
    for (std::int64_t now = begin; now < end; now += step) {
        for (pooler::warm_up& each : fleet) {
            if (each.may_start(server, per_s, pooler::warm_up_share::instance, at(now))) {
                each.record_start(server, at(now));
                sent.push_back(now);
            }
        }
    }
    return sent;
}

std::size_t most_in_a_second(const std::vector<std::int64_t>& sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= 1'000) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

// Guards against a fleet that floods a cold server although every instance keeps to its part.
TEST_CASE("warm-up: the fleet's requests to a cold server stay within the bound in every second")
{
    for (const std::size_t instances : {1, 8, 68, 75, 82, 300}) {
        for (const double per_s : {1, 2, 5, 10, 20, 50, 100}) {
            std::size_t most = 0;
            std::size_t sum = 0;
            const int servers = instances > 100 ? 15 : 60;
            for (int server = 0; server < servers; ++server) {
                std::vector<pooler::warm_up> fleet =
                    make_fleet(instances, static_cast<std::uint32_t>(instances));
                const auto sent =
                    send_all(fleet, fmt::format("server-{}", server), per_s, 0, 10'000);
                most = std::max(most, most_in_a_second(sent));
                sum += sent.size();
            }
            CAPTURE(instances);
            CAPTURE(per_s);
            CHECK(static_cast<double>(most) <= 1.5 * per_s + 5);
            // The server does warm up.
            CHECK(static_cast<double>(sum) >= per_s * 10 * servers * 0.3);
        }
    }
}

// Guards against tokens that a fleet collects while nobody asks for the server.
TEST_CASE("warm-up: a burst after a pause sends no saved tokens")
{
    std::vector<pooler::warm_up> fleet = make_fleet(75, 75);
    std::vector<std::int64_t> sent = send_all(fleet, "server", 20, 0, 100);
    const auto later = send_all(fleet, "server", 20, 9'000, 9'025);
    CHECK(later.size() <= 12);
}

// Guards against instances that guess the fleet size, and against parts that do not sum to the rate
// when some instances are out of touch.
TEST_CASE("warm-up: the largest recent fleet size counts, none is sent before it is known")
{
    pooler::warm_up starting("entry-1");
    CHECK_FALSE(starting.may_start("server", 1'000, pooler::warm_up_share::instance, at(0)));
    starting.set_fleet_size(3, at(0));
    CHECK_FALSE(starting.fleet_size(at(999)).has_value());
    starting.set_fleet_size(75, at(500));
    CHECK(starting.fleet_size(at(1'000)) == 75);
    starting.set_fleet_size(10, at(2'000));
    starting.set_fleet_size(12, at(3'000));
    CHECK(starting.fleet_size(at(10'000)) == 75);
    starting.set_fleet_size(11, at(10'600));
    CHECK(starting.fleet_size(at(10'600)) == 12);
    starting.set_fleet_size(0, at(10'700));
    CHECK(starting.fleet_size(at(90'000)) == 12); // out of touch
    std::vector<pooler::warm_up> fleet = make_fleet(60, 75);
    std::vector<pooler::warm_up> isolated = make_fleet(15, 60);
    std::vector<std::int64_t> sent = send_all(fleet, "server", 20, 0, 20'000);
    const auto others = send_all(isolated, "server", 20, 0, 20'000);
    sent.insert(sent.end(), others.begin(), others.end());
    std::sort(sent.begin(), sent.end());
    CHECK(most_in_a_second(sent) <= 35);
}

// Guards against a home and the instances beside it that together exceed the bound.
TEST_CASE("warm-up: the home has the rate after a take-over time, and commits are paid back")
{
    using pooler::warm_up_share;
    pooler::warm_up home("entry-1");
    home.set_fleet_size(75, at(-2'000));
    std::size_t sent = 0;
    for (std::int64_t now = 0; now < 11'500; now += 5) {
        if (home.may_start("server", 20, warm_up_share::home, at(now))) {
            CHECK(now >= 1'500);
            home.record_start("server", at(now));
            ++sent;
        }
    }
    CHECK(sent >= 150);
    CHECK(sent <= 165);
    for (int i = 0; i < 16; ++i) {
        home.record_unlimited_start("server", 20, warm_up_share::home, at(11'500));
    }
    CHECK_FALSE(home.may_start("server", 20, warm_up_share::home, at(12'490)));
    CHECK(home.may_start("server", 20, warm_up_share::home, at(12'650)));
    CHECK(home.may_start("server", 0, warm_up_share::beside_home, at(11'600))); // no limit
    home.record_warm("server"); // and cold again: starts anew
    CHECK_FALSE(home.may_start("server", 20, warm_up_share::home, at(12'660)));
}

// Guards against a server taken for warm because its latest announcement is from before it was
// evacuated, and against one that stays cold for ever.
TEST_CASE("warm-up: a server is cold as announced, and after an evacuation until it announces")
{
    pooler::warm_up_facts facts;
    facts.announced_at = at(0);
    facts.cold_until = at(3'000);
    facts.warm_up_time = clock::duration(5'000);
    CHECK(pooler::is_cold(facts, at(2'999)));
    CHECK_FALSE(pooler::is_cold(facts, at(3'000)));
    facts.evacuation_withdrawn_at = at(10'000);
    CHECK(pooler::is_cold(facts, at(14'999)));
    CHECK_FALSE(pooler::is_cold(facts, at(15'000)));
    facts.announced_at = at(10'500);
    CHECK_FALSE(pooler::is_cold(facts, at(10'600)));
}

// Guards against restrictions that are widened by another one or by an unknown name.
TEST_CASE("regions: both restrictions apply, unknown names match nothing")
{
    region_set regions;
    CHECK(regions.contains(""));
    CHECK(regions.contains("south"));
    regions.restrict_to({});
    CHECK_FALSE(regions.is_restricted());
    regions.restrict_to({"north", "south"});
    CHECK(regions.contains("north"));
    CHECK_FALSE(regions.contains(""));
    CHECK_FALSE(regions.contains("east"));
    regions.restrict_to({"south", "nowhere"});
    CHECK_FALSE(regions.contains("north"));
    CHECK(regions.contains("south"));
    CHECK_FALSE(regions.contains("nowhere"));
    regions.restrict_to({"nowhere"});
    CHECK_FALSE(regions.contains("south"));
    CHECK(regions.is_restricted());
}

// Guards against a restriction that is ignored because it can't be read.
TEST_CASE("platform document: regions and warm-up are read, malformed ones are rejected")
{
    const auto parse = [](std::string_view route, std::string_view group, std::string_view tenant) {
        return platform::parse_document(fmt::format(
            R"({{"version":1,"routes":[{{"name":"r","host":"h","type":"primary","timeout_ms":9,
            "service":"s"{}}}],"services":[{{"name":"s"{}}}],
            "tenants":[{{"name":"t","api_keys":["k"]{}}}]}})",
            route, group, tenant));
    };
    const auto parsed = parse(R"(,"allowed_regions":["a","b"])",
                              R"(,"warmup_s":2.5,"warmup_per_s":4)", R"(,"allowed_regions":["b"])");
    REQUIRE(ok(parsed));
    const document& read = *value(parsed);
    CHECK(read.group("s")->warm_up_time == clock::duration(2'500));
    CHECK(read.group("s")->warm_up_per_s == 4);
    CHECK(read.regions_for(*read.route("h"), "t").contains("b"));
    CHECK_FALSE(read.regions_for(*read.route("h"), "t").contains("a"));
    CHECK(read.regions_for(*read.route("h"), "unknown").contains("a"));
    CHECK(read.regions_of_group("s").contains("a"));
    CHECK_FALSE(read.regions_of_group("s").contains("c"));
    const auto plain = parse("", "", "");
    REQUIRE(ok(plain));
    CHECK_FALSE(value(plain)->regions_for(*value(plain)->route("h"), "t").is_restricted());
    CHECK(value(plain)->group("s")->warm_up_per_s == 0);
    CHECK_FALSE(ok(parse(R"(,"allowed_regions":"a")", "", "")));
    CHECK_FALSE(ok(parse(R"(,"allowed_regions":[1])", "", "")));
    CHECK_FALSE(ok(parse("", R"(,"warmup_per_s":-1)", "")));
    CHECK_FALSE(ok(parse("", R"(,"warmup_s":"x")", "")));
    CHECK_FALSE(ok(parse("", R"(,"warmup_s":1e300)", "")));
    CHECK_FALSE(ok(parse("", "", R"(,"allowed_regions":{})")));
}
