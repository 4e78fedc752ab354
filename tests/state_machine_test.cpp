#include "state_commands_maker.h"

#include <primrosehead/config.h>
#include <primrosehead/error.h>
#include <primrosehead/state.h>

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace primrosehead;
using namespace primrosehead::test;

namespace {

constexpr unsigned restart_seed = 7;
constexpr int change_count = 600;

state_machine new_machine()
{
    return state_machine(cell_name("kyushu"));
}

error_kind expect_rejection(const pb::operator_reply& reply)
{
    CHECK_FALSE(reply.ok());
    CHECK_FALSE(reply.error().message().empty());
    CHECK_FALSE(reply.error().remedy().empty());
    CHECK(reply.error().ran() == "no");
    return parse_error_kind(reply.error().kind());
}

} // namespace

TEST_CASE("state: a trial document is stored, then promoted")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_trial("kura", 0)).version() == 1);
    CHECK(machine.environment("kura")->production_version() == 0);
    const pb::operator_reply promoted = machine.apply(make_promote("kura", 1));
    CHECK(promoted.ok());
    CHECK(promoted.version() == 1);
    CHECK(machine.environment("kura")->production_document() == empty_document);
    CHECK(machine.version() == 2);
}

TEST_CASE(
    "state: of two changes with the same base version one succeeds and one reports a conflict")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(with_request(make_trial("kura", 0), "a")).ok());
    const pb::operator_reply rejected = machine.apply(with_request(make_trial("kura", 0), "b"));
    CHECK(expect_rejection(rejected) == error_kind::version_conflict);
    CHECK(rejected.version() == 1);

    CHECK(machine.apply(with_request(make_promote("kura", 1), "c")).ok());
    const pb::operator_reply second = machine.apply(with_request(make_promote("kura", 1), "d"));
    CHECK(expect_rejection(second) == error_kind::version_conflict);
    CHECK(second.version() == 1);
    CHECK(machine.version() == 2);
}

TEST_CASE("state: without the base version check a concurrent change overwrites the first one")
{
    state_switches switches;
    switches.check_base_versions = false;
    state_machine machine(cell_name("kyushu"), switches);
    CHECK(machine.apply(make_trial("kura", 0)).ok());
    CHECK(machine.apply(make_trial("kura", 0)).ok());
    CHECK(machine.environment("kura")->trial_version() == 2);
}

TEST_CASE("state: without request deduplication a retry is applied twice")
{
    state_switches switches;
    switches.deduplicate_requests = false;
    state_machine machine(cell_name("kyushu"), switches);
    const pb::command change = with_request(make_trial("kura", 0), "r-1");
    const pb::operator_reply first = machine.apply(change);
    CHECK(machine.apply(change).SerializeAsString() != first.SerializeAsString());
}

TEST_CASE("state: without the term check a term gets a second primary")
{
    state_switches switches;
    switches.check_terms = false;
    state_machine machine(cell_name("kyushu"), switches);
    CHECK(machine.apply(make_begin("ledger", 1)).ok());
    CHECK(machine.apply(make_finish("ledger", 1, "s1", 5)).ok());
    CHECK(machine.apply(make_finish("ledger", 1, "s2", 9)).ok());
    CHECK(machine.group("ledger")->primary() == "s2");
}

TEST_CASE("state: a promotion based on a replaced trial document is rejected")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_trial("kura", 0)).ok());
    CHECK(machine.apply(make_trial("kura", 1)).ok());
    CHECK(expect_rejection(machine.apply(make_promote("kura", 1))) == error_kind::version_conflict);
    CHECK(expect_rejection(machine.apply(make_promote("none", 1))) == error_kind::bad_request);
    CHECK(machine.environment("kura")->production_version() == 0);
}

TEST_CASE("state: a document that does not parse is rejected with the path of the error")
{
    state_machine machine = new_machine();
    const pb::operator_reply reply = machine.apply(make_trial("kura", 0, R"({"databases":[]})"));
    CHECK(expect_rejection(reply) == error_kind::bad_settings);
    CHECK(reply.error().message().starts_with("$.routes: "));
    CHECK(machine.environment("kura") == nullptr);
    CHECK(machine.version() == 0);
    CHECK(machine.digest() == 0);
}

TEST_CASE("state: a resend returns the original reply and changes nothing")
{
    state_machine machine = new_machine();
    const pb::operator_reply first = machine.apply(with_request(make_trial("kura", 0), "r-1"));
    CHECK(machine.apply(with_request(make_trial("kura", 1), "r-2")).ok());
    const pb::operator_reply again = machine.apply(with_request(make_trial("kura", 0), "r-1"));
    CHECK(again.SerializeAsString() == first.SerializeAsString());
    CHECK(machine.environment("kura")->trial_version() == 2);

    const pb::operator_reply rejected = machine.apply(with_request(make_trial("kura", 0), "r-3"));
    CHECK(expect_rejection(rejected) == error_kind::version_conflict);
    CHECK(machine.apply(make_trial("kura", 2)).ok());
    const pb::operator_reply retried = machine.apply(with_request(make_trial("kura", 0), "r-3"));
    CHECK(retried.SerializeAsString() == rejected.SerializeAsString());
}

TEST_CASE("state: a request id cannot be reused for another change")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(with_request(make_trial("kura", 0), "r-1")).ok());
    const pb::operator_reply other = machine.apply(with_request(make_trial("other", 0), "r-1"));
    CHECK(expect_rejection(other) == error_kind::bad_request);
    CHECK(machine.environment("other") == nullptr);
    const std::string long_id(config::max_request_id_bytes + 1, 'r');
    CHECK(expect_rejection(machine.apply(with_request(make_trial("other", 0), long_id))) ==
          error_kind::bad_request);
}

TEST_CASE("state: the reply cache is bounded and evicts the oldest reply")
{
    state_machine machine = new_machine();
    for (std::size_t index = 0; index <= config::max_request_records; ++index) {
        machine.apply(with_request(make_withdraw("none"), "r-" + std::to_string(index)));
    }
    const auto other = make_withdraw("other");
    CHECK(machine.apply(with_request(other, "r-1")).error().message().find("used for another") !=
          std::string::npos);
    CHECK(machine.apply(with_request(other, "r-0")).error().message().find("no key") !=
          std::string::npos);
}

TEST_CASE("state: a key is issued once and withdrawn permanently")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_issue("k1", "shrines")).ok());
    CHECK(expect_rejection(machine.apply(make_issue("k1", "carpenters"))) ==
          error_kind::bad_request);
    CHECK(machine.key("k1")->organisation() == "shrines");
    CHECK(machine.apply(make_withdraw("k1")).ok());
    CHECK(machine.key("k1")->withdrawn());
    const std::uint64_t version = machine.version();
    CHECK(machine.apply(make_withdraw("k1")).ok());
    CHECK(machine.version() == version);
    CHECK(expect_rejection(machine.apply(make_issue("k1", "shrines"))) == error_kind::bad_request);
    CHECK(expect_rejection(machine.apply(make_withdraw("k2"))) == error_kind::bad_request);
    pb::command short_digest = make_issue("k3", "shrines");
    short_digest.mutable_issue()->mutable_key()->set_digest("short");
    CHECK(expect_rejection(machine.apply(short_digest)) == error_kind::bad_request);
}

TEST_CASE("state: a promotion closes the term before it opens the next")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_begin("ledger", 1)).ok());
    CHECK(machine.group("ledger")->primary().empty());
    CHECK(machine.apply(make_finish("ledger", 1, "s1", 0)).ok());
    CHECK(machine.group("ledger")->primary() == "s1");
    CHECK(machine.apply(make_begin("ledger", 2)).ok());
    CHECK(machine.group("ledger")->primary().empty());
    CHECK(machine.group("ledger")->primary_url().empty());
    CHECK(expect_rejection(machine.apply(make_finish("ledger", 1, "s1", 9))) ==
          error_kind::wrong_term);
    CHECK(expect_rejection(machine.apply(make_begin("ledger", 2))) == error_kind::wrong_term);
    CHECK(machine.apply(make_finish("ledger", 2, "s2", 40)).ok());
    REQUIRE(machine.group("ledger")->starts_size() == 2);
    CHECK(machine.group("ledger")->starts(1).term() == 2);
    CHECK(machine.group("ledger")->starts(1).index() == 40);
}

TEST_CASE("state: a term has one primary")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_begin("ledger", 1)).ok());
    CHECK(machine.apply(make_finish("ledger", 1, "s1", 5)).ok());
    const std::uint64_t version = machine.version();
    CHECK(machine.apply(make_finish("ledger", 1, "s1", 9)).ok());
    CHECK(expect_rejection(machine.apply(make_finish("ledger", 1, "s2", 9))) ==
          error_kind::wrong_term);
    CHECK(expect_rejection(machine.apply(make_finish("none", 0, "s2", 9))) ==
          error_kind::wrong_term);
    CHECK(machine.version() == version);
    CHECK(machine.group("ledger")->starts_size() == 1);
    CHECK(machine.group("ledger")->starts(0).index() == 5);
}

TEST_CASE("state: registering an unchanged instance does not change the version")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_register("entry-1", "fukuoka")).ok());
    CHECK(machine.apply(make_register("entry-1", "fukuoka")).ok());
    CHECK(machine.version() == 1);
    CHECK(machine.apply(make_register("entry-1", "nagasaki")).ok());
    CHECK(machine.instance("entry-1")->failure_domain() == "nagasaki");
    CHECK(machine.apply(make_remove("entry-1")).ok());
    CHECK(machine.instance("entry-1") == nullptr);
    CHECK(expect_rejection(machine.apply(make_remove("entry-1"))) == error_kind::bad_request);
    CHECK(expect_rejection(machine.apply(pb::command())) == error_kind::bad_request);
}

TEST_CASE("state: the digest does not depend on the order of changes")
{
    state_machine one = new_machine();
    state_machine other = new_machine();
    CHECK(one.apply(make_register("a", "x")).ok());
    const std::uint64_t before = one.digest();
    CHECK(one.apply(make_register("b", "x")).ok());
    CHECK(one.digest() != before);
    CHECK(one.apply(make_remove("b")).ok());
    CHECK(one.digest() == before);
    CHECK(other.digest() == 0);
}

TEST_CASE("state: a machine restored after hundreds of changes behaves like the original")
{
    std::mt19937 random(restart_seed);
    state_machine machine = new_machine();
    for (int change = 0; change < change_count; ++change) {
        machine.apply(with_request(random_command(random), "r-" + std::to_string(change)));
    }
    auto restored = state_machine::restore(machine.snapshot());
    REQUIRE(ok(restored));
    state_machine& second = value(restored);
    CHECK(second.version() == machine.version());
    CHECK(second.digest() == machine.digest());
    for (int change = 0; change < change_count; ++change) {
        const pb::command command =
            with_request(random_command(random), "r-" + std::to_string(2 * change));
        const auto expected = machine.apply(command).SerializeAsString();
        CHECK(second.apply(command).SerializeAsString() == expected);
    }
    CHECK(second.snapshot() == machine.snapshot());
}

TEST_CASE("state: a promotion requested in an earlier term is kept until one is finished")
{
    state_machine machine = new_machine();
    const auto requested = [&] {
        const auto& servers = machine.group("ledger")->requested();
        return std::vector<std::string>(servers.begin(), servers.end());
    };
    CHECK_FALSE(machine.apply(make_request("ledger", 1, "s1")).ok());
    CHECK(machine.apply(make_begin("ledger", 1)).ok());
    CHECK(machine.apply(make_request("ledger", 1, "s1")).ok());
    CHECK_FALSE(machine.apply(make_request("ledger", 2, "s2")).ok());
    CHECK(machine.apply(make_begin("ledger", 2)).ok());
    CHECK_FALSE(machine.apply(make_request("ledger", 1, "s3")).ok());
    CHECK(machine.apply(make_request("ledger", 2, "s2")).ok());
    CHECK(machine.apply(make_request("ledger", 2, "s1")).ok());
    CHECK(requested() == std::vector<std::string>{"s2", "s1"});
    CHECK(machine.apply(make_finish("ledger", 2, "s1", 5)).ok());
    CHECK(requested().empty());
    CHECK_FALSE(machine.apply(make_request("ledger", 2, "s2")).ok());
}

TEST_CASE("state: a damaged snapshot is rejected")
{
    state_machine machine = new_machine();
    CHECK(machine.apply(make_register("entry-1", "fukuoka")).ok());
    const std::string serialised = machine.snapshot();
    for (std::size_t at = 0; at < serialised.size(); ++at) {
        const auto truncated = state_machine::restore(std::string_view(serialised).substr(0, at));
        REQUIRE_FALSE(ok(truncated));
        CHECK(failure(truncated).kind == error_kind::corrupt_storage);
    }
    for (std::size_t at = 0; at < serialised.size(); ++at) {
        std::string corrupted = serialised;
        corrupted[at] = static_cast<char>(corrupted[at] ^ 1);
        const auto restored = state_machine::restore(corrupted);
        REQUIRE_FALSE(ok(restored));
        CHECK(failure(restored).kind == error_kind::corrupt_storage);
        CHECK_FALSE(failure(restored).remedy.empty());
    }
}
