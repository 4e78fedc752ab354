#include "standin_database.h"

#include <doctest/doctest.h>

#include <array>

using namespace primrosehead;
using namespace primrosehead::standin;

namespace {

constexpr clock::time_point start{clock::duration(1'000)};

statement put(std::string key, std::string_view value)
{
    return put_statement{std::move(key), boost::json::value(boost::json::string(value))};
}

statement get(std::string key)
{
    return get_statement{std::move(key)};
}

std::string visible_value(const result<answer>& outcome)
{
    REQUIRE(ok(outcome));
    const boost::json::value& found = value(outcome).result.at("value");
    return found.is_string() ? std::string(found.get_string()) : "null";
}

// A database server with in-memory storage.
struct test_server {
    explicit test_server(std::string name, database_faults faults = {})
        : data(std::move(name), log_storage, faults)
    {
    }
    memory_storage log_storage;
    database data;
};

void make_primary(database& data, std::uint64_t term)
{
    REQUIRE(ok(data.fence(term)));
    REQUIRE(ok(data.promote(term, {})));
}

void make_replica(database& data, std::uint64_t term, std::span<const term_boundary> starts = {})
{
    REQUIRE(ok(data.follow(term, "primary", starts)));
}

// Transfers one batch of log entries and applies it immediately.
void replicate(database& from, database& to, std::string_view name)
{
    const log_request request = to.next_request();
    from.record_received(name, request);
    const result<log_batch> batch = from.entries_for(request, 100);
    REQUIRE(ok(batch));
    REQUIRE(ok(to.receive(request.term, value(batch), start, start)));
    to.apply(start, clock::duration(0));
}

std::uint64_t write(database& to, std::string key, std::string_view text, std::uint64_t term)
{
    const result<answer> outcome = to.write(put(std::move(key), text), term, {});
    REQUIRE(ok(outcome));
    return value(outcome).position.index;
}

} // namespace

TEST_CASE("standin: a replaced primary rejects writes unless ignore_terms is set")
{
    test_server server("a");
    make_primary(server.data, 1);
    CHECK(ok(server.data.write(put("k", "v"), 1, {})));
    REQUIRE(ok(server.data.fence(2)));
    const result<answer> refused = server.data.write(put("k", "w"), 1, {});
    REQUIRE(!ok(refused));
    CHECK(failure(refused).kind == error_kind::wrong_term);
    CHECK(failure(refused).ran == ran::no);
    CHECK(!ok(server.data.fence(1)));

    test_server unfenced("b", database_faults{.ignore_terms = true});
    make_primary(unfenced.data, 1);
    REQUIRE(ok(unfenced.data.fence(2)));
    CHECK(ok(unfenced.data.write(put("k", "w"), 1, {})));
}

TEST_CASE("standin: a repeated idempotency id returns the recorded result without a second write")
{
    test_server server("a");
    make_primary(server.data, 1);
    const statement add = add_statement{"n", 1};
    const result<answer> first = server.data.write(add, 1, "q");
    const result<answer> again = server.data.write(add, 1, "q");
    REQUIRE(ok(again));
    CHECK(value(again).position == value(first).position);
    CHECK(value(again).is_repeated);
    CHECK(value(again).result == value(first).result);

    test_server without_records("b", database_faults{.forget_idempotency = true});
    make_primary(without_records.data, 1);
    REQUIRE(ok(without_records.data.write(add, 1, "q")));
    const result<answer> twice = without_records.data.write(add, 1, "q");
    CHECK(value(twice).result.at("value").as_int64() == 2);
}

TEST_CASE("standin: a promotion keeps or truncates an idempotency record with its log entry")
{
    test_server old_primary("a");
    test_server replica("b");
    make_primary(old_primary.data, 1);
    make_replica(replica.data, 1);
    const statement add = add_statement{"n", 1};
    REQUIRE(ok(old_primary.data.write(add, 1, "kept")));
    replicate(old_primary.data, replica.data, "b");
    REQUIRE(ok(old_primary.data.write(add, 1, "lost")));
    make_primary(replica.data, 2);
    const result<answer> kept = replica.data.write(add, 2, "kept");
    CHECK(value(kept).is_repeated);
    const result<answer> lost = replica.data.write(add, 2, "lost");
    CHECK(!value(lost).is_repeated);
    CHECK(value(lost).result.at("value").as_int64() == 2);
}

TEST_CASE("standin: a divergent log tail is truncated, with and without known term boundaries")
{
    for (const bool knows_starts : {true, false}) {
        test_server old_primary("a");
        test_server replica("b");
        make_primary(old_primary.data, 1);
        make_replica(replica.data, 1);
        write(old_primary.data, "k", "kept", 1);
        replicate(old_primary.data, replica.data, "b");
        write(old_primary.data, "k", "lost", 1);
        const std::uint64_t begun = replica.data.received().index;
        make_primary(replica.data, 2);
        write(replica.data, "k", "new", 2);
        const std::array starts{term_boundary{1, 0}, term_boundary{2, begun}};
        const std::span<const term_boundary> known_starts(starts);
        make_replica(old_primary.data, 2,
                     knows_starts ? known_starts : std::span<const term_boundary>());
        for (int round = 0; round < 4; ++round) {
            replicate(replica.data, old_primary.data, "a");
        }
        CHECK(visible_value(old_primary.data.read(get("k"), std::nullopt)) == "new");
        CHECK(old_primary.data.received() == replica.data.received());
    }
}

TEST_CASE(
    "standin: a write is replicated only once a replica confirms it and the term's first entry")
{
    test_server primary("a");
    test_server replica("b");
    make_primary(primary.data, 1);
    make_replica(replica.data, 1);
    const std::uint64_t index = write(primary.data, "k", "v", 1);
    CHECK(!primary.data.is_replicated(index));
    replicate(primary.data, replica.data, "b");
    CHECK(!primary.data.is_replicated(index));
    primary.data.record_received("b", replica.data.next_request());
    CHECK(primary.data.is_replicated(index));
    make_primary(replica.data, 2);
    CHECK(!replica.data.is_replicated(index));
}

TEST_CASE("standin: replication lag delays visibility of received entries and raises the data age")
{
    test_server primary("a");
    test_server replica("b");
    make_primary(primary.data, 1);
    make_replica(replica.data, 1);
    replicate(primary.data, replica.data, "b");
    const std::uint64_t index = write(primary.data, "k", "v", 1);
    const log_request request = replica.data.next_request();
    const result<log_batch> batch = primary.data.entries_for(request, 100);
    const clock::time_point later = start + clock::duration(100);
    REQUIRE(ok(replica.data.receive(1, value(batch), later, later)));
    const clock::duration lag(500);
    replica.data.apply(later + clock::duration(499), lag);
    CHECK(replica.data.received().index == index);
    CHECK(replica.data.applied().index < index);
    CHECK(replica.data.data_age(later) == clock::duration(100));
    const result<answer> early = replica.data.read(get("k"), log_position{1, index});
    REQUIRE(!ok(early));
    CHECK(failure(early).kind == error_kind::behind);
    replica.data.apply(later + lag, lag);
    CHECK(visible_value(replica.data.read(get("k"), log_position{1, index})) == "v");
    CHECK(replica.data.data_age(later + lag) == lag);
}

TEST_CASE("standin: a read transaction reads from the snapshot taken at its begin")
{
    for (const bool unstable : {false, true}) {
        test_server server("a", database_faults{.unstable_snapshot = unstable});
        make_primary(server.data, 1);
        write(server.data, "k", "old", 1);
        const auto begun = server.data.begin(transaction_mode::read, 7, 1, std::nullopt);
        REQUIRE(ok(begun));
        write(server.data, "k", "new", 1);
        const auto read = server.data.execute(value(begun).transaction, 7, get("k"));
        CHECK(visible_value(read) == (unstable ? "new" : "old"));
    }
}

TEST_CASE("standin: a transaction is bound to its connection and isolated from other readers")
{
    for (const bool mixed : {false, true}) {
        test_server server("a", database_faults{.mix_transactions = mixed});
        make_primary(server.data, 1);
        const auto begun = server.data.begin(transaction_mode::write, 7, 1, std::nullopt);
        REQUIRE(ok(begun));
        const std::string name = value(begun).transaction;
        CHECK(!ok(server.data.execute(name, 8, put("k", "foreign"))));
        REQUIRE(ok(server.data.execute(name, 7, put("k", "mine"))));
        CHECK(visible_value(server.data.read(get("k"), std::nullopt)) == (mixed ? "mine" : "null"));
        server.data.connection_closed(7);
        CHECK(!ok(server.data.commit(name, 7, 1, {})));
        CHECK(server.data.open_transactions() == 0);
    }
}

TEST_CASE("standin: the second of two conflicting transactions fails to commit")
{
    test_server server("a");
    make_primary(server.data, 1);
    const statement add = add_statement{"n", 1};
    const std::string one =
        value(server.data.begin(transaction_mode::write, 1, 1, std::nullopt)).transaction;
    const std::string two =
        value(server.data.begin(transaction_mode::write, 2, 1, std::nullopt)).transaction;
    REQUIRE(ok(server.data.execute(one, 1, add)));
    REQUIRE(ok(server.data.execute(two, 2, add)));
    CHECK(ok(server.data.commit(one, 1, 1, {})));
    const result<answer> second = server.data.commit(two, 2, 1, {});
    REQUIRE(!ok(second));
    CHECK(failure(second).ran == ran::no);
    CHECK(server.data.read(get("n"), std::nullopt).index() == 0);
}

TEST_CASE("standin: a fence aborts open write transactions")
{
    test_server server("a");
    make_primary(server.data, 1);
    const std::string name =
        value(server.data.begin(transaction_mode::write, 1, 1, std::nullopt)).transaction;
    REQUIRE(ok(server.data.execute(name, 1, put("k", "v"))));
    REQUIRE(ok(server.data.fence(2)));
    CHECK(!ok(server.data.commit(name, 1, 1, {})));
}
