// Tests of the session's values and prepared statements that go to a connection ahead of a
// statement.
#include "pooler_execution.h"
#include "pooler_fixture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>

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
