#include "follow_replies.h"
#include "pooler_fixture.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{100};

} // namespace

// Guards against callers held by an instance that can't know when it will be able to serve them:
// some have less than a second in all.
TEST_CASE("pooler session: a session is refused at once before the first document")
{
    pooler_fixture instance;
    const std::string answers = instance.exchange("OPEN db secret\r\n", settle_time);
    CHECK(answers.starts_with("FAIL BUSY not run: "));
}

// Guards against waiting at an instance that has lost control, while others may serve the caller.
TEST_CASE("pooler session: an instance whose lease has expired refuses sessions at once")
{
    pooler_fixture instance{clock::duration(100)};
    instance.confirm(100);
    instance.run(clock::duration(150));
    const std::string answers = instance.exchange("OPEN db secret\r\n", settle_time);
    CHECK(answers.starts_with("FAIL BUSY not run: "));
}

// Guards against refusals for a rate by an instance that does not know its share yet, such as after
// a restart of the whole fleet: callers below their rate would use up their retries.
TEST_CASE("pooler session: an operation waits for its organisation's first share")
{
    pooler_fixture instance;
    instance.confirm_without_share(100);
    std::string answers;
    SUBCASE("that arrives")
    {
        instance.before_later = [&] { instance.grant_share(1'000'000); };
        answers = instance.exchange("OPEN db secret\r\nRUN id1 GET a\r\n", settle_time,
                                    "RUN id2 GET b\r\n");
        CHECK(answers.find("DONE") != std::string::npos);
    }
    SUBCASE("that does not arrive")
    {
        answers = instance.exchange("OPEN db secret\r\nRUN id1 GET a\r\n", clock::duration(1'200));
        CHECK(answers.find("FAIL TOOMANY not run: ") != std::string::npos);
    }
}
