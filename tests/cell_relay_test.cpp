#include "cell_relay.h"
#include "cell_service.h"
#include "pooler_placement.h"
#include "pooler_relay_chooser.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace primrosehead;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

constexpr clock::duration lease{3'500};

cell::relay make_relay(std::string_view name, std::string_view failure_domain = "fukuoka",
                       double limit_tolerance = 0)
{
    cell::relay_settings settings;
    settings.instance = name;
    settings.failure_domain = failure_domain;
    settings.endpoint = "tcp://" + std::string(name);
    settings.lease = lease;
    settings.limit_tolerance = limit_tolerance;
    return cell::relay(settings, 1);
}

std::shared_ptr<const document> make_document(std::uint64_t version, std::size_t organisations,
                                              double rate, double burst)
{
    document_content content;
    content.version = version;
    for (std::size_t i = 0; i < organisations; ++i) {
        document_organisation organisation;
        organisation.name = "org-" + std::to_string(i);
        organisation.keys = {"key-" + std::to_string(i)};
        organisation.rate = rate;
        organisation.burst = burst;
        content.organisations.push_back(organisation);
    }
    result<std::shared_ptr<const document>> made = document::make(content);
    REQUIRE(ok(made));
    return value(made);
}

pb::follow_request follower_request(std::string_view instance, std::uint64_t sequence,
                                    clock::time_point now)
{
    pb::follow_request request;
    request.set_instance(std::string(instance));
    request.set_failure_domain("fukuoka");
    request.set_incarnation(1);
    request.set_sequence(sequence);
    request.set_asked_at_ms(to_ms(now));
    request.set_wants_document(true);
    request.set_wants_directory(true);
    return request;
}

// The leader's reply to a relay, without limits.
pb::follow_reply leader_reply(const pb::follow_request& request, std::uint64_t version,
                              std::uint64_t term = 1)
{
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(request.sequence());
    reply.set_asked_at_ms(request.asked_at_ms());
    reply.set_control_term(term);
    reply.set_document_version(version);
    reply.add_relays()->set_endpoint("tcp://relay");
    return reply;
}

pb::token_request token_request(std::string_view organisation, std::uint32_t tokens)
{
    pb::token_request request;
    pb::token_amount& amount = *request.add_wanted();
    amount.set_organisation(std::string(organisation));
    amount.set_tokens(tokens);
    return request;
}

std::uint32_t granted_tokens(const pb::token_reply& reply)
{
    std::uint32_t sum = 0;
    for (const pb::token_amount& each : reply.granted()) {
        sum += each.tokens();
    }
    return sum;
}

// A leader and its relays, with messages that arrive at once.
class relayed_fleet {
  public:
    relayed_fleet(std::size_t relays, std::shared_ptr<const document> current,
                  double limit_tolerance = 0)
        : document_(std::move(current)), state_(cell_name("main")), leader_({}, 1, at(0))
    {
        for (std::size_t i = 0; i < relays; ++i) {
            relays_.push_back(std::make_unique<cell::relay>(make_relay(
                "cell-" + std::to_string(i), "domain-" + std::to_string(i), limit_tolerance)));
        }
    }

    // Advances by one tick. While the leader is silent, the relays are on their own.
    void tick(clock::time_point now, bool is_leader_silent = false)
    {
        for (std::size_t i = 0; i < relays_.size(); ++i) {
            if (std::optional<pb::follow_request> request = relays_[i]->next_follow_request(now)) {
                ++leader_requests;
                if (is_leader_silent || cut_off.contains(i)) {
                    continue;
                }
                request->set_is_relaying(true);
                request->set_followers(followers_per_relay);
                pb::follow_reply reply = leader_.follow(*request, state_, servers_, now);
                reply.set_document_version(document_->version());
                relays_[i]->receive(reply, now);
            }
            if (!has_document_) {
                relays_[i]->set_document(document_, now);
            }
            if (std::optional<pb::token_request> request = relays_[i]->next_token_request(now)) {
                ++leader_requests;
                if (!is_leader_silent && !cut_off.contains(i)) {
                    relays_[i]->receive_tokens(leader_.grant_tokens(*request, now), now);
                }
            }
        }
        has_document_ = true;
        if (is_leader_silent) {
            return;
        }
        for (const pb::command& command : leader_.pending_registrations(state_, now)) {
            REQUIRE(state_.apply(command).ok());
        }
        static_cast<void>(leader_.advance(document_.get(), state_, servers_, now));
    }

    [[nodiscard]] cell::relay& relay(std::size_t index) { return *relays_[index]; }
    [[nodiscard]] const cell::service& leader() const { return leader_; }

    std::uint32_t followers_per_relay = 49;
    std::uint64_t leader_requests = 0;
    std::set<std::size_t> cut_off; // relays that the leader does not reach

  private:
    std::shared_ptr<const document> document_;
    state_machine state_;
    cell::directory servers_;
    cell::service leader_;
    std::vector<std::unique_ptr<cell::relay>> relays_;
    bool has_document_ = false;
};

} // namespace

TEST_CASE("relay: a confirmation keeps its age on every hop")
{
    cell::relay relay = make_relay("cell-1");
    CHECK(!relay.is_serving());
    const pb::follow_request asked = *relay.next_follow_request(at(0));
    relay.receive(leader_reply(asked, 7), at(20));
    REQUIRE(relay.is_serving());
    const pb::follow_reply reply =
        relay.follow(follower_request("e1", 1, at(150)), nullptr, at(160));
    CHECK(reply.sequence() == 1);
    CHECK(reply.document_version() == 7);
    // The leader was asked at 0; the follower counts from its own request at 150.
    CHECK(reply.confirmed_age_ms() == 160);
    CHECK(reply.asked_at_ms() == to_ms(at(150)));
}

// Guards against commits that are confirmed on the word of a leader which is cut off.
TEST_CASE("relay: a confirmation has the age of the leader's contact with a majority")
{
    cell::relay relay = make_relay("cell-1");
    const pb::follow_request asked = *relay.next_follow_request(at(1'000));
    pb::follow_reply answer = leader_reply(asked, 7);
    answer.set_confirmed_age_ms(300);
    relay.receive(answer, at(1'020));
    CHECK(relay.confirmed_at() == at(700));
    const pb::follow_reply reply =
        relay.follow(follower_request("e1", 1, at(1'100)), nullptr, at(1'100));
    CHECK(reply.confirmed_age_ms() == 400);
}

TEST_CASE("relay: late and repeated messages renew nothing")
{
    cell::relay relay = make_relay("cell-1");
    const pb::follow_request first = *relay.next_follow_request(at(0));
    relay.receive(leader_reply(first, 7, 4), at(10));
    const pb::follow_request second = *relay.next_follow_request(at(1'000));
    relay.receive(leader_reply(second, 6, 3), at(1'010)); // from an earlier leader
    CHECK(relay.confirmed_at() == at(0));
    relay.receive(leader_reply(first, 9, 4), at(1'020)); // repeated
    CHECK(relay.confirmed_at() == at(0));
    pb::follow_reply not_leader = leader_reply(second, 9, 5);
    not_leader.set_is_leader(false);
    relay.receive(not_leader, at(1'030));
    CHECK(relay.confirmed_at() == at(0));
    CHECK(relay.follow(follower_request("e1", 5, at(1'100)), nullptr, at(1'100)).sequence() == 5);
    CHECK(relay.follow(follower_request("e1", 5, at(1'110)), nullptr, at(1'110)).sequence() == 0);
    CHECK(relay.follow(follower_request("e1", 4, at(1'110)), nullptr, at(1'110)).sequence() == 0);
}

TEST_CASE("relay: a confirmation from the future is refused")
{
    cell::relay relay = make_relay("cell-1");
    pb::follow_reply reply = leader_reply(*relay.next_follow_request(at(0)), 7);
    reply.set_asked_at_ms(to_ms(at(60'000)));
    relay.receive(reply, at(10));
    CHECK(!relay.is_serving());
}

TEST_CASE("relay: a follower gets the document of the confirmed version")
{
    cell::relay relay = make_relay("cell-1");
    pb::follow_reply reply = leader_reply(*relay.next_follow_request(at(0)), 8);
    reply.mutable_document()->set_version(8);
    relay.receive(reply, at(5));
    pb::published_record stored; // the instance's own log is behind
    stored.set_version(7);
    CHECK(relay.follow(follower_request("e1", 1, at(10)), &stored, at(10)).document().version() ==
          8);
    stored.set_version(9);
    CHECK(relay.follow(follower_request("e1", 2, at(20)), &stored, at(20)).document().version() ==
          9);
    pb::follow_request current = follower_request("e1", 3, at(30));
    current.set_document_version(9);
    CHECK(!relay.follow(current, &stored, at(30)).has_document());
}

// Guards against an incomplete directory that is sent again in every reply until it is complete.
TEST_CASE("relay: an incomplete directory is passed on once and later marked as complete")
{
    cell::relay relay = make_relay("cell-1");
    int sent = 0;
    const auto receive_directory = [&](std::int64_t time, bool is_complete) {
        const pb::follow_request asked = *relay.next_follow_request(at(time));
        pb::follow_reply reply = leader_reply(asked, 1);
        reply.set_directory_revision(3);
        reply.set_directory_complete(is_complete);
        if (asked.directory_revision() != 3) {
            ++sent;
            reply.add_servers()->set_server("s1");
        }
        relay.receive(reply, at(time));
    };
    receive_directory(0, false);
    pb::follow_request request = follower_request("e1", 1, at(100));
    CHECK(!relay.follow(request, nullptr, at(100)).directory_complete());
    receive_directory(1'000, true);
    CHECK(sent == 1);
    request.set_sequence(2);
    const pb::follow_reply reply = relay.follow(request, nullptr, at(1'100));
    CHECK(reply.servers_size() == 1);
    CHECK(reply.directory_complete());
    request.set_sequence(3);
    request.set_control_term(1);
    request.set_directory_revision(3);
    const pb::follow_reply unchanged = relay.follow(request, nullptr, at(1'200));
    CHECK(unchanged.servers_size() == 0);
    CHECK(unchanged.directory_complete());
}

TEST_CASE("relay: unknown organisations and empty requests get no token and keep nothing")
{
    cell::relay relay = make_relay("cell-1");
    relay.receive(leader_reply(*relay.next_follow_request(at(0)), 1), at(1));
    relay.set_document(make_document(1, 1, 10, 10), at(1));
    for (const pb::token_request& request :
         {token_request("nobody", 3), token_request("org-0", 0)}) {
        const std::optional<pb::token_reply> reply =
            relay.grant_tokens(bus_origin{"e1", {}}, request, at(2));
        REQUIRE(reply);
        CHECK(granted_tokens(*reply) == 0);
    }
    CHECK(relay.take_due_replies(at(500)).empty());
    CHECK(!relay.grant_tokens(bus_origin{"e1", {}}, pb::token_request(), at(3)));
}

TEST_CASE("relay: a request without a token is refused as soon as the leader has none either")
{
    cell::relay relay = make_relay("cell-1");
    relay.receive(leader_reply(*relay.next_follow_request(at(0)), 1), at(1));
    relay.set_document(make_document(1, 1, 10, 10), at(1));
    CHECK(!relay.grant_tokens(bus_origin{"e1", {}}, token_request("org-0", 1), at(2)));
    const std::optional<pb::token_request> asked = relay.next_token_request(at(2));
    REQUIRE(asked);
    CHECK(asked->is_relay());
    pb::token_reply none;
    none.set_is_leader(true);
    none.add_granted()->set_organisation("org-0");
    relay.receive_tokens(none, at(6));
    const auto due = relay.take_due_replies(at(6));
    REQUIRE(due.size() == 1);
    CHECK(due.front().origin.route == "e1");
    CHECK(granted_tokens(due.front().reply) == 0);
    CHECK(due.front().reply.granted(0).retry_after_ms() > 0);
}

TEST_CASE("relay: without an answer of the leader a request is refused in time for its caller")
{
    cell::relay relay = make_relay("cell-1");
    relay.receive(leader_reply(*relay.next_follow_request(at(0)), 1), at(1));
    relay.set_document(make_document(1, 1, 10, 10), at(1));
    CHECK(!relay.grant_tokens(bus_origin{"e1", {}}, token_request("org-0", 1), at(2)));
    CHECK(relay.take_due_replies(at(40)).empty());
    CHECK(relay.take_due_replies(at(47)).size() == 1);
    CHECK(relay.take_due_replies(at(48)).empty());
}

// 294 instances in 6 failure domains serve 190 organisations that ask for 1 / 1.6 of their rates,
// some five operations a second each. One instance meets an organisation every minute.
TEST_CASE(
    "relay: 300 instances serve what 190 organisations may ask, and the leader's work is flat")
{
    constexpr std::size_t relays = 6;
    constexpr std::size_t organisations = 190;
    constexpr double rate = 8;
    constexpr double usual_demand = rate / 1.6;
    constexpr std::int64_t tick_ms = 20;
    constexpr std::int64_t start_up_ms = 8'000; // without traffic
    constexpr std::int64_t end_ms = 26'000;
    constexpr double limit_tolerance = 20;
    relayed_fleet fleet(relays, make_document(1, organisations, rate, rate), limit_tolerance);
    std::mt19937 random(7);
    std::poisson_distribution<int> arrivals(usual_demand * organisations * tick_ms / 1'000);
    std::uniform_int_distribution<std::size_t> any_organisation(0, organisations - 1);
    std::uniform_int_distribution<std::size_t> any_relay(0, relays - 1);
    std::uint64_t asked = 0;
    std::uint64_t admitted = 0;
    for (std::int64_t time = 0; time < end_ms; time += tick_ms) {
        const clock::time_point now = at(time);
        fleet.tick(now);
        for (std::size_t i = 0; i < relays; ++i) {
            for (const cell::delayed_token_reply& delayed : fleet.relay(i).take_due_replies(now)) {
                admitted += granted_tokens(delayed.reply);
            }
        }
        if (time < start_up_ms) {
            continue;
        }
        for (int n = arrivals(random); n > 0; --n) {
            const std::string organisation = "org-" + std::to_string(any_organisation(random));
            ++asked;
            const std::optional<pb::token_reply> reply =
                fleet.relay(any_relay(random))
                    .grant_tokens(bus_origin{"e1", {}}, token_request(organisation, 1), now);
            admitted += reply ? granted_tokens(*reply) : 0;
        }
    }
    CHECK(fleet.leader().uses_relays());
    CHECK(fleet.leader().live_instances(at(end_ms)) == relays * fleet.followers_per_relay);
    CHECK(admitted >= asked * 97 / 100);
    // 5 follow requests and at most 50 token requests a second from each relay, for any number of
    // followers.
    CHECK(fleet.leader_requests <= relays * 60 * end_ms / 1'000);
}

TEST_CASE("relay: one organisation's flood at all relays stays within its rate and burst")
{
    constexpr std::size_t relays = 6;
    constexpr double rate = 20;
    constexpr double burst = 20;
    relayed_fleet fleet(relays, make_document(1, 1, rate, burst));
    std::uint64_t admitted = 0;
    constexpr std::int64_t begin_ms = 8'000;
    constexpr std::int64_t end_ms = 18'000;
    for (std::int64_t time = 0; time < end_ms; time += 20) {
        const clock::time_point now = at(time);
        fleet.tick(now);
        for (std::size_t i = 0; i < relays; ++i) {
            for (const cell::delayed_token_reply& delayed : fleet.relay(i).take_due_replies(now)) {
                admitted += time >= begin_ms ? granted_tokens(delayed.reply) : 0;
            }
            const std::optional<pb::token_reply> reply =
                fleet.relay(i).grant_tokens(bus_origin{"e1", {}}, token_request("org-0", 3), now);
            admitted += time >= begin_ms && reply ? granted_tokens(*reply) : 0;
        }
    }
    const double seconds = (end_ms - begin_ms) / 1'000.0;
    CHECK(static_cast<double>(admitted) <= rate * seconds + burst);
    CHECK(static_cast<double>(admitted) >= rate * seconds * 0.8);
}

// A relay that is cut off from the leader still serves its followers. What it may grant must not be
// granted by others before its lease has ended.
TEST_CASE("relay: a relay that is cut off and the others together stay within the limits")
{
    constexpr std::size_t relays = 6;
    constexpr double rate = 30;
    constexpr double burst = 30;
    relayed_fleet fleet(relays, make_document(1, 1, rate, burst));
    std::vector<std::uint64_t> admitted_by_second(20);
    std::uint64_t by_cut_off = 0;
    constexpr std::int64_t cut_at_ms = 10'000;
    for (std::int64_t time = 0; time < 20'000; time += 20) {
        const clock::time_point now = at(time);
        if (time == cut_at_ms) {
            fleet.cut_off = {0, 1};
        }
        fleet.tick(now);
        for (std::size_t i = 0; i < relays; ++i) {
            std::uint64_t granted = 0;
            for (const cell::delayed_token_reply& delayed : fleet.relay(i).take_due_replies(now)) {
                granted += granted_tokens(delayed.reply);
            }
            const std::optional<pb::token_reply> reply =
                fleet.relay(i).grant_tokens(bus_origin{"e1", {}}, token_request("org-0", 2), now);
            granted += reply ? granted_tokens(*reply) : 0;
            admitted_by_second[static_cast<std::size_t>(time / 1'000)] += granted;
            by_cut_off += i < 2 && time >= cut_at_ms ? granted : 0;
        }
    }
    CHECK(by_cut_off > 0);
    for (std::size_t first = 8; first + 5 <= admitted_by_second.size(); ++first) {
        std::uint64_t in_window = 0;
        for (std::size_t second = first; second < first + 5; ++second) {
            in_window += admitted_by_second[second];
        }
        CHECK(static_cast<double>(in_window) <= rate * 5 + burst);
    }
}

TEST_CASE("relay: followers keep their tokens while no leader answers, until the lease ends")
{
    relayed_fleet fleet(3, make_document(1, 1, 30, 30));
    for (std::int64_t time = 0; time < 8'000; time += 20) {
        fleet.tick(at(time));
        if (time > 4'000 && time % 100 == 0) {
            static_cast<void>(fleet.relay(0).grant_tokens(bus_origin{"e1", {}},
                                                          token_request("org-0", 1), at(time)));
            static_cast<void>(fleet.relay(0).take_due_replies(at(time)));
        }
    }
    std::uint32_t early = 0;
    std::uint32_t after_lease = 0;
    for (std::int64_t time = 8'000; time < 13'000; time += 20) {
        fleet.tick(at(time), true);
        const std::optional<pb::token_reply> reply =
            fleet.relay(0).grant_tokens(bus_origin{"e1", {}}, token_request("org-0", 1), at(time));
        std::uint32_t granted = reply ? granted_tokens(*reply) : 0;
        for (const auto& delayed : fleet.relay(0).take_due_replies(at(time))) {
            granted += granted_tokens(delayed.reply);
        }
        early += time < 9'000 ? granted : 0;
        after_lease += time >= 8'000 + lease.count() ? granted : 0;
    }
    CHECK(early >= 5);
    CHECK(after_lease == 0);
}

TEST_CASE("relay: a new leader goes on using relays; a small fleet does not use them")
{
    state_machine state(cell_name("main"));
    cell::directory servers;
    cell::service leader({}, 2, at(0));
    pb::follow_request request = follower_request("cell-1", 1, at(0));
    request.set_is_relay(true);
    request.set_endpoint("tcp://cell-1");
    CHECK(leader.follow(request, state, servers, at(0)).relays_size() == 0);
    CHECK(leader.live_instances(at(0)) == 0); // a relay without followers is no pooler instance
    CHECK(leader.pending_registrations(state, at(5'000)).empty());
    request.set_sequence(2);
    request.set_is_relaying(true);
    request.set_followers(120);
    const pb::follow_reply reply = leader.follow(request, state, servers, at(5'000));
    REQUIRE(reply.relays_size() == 1);
    CHECK(reply.relays(0).endpoint() == "tcp://cell-1");
    CHECK(leader.live_instances(at(5'000)) == 120);
    CHECK(leader.pending_registrations(state, at(6'100)).size() == 1);
    // A pooler instance that still follows the leader itself is not registered.
    static_cast<void>(
        leader.follow(follower_request("e1", 1, at(5'000)), state, servers, at(5'000)));
    CHECK(leader.pending_registrations(state, at(7'000)).size() == 1);
}

TEST_CASE("relay: a fleet that has become small stops using relays")
{
    state_machine state(cell_name("main"));
    cell::directory servers;
    cell::service leader({}, 2, at(0));
    pb::follow_request request = follower_request("cell-1", 0, at(0));
    request.set_is_relay(true);
    bool uses_relays = true;
    for (std::int64_t time = 0; time < 40'000; time += 200) {
        request.set_sequence(static_cast<std::uint64_t>(time) + 1);
        request.set_is_relaying(uses_relays);
        request.set_followers(time < 20'000 ? 120 : 10);
        uses_relays = leader.follow(request, state, servers, at(time)).relays_size() > 0;
        static_cast<void>(leader.advance(nullptr, state, servers, at(time)));
        CHECK((uses_relays || time > 29'000));
    }
    CHECK(!uses_relays);
}

TEST_CASE("relay: reports of many followers are joined by server")
{
    cell::relay relay = make_relay("cell-1");
    relay.receive(leader_reply(*relay.next_follow_request(at(0)), 1), at(1));
    for (int i = 0; i < 40; ++i) {
        pb::follow_request request = follower_request("e" + std::to_string(i), 1, at(1'000));
        pb::group_sighting& sighting = *request.add_sightings();
        sighting.set_group("kura");
        sighting.set_server("p");
        sighting.set_reached_ms_ago(i < 30 ? 50 + i : -1);
        sighting.set_failing_for_ms(i < 30 ? 0 : 2'000 + i);
        static_cast<void>(relay.follow(request, nullptr, at(1'000)));
    }
    const pb::follow_request joined = *relay.next_follow_request(at(1'100));
    CHECK(joined.followers() == 40);
    REQUIRE(joined.sightings_size() == 2);
    CHECK(joined.sightings(0).instances() == 30);
    CHECK(joined.sightings(0).reached_ms_ago() == 150); // 100 ms older than when it was reported
    CHECK(joined.sightings(0).failing_for_ms() == 0);
    CHECK(joined.sightings(1).instances() == 10);
    CHECK(joined.sightings(1).failing_for_ms() == 2'030);
    CHECK(relay.next_follow_request(at(3'000))->sightings_size() == 0); // too old
}

TEST_CASE("relay: positions of an earlier primary are replaced and old ones are not passed on")
{
    cell::relay relay = make_relay("cell-1");
    relay.receive(leader_reply(*relay.next_follow_request(at(0)), 1), at(1));
    relay.record_position("kura", "p1", log_position{3, 40}, at(100));
    relay.record_position("kura", "p2", log_position{4, 38}, at(200));
    relay.record_position("kura", "p1", log_position{3, 41}, at(300)); // a late answer
    const pb::follow_reply reply =
        relay.follow(follower_request("e1", 1, at(400)), nullptr, at(400));
    REQUIRE(reply.positions_size() == 1);
    CHECK(reply.positions(0).server() == "p2");
    CHECK(reply.positions(0).index() == 38);
    CHECK(reply.positions(0).age_ms() == 200);
    CHECK(relay.follow(follower_request("e1", 2, at(9'000)), nullptr, at(9'000)).positions_size() ==
          0);
}

TEST_CASE("relay chooser: the own failure domain first, the others are spread over the rest")
{
    std::vector<pooler::relay_candidate> relays;
    relays.reserve(6);
    for (int i = 0; i < 6; ++i) {
        const std::string number = std::to_string(i);
        relays.push_back({"tcp://cell-" + number, "domain-" + number});
    }
    std::map<std::string, int> followers;
    for (int i = 0; i < 50; ++i) {
        pooler::relay_chooser chooser("entry-" + std::to_string(i), "domain-2");
        CHECK(chooser.choose(at(0)).empty());
        chooser.set_relays(relays);
        CHECK(chooser.choose(at(0)) == "tcp://cell-2");
        chooser.record_failure("tcp://cell-2", at(0));
        ++followers[chooser.choose(at(10))];
        CHECK(chooser.choose(at(3'000)) == "tcp://cell-2");
        chooser.record_failure("tcp://cell-2", at(3'000));
        CHECK(chooser.choose(at(6'500)) != "tcp://cell-2"); // twice as long after a second failure
        chooser.record_success("tcp://cell-2");
        CHECK(chooser.choose(at(6'500)) == "tcp://cell-2");
    }
    CHECK(followers.size() == 5);
    for (const auto& [endpoint, count] : followers) {
        CHECK(count <= 20);
    }
}

TEST_CASE("relay chooser: with all relays avoided, the addresses from the settings are next")
{
    pooler::relay_chooser chooser("entry-1", "domain-1");
    chooser.set_relays({{"tcp://cell-1", "domain-1"}, {"tcp://cell-2", "domain-2"}});
    CHECK(chooser.alternative_to("tcp://cell-1", at(0)) == "tcp://cell-2");
    chooser.record_failure("tcp://cell-1", at(0));
    chooser.record_failure("tcp://cell-2", at(0));
    CHECK(chooser.choose(at(10)).empty());
    chooser.set_relays({{"tcp://cell-3", "domain-3"}});
    CHECK(chooser.choose(at(10)) == "tcp://cell-3");
}

TEST_CASE("pooler placement: instances never keep more connections than a server accepts")
{
    for (const std::uint32_t instances : {1U, 8U, 60U, 82U, 294U, 2'881U}) {
        for (const std::uint32_t connections : {19U, 32U, 56U, 72U, 214U}) {
            const pooler::connection_budget budget =
                pooler::divide_connections(connections, instances);
            CHECK(budget.kept * instances <= connections);
            CHECK(budget.limit >= 2); // a session is never stuck behind one transaction
        }
    }
    CHECK(pooler::divide_connections(19, 8).kept == 2);
    CHECK(pooler::divide_connections(214, 294).kept == 0);
}

// Guards against a promotion that is requested while followers of a relay still confirm commits
// that the candidate lacks.
TEST_CASE("relay: a fence is reported once all followers apply it")
{
    cell::relay relay = make_relay("cell-0");
    pb::follow_request request = *relay.next_follow_request(at(0));
    relay.receive(leader_reply(request, 1), at(2));
    static_cast<void>(relay.follow(follower_request("e1", 1, at(10)), nullptr, at(10)));
    static_cast<void>(relay.follow(follower_request("e2", 1, at(10)), nullptr, at(10)));
    const fence_id id{1, 7};
    pb::follow_reply notice;
    notice.set_is_leader(true);
    notice.set_control_term(1);
    add_fences({{"g", {id, {"c"}}}}, notice);
    relay.receive(notice, at(20));
    const auto announced = relay.take_fence_notice(at(20));
    REQUIRE(announced.has_value());
    CHECK(announced->instances == std::vector<std::string>{"e1", "e2"});
    CHECK(fences_of(announced->reply).at("g").id == id);
    const auto report = [&](std::string_view name, std::uint64_t sequence, std::int64_t now) {
        pb::follow_request applied = follower_request(name, sequence, at(now));
        add_reports({{"g", {id, {1, sequence}}}}, applied);
        const pb::follow_reply reply = relay.follow(applied, nullptr, at(now));
        CHECK(fences_of(reply).at("g").id == id);
    };
    report("e1", 2, 30);
    CHECK(!relay.next_follow_request(at(40)).has_value());
    SUBCASE("both have applied it")
    {
        report("e2", 3, 50);
        const auto told = relay.next_follow_request(at(60)); // before the interval has passed
        REQUIRE(told.has_value());
        CHECK(reports_of(*told).at("g").id == id);
        CHECK(reports_of(*told).at("g").confirmed == log_position{1, 3});
    }
    SUBCASE("the lease of the other one ends")
    {
        CHECK(reports_of(*relay.next_follow_request(at(1'000))).empty());
        CHECK(reports_of(*relay.next_follow_request(at(1'600))).at("g").id == id);
    }
}
