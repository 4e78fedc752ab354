#include "history_check.h"
#include "history_measures.h"

#include <doctest/doctest.h>

using namespace primrosehead;
using namespace primrosehead::history;

namespace {

// Builds a history of consecutive operations, each of which takes 1 ms and starts 1 ms after the
// end of the previous one.
class history_builder {
  public:
    operation& add(std::string kind, std::string key, std::string value, log_position position)
    {
        operation one;
        one.id = built.operations.size() + 1;
        one.session = "s";
        one.database = "d";
        one.kind = std::move(kind);
        one.keys = {std::move(key)};
        one.value = std::move(value);
        one.with_token = one.kind != "stale_read";
        one.called_us = now_us_;
        one.done_us = now_us_ + 1'000;
        one.outcome = "ok";
        one.status = 200;
        one.position = position;
        now_us_ += 2'000;
        return built.operations.emplace_back(std::move(one));
    }

    void write(std::string value, std::uint64_t index)
    {
        add("write", "w/d/1", std::move(value), {1, index});
    }

    operation& read(std::string seen, std::uint64_t index)
    {
        operation& one = add("read", "w/d/1", {}, {1, index});
        one.seen = {std::move(seen)};
        return one;
    }

    recorded_history built;

  private:
    std::int64_t now_us_ = 1'000'000;
};

request_event admitted_at(std::int64_t ms, unsigned status)
{
    request_event one;
    one.organisation = "o";
    one.counted = true;
    one.called_us = ms * 1'000;
    one.done_us = ms * 1'000 + 500;
    one.status = status;
    one.error = status == 200 ? "" : "rate_limited";
    return one;
}

bool is_broken(const finding& found)
{
    return found.verdict == verdict::broken;
}

bool is_held(const finding& found)
{
    return found.verdict == verdict::held;
}

} // namespace

TEST_CASE("history: every check of an empty history is not exercised")
{
    for (const finding& each : check_all(recorded_history())) {
        CHECK(each.verdict == verdict::not_exercised);
    }
}

TEST_CASE("history: read-your-writes")
{
    history_builder good;
    good.write("w/d#1", 5);
    good.read("w/d#1", 5);
    CHECK(is_held(check_read_your_writes(good.built)));
    history_builder bad;
    bad.write("w/d#1", 5);
    bad.read("null", 4);
    const finding found = check_read_your_writes(bad.built);
    CHECK(is_broken(found));
    CHECK(found.operation == 2);
}

TEST_CASE("history: monotonic reads")
{
    history_builder good;
    good.read("null", 5);
    good.read("null", 6);
    CHECK(is_held(check_monotonic_reads(good.built)));
    good.read("null", 4);
    CHECK(check_monotonic_reads(good.built).operation == 3);
}

TEST_CASE("history: reads at later positions return the last acknowledged write")
{
    history_builder good;
    good.write("w/d#1", 5);
    good.write("w/d#2", 6);
    good.read("w/d#1", 5);
    good.read("w/d#2", 9);
    CHECK(is_held(check_acknowledged_writes(good.built)));
    good.read("w/d#1", 9);
    CHECK(check_acknowledged_writes(good.built).operation == 5);
}

TEST_CASE("history: a read may return a write of unknown outcome or the value before it")
{
    history_builder either;
    either.write("w/d#1", 5);
    operation& unknown = either.add("write", "w/d/1", "w/d#2", {});
    unknown.outcome = "unknown";
    either.read("w/d#1", 7);
    either.read("w/d#2", 7);
    CHECK(is_held(check_acknowledged_writes(either.built)));
}

TEST_CASE("history: an add is applied at most once")
{
    history_builder good;
    good.add("add", "a/d/1", "a/d/1", {1, 5}).seen = {"1"};
    good.add("read_add", "a/d/1", {}, {1, 6}).seen = {"1"};
    CHECK(is_held(check_at_most_once(good.built)));
    good.add("read_add", "a/d/1", {}, {1, 7}).seen = {"2"};
    CHECK(check_at_most_once(good.built).operation == 3);
}

TEST_CASE("history: transactions are isolated and rolled-back values are never read")
{
    history_builder good;
    good.add("transaction", "s/d/1/0", "s/d/1#1", {1, 5}).seen = {"s/d/1#1"};
    good.add("rollback", "s/d/1/0", "s/d/1#2", {}).outcome = "no";
    good.add("scan", "s/d/1/0", {}, {1, 6}).seen = {"s/d/1#1"};
    CHECK(is_held(check_transaction_isolation(good.built)));
    history_builder inside = good;
    inside.add("transaction", "s/d/1/0", "s/d/1#4", {1, 7}).seen = {"s/d/1#9"};
    CHECK(check_transaction_isolation(inside.built).operation == 4);
    good.add("scan", "s/d/1/0", {}, {1, 8}).seen = {"s/d/1#2"};
    CHECK(check_transaction_isolation(good.built).operation == 4);
}

TEST_CASE("history: a read transaction sees one snapshot")
{
    history_builder good;
    operation& scan = good.add("scan", "s/d/1/0", {}, {1, 6});
    scan.keys = {"s/d/1/0", "s/d/1/1"};
    scan.seen = {"s/d/1#1", "s/d/1#1"};
    CHECK(is_held(check_snapshot_reads(good.built)));
    good.built.operations.front().seen.back() = "s/d/1#2";
    CHECK(is_broken(check_snapshot_reads(good.built)));
}

TEST_CASE("history: requests with an invalid key or a foreign route are refused")
{
    history_builder good;
    good.add("wrong_key", "w/d/1", {}, {}).status = 401;
    good.add("foreign_route", "w/d/1", {}, {}).status = 403;
    CHECK(is_held(check_access_control(good.built)));
    good.add("wrong_key", "w/d/1", {}, {}).status = 200;
    CHECK(check_access_control(good.built).operation == 3);
}

TEST_CASE("history: an answer holds a value of the requested key group")
{
    history_builder good;
    good.read("w/d#1", 5);
    CHECK(is_held(check_complete_responses(good.built)));
    good.read("s/d/1#7", 5);
    CHECK(check_complete_responses(good.built).operation == 2);
}

TEST_CASE("history: a read is not older than its maximum age")
{
    history_builder good;
    good.write("w/d#1", 5);
    operation& fresh = good.add("stale_read", "w/d/1", {}, {1, 4});
    fresh.max_age_ms = 1'000;
    CHECK(is_held(check_staleness_bound(good.built)));
    operation& old = good.add("stale_read", "w/d/1", {}, {1, 4});
    old.max_age_ms = 1;
    CHECK(check_staleness_bound(good.built).operation == 3);
}

TEST_CASE("history: a write refused as not executed is absent from the execution records")
{
    history_builder refused;
    operation& one = refused.add("write", "w/d/1", "w/d#1", {});
    one.outcome = "no";
    execution_evidence evidence;
    CHECK(is_held(check_refused_not_executed(refused.built, evidence)));
    CHECK(ok(read_execution_record(
        R"({"n":1,"body":"{\"statement\":{\"put\":\"w/d/1\",\"value\":\"w/d#1\"}}"})"
        "\n"
        R"({"n":1,"changed":true})"
        "\n",
        {}, evidence)));
    CHECK(is_broken(check_refused_not_executed(refused.built, evidence)));
}

TEST_CASE("history: an execution record with a line that has no number is refused, not read past")
{
    execution_evidence evidence;
    const status read =
        read_execution_record("{\"n\":1,\"changed\":false}\n{\"n\":\"x\"}\n", {}, evidence);
    REQUIRE(!ok(read));
    CHECK(describe(failure(read)).find("Line 2") != std::string::npos);
}

TEST_CASE("history: values of a transaction count as executed only after its commit")
{
    execution_evidence evidence;
    CHECK(ok(read_execution_record(
        R"({"n":1,"body":"{\"statement\":{\"put\":\"k\",\"value\":\"v\"},\"transaction\":\"t\"}"})"
        "\n"
        R"({"n":1,"changed":false})"
        "\n"
        R"({"n":2,"body":"{\"transaction\":\"t\"}"})"
        "\n",
        {}, evidence)));
    CHECK(!evidence.executed_values.contains("v"));
    execution_evidence committed;
    CHECK(ok(read_execution_record(
        R"({"n":1,"body":"{\"statement\":{\"put\":\"k\",\"value\":\"v\"},\"transaction\":\"t\"}"})"
        "\n"
        R"({"n":2,"body":"{\"transaction\":\"t\"}"})"
        "\n"
        R"({"n":2,"changed":true})"
        "\n",
        {}, committed)));
    CHECK(committed.executed_values.contains("v"));
}

TEST_CASE("history: a caller's key in an execution record is detected")
{
    execution_evidence evidence;
    CHECK(ok(read_execution_record(R"({"n":1,"headers":[["x","secret"]],"body":""})", {"other"},
                                   evidence)));
    CHECK(is_held(check_no_key_leaked(evidence)));
    CHECK(ok(read_execution_record(R"({"n":2,"headers":[["x","secret"]],"body":""})", {"secret"},
                                   evidence)));
    CHECK(is_broken(check_no_key_leaked(evidence)));
}

TEST_CASE("history: no window admits more than burst plus rate x length")
{
    recorded_history within;
    within.contracts = {{"o", 10, 2}};
    for (const std::int64_t ms : {0, 0, 100, 200, 300, 1'000, 1'000}) {
        within.requests.push_back(admitted_at(ms, 200));
    }
    CHECK(is_held(check_rate_limits(within)));
    within.requests.push_back(admitted_at(1'001, 200));
    within.requests.push_back(admitted_at(1'002, 200));
    CHECK(is_broken(check_rate_limits(within)));
    CHECK(measure(within).organisations.front().window_excess > 1);
}

TEST_CASE("history: a refusal is wrong only while the token bucket holds a token")
{
    recorded_history history;
    history.contracts = {{"o", 10, 2}};
    history.requests = {admitted_at(0, 200), admitted_at(1, 200), admitted_at(2, 429),
                        admitted_at(500, 429)};
    const organisation_measure found = measure(history).organisations.front();
    CHECK(found.within == 3);
    CHECK(found.refused_wrongly == 1);
}

TEST_CASE("history: written lines are parsed back and invalid lines are rejected")
{
    history_builder one;
    operation& read = one.read("w/d#1", 5);
    read.max_age_ms = 7;
    const std::string text = call_line(read) + "\n" + done_line(read) + "\n" +
                             request_line(admitted_at(3, 429)) + "\n" +
                             contract_line({"o", 10, 2}, "secret") + "\n";
    const result<recorded_history> back = read_history(text);
    REQUIRE(ok(back));
    CHECK(value(back).operations.front().seen == read.seen);
    CHECK(value(back).operations.front().max_age_ms == 7);
    CHECK(value(back).requests.front().error == "rate_limited");
    CHECK(value(back).keys.front() == "secret");
    CHECK(!ok(read_history("{\"event\":\"done\",\"op\":9}\n")));
    CHECK(!ok(read_history("nonsense\n")));
}

TEST_CASE("history: a read is replica-servable only after the replica lag")
{
    constexpr clock::duration lag{3};
    history_builder history;
    history.write("w/d#1", 5);                 // answered 1 ms later
    history.read("w/d#1", 5).role = "primary"; // 2 ms after the call
    history.read("w/d#1", 5).role = "replica"; // 4 ms after the call: 3 ms after the answer
    history.read("w/d#1", 5).role = "primary"; // could have been served by a replica
    const measures found = measure(history.built, lag);
    CHECK(found.servable_reads == 2);
    CHECK(found.servable_reads_by_replicas == 1);
    CHECK(measure(history.built, clock::duration(100)).servable_reads == 0);
    // A read of a sum is no commit: it must not date the commit that it saw back.
    history_builder early;
    early.add("read_add", "w/d/1", "w/d#1", {1, 5});
    early.write("w/d#1", 5);
    early.read("w/d#1", 5).role = "primary";
    CHECK(measure(early.built, lag).servable_reads == 0);
}
