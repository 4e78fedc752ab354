// Tests of the session's values and prepared statements that go to a connection ahead of a
// statement.
#include "pooler_execution.h"
#include "pooler_fixture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{200};
constexpr std::string_view two_values =
    "OPEN db secret\r\nRUN s1 SET a 1\r\nRUN s2 SET b 2\r\n"; // each needs a query of its own

std::string exchange_with_values(pooler_fixture& instance, std::string_view lines)
{
    return instance.exchange(fmt::format("{}{}", two_values, lines), settle_time);
}

std::size_t count_lines(std::string_view text, std::string_view line)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(line); at != std::string_view::npos;
         at = text.find(line, at + line.size())) {
        ++found;
    }
    return found;
}

// Runs a read at the instance's server as if it were a replica.
line_answer read_at_replica(pooler_fixture& instance, pooler::session_context& session)
{
    pooler::execution execution(instance.shared, session);
    execution.pin({"server-1", log_position{1, 1}});
    const pooler::operation operation = instance.operation();
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = "GET x";
    std::optional<line_answer> answer;
    instance.start(
        [&] { return execution.run_pinned(operation, statement, clock::now() + settle_time); },
        answer);
    instance.run(settle_time * 2);
    REQUIRE(answer.has_value());
    return *answer;
}

} // namespace

// Guards against the answer of a SET that is passed on as that of a statement which never ran.
TEST_CASE("pooler setup: a statement that never ran is not answered with success")
{
    pooler_fixture instance;
    instance.confirm(100);
    std::string answers;
    SUBCASE("a read at the primary, a value is refused")
    {
        instance.server.fail_queries("SET b");
        answers = exchange_with_values(instance, "RUN r1 GET x\r\n");
    }
    SUBCASE("a write in a transaction, a value is refused")
    {
        instance.server.fail_queries("SET b");
        answers = exchange_with_values(instance, "RUN t1 BEGIN\r\nRUN t2 PUT x 1\r\n");
        CHECK(count(instance.server, "COMMIT") == 0);
    }
    SUBCASE("a prepared read, its statement is refused")
    {
        instance.server.fail_queries("PREPARE", "MALFORMED");
        answers =
            exchange_with_values(instance, "RUN p1 PREPARE p GET q\r\nRUN r1 EXECUTE p x\r\n");
        CHECK(answers.find("FAIL MALFORMED not run") != std::string::npos);
    }
    CHECK(answers.find("DONE s") == std::string::npos);
    CHECK(answers.find(" not run") != std::string::npos);
    // Only the values and the preparation, which the instance acknowledges itself, succeed.
    CHECK(count_lines(answers, "DONE -\r\n") == count_lines(answers, "DONE"));
    CHECK(count_lines(answers, "FAIL ") == 1);
}

TEST_CASE("pooler setup: a read that never ran at a replica is not answered with success")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context session;
    session.values = {{"a", "1"}, {"b", "2"}};
    instance.server.fail_queries("SET b");
    const line_answer answer = read_at_replica(instance, session);
    CHECK(answer.is_error);
    CHECK(answer.code == "BUSY");
}

// Guards against statements that run with other values than their session's, or unprepared.
TEST_CASE("pooler setup: a statement is not sent before its setup has succeeded")
{
    pooler_fixture instance;
    instance.confirm(100);
    std::string lines;
    std::string code = "BUSY";
    SUBCASE("a write, a value is refused")
    {
        instance.server.fail_queries("SET a");
        lines = "RUN w1 PUT x 1\r\n";
    }
    SUBCASE("a write, the answer to a value is lost")
    {
        instance.server.lose_answers("SET a");
        lines = "RUN w1 PUT x 1\r\n";
    }
    SUBCASE("a prepared write, its preparation fails")
    {
        instance.server.fail_queries("PREPARE");
        lines = "RUN p1 PREPARE p PUT q\r\nRUN w1 EXECUTE p x 1\r\n";
    }
    SUBCASE("a statement in a transaction, a value set in it is refused")
    {
        instance.server.fail_queries("SET c");
        lines = "RUN t1 BEGIN\r\nRUN t2 GET y\r\nRUN t3 SET c 3\r\nRUN t4 PUT x 1\r\n";
        code = "ABORTED";
    }
    SUBCASE("a prepared statement in a transaction, its preparation fails")
    {
        instance.server.fail_queries("PREPARE");
        lines = "RUN t1 BEGIN\r\nRUN t2 GET y\r\nRUN t3 PREPARE p PUT q\r\n"
                "RUN t4 EXECUTE p x 1\r\n";
        code = "ABORTED";
    }
    SUBCASE("a commit, a value set before it is refused")
    {
        instance.server.fail_queries("SET c");
        lines = "RUN t1 BEGIN\r\nRUN t2 GET y\r\nRUN t3 SET c 3\r\nRUN t4 COMMIT\r\n";
        code = "ABORTED";
    }
    const std::string answers =
        instance.exchange(fmt::format("{}{}", two_values, lines), clock::duration(2'000));
    CHECK(answers.find(fmt::format("FAIL {} ", code)) != std::string::npos);
    for (const std::string& query : instance.server.received()) {
        CHECK(!query.starts_with("PUT"));
        CHECK(!query.starts_with("EXECUTE"));
        CHECK(query != "COMMIT");
    }
    CHECK(answers.find("UNKNOWN") == std::string::npos); // what was never sent has not run
}

TEST_CASE("pooler setup: a read is not sent to a replica before its setup has succeeded")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context session;
    session.values = {{"a", "1"}, {"b", "2"}};
    SUBCASE("a value is refused")
    {
        instance.server.fail_queries("SET a");
    }
    SUBCASE("the answer to a value is lost")
    {
        instance.server.lose_answers("SET b");
    }
    const line_answer answer = read_at_replica(instance, session);
    CHECK(answer.code == "BUSY");
    CHECK(count(instance.server, "AFTER 1.1 GET x") == 0);
}

TEST_CASE("pooler setup: a statement runs on another connection after a refused setup")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.fail_queries("SET b", line_dialect{}.statement_failed, 1);
    const std::string answers = exchange_with_values(instance, "RUN w1 PUT x 1\r\n");
    CHECK(answers.find("FAIL ") == std::string::npos);
    CHECK(count(instance.server, "PUT x 1") == 1);
    CHECK(instance.server.received() ==
          std::vector<std::string>{"SET a 1", "SET b 2", "SET a 1", "SET b 2", "PUT x 1"});
    CHECK(instance.server.connections() == 2);
}

TEST_CASE("pooler setup: a connection whose values can't be discarded is not used")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.exchange("OPEN db secret\r\nRUN s1 SET other 1\r\nRUN w0 PUT y 1\r\n", settle_time);
    instance.server.fail_queries("RESET");
    const std::string answers = exchange_with_values(instance, "RUN w1 PUT x 1\r\n");
    CHECK(answers.find("FAIL ") == std::string::npos);
    CHECK(instance.server.received() == std::vector<std::string>{"SET other 1", "PUT y 1", "RESET",
                                                                 "SET a 1", "SET b 2", "SET a 1",
                                                                 "SET b 2", "PUT x 1"});
    CHECK(instance.server.connections() == 2);
}

// Guards against a statement that goes out although its server or its caller's key became invalid
// while the setup was under way.
TEST_CASE("pooler setup: what may have changed is checked again after the setup")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.delay_answers(clock::duration(100));
    std::optional<line_answer> answer;
    pooler::session_context state;
    state.values["a"] = "1";
    pooler::execution execution(instance.shared, state);
    pooler::operation operation = instance.operation();
    operation.from = pooler::caller{"db", "secret"};
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = "PUT x 1";
    statement.is_write = true;
    instance.start([&] { return execution.run_single(operation, statement); }, answer);
    instance.run(clock::duration(50));
    REQUIRE(count(instance.server, "SET a 1") == 1);
    SUBCASE("the server has been leaving for its period")
    {
        instance.announce_leaving(clock::duration(7'000));
    }
    SUBCASE("the caller's key was withdrawn")
    {
        instance.move_key({});
    }
    instance.run(clock::duration(800));
    REQUIRE(answer.has_value());
    CHECK(answer->is_error);
    CHECK(count(instance.server, "PUT x 1") == 0);
}

// Guards against the answer of the ROLLBACK behind a read that is passed on as that of the read.
TEST_CASE("pooler answers: a read at the primary is repeated if its answer is lost")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.set_row("v1");
    instance.server.lose_answers("GET", 1);
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN r1 GET x\r\n", settle_time);
    CHECK(answers.find("ROW v1\r\nDONE s") != std::string::npos);
    CHECK(count(instance.server, "GET x") == 2);
    CHECK(instance.server.connections() == 2);
}

TEST_CASE("pooler answers: a success without a signature answers no statement")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.omit_signatures();
    std::string lines;
    std::string code;
    SUBCASE("a read at the primary")
    {
        lines = "RUN r1 GET x\r\n";
        code = "TIMEOUT";
    }
    SUBCASE("a write")
    {
        lines = "RUN w1 PUT x 1\r\n";
        code = "UNKNOWN";
    }
    SUBCASE("a statement in a transaction")
    {
        lines = "RUN t1 BEGIN\r\nRUN t2 PUT x 1\r\n";
        code = "ABORTED";
    }
    SUBCASE("a commit")
    {
        lines = "RUN t1 BEGIN\r\nRUN t2 COMMIT\r\n";
        code = "UNKNOWN";
    }
    const std::string answers =
        instance.exchange(fmt::format("OPEN db secret\r\n{}", lines), clock::duration(500));
    CHECK(answers.find(fmt::format("FAIL {} ", code)) != std::string::npos);
}
