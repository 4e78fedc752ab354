#include "line_answer.h"
#include "line_primary_check.h"
#include "line_statement.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using namespace primrosehead;

// Guards against a replica that passes for the primary, and a primary for a replica, when the first
// answer that came is not that of BEGIN. All checks for a primary read it in this way.
TEST_CASE("line primary check: only the answer of BEGIN tells who the primary is")
{
    const line_dialect dialect;
    line_answer begun;
    begun.signature = "-";
    begun.state = session_state::in_transaction;
    begun.position = log_position{1, 7};
    line_answer rolled_back = begun;
    rolled_back.state = session_state::idle;
    line_answer refused;
    refused.is_error = true;
    refused.code = dialect.read_only;
    line_answer failed = refused;
    failed.code = dialect.busy;
    const auto read = [&](const std::vector<line_answer>& answers) {
        return read_primary_check(answers, dialect);
    };
    CHECK(read({begun, rolled_back}) == primary_check::primary);
    CHECK(read({begun}) == primary_check::primary);
    CHECK(read({refused, failed}) == primary_check::refused);
    CHECK(read({rolled_back}) == primary_check::unclear); // the answer of BEGIN was lost
    CHECK(read({failed}) == primary_check::unclear);
    CHECK(read({}) == primary_check::unclear);
    begun.position.reset(); // every answer has one
    CHECK(read({begun, rolled_back}) == primary_check::unclear);
    CHECK(make_primary_check(dialect) == "RUN - BEGIN\r\nRUN - ROLLBACK\r\n");
}

TEST_CASE("line: statements are parsed")
{
    const line_dialect dialect;
    CHECK(parse_statement("BEGIN", dialect).kind == statement_kind::begin);
    CHECK(parse_statement("BEGIN GET", dialect).kind == statement_kind::begin_read_only);
    CHECK(parse_statement("COMMIT", dialect).kind == statement_kind::commit);
    CHECK(parse_statement("GET 1a4", dialect).kind == statement_kind::read);
    CHECK(parse_statement("PUT 1a4 some data", dialect).kind == statement_kind::write);
    const line_statement prepared = parse_statement("PREPARE s1 PUT q2c", dialect);
    CHECK(prepared.kind == statement_kind::prepare_write);
    CHECK(prepared.name == "s1");
    CHECK(prepared.arguments == "q2c");
    const line_statement executed = parse_statement("EXECUTE s1 1a4 xk qp", dialect);
    CHECK(executed.kind == statement_kind::execute);
    CHECK(executed.arguments == "1a4 xk qp");
    const line_statement set = parse_statement("SET zone a b", dialect);
    CHECK(set.kind == statement_kind::set);
    CHECK(set.arguments == "a b");
}

TEST_CASE("line: invalid statements are malformed")
{
    const line_dialect dialect;
    for (const char* text :
         {"", " ", "BEGIN PUT", "COMMIT now", "GET", "PUT 1", "PREPARE s1", "PREPARE s1 SET x",
          "EXECUTE s1", "AFTER 1.2 GET x", "STATUS", "RESET", "get x"}) {
        CAPTURE(text);
        CHECK(parse_statement(text, dialect).kind == statement_kind::malformed);
    }
}

TEST_CASE("line: an answer is assembled from its lines")
{
    const line_dialect dialect;
    line_answer_reader reader(dialect);
    using progress = line_answer_reader::progress;
    CHECK(reader.feed("ROW a b") == progress::incomplete);
    CHECK(reader.feed("DONE 7.1f3") == progress::incomplete);
    CHECK(reader.feed("IDLE I 3.1209") == progress::complete);
    const line_answer done = reader.take();
    CHECK(done.rows.size() == 1);
    CHECK(done.rows.front() == "a b");
    CHECK(done.signature == "7.1f3");
    CHECK(done.position == log_position{3, 1209});
    CHECK(reader.feed("FAIL READONLY i-7f") == progress::incomplete);
    CHECK(reader.feed("IDLE E -") == progress::complete);
    const line_answer failed = reader.take();
    CHECK(failed.is_error);
    CHECK(failed.code == "READONLY");
    CHECK(failed.state == session_state::failed_transaction);
    CHECK(!failed.position);
}

TEST_CASE("line: an unknown state or keyword is malformed")
{
    const line_dialect dialect;
    using progress = line_answer_reader::progress;
    CHECK(line_answer_reader(dialect).feed("IDLE X 1.1") == progress::malformed);
    CHECK(line_answer_reader(dialect).feed("READY I 1.1") == progress::malformed);
    CHECK(line_answer_reader(dialect).feed("") == progress::malformed);
}

TEST_CASE("line: positions and status rows are parsed")
{
    CHECK(parse_position("3.1207") == log_position{3, 1207});
    for (const char* text : {"-", "", "3", "3.", ".7", "3.7x", "-1.2", "99999999999999999999.1"}) {
        CHECK(!parse_position(text));
    }
    const line_dialect dialect;
    const auto status = parse_status("replica 3 3.1209 4 12 2 17", dialect);
    REQUIRE(status);
    CHECK(!status->is_primary);
    CHECK(status->received == log_position{3, 1209});
    CHECK(status->term_held == 4);
    CHECK(status->connections == 17);
    CHECK(!parse_status("replica 3 3.1209 4 12 2", dialect));
    CHECK(!parse_status("standby 3 3.1209 4 12 2 17", dialect)); // says nothing of its role
}

// Guards against a status that is read from the answer of another query.
TEST_CASE("line: a status is one row of an unsigned success outside a transaction")
{
    const line_dialect dialect;
    line_answer status;
    status.rows = {"primary 3 3.1209 0 12 2 17"};
    status.signature = "-";
    REQUIRE(read_status(status, dialect));
    CHECK(read_status(status, dialect)->is_primary);
    SUBCASE("a failed one")
    {
        status.is_error = true;
        status.code = "BUSY";
    }
    SUBCASE("of a read")
    {
        status.signature = "s1";
    }
    SUBCASE("inside a transaction")
    {
        status.state = session_state::in_transaction;
    }
    SUBCASE("with rows of a second one")
    {
        status.rows.push_back(status.rows.front());
    }
    SUBCASE("without a row")
    {
        status.rows.clear();
    }
    CHECK(!read_status(status, dialect));
}

TEST_CASE("line: the parsers survive arbitrary bytes")
{
    const line_dialect dialect;
    std::mt19937 random(20261204);
    for (int round = 0; round < 20'000; ++round) {
        std::string text(random() % 40, '\0');
        for (char& letter : text) {
            letter = static_cast<char>(random() % 256);
        }
        static_cast<void>(parse_statement(text, dialect));
        static_cast<void>(parse_status(text, dialect));
        line_answer_reader reader(dialect);
        static_cast<void>(reader.feed(text));
    }
}
