#include "pooler_execution.h"
#include "pooler_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{100};
const std::string open_transaction = "OPEN db secret\r\nRUN id1 BEGIN\r\nRUN id2 PUT a 1\r\n";

bool has_run(const pooler_fixture& instance, const std::string& text)
{
    const auto& received = instance.server.received();
    return std::find(received.begin(), received.end(), text) != received.end();
}

} // namespace

// Guards against statements that run for an organisation that no longer holds the caller's key.
TEST_CASE("pooler access: a transaction ends when its key is given to another organisation")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.before_later = [&] { instance.move_key("two"); };
    SUBCASE("at a write")
    {
        const std::string answers =
            instance.exchange(open_transaction, settle_time, "RUN id3 PUT b 1\r\n");
        CHECK(answers.find("FAIL ABORTED") != std::string::npos);
        CHECK(!has_run(instance, "PUT b 1"));
    }
    SUBCASE("at a read")
    {
        const std::string answers =
            instance.exchange(open_transaction, settle_time, "RUN id3 GET b\r\n");
        CHECK(answers.find("FAIL ABORTED") != std::string::npos);
        CHECK(!has_run(instance, "GET b"));
    }
    SUBCASE("at a prepared statement")
    {
        const std::string answers =
            instance.exchange("OPEN db secret\r\nRUN id0 PREPARE s PUT shape\r\nRUN id1 BEGIN\r\n"
                              "RUN id2 EXECUTE s a 1\r\n",
                              settle_time, "RUN id3 EXECUTE s b 1\r\n");
        CHECK(answers.find("FAIL ABORTED") != std::string::npos);
        CHECK(answers.find("FAIL ABORTED") > answers.find("DONE s"));
    }
    SUBCASE("at its end")
    {
        const std::string answers =
            instance.exchange(open_transaction, settle_time, "RUN id3 COMMIT\r\n");
        CHECK(answers.find("FAIL ABORTED") != std::string::npos);
        CHECK(!has_run(instance, "COMMIT"));
    }
    SUBCASE("before its first statement")
    {
        const std::string answers = instance.exchange("OPEN db secret\r\nRUN id1 BEGIN\r\n",
                                                      settle_time, "RUN id2 PUT b 1\r\n");
        CHECK(answers.find("FAIL ABORTED") != std::string::npos);
        CHECK(!has_run(instance, "PUT b 1"));
    }
}

TEST_CASE("pooler access: a transaction whose key was withdrawn ends")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.before_later = [&] { instance.move_key(""); };
    const std::string answers =
        instance.exchange(open_transaction, settle_time, "RUN id3 PUT b 1\r\n");
    CHECK(answers.find("FAIL DENIED") != std::string::npos);
    CHECK(!has_run(instance, "PUT b 1"));
}

TEST_CASE("pooler access: a transaction goes on under a document in which its key stays")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.before_later = [&] { instance.move_key("org"); };
    const std::string answers =
        instance.exchange(open_transaction, settle_time, "RUN id3 COMMIT\r\n");
    CHECK(answers.find("FAIL") == std::string::npos);
    CHECK(has_run(instance, "COMMIT"));
}

// Guards against a right that was withdrawn while the statement waited.
TEST_CASE("pooler access: a statement that waits for a token is not run for the earlier holder")
{
    pooler_fixture instance;
    instance.confirm_without_share(100);
    instance.before_later = [&] {
        instance.move_key("two");
        instance.grant_share(1'000'000);
    };
    const std::string answers = instance.exchange("OPEN db secret\r\nRUN id1 PUT a 1\r\n",
                                                  settle_time, "RUN id2 SET zone JST\r\n");
    CHECK(answers.find("FAIL ABORTED") != std::string::npos);
    CHECK(!has_run(instance, "PUT a 1"));
}

TEST_CASE(
    "pooler access: a statement that waits for a connection is not run for the earlier holder")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.delay_answers(clock::duration(150)); // the startup is answered at once
    pooler::operation op = instance.operation();
    op.from = pooler::caller{"db", "secret"};
    pooler::server_statement statement;
    statement.id = "id1";
    statement.text = "PUT a 1";
    statement.is_write = true;
    std::vector<std::unique_ptr<pooler::session_context>> states;
    std::vector<std::unique_ptr<pooler::execution>> executions;
    std::vector<std::optional<line_answer>> answers(40);
    for (std::optional<line_answer>& answer : answers) {
        states.push_back(std::make_unique<pooler::session_context>());
        executions.push_back(std::make_unique<pooler::execution>(instance.shared, *states.back()));
        boost::asio::co_spawn(
            instance.io,
            [&run = *executions.back(), &op, &statement] { return run.run_single(op, statement); },
            [&answer](const std::exception_ptr&, line_answer received) {
                answer = std::move(received);
            });
    }
    instance.run(clock::duration(50));
    const auto sent = instance.server.received().size();
    REQUIRE(sent > 0);
    REQUIRE(sent < answers.size());
    instance.move_key("two");
    instance.run(clock::duration(500));
    CHECK(instance.server.received().size() == sent);
    CHECK(std::count_if(answers.begin(), answers.end(), [](const auto& answer) {
              return answer && answer->is_error && answer->code == "ABORTED";
          }) == static_cast<std::ptrdiff_t>(answers.size() - sent));
}
