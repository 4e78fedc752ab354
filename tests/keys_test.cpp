#include "keys_digest.h"
#include "state_commands_maker.h"

#include <primrosehead/config.h>
#include <primrosehead/keys.h>
#include <primrosehead/state.h>
#include <primrosehead/state_view.h>

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace primrosehead;

namespace {

constexpr unsigned fuzz_seed = 11;
constexpr int fuzz_runs = 2'000;

// Returns a reproducible source of random bytes.
random_source seeded_random(unsigned seed)
{
    return [random = std::mt19937(seed)](std::span<unsigned char> bytes) mutable -> status {
        for (unsigned char& byte : bytes) {
            byte = static_cast<unsigned char>(random());
        }
        return {};
    };
}

issued_key make_seeded_key(std::string_view organisation, unsigned seed)
{
    result<issued_key> key = make_key(organisation_name(organisation), seeded_random(seed));
    REQUIRE(ok(key));
    return value(std::move(key));
}

// A state with issued keys, and the key table that an entry instance builds from it.
class key_state {
  public:
    void issue(const issued_key& key)
    {
        pb::command command;
        *command.mutable_issue()->mutable_key() = key.record;
        REQUIRE(machine_.apply(command).ok());
    }

    void withdraw(const issued_key& key)
    {
        REQUIRE(machine_.apply(test::make_withdraw(key.record.key_id())).ok());
    }

    [[nodiscard]] key_table table(bool check_withdrawn = true)
    {
        (void)view_.apply(machine_.delta_since(view_.version()));
        return key_table::make(view_, check_withdrawn);
    }

  private:
    state_machine machine_{cell_name("kyushu")};
    state_view view_{cell_name("kyushu")};
};

void check_rejected(const key_table& table, std::string_view text)
{
    const auto verified = table.verify(text);
    REQUIRE_FALSE(ok(verified));
    CHECK(failure(verified).kind == error_kind::unauthenticated);
    CHECK_FALSE(failure(verified).remedy.empty());
    CHECK(failure(verified).ran == ran::no);
}

} // namespace

TEST_CASE("keys: a key identifies its organisation, and the record stores only a digest")
{
    const issued_key shrine = make_seeded_key("shrines", 1);
    const issued_key carpenter = make_seeded_key("carpenters", 2);
    CHECK(shrine.text.starts_with("ph_" + shrine.record.key_id() + "_"));
    CHECK(shrine.text.size() <= config::max_key_bytes);
    const std::string secret(split_key(shrine.text)->secret);
    CHECK(shrine.record.SerializeAsString().find(secret) == std::string::npos);
    CHECK(shrine.record.digest() != carpenter.record.digest());

    key_state state;
    state.issue(shrine);
    state.issue(carpenter);
    const key_table table = state.table();
    REQUIRE(ok(table.verify(shrine.text)));
    CHECK(value(table.verify(shrine.text)).text() == "shrines");
    CHECK(value(table.verify(carpenter.text)).text() == "carpenters");
}

TEST_CASE("keys: a withdrawn key is rejected by the next table")
{
    const issued_key key = make_seeded_key("shrines", 1);
    key_state state;
    state.issue(key);
    REQUIRE(ok(state.table().verify(key.text)));
    state.withdraw(key);
    check_rejected(state.table(), key.text);
    CHECK(failure(state.table().verify(key.text)).message == "The key was withdrawn.");
    CHECK(ok(state.table(false).verify(key.text))); // without the check the key stays valid
}

TEST_CASE("keys: wrong, altered, truncated and malformed keys are rejected")
{
    const issued_key key = make_seeded_key("shrines", 1);
    key_state state;
    state.issue(key);
    const key_table table = state.table();
    for (std::size_t at = 0; at < key.text.size(); ++at) {
        std::string changed = key.text;
        changed[at] = changed[at] == 'x' ? 'y' : 'x';
        check_rejected(table, changed);
        check_rejected(table, std::string_view(key.text).substr(0, at));
    }
    check_rejected(table, key.text + "A");
    check_rejected(table, "ph__");
    check_rejected(table, std::string(10'000, 'p'));
    check_rejected(key_table(), key.text);
    std::mt19937 random(fuzz_seed);
    for (int run = 0; run < fuzz_runs; ++run) {
        std::string text = run % 2 == 0 ? "ph_" : "";
        for (std::size_t left = random() % 80; left > 0; --left) {
            text += static_cast<char>(random());
        }
        check_rejected(table, text);
    }
}

TEST_CASE("keys: creating a key fails if the random source fails")
{
    const auto failed = make_key(organisation_name("shrines"), [](auto) -> status {
        return error{error_kind::internal, "none", "none", ran::no, clock::duration::zero()};
    });
    CHECK_FALSE(ok(failed));
    const auto created = make_key(organisation_name("shrines"), system_random);
    CHECK(ok(created));
}

TEST_CASE("keys: random digits are refused, not zero, if the random source fails")
{
    const random_source failing = [](std::span<unsigned char>) -> status {
        return error{error_kind::internal, "no entropy", "wait"};
    };
    CHECK(!ok(random_hex(32, failing)));
    const result<std::string> digits = random_hex(32, system_random);
    REQUIRE(ok(digits));
    CHECK(value(digits).size() == 64);
}
