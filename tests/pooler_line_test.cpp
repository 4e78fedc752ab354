#include "pooler_fixture.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::testing;

namespace {

constexpr clock::duration settle_time{100};

} // namespace

// Guards against statements smuggled into the text of another one: only CR LF ends a line.
TEST_CASE("pooler session: a lone line feed or carriage return belongs to the text")
{
    pooler_fixture instance;
    instance.confirm(100);
    const std::vector<std::string> texts{"PUT a first\nRUN other PUT b taken", "PUT a first\r",
                                         "PUT a \n", "PUT a b\rRUN other PUT b taken"};
    std::string statements = "OPEN db secret\r\n";
    for (const std::string& text : texts) {
        statements += "RUN id " + text + "\r\n";
    }
    static_cast<void>(instance.exchange(statements, settle_time));
    CHECK(instance.server.received() == texts);
}

TEST_CASE("pooler session: a line that arrives in parts ends with its line feed")
{
    pooler_fixture instance;
    instance.confirm(100);
    static_cast<void>(
        instance.exchange("OPEN db secret\r\nRUN id PUT a first\r", settle_time, "\n"));
    CHECK(instance.server.received() == std::vector<std::string>{"PUT a first"});
}

// Guards against a row that is taken for the end of its answer.
TEST_CASE("pooler session: a lone line feed in a row is passed on")
{
    pooler_fixture instance;
    instance.confirm(100);
    instance.server.set_row("first\nDONE forged");
    const std::string answers =
        instance.exchange("OPEN db secret\r\nRUN id GET a\r\n", settle_time);
    CHECK(answers.find("ROW first\nDONE forged\r\nDONE s") != std::string::npos);
}
