// Operations that an instance passes to the home of a backend server, over the bus and with a fake
// server. Guards against effects that happen twice, untrue "not run" answers, and lost connections.
#include "event_trace.h"
#include "home_fleet.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

using texts = std::vector<std::string>;
constexpr clock::duration settle_time{150};

pooler::server_statement make(std::string_view text)
{
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = text;
    statement.is_write = text.starts_with("PUT");
    return statement;
}

// A caller's session at entry-1.
struct caller {
    explicit caller(home_fleet& of_fleet) : fleet(of_fleet), run(of_fleet.node(1).shared, state) {}

    line_answer single(std::string_view text, std::string_view database = "db")
    {
        const pooler::operation op = fleet.operation(database);
        const pooler::server_statement statement = make(text);
        return require([&] { return run.run_single(op, statement); });
    }
    void begin() { run.begin(fleet.operation(), false); }
    line_answer statement(std::string_view text)
    {
        const pooler::server_statement statement = make(text);
        return require([&] { return run.run(statement); });
    }
    line_answer commit()
    {
        const std::string id = "id2";
        return require([&] { return run.commit(id); });
    }
    template <class work>
    line_answer require(work done)
    {
        std::optional<line_answer> answer = fleet.wait_for(done);
        REQUIRE(answer.has_value());
        return std::move(*answer);
    }

    home_fleet& fleet;
    pooler::session_context state;
    pooler::execution run;
};

std::size_t count(const texts& received, std::string_view text)
{
    return static_cast<std::size_t>(std::count(received.begin(), received.end(), text));
}

std::vector<std::string> lines_of(const event_log& log)
{
    std::istringstream all(log.buffered());
    std::vector<std::string> lines;
    for (std::string line; std::getline(all, line);) {
        lines.push_back(line);
    }
    return lines;
}

// The first statement of a transaction, of the fifth start of an origin.
pb::home_request make_transaction_request()
{
    pb::home_request request;
    request.set_call(1);
    request.set_incarnation(5);
    request.set_operation(pb::HOME_STATEMENT);
    request.set_server("server-1");
    request.set_group("g");
    request.set_organisation("org");
    request.set_remaining_ms(1'000);
    request.set_transaction(7);
    request.set_step(1);
    request.set_statement_id("id1");
    request.set_statement("PUT a 1");
    request.set_write(true);
    return request;
}

} // namespace

TEST_CASE("home path: a write, reads at the primary and at a replica run at the home")
{
    home_fleet fleet;
    caller session(fleet);
    session.state.values["zone"] = "JST";
    const std::string home = fleet.best_home().name;

    const line_answer written = session.single("PUT a 1");
    CHECK(!written.is_error);
    CHECK(session.run.last_home() == home);
    CHECK(session.run.has_reached_server());
    CHECK(session.state.last_commit == written.position); // a later read must see it

    const line_answer read = session.single("GET a");
    CHECK(!read.is_error);
    pooler::freshness_tracker& positions = fleet.node(1).connections.freshness_of("g");
    CHECK(positions.newest_term() == 1); // bounded reads need the primary's positions here

    CHECK(!session.single("GET b", "stale").is_error);
    CHECK(fleet.server.received() ==
          texts{"SET zone JST", "PUT a 1", "BEGIN", "GET a", "ROLLBACK", "AFTER 1.2 GET b"});
    CHECK(fleet.server.connections() == 1); // kept by the home for the organisation
}

TEST_CASE("home path: a home that is the instance itself takes the same queue without the bus")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {1});
    caller session(fleet);
    CHECK(!session.single("PUT a 1").is_error);
    CHECK(session.run.last_home() == "entry-1");
    session.begin();
    CHECK(!session.statement("PUT b 1").is_error);
    CHECK(!session.commit().is_error);
    CHECK(fleet.server.received() == texts{"PUT a 1", "BEGIN", "PUT b 1", "COMMIT"});
    CHECK(!fleet.node(1).home->has_work());
}

TEST_CASE("home path: a transaction runs in order on one connection, without a prefetch")
{
    home_fleet fleet;
    caller session(fleet);
    session.begin();
    fleet.run(settle_time);
    CHECK(fleet.server.received().empty());
    CHECK(!session.statement("PUT a 1").is_error);
    session.state.values["zone"] = "JST";
    CHECK(!session.statement("PUT b 1").is_error);
    const line_answer committed = session.commit();
    CHECK(!committed.is_error);
    CHECK(session.state.last_commit == committed.position);
    CHECK(!session.run.is_open());
    CHECK(fleet.server.received() ==
          texts{"BEGIN", "PUT a 1", "SET zone JST", "PUT b 1", "COMMIT"});
    CHECK(!fleet.best_home().home->has_work());
}

TEST_CASE("home path: a rollback reaches the server and frees the connection")
{
    home_fleet fleet;
    caller session(fleet);
    session.begin();
    CHECK(!session.statement("PUT a 1").is_error);
    session.run.roll_back();
    fleet.run(settle_time);
    CHECK(fleet.server.received() == texts{"BEGIN", "PUT a 1", "ROLLBACK"});
    CHECK(!fleet.best_home().home->has_work());
    CHECK(!session.single("PUT b 1").is_error);
    CHECK(fleet.server.connections() == 1);
}

TEST_CASE("home path: a commit or write that the server did not answer is unknown")
{
    home_fleet fleet;
    caller session(fleet);
    SUBCASE("commit")
    {
        fleet.server.drop_commit_answers();
        session.begin();
        CHECK(!session.statement("PUT a 1").is_error);
        CHECK(session.commit().code == "UNKNOWN");
        CHECK(count(fleet.server.received(), "COMMIT") == 1);
    }
    SUBCASE("write")
    {
        fleet.server.drop_write_answers();
        CHECK(session.single("PUT a 1").code == "UNKNOWN");
        CHECK(count(fleet.server.received(), "PUT a 1") == 1);
    }
    SUBCASE("statement of a transaction")
    {
        fleet.server.drop_write_answers();
        session.begin();
        CHECK(session.statement("PUT a 1").code == "ABORTED");
        CHECK(count(fleet.server.received(), "COMMIT") == 0);
    }
}

// Guards against a commit that is said to be unknown though it was never sent.
TEST_CASE("home path: a commit whose setup fails at the home is rolled back")
{
    home_fleet fleet;
    caller session(fleet);
    SUBCASE("a value is refused")
    {
        fleet.server.fail_queries("SET a");
    }
    SUBCASE("the answer to a value is lost")
    {
        fleet.server.lose_answers("SET a");
    }
    session.begin();
    CHECK(!session.statement("PUT a 1").is_error);
    session.state.values["a"] = "1";
    CHECK(session.commit().code == "ABORTED");
    CHECK(count(fleet.server.received(), "COMMIT") == 0);
}

// Guards against answers of other queries that a home passes on.
TEST_CASE("home path: a success in another state than the statement's is not its answer")
{
    home_fleet fleet;
    caller session(fleet);
    SUBCASE("a write")
    {
        fleet.server.change_answers("PUT", replace("IDLE I", "IDLE T"));
        CHECK(session.single("PUT a 1").code == "UNKNOWN");
    }
    SUBCASE("a statement of a transaction")
    {
        fleet.server.change_answers("PUT", replace("IDLE T", "IDLE I"));
        session.begin();
        CHECK(session.statement("PUT a 1").code == "ABORTED");
    }
    SUBCASE("a commit")
    {
        fleet.server.change_answers("COMMIT", replace("IDLE I", "IDLE T"));
        session.begin();
        CHECK(!session.statement("PUT a 1").is_error);
        CHECK(session.commit().code == "UNKNOWN");
    }
    SUBCASE("a commit without a signature")
    {
        session.begin();
        CHECK(!session.statement("PUT a 1").is_error);
        fleet.server.omit_signatures();
        CHECK(session.commit().code == "UNKNOWN");
    }
}

TEST_CASE("home path: reads are repeated at the next home when the first one is silent")
{
    home_fleet fleet;
    caller session(fleet);
    home_node& frozen = fleet.best_home();
    if (frozen.name == "entry-1") {
        fleet.set_peers(fleet.node(1), {2, 3});
    }
    home_node& home = fleet.best_home();
    home.is_frozen = true;
    const clock::time_point asked_at = clock::now();
    CHECK(!session.single("GET a").is_error);
    CHECK(session.run.last_home() != home.name);
    CHECK(clock::now() - asked_at >= pooler::home_calls::silence_limit);
    // The suspected home is not asked again.
    const clock::time_point second_at = clock::now();
    CHECK(!session.single("PUT b 1").is_error);
    CHECK(clock::now() - second_at < pooler::home_calls::silence_limit);
    CHECK(count(fleet.server.received(), "PUT b 1") == 1);
}

TEST_CASE("home path: a write is sent once and is unknown when its home is silent")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    caller session(fleet);
    home_node& home = fleet.best_home();
    SUBCASE("before the home received it")
    {
        home.is_frozen = true;
        CHECK(session.single("PUT a 1").code == "UNKNOWN");
        CHECK(count(fleet.server.received(), "PUT a 1") == 0);
    }
    SUBCASE("after the home sent it to the server")
    {
        home.drops_outgoing = true;
        CHECK(session.single("PUT a 1").code == "UNKNOWN");
        CHECK(count(fleet.server.received(), "PUT a 1") == 1);
    }
}

TEST_CASE("home path: a transaction whose home is silent is aborted, or unknown after its commit")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    caller session(fleet);
    home_node& home = fleet.best_home();
    session.begin();
    CHECK(!session.statement("PUT a 1").is_error);
    SUBCASE("statement")
    {
        home.is_frozen = true;
        CHECK(session.statement("PUT b 1").code == "ABORTED");
        CHECK(!session.run.is_open());
    }
    SUBCASE("commit")
    {
        home.drops_outgoing = true;
        CHECK(session.commit().code == "UNKNOWN");
        CHECK(count(fleet.server.received(), "COMMIT") == 1);
    }
}

TEST_CASE("home path: progress keeps a slow statement at its home")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    caller session(fleet);
    const std::string home = fleet.best_home().name;
    fleet.server.delay_answers(clock::duration(350)); // beyond the silence limit, twice in a read
    CHECK(!session.single("GET a").is_error);
    CHECK(session.run.last_home() == home);
    CHECK(count(fleet.server.received(), "GET a") == 1);
}

TEST_CASE("home path: a leaving home sends new operations on and finishes its transactions")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    caller in_transaction(fleet);
    in_transaction.begin();
    CHECK(!in_transaction.statement("PUT a 1").is_error);
    home_node& leaving = fleet.best_home();
    leaving.home->begin_leaving();
    caller other(fleet);
    CHECK(!other.single("PUT b 1").is_error);
    CHECK(other.run.last_home() != leaving.name);
    CHECK(!other.run.last_home().empty());
    CHECK(!in_transaction.commit().is_error);
    CHECK(!leaving.home->has_work());

    // After half of the grace period transactions are rolled back.
    caller late(fleet);
    late.begin();
    CHECK(!late.statement("PUT c 1").is_error);
    fleet.node(2).home->roll_back_all();
    fleet.node(3).home->roll_back_all();
    CHECK(late.commit().code == "ABORTED");
    fleet.run(settle_time);
    CHECK(count(fleet.server.received(), "COMMIT") == 1);
}

TEST_CASE("home path: a restarted home does not know its transactions and commits nothing")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    caller session(fleet);
    session.begin();
    CHECK(!session.statement("PUT a 1").is_error);
    fleet.best_home().restart_home();
    SUBCASE("commit")
    {
        CHECK(session.commit().code == "ABORTED");
    }
    SUBCASE("statement")
    {
        CHECK(session.statement("PUT b 1").code == "ABORTED");
        CHECK(count(fleet.server.received(), "PUT b 1") == 0);
    }
    fleet.run(settle_time);
    CHECK(count(fleet.server.received(), "COMMIT") == 0);
    CHECK(count(fleet.server.received(), "ROLLBACK") == 1);
}

TEST_CASE("home path: a message that arrives twice runs once")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    fleet.node(1).sends_copies = true;
    caller session(fleet);
    CHECK(!session.single("PUT a 1").is_error);
    session.begin();
    CHECK(!session.statement("PUT b 1").is_error);
    CHECK(!session.commit().is_error);
    fleet.run(settle_time);
    CHECK(fleet.server.received() == texts{"PUT a 1", "BEGIN", "PUT b 1", "COMMIT"});
}

TEST_CASE("home path: a home at its cap of connections refuses and sends nothing")
{
    home_fleet fleet(4); // less 2 for control instances, three fifths of the others: 1
    fleet.set_peers(fleet.node(1), {2, 3});
    caller first(fleet);
    first.begin();
    CHECK(!first.statement("PUT a 1").is_error);
    caller second(fleet);
    const line_answer refused = second.single("PUT b 1");
    CHECK(refused.code == "BUSY");
    CHECK(refused.text.starts_with("not run: "));
    CHECK(refused.text.find("retry after") != std::string::npos);
    CHECK(!first.commit().is_error);
    CHECK(!second.single("PUT c 1").is_error);
    CHECK(count(fleet.server.received(), "PUT b 1") == 0);
    CHECK(fleet.server.connections() == 1);
}

TEST_CASE("home path: a prepared statement is prepared once on the home's connection")
{
    home_fleet fleet;
    caller session(fleet);
    pooler::prepared_statement prepared;
    prepared.shape = "GET ?";
    prepared.pool_name = pooler::pooled_statement_name(false, prepared.shape);
    pooler::server_statement statement = make("EXECUTE " + prepared.pool_name + " a");
    statement.prepared = &prepared;
    const pooler::operation op = fleet.operation();
    for (int i = 0; i < 2; ++i) {
        CHECK(!session.require([&] { return session.run.run_single(op, statement); }).is_error);
    }
    const texts& received = fleet.server.received();
    CHECK(std::count_if(received.begin(), received.end(),
                        [](const std::string& text) { return text.starts_with("PREPARE"); }) == 1);
    CHECK(count(received, statement.text) == 2);
}

TEST_CASE("home path: requests that may not run get a typed refusal and send nothing")
{
    home_fleet fleet;
    pooler::home_server& home = *fleet.node(2).home;
    std::vector<pb::home_result> results;
    pb::home_request request = make_transaction_request();
    const auto submit = [&] {
        home.submit_local(request,
                          [&](const pb::home_reply& reply) { results.push_back(reply.result()); });
        fleet.run(settle_time);
    };
    submit(); // begins the transaction
    REQUIRE(results == std::vector<pb::home_result>{pb::HOME_ANSWERED});
    const texts expected = fleet.server.received();
    request.set_call(2);
    SUBCASE("a repeated step")
    {
        request.set_step(1);
    }
    SUBCASE("a skipped step")
    {
        request.set_step(3);
    }
    SUBCASE("an unknown transaction")
    {
        request.set_step(2);
        request.set_transaction(8);
    }
    SUBCASE("an earlier start of the origin")
    {
        request.set_incarnation(4);
    }
    SUBCASE("a malformed message")
    {
        request.set_step(2);
        request.set_statement("PUT b 1\r\nRUN x COMMIT");
    }
    submit();
    CHECK(results == std::vector<pb::home_result>{pb::HOME_ANSWERED, pb::HOME_INVALID});
    CHECK(fleet.server.received() == expected);
    CHECK(home.has_work()); // the transaction is not affected
}

TEST_CASE("home path: a home does not go on opening connections at a full server")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    fleet.server.limit_connections(1); // another instance may hold the others
    caller first(fleet);
    first.begin();
    CHECK(!first.statement("PUT a 1").is_error);
    caller second(fleet);
    const line_answer refused = second.single("PUT b 1");
    CHECK(refused.code == "BUSY");
    CHECK(refused.text.starts_with("not run: "));
    CHECK(fleet.server.connections() <= 3); // each opening takes the server a slot
    CHECK(!first.commit().is_error);
    CHECK(count(fleet.server.received(), "PUT b 1") == 0);
}

TEST_CASE("home path: a home without the server is passed over, and all of them mean not run")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    const auto avoid_server = [](home_node& node) {
        const auto server = node.connections.find_server("g", "server-1");
        for (int i = 0; i < 4; ++i) { // long enough for the test
            node.connections.mark_unreachable(*server, false, clock::now());
        }
    };
    caller session(fleet);
    home_node& best = fleet.best_home();
    avoid_server(best);
    CHECK(!session.single("PUT a 1").is_error);
    CHECK(session.run.last_home() != best.name);
    avoid_server(fleet.node(2));
    avoid_server(fleet.node(3));
    const line_answer refused = session.single("PUT b 1");
    CHECK(refused.code == "BUSY");
    CHECK(refused.text.starts_with("not run: "));
    CHECK(count(fleet.server.received(), "PUT b 1") == 0);
}

TEST_CASE("home path: without a usable home an instance uses its own connections")
{
    home_fleet fleet;
    caller session(fleet);
    SUBCASE("no peer is known")
    {
        fleet.set_peers(fleet.node(1), {});
    }
    SUBCASE("the homes do not know this instance")
    {
        fleet.set_peers(fleet.node(1), {2, 3});
        fleet.set_peers(fleet.node(2), {2, 3});
        fleet.set_peers(fleet.node(3), {2, 3});
    }
    CHECK(!session.single("PUT a 1").is_error);
    CHECK(session.run.last_home().empty());
    session.begin();
    CHECK(!session.statement("PUT b 1").is_error);
    CHECK(!session.commit().is_error);
    CHECK(fleet.server.received() == texts{"PUT a 1", "BEGIN", "PUT b 1", "COMMIT"});
}

TEST_CASE("home path: the logs of both instances lead from a statement to its home")
{
    home_fleet fleet;
    fleet.set_peers(fleet.node(1), {2, 3});
    caller session(fleet);
    home_node& home = fleet.best_home();
    fleet.server.drop_write_answers();
    CHECK(session.single("PUT a 1").code == "UNKNOWN");
    std::vector<std::string> lines = lines_of(fleet.node(1).events);
    const std::vector<std::string> home_lines = lines_of(home.events);
    lines.insert(lines.end(), home_lines.begin(), home_lines.end());
    const event_trace trace = trace_request("id1", lines);
    const auto is_of_home = [&](const trace_line& line) {
        return line.is_of_request && line.process == home.name &&
               line.text.find("HOME_LOST") != std::string::npos;
    };
    CHECK(std::any_of(trace.lines.begin(), trace.lines.end(), is_of_home));
}
