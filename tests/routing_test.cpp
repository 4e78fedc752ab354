#include <primrosehead/routing.h>

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <string>
#include <vector>

using namespace primrosehead;
using routing::choose_read;
using routing::choose_write;
using routing::freshness;
using routing::read_request;

namespace {

constexpr clock::time_point now = from_ms(10'000);

server_info make_server(std::string_view server, std::string_view domain, server_role role,
                        std::uint64_t index)
{
    server_info info;
    info.name = server_name(server);
    info.database = database_name("kura-1");
    info.failure_domain = failure_domain_name(domain);
    info.role = role;
    info.applied = {1, index};
    info.data_age = clock::duration(role == server_role::primary ? 0 : 50);
    info.reported_at = now - clock::duration(100);
    info.slots = 3;
    info.latency = clock::duration(2);
    return info;
}

// A primary at index 100 in fukuoka, replicas at 90 in kumamoto and at 80 in nagasaki.
std::vector<server_info> make_group()
{
    return {make_server("p", "fukuoka", server_role::primary, 100),
            make_server("a", "kumamoto", server_role::replica, 90),
            make_server("b", "nagasaki", server_role::replica, 80)};
}

read_request make_read(std::string_view domain, std::uint64_t minimum)
{
    read_request request;
    request.local_domain = failure_domain_name(domain);
    request.minimum = {1, minimum};
    return request;
}

// Returns "SERVER REASON", or the kind of the error.
std::string choice_for(const std::vector<server_info>& group, const read_request& request,
                       const policy_settings& policy = {}, unsigned seed = 1)
{
    routing::random_engine random(seed);
    const auto decision = choose_read(group, request, policy, now, random);
    if (!ok(decision)) {
        return std::string(to_string(failure(decision).kind));
    }
    return value(decision).server.text() + " " + std::string(value(decision).reason);
}

// Counts how often each server is chosen in many draws.
std::map<std::string, int> count_choices(const std::vector<server_info>& group,
                                         const read_request& request,
                                         const policy_settings& policy = {})
{
    constexpr int draws = 4'000;
    std::map<std::string, int> counts;
    routing::random_engine random(7);
    for (int draw = 0; draw < draws; ++draw) {
        const auto decision = choose_read(group, request, policy, now, random);
        ++counts[ok(decision) ? value(decision).server.text() : "none"];
    }
    return counts;
}

} // namespace

TEST_CASE("routing: a fresh enough replica in the local failure domain is preferred")
{
    const auto group = make_group();
    CHECK(choice_for(group, make_read("kumamoto", 90)) == "a local_replica");
    CHECK(choice_for(group, make_read("nagasaki", 80)) == "b local_replica");
    CHECK(choice_for(group, make_read("nagasaki", 81)) == "a remote_replica");
    read_request newer = make_read("kumamoto", 91);
    newer.freshness = freshness::known;
    CHECK(choice_for(group, newer) == "p primary_no_fresh_replica");
}

TEST_CASE("routing: a server that was tried, is leaving or is down is not chosen")
{
    auto group = make_group();
    read_request request = make_read("kumamoto", 0);
    const std::array tried{server_name("a")};
    request.tried = tried;
    CHECK(choice_for(group, request) == "b remote_replica");
    group[2].leaving = true;
    CHECK(choice_for(group, request) == "p primary_no_fresh_replica");
    group[0].health = server_health::down;
    CHECK(choice_for(group, request) == "no_replica");
    CHECK(choice_for({}, request) == "no_replica");
}

TEST_CASE("routing: the maximum age includes the age of the report")
{
    const auto group = make_group();
    read_request request = make_read("kumamoto", 0);
    request.max_age = clock::duration(150);
    CHECK(choice_for(group, request) == "a local_replica");
    request.max_age = clock::duration(149);
    CHECK(choice_for(group, request) == "p primary_no_fresh_replica");
}

TEST_CASE("routing: the data age reported by a replaced primary is not trusted")
{
    auto group = make_group();
    group[0].health = server_health::up;
    read_request request = make_read("fukuoka", 0);
    request.primary = server_name("a");
    request.max_age = clock::duration(50);
    CHECK(choice_for(group, request) == "a primary_no_fresh_replica");
    group[1].health = server_health::down;
    CHECK(choice_for(group, request) == "no_replica");
}

TEST_CASE("routing: a replica whose lag indicates that it has reached the position is chosen")
{
    auto group = make_group(); // reports are 100 ms old; "a" is 50 ms and 10 entries behind
    read_request request = make_read("kumamoto", 95);
    CHECK(choice_for(group, request) == "a local_replica_expected");
    group[1].data_age = clock::duration(300); // shows 96 only 180 ms after its report
    group[2].data_age = clock::duration(300); // shows 96 only 240 ms after its report
    request.minimum = {1, 96};                // 80 ms from now: more than a fifth of the lag
    CHECK(choice_for(group, request) == "p primary_no_fresh_replica");
    request.minimum = {1, 95}; // 50 ms from now
    CHECK(choice_for(group, request) == "a local_replica_expected");
    const std::array tried{server_name("b")};
    request.tried = tried;
    CHECK(choice_for(group, request) == "p primary_no_fresh_replica");
    request.tried = {};
    request.freshness = freshness::known;
    CHECK(choice_for(group, request) == "p primary_no_fresh_replica");
    request.freshness = freshness::optimistic;
    request.minimum = {1, 1'000};
    CHECK(choice_for(group, request) == "a local_replica_expected");
}

TEST_CASE("routing: an entry newer than the primary's report is expected within the replica's lag")
{
    auto group = make_group();
    const read_request request = make_read("kumamoto", 101);
    group[1].data_age = clock::duration(123);
    CHECK(choice_for(group, request) == "a local_replica_expected");
    group[1].data_age = clock::duration(124);
    group[2].data_age = clock::duration(124);
    CHECK(choice_for(group, request) == "p primary_no_fresh_replica");
}

TEST_CASE("routing: without a primary a replica that is probably behind is better than a refusal")
{
    auto group = make_group();
    group[0].health = server_health::down;
    group[1].data_age = clock::duration(1'000);
    group[2].data_age = clock::duration(1'000);
    CHECK(choice_for(group, make_read("kumamoto", 1'000)).ends_with("replica_likely_behind"));
}

TEST_CASE("routing: suspect replicas are used only after a healthy primary")
{
    auto group = make_group();
    group[1].health = server_health::suspect;
    group[2].health = server_health::suspect;
    group[1].outstanding = 1;
    group[2].outstanding = 1;
    CHECK(choice_for(group, make_read("kumamoto", 0)) == "p primary_no_fresh_replica");
    group[0].health = server_health::suspect;
    CHECK(choice_for(group, make_read("kumamoto", 0)) == "a local_suspect_replica");
}

TEST_CASE("routing: a probing server gets a small share of the reads, one at a time")
{
    auto group = make_group();
    group[1].health = server_health::probing;
    auto counts = count_choices(group, make_read("nagasaki", 0));
    CHECK(counts["a"] > 0);
    CHECK(counts["a"] < 4'000 / 10);
    group[1].outstanding = 1;
    counts = count_choices(group, make_read("nagasaki", 0));
    CHECK(counts["a"] == 0);
}

TEST_CASE("routing: the less loaded of two random servers is chosen")
{
    std::vector<server_info> group;
    group.reserve(4);
    for (int number = 0; number < 4; ++number) {
        group.push_back(
            make_server("r" + std::to_string(number), "kumamoto", server_role::replica, 100));
    }
    group[3].outstanding = 30;
    auto counts = count_choices(group, make_read("kumamoto", 0));
    CHECK(counts["r3"] == 0);
    CHECK(counts["r0"] > 4'000 / 4);
    policy_settings round_robin;
    round_robin.choice = choice_policy::round_robin;
    counts = count_choices(group, make_read("kumamoto", 0), round_robin);
    CHECK(counts["r3"] > 4'000 / 5);
}

TEST_CASE("routing: a less loaded remote replica is preferred to a saturated local one")
{
    auto group = make_group();
    group[1].outstanding = 6;
    CHECK(choice_for(group, make_read("kumamoto", 0)) == "b remote_replica_less_loaded");
    group[2].outstanding = 6;
    CHECK(choice_for(group, make_read("kumamoto", 0)) == "a local_replica");
}

TEST_CASE("routing: without replica reads every read goes to the primary")
{
    policy_settings primary_only;
    primary_only.replica_reads = false;
    CHECK(choice_for(make_group(), make_read("kumamoto", 0), primary_only) ==
          "p primary_no_fresh_replica");
}

TEST_CASE("routing: writes go to the primary of the term or are refused at once")
{
    auto group = make_group();
    const auto to_primary = choose_write(group, server_name("p"), now);
    REQUIRE(ok(to_primary));
    CHECK(value(to_primary).server == server_name("p"));

    const auto between_terms = choose_write(group, server_name(), now);
    REQUIRE(!ok(between_terms));
    CHECK(failure(between_terms).kind == error_kind::no_primary);
    CHECK(failure(between_terms).ran == ran::no);
    CHECK(failure(between_terms).retry_after > clock::duration::zero());

    CHECK(!ok(choose_write(group, server_name("unheard"), now)));
    group[0].health = server_health::down;
    CHECK(!ok(choose_write(group, server_name("p"), now)));
}

TEST_CASE("routing: a leaving primary gets writes for a bounded time")
{
    auto group = make_group();
    group[0].leaving = true;
    group[0].leaving_since = now - clock::duration(2'000);
    CHECK(ok(choose_write(group, server_name("p"), now)));
    CHECK(!ok(choose_write(group, server_name("p"), now + clock::duration(1))));
}

TEST_CASE("routing: a write to a primary without recent reports is refused at once")
{
    const clock::time_point heard_at = from_ms(10'000);
    server_info primary;
    primary.name = server_name("p");
    primary.role = server_role::primary;
    primary.reported_at = heard_at;
    const std::vector group{primary};
    CHECK(ok(choose_write(group, primary.name, heard_at + clock::duration(1'000))));
    const auto late = choose_write(group, primary.name, heard_at + clock::duration(1'001));
    REQUIRE(!ok(late));
    CHECK(failure(late).kind == error_kind::no_primary);
    CHECK(failure(late).ran == ran::no);
    CHECK(failure(late).retry_after.count() > 0);
}
