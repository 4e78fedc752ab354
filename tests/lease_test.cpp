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

TEST_CASE("lease: it runs from the time of the request")
{
    lease_holder holder;
    CHECK_FALSE(holder.is_valid(at(0)));
    holder.renew(at(100), lease);
    CHECK(holder.is_valid(at(599)));
    CHECK_FALSE(holder.is_valid(at(600)));
    holder.renew(at(50), lease);
    CHECK(holder.expires_at() == at(600));
}

TEST_CASE("lease: the table waits for every holder of an older version")
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

TEST_CASE("lease: a new leader waits for its predecessor's leases")
{
    const lease_table table(at(2'000), lease);
    CHECK_FALSE(table.none_before(1, at(2'000) + lease));
    CHECK(table.none_before(1, at(2'000) + lease + lease_margin));
}

TEST_CASE("lease: the table waits for an instance that restarts at an older version")
{
    const instance_name a("a");
    lease_table table(at(0), lease);
    table.record_grant(a, 9, at(1'000));
    CHECK(table.none_before(9, at(1'001)));
    table.record_grant(a, 0, at(1'010));
    CHECK_FALSE(table.none_before(9, at(1'011)));
}

namespace {

// Simulates a holder and a table whose clocks differ, with messages delayed and lost at random.
// Returns the first time at which the table cleared a version while the holder still acted on an
// older one. `from_reply` injects the fault of a lease that runs from the reply.
std::optional<std::int64_t> find_overlap(unsigned seed, bool from_reply)
{
    std::minstd_rand random(seed);
    const instance_name a("a");
    const std::int64_t offset = static_cast<std::int64_t>(random() % 100'000);
    lease_table table(at(0), lease);
    lease_holder holder;
    struct message {
        std::int64_t due_at = 0;
        std::int64_t sent_at = 0;
        std::uint64_t version = 0;
    };
    std::vector<message> requests;
    std::vector<message> replies;
    std::uint64_t confirmed_version = 0;
    std::uint64_t version = 1;
    for (std::int64_t now = 1'000; now < 6'000; ++now) {
        if (now % 100 == 0 && random() % 4 != 0) {
            const auto delay = static_cast<std::int64_t>(random() % 400);
            requests.push_back({now + delay, now + offset, confirmed_version});
        }
        if (random() % 700 == 0) {
            ++version;
        }
        for (const message& request : requests) {
            if (request.due_at == now) {
                table.record_grant(a, request.version, at(now));
                const auto delay = static_cast<std::int64_t>(random() % 400);
                replies.push_back({now + delay, request.sent_at, version});
            }
        }
        for (const message& reply : replies) {
            if (reply.due_at == now) {
                holder.renew(at(from_reply ? now + offset : reply.sent_at), lease);
                confirmed_version = std::max(confirmed_version, reply.version);
            }
        }
        const bool acts_on_older = holder.is_valid(at(now + offset)) && confirmed_version < version;
        if (acts_on_older && table.none_before(version, at(now))) {
            return now;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("lease: no holder acts on an older version once the table has cleared it")
{
    constexpr unsigned seed_count = 300;
    for (unsigned seed = 1; seed <= seed_count; ++seed) {
        CAPTURE(seed);
        CHECK_FALSE(find_overlap(seed, false).has_value());
    }
}

TEST_CASE("lease: the model detects leases that run from the reply")
{
    constexpr unsigned seed_count = 300;
    bool is_detected = false;
    for (unsigned seed = 1; seed <= seed_count && !is_detected; ++seed) {
        is_detected = find_overlap(seed, true).has_value();
    }
    CHECK(is_detected);
}
