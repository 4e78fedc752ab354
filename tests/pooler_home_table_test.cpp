#include "cell_peer_list.h"
#include "cell_relay.h"
#include "cell_service.h"
#include "pooler_home_table.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace primrosehead;

namespace {

constexpr std::array domains = {"north", "south", "east", "west"};

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

std::string peer_name(std::size_t number)
{
    return fmt::format("entry-{}", number);
}

pb::peer_address make_peer(std::size_t number)
{
    pb::peer_address peer;
    peer.set_instance(peer_name(number));
    peer.set_endpoint(fmt::format("tcp://10.0.{}.{}:7000", number / 250, number % 250));
    peer.set_failure_domain(domains[number % domains.size()]);
    return peer;
}

pb::follow_reply whole_list(std::uint64_t revision, const std::set<std::size_t>& numbers)
{
    pb::follow_reply reply;
    reply.set_peers_revision(revision);
    for (const std::size_t number : numbers) {
        *reply.add_peers() = make_peer(number);
    }
    return reply;
}

std::set<std::size_t> first_numbers(std::size_t count)
{
    std::set<std::size_t> numbers;
    for (std::size_t i = 0; i < count; ++i) {
        numbers.insert(i);
    }
    return numbers;
}

pooler::home_table make_table(std::uint32_t homes_per_server = 1)
{
    return {peer_name(0),
            {{"north", "upper"}, {"south", "lower"}, {"east", "upper"}, {"west", "lower"}},
            homes_per_server};
}

pooler::home_table make_table_of(const std::set<std::size_t>& numbers,
                                 std::uint32_t homes_per_server = 1)
{
    pooler::home_table table = make_table(homes_per_server);
    table.apply_peers(whole_list(1, numbers), at(0));
    return table;
}

// The home of each of `servers` servers, which are spread over the failure domains.
std::vector<std::string> homes_in(const pooler::home_table& table, std::size_t servers,
                                  std::string_view organisation = "org")
{
    std::vector<std::string> homes;
    for (std::size_t i = 0; i < servers; ++i) {
        const auto found = table.homes_of(fmt::format("group-{}-server-{}", i / 3, i % 3),
                                          domains[i % domains.size()], organisation, at(0));
        homes.push_back(found.empty() ? std::string() : found.front().instance);
    }
    return homes;
}

std::size_t count_different(const std::vector<std::string>& left,
                            const std::vector<std::string>& right)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        count += left[i] != right[i] ? 1 : 0;
    }
    return count;
}

// A leader, its relays and pooler instances. Each message is lost with probability `loss`.
class peer_fleet {
  public:
    explicit peer_fleet(std::size_t relays)
    {
        elect();
        for (std::size_t i = 0; i < relays; ++i) {
            cell::relay_settings settings;
            settings.instance = fmt::format("cell-{}", i);
            settings.endpoint = "tcp://" + settings.instance;
            relays_.push_back(std::make_unique<cell::relay>(settings, 1));
        }
    }

    void elect() { leader_ = std::make_unique<cell::service>(settings(), ++term_, now_); }

    void add(std::size_t number, bool tells_endpoint = true)
    {
        const auto [found, is_new] = followers_.try_emplace(number, make_table());
        found->second.relay = number % relays_.size();
        found->second.tells_endpoint = tells_endpoint;
    }

    void run(clock::duration period)
    {
        const clock::time_point end = now_ + period;
        for (; now_ < end; now_ += clock::duration(20)) {
            static_cast<void>(leader_->advance(nullptr, state_, servers_, now_));
            for (std::size_t i = 0; i < relays_.size(); ++i) {
                exchange_with_leader(i);
            }
            for (auto& [number, each] : followers_) {
                if (!each.is_dead && now_ - each.sent_at >= clock::duration(200)) {
                    each.sent_at = now_;
                    exchange_with_relay(number, each);
                }
            }
        }
    }

    struct follower {
        explicit follower(pooler::home_table made) : table(std::move(made)) {}
        pooler::home_table table;
        std::size_t relay = 0;
        std::uint64_t sequence = 0;
        clock::time_point sent_at{};
        bool is_dead = false;
        bool is_leaving = false;
        bool tells_endpoint = true;
    };

    [[nodiscard]] follower& at_number(std::size_t number) { return followers_.at(number); }
    // Number of live instances that know `number`.
    [[nodiscard]] std::size_t known_by(std::size_t number) const
    {
        return static_cast<std::size_t>(
            std::count_if(followers_.begin(), followers_.end(), [&](const auto& item) {
                return !item.second.is_dead && item.second.table.has_peer(peer_name(number));
            }));
    }

    double loss = 0;
    std::size_t peers_sent = 0;                        // to pooler instances
    std::map<std::size_t, std::size_t> bytes_of_peers; // sent to each

  private:
    static cell::service_settings settings()
    {
        cell::service_settings made;
        made.relays_from_instances = 2;
        return made;
    }
    [[nodiscard]] bool is_lost() { return std::bernoulli_distribution(loss)(random_); }

    void exchange_with_leader(std::size_t index)
    {
        std::optional<pb::follow_request> request = relays_[index]->next_follow_request(now_);
        if (!request || is_lost()) {
            return;
        }
        const pb::follow_reply reply = leader_->follow(*request, state_, servers_, now_);
        if (!is_lost()) {
            relays_[index]->receive(reply, now_);
        }
    }

    void exchange_with_relay(std::size_t number, follower& sender)
    {
        pb::follow_request request;
        request.set_instance(peer_name(number));
        request.set_incarnation(1);
        request.set_sequence(++sender.sequence);
        request.set_leaving(sender.is_leaving);
        request.set_failure_domain(make_peer(number).failure_domain());
        if (sender.tells_endpoint) {
            request.set_endpoint(make_peer(number).endpoint());
            request.set_peers_revision(sender.table.revision());
        }
        if (is_lost()) {
            return;
        }
        const pb::follow_reply reply = relays_[sender.relay]->follow(request, nullptr, now_);
        peers_sent += static_cast<std::size_t>(reply.peers_size());
        for (const pb::peer_address& peer : reply.peers()) {
            bytes_of_peers[number] += peer.ByteSizeLong() + 3; // field tag and length
        }
        if (!is_lost()) {
            sender.table.apply_peers(reply, now_);
        }
    }

    clock::time_point now_ = at(0);
    std::uint64_t term_ = 0;
    state_machine state_{cell_name("main")};
    cell::directory servers_;
    std::unique_ptr<cell::service> leader_;
    std::vector<std::unique_ptr<cell::relay>> relays_;
    std::map<std::size_t, follower> followers_;
    std::mt19937 random_{7};
};

peer_fleet make_fleet(std::size_t instances, std::size_t relays)
{
    peer_fleet fleet(relays);
    for (std::size_t i = 0; i < instances; ++i) {
        fleet.add(i);
    }
    return fleet;
}

} // namespace

// Guards against a departure that moves servers of other instances, which would close their
// connections, and against one instance that is the home of too many servers.
TEST_CASE("home table: an instance that leaves moves only its own servers")
{
    constexpr std::size_t servers = 2'400;
    // The servers also stand for 100 deployments with 24 servers each.
    constexpr std::size_t deployed_servers = 24;
    for (const std::size_t instances : {8, 75, 300}) {
        CAPTURE(instances);
        const std::vector<std::string> before =
            homes_in(make_table_of(first_numbers(instances)), servers);
        std::map<std::string, std::size_t> homes_by_instance;
        for (const std::string& home : before) {
            ++homes_by_instance[home];
        }
        std::size_t most_moved = 0;
        for (std::size_t left = 0; left < instances; ++left) {
            std::set<std::size_t> numbers = first_numbers(instances);
            numbers.erase(left);
            const std::size_t moved =
                count_different(before, homes_in(make_table_of(numbers), servers));
            REQUIRE(moved == homes_by_instance[peer_name(left)]);
            most_moved = std::max(most_moved, moved);
        }
        std::size_t busiest = 0;
        std::size_t sum_of_busiest = 0;
        for (std::size_t first = 0; first < servers; first += deployed_servers) {
            std::map<std::string, std::size_t> deployed;
            std::size_t most = 0;
            for (std::size_t i = first; i < first + deployed_servers; ++i) {
                most = std::max(most, ++deployed[before[i]]);
            }
            busiest = std::max(busiest, most);
            sum_of_busiest += most;
        }
        MESSAGE(fmt::format("{} instances: {} of {} servers move at most when one leaves (an equal "
                            "part is {}); of 24 servers the busiest is the home of {:.2f} on "
                            "average, {} at most",
                            instances, most_moved, servers, servers / instances,
                            static_cast<double>(sum_of_busiest) * deployed_servers / servers,
                            busiest));
        CHECK(most_moved * instances < servers * 3);
        CHECK(busiest <= (instances == 8 ? 7 : 4));
    }
}

// Guards against origins with differing lists that disagree about more than the difference.
TEST_CASE("home table: two views differ only in the servers of the instance that one lacks")
{
    std::set<std::size_t> numbers = first_numbers(75);
    const pooler::home_table all = make_table_of(numbers);
    numbers.erase(17);
    const pooler::home_table lacking = make_table_of(numbers);
    const std::vector<std::string> left = homes_in(all, 240);
    const std::vector<std::string> right = homes_in(lacking, 240);
    for (std::size_t i = 0; i < left.size(); ++i) {
        CHECK((left[i] == right[i] || left[i] == peer_name(17)));
        CHECK(right[i] != peer_name(17));
    }
}

// Guards against a dead home that is asked by every operation, and against one that stays avoided
// after it answers.
TEST_CASE("home table: a silent home is suspected for 500 ms, doubling to 4 s, until it answers")
{
    pooler::home_table table = make_table_of(first_numbers(12));
    const auto best = [&](std::int64_t ms) {
        return table.homes_of("server", "south", "org", at(ms)).front().instance;
    };
    const std::string home = best(0);
    std::int64_t time = 0;
    for (const std::int64_t expected : {500, 1'000, 2'000, 4'000, 4'000}) {
        table.record_silence(home, at(time));
        table.record_silence(home, at(time + expected / 2)); // a call that began earlier
        CHECK(best(time + expected - 1) != home);
        time += expected;
        CHECK(best(time) == home);
    }
    table.record_answer(home);
    table.record_silence(home, at(time));
    CHECK(best(time + 499) != home);
    CHECK(best(time + 500) == home);
    table.record_silence(peer_name(0), at(time)); // itself
    table.record_silence("unknown", at(time));
    CHECK(table.homes_of("server", "north", "org", at(time)).size() == 3);
    // A restarted instance starts without suspicion.
    table.record_silence(home, at(time));
    std::set<std::size_t> others;
    for (std::size_t i = 0; i < 12; ++i) {
        if (peer_name(i) != home) {
            others.insert(i);
        }
    }
    table.apply_peers(whole_list(2, others), at(time));
    table.apply_peers(whole_list(3, first_numbers(12)), at(time));
    CHECK(best(time) == home);
}

// Guards against a server without a home when its failure domain has no usable instance.
TEST_CASE("home table: a domain without instances has homes in its region, then anywhere")
{
    const auto domain_of_home = [](const pooler::home_table& table, std::string_view domain) {
        const auto homes = table.homes_of("server", domain, "org", at(0));
        return homes.empty() ? std::string("none") : homes.front().failure_domain;
    };
    CHECK(domain_of_home(make_table(), "north") == "none");
    CHECK(domain_of_home(make_table_of({0, 1, 2, 3}), "north") == "north");
    CHECK(domain_of_home(make_table_of({1, 2, 3}), "north") == "east");
    CHECK(domain_of_home(make_table_of({1, 3}), "north") != "none");
    CHECK(domain_of_home(make_table_of({1, 3}), "unknown") != "none");
    region_set lower; // an operation's text must not leave its regions
    lower.restrict_to({"lower"});
    const pooler::home_table all = make_table_of({0, 1, 2, 3});
    CHECK(all.homes_of("server", "south", "org", at(0), lower).size() == 1);
    const auto inside = all.homes_of("server", "north", "org", at(0), lower);
    CHECK(inside.size() == 2);
    CHECK(inside.front().failure_domain != "east");
    CHECK(make_table_of({0, 2}).homes_of("server", "south", "org", at(0), lower).empty());
    pooler::home_table suspecting = make_table_of({1, 2, 3, 4});
    suspecting.record_silence(peer_name(4), at(0));
    CHECK(domain_of_home(suspecting, "north") == "east");
    for (const std::size_t number : {1, 2, 3}) {
        suspecting.record_silence(peer_name(number), at(0));
    }
    CHECK(domain_of_home(suspecting, "north") == "none");
}

// Guards against two instances that both or neither believe to be the home.
TEST_CASE("home table: exactly the chosen homes hold themselves for homes")
{
    for (const std::uint32_t homes_per_server : {1U, 2U}) {
        std::size_t homes = 0;
        for (std::size_t i = 0; i < 8; ++i) {
            pooler::home_table table(peer_name(i), {}, homes_per_server);
            table.apply_peers(whole_list(1, first_numbers(8)), at(0));
            homes += table.is_home("server", "west", at(0)) ? 1 : 0;
        }
        CHECK(homes == homes_per_server);
    }
}

// Guards against several homes of a server that share its organisations unevenly or in no stable
// way.
TEST_CASE("home table: organisations are spread over the homes of a server")
{
    constexpr std::size_t organisations = 300;
    const pooler::home_table before = make_table_of(first_numbers(75), 3);
    const auto home_of = [](const pooler::home_table& table, std::size_t organisation) {
        return table.homes_of("server", "east", fmt::format("org-{}", organisation), at(0))
            .front()
            .instance;
    };
    std::map<std::string, std::size_t> counts;
    for (std::size_t i = 0; i < organisations; ++i) {
        ++counts[home_of(before, i)];
    }
    CHECK(counts.size() == 3);
    pooler::home_table after = make_table_of(first_numbers(75), 3);
    const std::string silent = counts.begin()->first;
    after.record_silence(silent, at(0));
    for (std::size_t i = 0; i < organisations; ++i) {
        const std::string home = home_of(before, i);
        CHECK((home == silent) != (home == home_of(after, i)));
    }
    for (const auto& [name, count] : counts) {
        CHECK(count > organisations / 6);
    }
}

// Guards against a list that mixes revisions, and against malformed messages.
TEST_CASE("home table: only changes of the revision held are applied")
{
    pooler::home_table table = make_table_of({1, 2, 3});
    const auto change = [](std::uint64_t base, std::uint64_t revision, std::size_t number,
                           bool is_gone) {
        pb::follow_reply reply;
        reply.set_peers_base_revision(base);
        reply.set_peers_revision(revision);
        *reply.add_peers() = make_peer(number);
        reply.mutable_peers(0)->set_gone(is_gone);
        return reply;
    };
    table.apply_peers(change(2, 3, 4, false), at(0)); // changes of a list that is not held
    CHECK(table.revision() == 1);
    table.apply_peers(change(1, 4, 4, false), at(0));
    table.apply_peers(change(1, 3, 4, true), at(0)); // late
    CHECK(table.has_peer(peer_name(4)));
    table.apply_peers(change(3, 5, 2, true), at(0));
    CHECK_FALSE(table.has_peer(peer_name(2)));
    CHECK(table.has_peer(peer_name(1)));
    pb::follow_reply malformed = change(5, 6, 7, false);
    malformed.mutable_peers(0)->clear_endpoint();
    malformed.add_peers()->set_endpoint("tcp://nameless");
    malformed.add_peers()->set_instance(std::string(5'000, 'x'));
    table.apply_peers(malformed, at(0));
    CHECK(table.malformed_count() == 3);
    CHECK(table.size() == 3);
}

// Guards against a copy that, after a change of the leader, sends changes to a receiver that saw
// more than the copy did.
TEST_CASE("peer list: a copy sends the whole list where it did not see every change")
{
    const auto map_of = [](const std::set<std::size_t>& numbers) {
        cell::peer_list::peer_map live;
        for (const std::size_t number : numbers) {
            live[peer_name(number)] = make_peer(number);
        }
        return live;
    };
    const auto pass_on = [](const cell::peer_list& from, std::uint64_t held) {
        pb::follow_reply reply;
        from.add_to(reply, held);
        return reply;
    };
    cell::peer_list leader;
    CHECK(leader.publish(map_of({1, 2}), 1));
    CHECK_FALSE(leader.publish(map_of({1, 2}), 1));
    cell::peer_list copy;
    CHECK(copy.apply(pass_on(leader, 0)));
    const std::uint64_t first = copy.revision();
    pooler::home_table table = make_table();
    CHECK(leader.publish(map_of({1}), 1)); // the copy misses this one
    table.apply_peers(pass_on(leader, 0), at(0));
    cell::peer_list next_leader;
    CHECK(next_leader.publish(map_of({1, 2}), 2));
    CHECK(copy.apply(pass_on(next_leader, copy.revision())));
    CHECK(copy.needs_complete(table.revision()));
    table.apply_peers(pass_on(copy, table.revision()), at(0));
    CHECK(table.has_peer(peer_name(2)));
    CHECK_FALSE(copy.needs_complete(first)); // what it held itself
    CHECK(pass_on(copy, first).peers_size() == 0);
    CHECK(pass_on(copy, copy.revision()).peers_revision() == 0);
    CHECK_FALSE(copy.apply(pass_on(leader, 0))); // an earlier leader
}

// Guards against unbounded memory when instances come and go under new names.
TEST_CASE("peer list: departures are forgotten, their receivers get the whole list")
{
    cell::peer_list list;
    for (std::size_t i = 0; i < 4'000; ++i) {
        cell::peer_list::peer_map live;
        live[peer_name(i)] = make_peer(i);
        REQUIRE(list.publish(live, 1));
    }
    CHECK(list.size() == 1);
    pb::follow_reply recent;
    list.add_to(recent, list.revision() - 10);
    CHECK(recent.peers_size() == 11);
    CHECK(list.needs_complete(list.revision() - 2'000));
    pb::follow_reply whole;
    list.add_to(whole, list.revision() - 2'000);
    CHECK(whole.peers_base_revision() == 0);
    CHECK(whole.peers_size() == 1);
}

// Guards against instances that are not known everywhere soon, or stay known after they are gone.
TEST_CASE("peers: joining, leaving and silent instances become known to the whole fleet in time")
{
    peer_fleet fleet = make_fleet(75, 8);
    fleet.run(clock::duration(4'000));
    CHECK(fleet.known_by(0) == 75);
    CHECK(fleet.known_by(74) == 75);
    fleet.add(75);
    fleet.run(clock::duration(1'600));
    CHECK(fleet.known_by(75) == 76);
    fleet.at_number(3).is_leaving = true;
    fleet.run(clock::duration(1'000));
    CHECK(fleet.known_by(3) == 0);
    fleet.at_number(4).is_dead = true;
    fleet.run(clock::duration(1'000));
    CHECK(fleet.known_by(4) == 75);
    fleet.run(clock::duration(2'000));
    CHECK(fleet.known_by(4) == 0);
    fleet.peers_sent = 0;
    fleet.run(clock::duration(5'000));
    CHECK(fleet.peers_sent == 0); // nothing changes
}

// Guards against homes that move because a relay or the leader fails.
TEST_CASE("peers: a move to another relay or a new leader drops nobody and sends few peers")
{
    peer_fleet fleet = make_fleet(75, 8);
    fleet.run(clock::duration(4'000));
    const std::uint64_t revision = fleet.at_number(0).table.revision();
    for (std::size_t i = 0; i < 75; i += 8) {
        fleet.at_number(i).relay = 1;
    }
    fleet.run(clock::duration(4'000));
    CHECK(fleet.at_number(0).table.revision() == revision);
    fleet.elect();
    fleet.peers_sent = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.run(clock::duration(100));
        REQUIRE(fleet.known_by(40) == 75);
    }
    CHECK(fleet.at_number(0).table.revision() > revision);
    CHECK(fleet.peers_sent == 0); // the relays know that nothing changed
}

// Guards against reports or replies that are lost for good, and against lists that are sent often.
TEST_CASE("peers: the fleet agrees in spite of lost messages, and changes are published in bounds")
{
    peer_fleet fleet = make_fleet(40, 4);
    // At a loss of 0.3, instances now and then appear silent for the 1.5 s after which they are
    // dropped, so that the list is rightly not the same at all times.
    fleet.loss = 0.15;
    fleet.run(clock::duration(5'000));
    const std::uint64_t begin = fleet.at_number(0).table.revision();
    REQUIRE(begin > 0);
    for (std::size_t i = 40; i < 140; ++i) { // an instance joins every 50 ms
        fleet.add(i);
        fleet.run(clock::duration(40));
    }
    CHECK(fleet.at_number(0).table.revision() - begin <= 10);
    fleet.run(clock::duration(6'000));
    for (std::size_t i = 0; i < 140; ++i) {
        CHECK(fleet.known_by(i) == 140);
    }
}

// Guards against operations that are forwarded to instances which can't be homes.
TEST_CASE("peers: instances that tell no endpoint are no peers and get no list")
{
    peer_fleet fleet = make_fleet(10, 2);
    fleet.add(10, false);
    fleet.run(clock::duration(4'000));
    CHECK(fleet.known_by(10) == 0);
    CHECK(fleet.known_by(0) == 10);
    CHECK(fleet.at_number(10).table.revision() == 0);
}

// Guards against a start of a large fleet whose lists fill the instances' links.
TEST_CASE("peers: 300 instances that start at once know each other soon, from few bytes")
{
    peer_fleet fleet = make_fleet(300, 8);
    fleet.run(clock::duration(5'000));
    std::size_t most_bytes = 0;
    for (std::size_t i = 0; i < 300; ++i) {
        REQUIRE(fleet.known_by(i) == 300);
        most_bytes = std::max(most_bytes, fleet.bytes_of_peers[i]);
    }
    MESSAGE(fmt::format("300 instances: {} bytes of peers at most to one of them", most_bytes));
    CHECK(most_bytes < 30'000);
}
