// Tests of a pooler instance whose server's failure domain is evacuated.
#include "background_write.h"
#include "pooler_execution.h"
#include "pooler_fixture.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{200};
constexpr clock::duration short_bound{100};
constexpr std::string_view begin_and_read = "OPEN db secret\r\nRUN t1 BEGIN\r\nRUN t2 GET a\r\n";

} // namespace

TEST_CASE("pooler evacuation: nothing reaches an evacuated server until the withdrawal")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.exchange("OPEN db secret\r\nRUN w1 PUT a 1\r\n", settle_time);
    REQUIRE(count(instance.server, "PUT a 1") == 1);
    CHECK(instance.connections.stats().open == 1);

    instance.evacuate({"zone"}, 1);
    CHECK(instance.connections.stats().open == 0); // idle connections are closed at once
    const std::string refused = instance.exchange(
        "OPEN db secret\r\nRUN w2 PUT b 1\r\nRUN r1 GET a\r\nRUN t1 BEGIN\r\nRUN t2 GET a\r\n",
        settle_time);
    CHECK(refused.find("BUSY not run") != std::string::npos);
    CHECK(refused.find("DONE s") == std::string::npos);
    CHECK(count(instance.server, "PUT b 1") == 0);
    CHECK(instance.server.received().size() == 1);

    instance.evacuate({}, 2);
    CHECK(instance.connections.evacuated().withdrawn_at("zone"));
    instance.exchange("OPEN db secret\r\nRUN w3 PUT c 1\r\n", settle_time);
    CHECK(count(instance.server, "PUT c 1") == 1);
}

TEST_CASE("pooler evacuation: another domain's servers and a stale reply change nothing")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.evacuate({"other"}, 4);
    instance.evacuate({"zone"}, 3); // late: another relay has replied with version 4
    instance.exchange("OPEN db secret\r\nRUN w1 PUT a 1\r\n", settle_time);
    CHECK(count(instance.server, "PUT a 1") == 1);
}

TEST_CASE("pooler evacuation: a server announced in an evacuated domain is not used")
{
    pooler_fixture instance;
    instance.evacuate({"zone"}, 1); // before the directory is known
    instance.confirm(100);
    const std::string refused =
        instance.exchange("OPEN db secret\r\nRUN w1 PUT a 1\r\n", settle_time);
    CHECK(refused.find("BUSY not run") != std::string::npos);
    CHECK(instance.server.connections() == 0);
}

TEST_CASE("pooler evacuation: an open transaction may finish within half of the bound")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.before_later = [&] { instance.evacuate({"zone"}, 1); };
    const std::string answers =
        instance.exchange(begin_and_read, settle_time, "RUN t3 PUT a 1\r\nRUN t4 COMMIT\r\n");
    CHECK(answers.find("FAIL") == std::string::npos);
    CHECK(count(instance.server, "COMMIT") == 1);
    CHECK(instance.connections.stats().open == 0); // the connection is not kept
}

TEST_CASE("pooler evacuation: an open transaction is rolled back after half of the bound")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.connections.set_evacuation_bound(short_bound);
    instance.before_later = [&] {
        instance.evacuate({"zone"}, 1);
        instance.run(short_bound);
    };
    std::string_view later;
    SUBCASE("a statement")
    {
        later = "RUN t3 PUT a 1\r\nRUN t4 COMMIT\r\n";
    }
    SUBCASE("a commit")
    {
        later = "RUN t4 COMMIT\r\n";
    }
    SUBCASE("an idle transaction, then a statement")
    {
        instance.leaves_evacuated_server = true;
        later = "RUN t3 PUT a 1\r\nRUN t4 COMMIT\r\n";
    }
    SUBCASE("an idle transaction, then a commit")
    {
        instance.leaves_evacuated_server = true;
        later = "RUN t4 COMMIT\r\n";
    }
    const std::string answers = instance.exchange(begin_and_read, settle_time, later);
    CHECK(answers.find("FAIL ABORTED rolled back") != std::string::npos);
    CHECK(answers.find("MALFORMED") == std::string::npos);
    CHECK(count(instance.server, "PUT a 1") == 0);
    CHECK(count(instance.server, "COMMIT") == 0);
    CHECK(instance.connections.stats().open == 0);
}

TEST_CASE("pooler evacuation: a transaction without a statement moves off the evacuated server")
{
    pooler_fixture instance;
    instance.confirm(100);
    pooler::session_context state;
    pooler::execution execution(instance.shared, state);
    execution.begin(instance.operation(), false);
    instance.run(settle_time);
    REQUIRE(instance.connections.stats().open == 1);
    line_server elsewhere(instance.io.get_executor());
    instance.evacuate({"zone"}, 1);
    instance.add_primary("server-2", "elsewhere", elsewhere.address());
    SUBCASE("at its first statement") {}
    SUBCASE("before its first statement")
    {
        execution.drop_closed_prefetch(clock::now());
        CHECK(instance.connections.stats().open == 0);
    }
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = "GET a";
    std::optional<line_answer> answer;
    instance.start([&] { return execution.run(statement); }, answer);
    instance.run(settle_time);
    REQUIRE(answer);
    CHECK(!answer->is_error);
    CHECK(count(instance.server, "GET a") == 0);
    CHECK(count(elsewhere, "GET a") == 1);
}

TEST_CASE("pooler evacuation: a connection that is being opened to the server is not used")
{
    pooler_fixture instance;
    instance.confirm(100);
    const background_write write(instance, "PUT a 1");
    boost::asio::post(instance.io, [&] { instance.evacuate({"zone"}, 1); });
    instance.run(settle_time);
    REQUIRE(write.answer());
    CHECK(write.answer()->code == "BUSY");
    CHECK(count(instance.server, "PUT a 1") == 0);
    CHECK(instance.connections.stats().open == 0);
}
