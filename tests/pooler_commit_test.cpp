#include "commit_fence.h"
#include "follow_replies.h"
#include "line_server.h"
#include "pooler_fixture.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{100};
const std::string open_session = "OPEN db secret\r\n";

// An instance with a replica "server-2", and without further knowledge of control.
class fenced_instance : public pooler_fixture {
  public:
    explicit fenced_instance(clock::duration revocation = clock::duration(5'000))
        : pooler_fixture(revocation)
    {
        confirm(100);
        pb::follow_reply reply = make_follow_reply(10);
        reply.set_directory_revision(2);
        add_server(reply, "server-1", server.address()).set_is_primary(true);
        add_server(reply, "server-2", replica.address());
        control.receive(reply, clock::now());
        replica.follow(1);
    }

    // Control announces that the replica is about to be promoted.
    void announce_fence()
    {
        pb::follow_reply notice = make_follow_reply(0);
        add_fences({{"g", {{1, 1}, {"server-2"}}}}, notice);
        control.receive(notice, clock::now());
    }

    line_server replica{io.get_executor()};
};

} // namespace

// Guards against a candidate that passes for the primary, whose log ends ahead of the commit, since
// the answer to the ROLLBACK behind the refused BEGIN was taken for that of the BEGIN.
TEST_CASE("pooler commits: a lost answer of the candidate does not decide about a commit")
{
    fenced_instance instance;
    instance.announce_fence();
    SUBCASE("lost")
    {
        instance.replica.lose_answers("BEGIN", 1);
    }
    SUBCASE("cut off ahead of the next one")
    {
        instance.replica.change_answers("BEGIN", send("FAIL READONLY replica\r\n"), 1);
    }
    SUBCASE("taken over from a primary's log without its position")
    {
        instance.replica.change_answers("BEGIN", send("DONE -\r\nIDLE T -\r\n"), 1);
    }
    instance.before_later = [&] { instance.replica.follow(2); };
    const std::string answers = instance.exchange(open_session + "RUN id1 PUT a 1\r\n",
                                                  clock::duration(450), "RUN id2 GET a\r\n");
    CHECK(answers.find("DONE s1\r\n") != std::string::npos);
    CHECK(answers.find("UNKNOWN") == std::string::npos);
}

// Guards against an acknowledged commit that is not in the log of the server that is promoted.
TEST_CASE("pooler commits: a write under a fence is confirmed once the candidate has it")
{
    fenced_instance instance;
    const std::string statements = open_session + "RUN id1 PUT a 1\r\n"; // position 1.2
    SUBCASE("the candidate has it")
    {
        instance.announce_fence();
        instance.replica.follow(2);
        const std::string answers = instance.exchange(statements, settle_time);
        CHECK(answers.find("DONE") != std::string::npos);
    }
    SUBCASE("the candidate gets it later")
    {
        instance.announce_fence();
        instance.before_later = [&] { instance.replica.follow(2); };
        const std::string answers = instance.exchange(statements, settle_time, "RUN id2 GET a\r\n");
        CHECK(answers.find("DONE s1\r\n") != std::string::npos);
    }
    SUBCASE("the candidate never gets it")
    {
        instance.announce_fence();
        const std::string answers = instance.exchange(statements, clock::duration(1'300));
        CHECK(answers.find("DONE") == std::string::npos);
        CHECK(answers.find("FAIL UNKNOWN") != std::string::npos);
    }
    SUBCASE("the fence arrives while the server works")
    {
        instance.server.delay_answers(clock::duration(50));
        instance.before_later = [&] { instance.announce_fence(); };
        const std::string answers = instance.exchange(statements, clock::duration(20), "\r\n");
        instance.run(settle_time);
        CHECK(answers.find("DONE") == std::string::npos);
    }
}

TEST_CASE("pooler commits: a transaction under a fence is confirmed once the candidate has it")
{
    fenced_instance instance;
    instance.announce_fence();
    std::string answers = instance.exchange(open_session + "RUN id1 BEGIN\r\nRUN id2 PUT a 1\r\n",
                                            settle_time, "RUN id3 COMMIT\r\n");
    CHECK(answers.find("DONE s2") != std::string::npos);
    CHECK(answers.find("DONE s3") == std::string::npos);
    instance.replica.follow(3);
    answers = instance.exchange(open_session + "RUN id4 BEGIN\r\nRUN id5 PUT a 1\r\n", settle_time,
                                "RUN id6 COMMIT\r\n");
    CHECK(answers.find("FAIL") == std::string::npos);
}

TEST_CASE("pooler commits: reads and transactions without writes are answered under a fence")
{
    fenced_instance instance;
    instance.announce_fence();
    const std::string answers =
        instance.exchange(open_session + "RUN id1 GET a\r\nRUN id2 BEGIN\r\nRUN id3 GET a\r\n",
                          settle_time, "RUN id4 COMMIT\r\n");
    CHECK(answers.find("FAIL") == std::string::npos);
}

// Guards against writes whose outcome this instance can't tell: others may serve the caller.
TEST_CASE("pooler commits: an instance whose commit lease has ended runs no write")
{
    fenced_instance instance;
    instance.run(commit_lease);
    const std::size_t received = instance.server.received().size();
    const std::string answers =
        instance.exchange(open_session + "RUN id1 PUT a 1\r\n", clock::duration(1'200));
    CHECK(answers.find("FAIL BUSY not run: ") != std::string::npos);
    CHECK(instance.server.received().size() == received);
}
