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

// Random bytes of a fixed seed.
random_source seeded(unsigned seed)
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
    result<issued_key> made = make_key(organisation_name(organisation), seeded(seed));
    REQUIRE(ok(made));
    return value(std::move(made));
}

// A state with issued keys and the table that an entry instance makes of it.
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

void check_refused(const key_table& table, std::string_view text)
{
    const auto known = table.verify(text);
    REQUIRE_FALSE(ok(known));
    CHECK(failure(known).kind == error_kind::unauthenticated);
    CHECK_FALSE(failure(known).remedy.empty());
    CHECK(failure(known).ran == ran::no);
}

} // namespace

TEST_CASE("keys: a key gives its organisation, and only the record's digest is kept")
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

TEST_CASE("keys: a withdrawn key fails at once in the next table")
{
    const issued_key key = make_seeded_key("shrines", 1);
    key_state state;
    state.issue(key);
    REQUIRE(ok(state.table().verify(key.text)));
    state.withdraw(key);
    check_refused(state.table(), key.text);
    CHECK(failure(state.table().verify(key.text)).message == "The key was withdrawn.");
    CHECK(ok(state.table(false).verify(key.text))); // without the mechanism the key goes on working
}

TEST_CASE("keys: wrong, changed, cut and malformed keys are refused")
{
    const issued_key key = make_seeded_key("shrines", 1);
    key_state state;
    state.issue(key);
    const key_table table = state.table();
    for (std::size_t at = 0; at < key.text.size(); ++at) {
        std::string changed = key.text;
        changed[at] = changed[at] == 'x' ? 'y' : 'x';
        check_refused(table, changed);
        check_refused(table, std::string_view(key.text).substr(0, at));
    }
    check_refused(table, key.text + "A");
    check_refused(table, "ph__");
    check_refused(table, std::string(10'000, 'p'));
    check_refused(key_table(), key.text);
    std::mt19937 random(fuzz_seed);
    for (int run = 0; run < fuzz_runs; ++run) {
        std::string text = run % 2 == 0 ? "ph_" : "";
        for (std::size_t left = random() % 80; left > 0; --left) {
            text += static_cast<char>(random());
        }
        check_refused(table, text);
    }
}

TEST_CASE("keys: a failing random source makes no key")
{
    const auto made = make_key(organisation_name("shrines"), [](auto) -> status {
        return error{error_kind::internal, "none", "none", ran::no, clock::duration::zero()};
    });
    CHECK_FALSE(ok(made));
    const auto real = make_key(organisation_name("shrines"), system_random);
    CHECK(ok(real));
}
