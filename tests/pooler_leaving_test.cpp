// Tests of a pooler instance whose primary is leaving.
#include "background_write.h"
#include "pooler_execution.h"
#include "pooler_fixture.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{200};
constexpr clock::duration early{1'000};
constexpr clock::duration nearly_over{6'400}; // of 7,000 ms
constexpr clock::duration over{7'000};

} // namespace

TEST_CASE("pooler leaving: no statement reaches a primary that has been leaving for its period")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.announce_leaving(early);
    instance.exchange("OPEN db secret\r\nRUN w1 PUT a 1\r\nRUN r1 GET a\r\n", settle_time);
    REQUIRE(count(instance.server, "PUT a 1") == 1);
    REQUIRE(count(instance.server, "GET a") == 1);

    instance.announce_leaving(over);
    const std::string refused = instance.exchange(
        "OPEN db secret\r\nRUN w2 PUT b 1\r\nRUN r2 GET b\r\nRUN t1 BEGIN\r\nRUN t2 GET c\r\n",
        settle_time);
    CHECK(refused.find("BUSY not run") != std::string::npos);
    CHECK(refused.find("retry after") != std::string::npos);
    CHECK(count(instance.server, "PUT b 1") == 0);
    CHECK(count(instance.server, "GET b") == 0);
    CHECK(count(instance.server, "GET c") == 0);
}

TEST_CASE("pooler leaving: an open transaction may finish at the primary after its period")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.before_later = [&] { instance.announce_leaving(over); };
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN t1 BEGIN\r\nRUN t2 GET a\r\n", settle_time,
                          "RUN t3 PUT a 1\r\nRUN t4 COMMIT\r\n");
    CHECK(answers.find("FAIL") == std::string::npos);
    CHECK(count(instance.server, "COMMIT") == 1);
}

TEST_CASE("pooler leaving: a transaction's first statement does not follow its early BEGIN")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context state;
    pooler::execution execution(instance.shared, state);
    execution.begin(instance.operation(), false);
    instance.run(settle_time);
    REQUIRE(instance.connections.stats().open == 1);
    line_server elsewhere(instance.io.get_executor());
    instance.announce_leaving(over);
    bool has_successor = false;
    SUBCASE("there is another primary")
    {
        instance.add_primary("server-2", "elsewhere", elsewhere.address());
        has_successor = true;
    }
    SUBCASE("there is none") {}
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = "GET a";
    std::optional<line_answer> answer;
    instance.start([&] { return execution.run(statement); }, answer);
    instance.run(settle_time);
    REQUIRE(answer);
    CHECK(answer->is_error != has_successor);
    CHECK(count(instance.server, "GET a") == 0);
    CHECK(count(elsewhere, "GET a") == (has_successor ? 1 : 0));
}

TEST_CASE("pooler leaving: a read does not follow its BEGIN at the primary after a slow answer")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.announce_leaving(nearly_over);
    instance.server.delay_answers(clock::duration(390)); // BEGIN is answered after the period
    const std::string refused =
        instance.exchange("OPEN db secret\r\nRUN r1 GET a\r\n", clock::duration(900));
    CHECK(refused.find("BUSY not run") != std::string::npos);
    CHECK(count(instance.server, "BEGIN") == 1);
    CHECK(count(instance.server, "GET a") == 0);
}

TEST_CASE("pooler leaving: a statement that waits for a connection is refused once the period ends")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.limit_connections(0);
    instance.announce_leaving(nearly_over);
    const background_write write(instance, "PUT a 1");
    instance.run(settle_time);
    instance.announce_leaving(over);
    instance.server.limit_connections(10);
    instance.connections.retry_waiting();
    instance.run(settle_time);
    REQUIRE(write.answer());
    CHECK(write.answer()->code == "BUSY");
    CHECK(count(instance.server, "PUT a 1") == 0);
}
