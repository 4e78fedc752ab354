#include "base64.h"

#include <primrosehead/config.h>
#include <primrosehead/session.h>

#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <random>
#include <string>

using namespace primrosehead;

namespace {

constexpr std::string_view secret = "0123456789abcdef0123456789abcdef";
constexpr std::string_view other_secret = "0123456789abcdef0123456789abcdeF";
constexpr unsigned fuzz_seed = 20'260;
constexpr int fuzz_runs = 20'000;

// Returns a token with a valid signature over arbitrary bytes.
std::string signed_token(std::string_view bytes)
{
    std::string token = "v1." + to_base64url(bytes);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data(), &size);
    token += '.';
    token += to_base64url(std::string_view(reinterpret_cast<const char*>(digest.data()), size));
    return token;
}

std::string random_bytes(std::mt19937& random, std::size_t max_size)
{
    std::string bytes(random() % (max_size + 1), '\0');
    for (char& byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

// Checks that decoding fails with `bad_token` or gives a session that encodes to a stable token.
void check_bounded(std::string_view token)
{
    const auto opened = session::from_token(token, secret);
    if (!ok(opened)) {
        CHECK(failure(opened).kind == error_kind::bad_token);
        CHECK_FALSE(failure(opened).remedy.empty());
        return;
    }
    const std::string encoded = value(opened).to_token(secret);
    CHECK(encoded.size() <= 2 * config::max_token_bytes);
    const auto reopened = session::from_token(encoded, secret);
    REQUIRE(ok(reopened));
    CHECK(value(reopened).to_token(secret) == encoded);
}

} // namespace

TEST_CASE("session: a token carries the observed position of each database")
{
    session original;
    REQUIRE(ok(original.advance(database_name("ledger-1"), {3, 70})));
    REQUIRE(ok(original.advance(database_name("ledger-2"), {1, 5'000'000'000})));
    const auto opened = session::from_token(original.to_token(secret), secret);
    REQUIRE(ok(opened));
    CHECK(value(opened).position_of(database_name("ledger-1")) == log_position{3, 70});
    CHECK(value(opened).position_of(database_name("ledger-2")) == log_position{1, 5'000'000'000});
    CHECK(value(opened).position_of(database_name("ledger-3")) == log_position{});
    CHECK(ok(session::from_token(session{}.to_token(secret), secret)));
}

TEST_CASE("session: positions only advance")
{
    session original;
    const database_name database("ledger-1");
    REQUIRE(ok(original.advance(database, {2, 50})));
    REQUIRE(ok(original.advance(database, {2, 49})));
    REQUIRE(ok(original.advance(database, {1, 90})));
    CHECK(original.position_of(database) == log_position{2, 50});
    REQUIRE(ok(original.advance(database, {3, 40})));
    CHECK(original.position_of(database) == log_position{3, 40});
}

TEST_CASE("session: a token with another secret and a modified token are rejected")
{
    session original;
    REQUIRE(ok(original.advance(database_name("ledger-1"), {3, 70})));
    const std::string token = original.to_token(secret);
    CHECK_FALSE(ok(session::from_token(original.to_token(other_secret), secret)));
    for (std::size_t offset = 0; offset + 1 < token.size(); ++offset) {
        std::string changed = token;
        changed[offset] = changed[offset] == 'A' ? 'B' : 'A';
        CHECK_FALSE(ok(session::from_token(changed, secret)));
        CHECK_FALSE(ok(session::from_token(std::string_view(token).substr(0, offset), secret)));
    }
}

TEST_CASE("session: the number of databases and the token's size are bounded")
{
    session original;
    for (std::size_t index = 0; index < config::max_session_databases; ++index) {
        REQUIRE(ok(original.advance(database_name("db-" + std::to_string(index)), {1, index})));
    }
    const status rejected = original.advance(database_name("one-more"), {1, 1});
    REQUIRE_FALSE(ok(rejected));
    CHECK(failure(rejected).kind == error_kind::bad_token);
    CHECK(ok(original.advance(database_name("db-1"), {2, 1})));

    session large;
    status outcome;
    for (char letter = 'a'; ok(outcome) && letter <= 'z'; ++letter) {
        outcome = large.advance(database_name(std::string(500, letter)), {1, 1});
    }
    CHECK_FALSE(ok(outcome));
    CHECK(large.to_token(secret).size() <= config::max_token_bytes);
    CHECK(ok(session::from_token(large.to_token(secret), secret)));
}

TEST_CASE("session: arbitrary bytes give a typed error or a valid session")
{
    std::mt19937 random(fuzz_seed);
    for (int run = 0; run < fuzz_runs; ++run) {
        check_bounded(random_bytes(random, 64));
        check_bounded("v1." + random_bytes(random, 64) + "." + random_bytes(random, 48));
        check_bounded(signed_token(random_bytes(random, 96)));
    }
    check_bounded(std::string(config::max_token_bytes + 1, 'a'));
    check_bounded(signed_token(std::string(config::max_token_bytes, '\x7f')));
}
