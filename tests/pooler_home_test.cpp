// Tests of the decisions about operations that are passed to a server's home.
#include "pooler_home_calls.h"
#include "pooler_home_ledger.h"
#include "pooler_home_limits.h"
#include "pooler_home_message.h"
#include "pooler_home_outcome.h"
#include "primrosehead.pb.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace primrosehead;
using namespace primrosehead::pooler;

namespace {

constexpr clock::time_point start{clock::duration(100'000)};

home_verdict accept(home_ledger& ledger, std::uint64_t incarnation, std::uint64_t call)
{
    std::vector<home_handle> ended;
    return ledger.accept_call("entry-1", incarnation, call, start, ended);
}

home_handle handle(std::uint64_t number, std::uint64_t incarnation = 1)
{
    return {"entry-1", incarnation, number};
}

pb::home_request valid_request()
{
    pb::home_request request;
    request.set_call(1);
    request.set_incarnation(1);
    request.set_operation(pb::HOME_WRITE);
    request.set_server("server-1");
    request.set_group("g");
    request.set_organisation("org");
    request.set_remaining_ms(500);
    request.set_statement_id("id1");
    request.set_statement("PUT a 1");
    return request;
}

} // namespace

TEST_CASE("home ledger: a call runs once, also if its copy arrives late or out of order")
{
    home_ledger ledger;
    CHECK(accept(ledger, 1, 1) == home_verdict::run);
    CHECK(accept(ledger, 1, 1) == home_verdict::duplicate);
    CHECK(accept(ledger, 1, 5) == home_verdict::run);
    CHECK(accept(ledger, 1, 3) == home_verdict::run); // overtaken on a new connection
    CHECK(accept(ledger, 1, 3) == home_verdict::duplicate);
    CHECK(accept(ledger, 1, 5) == home_verdict::duplicate);
    CHECK(accept(ledger, 1, 5'000) == home_verdict::run);
    CHECK(accept(ledger, 1, 6) == home_verdict::duplicate); // too old to tell
}

TEST_CASE(
    "home ledger: a restart of the origin ends its transactions and refuses its earlier calls")
{
    home_ledger ledger;
    CHECK(accept(ledger, 1, 1) == home_verdict::run);
    CHECK(ledger.accept_step(handle(1), 1, start) == home_verdict::run);
    std::vector<home_handle> ended;
    CHECK(ledger.accept_call("entry-1", 2, 1, start, ended) == home_verdict::run);
    CHECK(ended == std::vector<home_handle>{handle(1)});
    CHECK(ledger.open_transactions() == 0);
    CHECK(accept(ledger, 1, 2) == home_verdict::earlier_incarnation);
}

TEST_CASE("home ledger: statements of a transaction run in order, each once")
{
    home_ledger ledger;
    CHECK(ledger.accept_step(handle(1), 2, start) == home_verdict::unknown_transaction);
    CHECK(ledger.accept_step(handle(1), 1, start) == home_verdict::run);
    CHECK(ledger.accept_step(handle(1), 2, start) == home_verdict::wrong_step); // 1 still runs
    ledger.finish_step(handle(1), start);
    CHECK(ledger.accept_step(handle(1), 1, start) == home_verdict::wrong_step);
    CHECK(ledger.accept_step(handle(1), 3, start) == home_verdict::wrong_step);
    CHECK(ledger.accept_step(handle(1), 2, start) == home_verdict::run);
    CHECK(ledger.end(handle(1)));
    CHECK(ledger.accept_step(handle(1), 3, start) == home_verdict::unknown_transaction);
    CHECK(!ledger.end(handle(1)));
}

TEST_CASE("home ledger: transactions that are idle or whose origin is gone are given back")
{
    // Otherwise they hold their connections and locks for ever.
    constexpr clock::duration idle_limit{4'000};
    home_ledger ledger;
    CHECK(accept(ledger, 1, 1) == home_verdict::run);
    CHECK(ledger.accept_step(handle(1), 1, start) == home_verdict::run);
    CHECK(ledger.accept_step(handle(2), 1, start) == home_verdict::run);
    ledger.finish_step(handle(1), start);
    const auto is_peer = [](std::string_view) { return true; };
    const auto is_no_peer = [](std::string_view) { return false; };
    const clock::time_point before = start + home_ledger::origin_timeout;
    CHECK(ledger.expire(before, idle_limit, is_peer).empty());
    CHECK(ledger.expire(before, idle_limit, is_no_peer).empty());
    // Number 2 runs a statement.
    CHECK(ledger.expire(start + idle_limit + clock::duration(1), idle_limit, is_peer) ==
          std::vector<home_handle>{handle(1)});
    CHECK(ledger.expire(before + clock::duration(1), idle_limit, is_no_peer) ==
          std::vector<home_handle>{handle(2)});
    CHECK(ledger.open_transactions() == 0);
}

TEST_CASE("home outcome: only what certainly did not run is repeated or called not run")
{
    using enum home_ending;
    using kind = home_call_kind;
    using decision = home_decision;
    for (const home_ending unsent : {leaving, unavailable, invalid}) {
        CHECK(decide_home_ending(kind::read, unsent) == decision::next_home);
        CHECK(decide_home_ending(kind::write, unsent) == decision::next_home);
        CHECK(decide_home_ending(kind::first_statement, unsent) == decision::next_home);
        CHECK(decide_home_ending(kind::statement, unsent) == decision::answer_aborted);
        CHECK(decide_home_ending(kind::commit, unsent) == decision::answer_aborted);
    }
    for (const home_ending missing : {lost, silent}) {
        CHECK(decide_home_ending(kind::write, missing) == decision::answer_unknown);
        CHECK(decide_home_ending(kind::commit, missing) == decision::answer_unknown);
        CHECK(decide_home_ending(kind::first_statement, missing) == decision::answer_aborted);
        CHECK(decide_home_ending(kind::statement, missing) == decision::answer_aborted);
    }
    CHECK(decide_home_ending(kind::read, silent) == decision::next_home);
    CHECK(decide_home_ending(kind::read, lost) == decision::next_server);
    CHECK(decide_home_ending(kind::write, refused) == decision::refuse);
    CHECK(decide_home_ending(kind::commit, refused) == decision::answer_aborted);
    CHECK(!ends_on_silence(kind::write));
    CHECK(!ends_on_silence(kind::commit));
    CHECK(ends_on_silence(kind::read));
}

TEST_CASE("home calls: a home is silent after 300 ms without answer or progress")
{
    home_calls calls;
    calls.add(1, "entry-2", start);
    calls.add(2, "entry-3", start);
    const clock::time_point later = start + clock::duration(250);
    CHECK(calls.record_progress(1, "entry-2", later));
    CHECK(!calls.record_progress(2, "entry-2", later)); // of another home
    const std::vector<home_calls::silent_call> silent =
        calls.newly_silent(start + home_calls::silence_limit);
    REQUIRE(silent.size() == 1);
    CHECK(silent.front().home == "entry-3");
    CHECK(calls.newly_silent(start + home_calls::silence_limit).empty()); // told once
    CHECK(!calls.finish(1, "entry-3"));
    CHECK(calls.finish(1, "entry-2"));
    CHECK(!calls.finish(1, "entry-2")); // a repeated reply
}

TEST_CASE("home limits: homes are used by large fleets that get positions from control only")
{
    CHECK(uses_homes(61, 75, 2, true));
    CHECK(!uses_homes(61, 75, 2, false)); // nobody reports the primaries' positions
    CHECK(!uses_homes(61, 75, 0, true));  // off
    CHECK(!uses_homes(61, 30, 2, true));
    CHECK(!uses_homes(0, 75, 2, true)); // no limit is known
    // Two homes at a time rarely reach the server's limit.
    CHECK(home_connection_limit(60) == 36);
    CHECK(home_connection_limit(1) == 1);
}

TEST_CASE("home message: malformed requests are recognised before anything is sent")
{
    CHECK(find_home_request_error(valid_request()).empty());
    pb::home_request request = valid_request();
    SUBCASE("another query in the text")
    {
        request.set_statement("PUT a 1\r\nRUN x PUT b 1");
    }
    SUBCASE("another query in a session value")
    {
        pb::session_value& each = *request.add_values();
        each.set_name("zone");
        each.set_value("x\nRUN");
    }
    SUBCASE("an id of two words")
    {
        request.set_statement_id("id1 PUT");
    }
    SUBCASE("no time left")
    {
        request.set_remaining_ms(0);
    }
    SUBCASE("a statement of no transaction")
    {
        request.set_operation(pb::HOME_STATEMENT);
    }
    SUBCASE("a commit without a step")
    {
        request.set_operation(pb::HOME_COMMIT);
        request.set_transaction(1);
    }
    SUBCASE("a read at a replica without a position")
    {
        request.set_operation(pb::HOME_READ_REPLICA);
    }
    SUBCASE("oversized")
    {
        request.set_statement(std::string(2'000'000, 'x'));
    }
    SUBCASE("an unknown operation")
    {
        request.set_operation(static_cast<pb::home_operation>(99));
    }
    SUBCASE("no call number")
    {
        request.set_call(0);
    }
    CHECK(!find_home_request_error(request).empty());
}

TEST_CASE("home message: an answer survives the way, and an unknown class promises nothing")
{
    line_answer answer;
    answer.rows = {"a 1", "b 2"};
    answer.signature = "s1";
    answer.state = session_state::in_transaction;
    answer.position = log_position{3, 7};
    pb::home_reply reply;
    write_answer(answer, *reply.mutable_answer());
    const home_result result = read_home_reply(reply);
    CHECK(result.ending == home_ending::answered);
    CHECK(result.answer.rows == answer.rows);
    CHECK(result.answer.state == answer.state);
    CHECK(result.answer.position == answer.position);
    reply.clear_answer();
    CHECK(read_home_reply(reply).ending == home_ending::silent);
    reply.set_result(static_cast<pb::home_result>(99));
    CHECK(read_home_reply(reply).ending == home_ending::silent);
}
