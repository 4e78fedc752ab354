#include "event_log.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace primrosehead;

TEST_CASE("event log: a line is JSON whatever its fields hold")
{
    event_log log(-1, "entry-1");
    log.decision("statement", "refused")
        .field("id", "a\"b\\c\n\xff")
        .field("took_ms", std::int64_t{12})
        .field("primary", true);
    const auto line = boost::json::parse(log.buffered()).as_object();
    CHECK(line.at("process") == "entry-1");
    CHECK(line.at("part") == "statement");
    CHECK(line.at("event") == "refused");
    CHECK(line.at("took_ms") == 12);
    CHECK(line.at("primary") == true);
}

TEST_CASE("event log: a full buffer drops details first and counts what it drops")
{
    event_log log(-1, "entry-1");
    const std::string text(1'000, 'x');
    for (int i = 0; i < 2'000; ++i) {
        log.detail("statement", "done").field("text", text);
    }
    const std::uint64_t details = log.lines();
    CHECK(log.dropped() == 2'000 - details);
    log.decision("statement", "refused").field("text", text);
    CHECK(log.lines() == details + 1);
    for (int i = 0; i < 2'000; ++i) {
        log.decision("statement", "refused").field("text", text);
    }
    CHECK(log.buffered().size() <= 512 * 1024);
    CHECK(log.dropped() > 2'000 - details);
}

TEST_CASE("event log: whole lines go out in one write")
{
    CHECK(next_write_chunk("aa\nbb\ncc\n", 7) == "aa\nbb\n");
    CHECK(next_write_chunk("aa\nbb\n", 6) == "aa\nbb\n");
    CHECK(next_write_chunk("a long line\nbb\n", 4) == "a long line\n");
    CHECK(next_write_chunk("no end", 3) == "no end");
    CHECK(next_write_chunk("", 3).empty());
}

TEST_CASE("event log: a reader that stops reading stops nobody")
{
    int ends[2] = {-1, -1};
    REQUIRE(pipe(ends) == 0);
    {
        event_log log(ends[1], "entry-1");
        const std::string text(1'000, 'x');
        for (int i = 0; i < 5'000; ++i) {
            log.decision("statement", "refused").field("text", text); // a pipe holds 64 KiB
        }
        CHECK(log.lines() + log.dropped() == 5'000);
        close(ends[0]); // ends the writer's wait
    }
    close(ends[1]);
}
