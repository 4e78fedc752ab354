#include <primrosehead/lease.h>

#include <doctest/doctest.h>

#include <optional>
#include <random>

using namespace primrosehead;

namespace {

constexpr clock::duration lease{500};

clock::time_point at(std::int64_t milliseconds)
{
    return from_ms(milliseconds);
}

} // namespace

TEST_CASE("a lease counts from the moment of asking")
{
    lease_holder holder;
    CHECK_FALSE(holder.is_valid(at(0)));
    holder.renew(at(100), lease);
    CHECK(holder.is_valid(at(599)));
    CHECK_FALSE(holder.is_valid(at(600)));
    holder.renew(at(50), lease);
    CHECK(holder.expires_at() == at(600));
}

TEST_CASE("a keeper waits for every holder of an older version")
{
    const instance_name a("a");
    const instance_name b("b");
    lease_table table(at(0), lease);
    table.record_grant(a, 7, at(1'000));
    table.record_grant(b, 7, at(1'100));
    CHECK(table.none_before(7, at(1'101)));
    CHECK_FALSE(table.none_before(8, at(1'101)));
    table.record_confirmation(a, 8);
    CHECK(table.holders_before(8, at(1'101)) == std::vector{b});
    CHECK_FALSE(table.none_before(8, at(1'100) + lease));
    CHECK(table.none_before(8, at(1'100) + lease + lease_margin));
}

TEST_CASE("a new leader waits for its predecessor's leases")
{
    const lease_table table(at(2'000), lease);
    CHECK_FALSE(table.none_before(1, at(2'000) + lease));
    CHECK(table.none_before(1, at(2'000) + lease + lease_margin));
}

TEST_CASE("an instance that restarts at an older version is waited for")
{
    const instance_name a("a");
    lease_table table(at(0), lease);
    table.record_grant(a, 9, at(1'000));
    CHECK(table.none_before(9, at(1'001)));
    table.record_grant(a, 0, at(1'010));
    CHECK_FALSE(table.none_before(9, at(1'011)));
}

namespace {

// One holder and one keeper whose clocks differ, with messages delayed and lost at random.
// Returns the first time at which the keeper let a version pass that the holder still acted before.
std::optional<std::int64_t> find_overlap(unsigned seed, bool from_answer)
{
    std::minstd_rand random(seed);
    const instance_name a("a");
    const std::int64_t offset = static_cast<std::int64_t>(random() % 100'000);
    lease_table table(at(0), lease);
    lease_holder holder;
    struct message {
        std::int64_t due = 0;
        std::int64_t sent_at = 0;
        std::uint64_t version = 0;
    };
    std::vector<message> requests;
    std::vector<message> replies;
    std::uint64_t held_version = 0;
    std::uint64_t version = 1;
    for (std::int64_t now = 1'000; now < 6'000; ++now) {
        if (now % 100 == 0 && random() % 4 != 0) {
            const auto delay = static_cast<std::int64_t>(random() % 400);
            requests.push_back({now + delay, now + offset, held_version});
        }
        if (random() % 700 == 0) {
            ++version;
        }
        for (const message& request : requests) {
            if (request.due == now) {
                table.record_grant(a, request.version, at(now));
                const auto delay = static_cast<std::int64_t>(random() % 400);
                replies.push_back({now + delay, request.sent_at, version});
            }
        }
        for (const message& reply : replies) {
            if (reply.due == now) {
                holder.renew(at(from_answer ? now + offset : reply.sent_at), lease);
                held_version = std::max(held_version, reply.version);
            }
        }
        const bool acts_before = holder.is_valid(at(now + offset)) && held_version < version;
        if (acts_before && table.none_before(version, at(now))) {
            return now;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("no holder acts on a version after the keeper let it pass")
{
    constexpr unsigned seeds = 300;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        CHECK_FALSE(find_overlap(seed, false).has_value());
    }
}

TEST_CASE("leases counted from the answer are caught")
{
    constexpr unsigned seeds = 300;
    bool caught = false;
    for (unsigned seed = 1; seed <= seeds && !caught; ++seed) {
        caught = find_overlap(seed, true).has_value();
    }
    CHECK(caught);
}
