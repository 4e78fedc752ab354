// A fleet whose pooler instances all start at once: the follow plans, the relays and the leader's
// service over a model of links with a delay and a bandwidth.
#include "cell_directory_copy.h"
#include "cell_relay.h"
#include "cell_reply_pacer.h"
#include "cell_service.h"
#include "pooler_follow_plan.h"
#include "request_pacer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace primrosehead;

namespace {

constexpr clock::time_point at(std::int64_t milliseconds)
{
    return clock::time_point(clock::duration(1'000'000 + milliseconds));
}

struct model_settings {
    std::size_t followers = 300;
    std::size_t controls = 6;
    std::int64_t delay_ms = 1;
    double bytes_per_ms = 250; // of a follower's link
    std::size_t document_bytes = 40'000;
    std::size_t servers = 280;            // about 40 KB of announcements
    std::int64_t leads_from_ms = -10'000; // when the leader was elected
    std::int64_t announced_until_ms = -1; // the servers announce themselves until then
};

// Assumed processor time of a control instance for a request, a byte that it sends and a connection
// that it accepts; it has `processor` of a core.
constexpr double request_cost_ms = 0.06;
constexpr double byte_cost_ms = 0.000'01;
constexpr double connection_cost_ms = 0.3;
constexpr double processor = 0.3;

std::string endpoint_of(std::size_t control)
{
    return "tcp://cell-" + std::to_string(control);
}

pb::server_announcement announcement(std::size_t number)
{
    pb::server_announcement made;
    made.set_server("server-" + std::to_string(number) + std::string(60, 's'));
    made.set_group("group-" + std::to_string(number / 3));
    made.set_address("127.0.0.1:" + std::to_string(10'000 + number));
    made.set_failure_domain("domain-" + std::to_string(number % 6));
    made.set_slots(5);
    made.set_sequence(1);
    made.set_born_ms(1'700'000'000'000 + number);
    return made;
}

class starting_fleet {
  public:
    explicit starting_fleet(model_settings settings)
        : settings_(settings), state_(cell_name("main")), leader_({}, 1, at(settings.leads_from_ms))
    {
        publish(1);
        for (std::size_t i = 0; i < settings.controls; ++i) {
            cell::relay_settings relay;
            relay.instance = "cell-" + std::to_string(i);
            relay.failure_domain = "domain-" + std::to_string(i);
            relay.endpoint = endpoint_of(i);
            controls_.push_back(std::make_unique<control>(relay));
        }
        for (std::size_t i = 0; i < settings.followers; ++i) {
            followers_.push_back(std::make_unique<follower>(i, settings.controls));
        }
    }

    void publish(std::uint64_t version)
    {
        pb::command command;
        pb::published_record& record = *command.mutable_publish();
        record.set_name(std::string(cell::document_name));
        record.set_version(version);
        record.set_document(std::string(settings_.document_bytes, 'd'));
        REQUIRE(state_.apply(command).ok());
    }

    void run(std::int64_t until_ms)
    {
        for (; now_ms_ < until_ms; ++now_ms_) {
            while (!events_.empty() && events_.top().time_ms <= now_ms_) {
                const std::function<void()> act = events_.top().act;
                events_.pop();
                act();
            }
            announce();
            constexpr std::int64_t tick_ms = 20;
            if (now_ms_ % tick_ms == 0) {
                tick_controls();
            }
            for (std::size_t i = 0; i < followers_.size(); ++i) {
                if ((now_ms_ + static_cast<std::int64_t>(i)) % tick_ms == 0) {
                    tick_follower(i);
                }
            }
        }
    }

    // Number of followers that hold the document of `version` and the newest directory.
    [[nodiscard]] std::size_t served(std::uint64_t version) const
    {
        return static_cast<std::size_t>(
            std::count_if(followers_.begin(), followers_.end(), [&](const auto& each) {
                return each->document_version == version &&
                       each->directory.revision() == servers_.revision();
            }));
    }

    struct control_load {
        std::uint64_t requests = 0;
        std::uint64_t bytes = 0;
        std::uint64_t connections = 0; // opened

        [[nodiscard]] double cost_ms() const
        {
            return request_cost_ms * static_cast<double>(requests) +
                   byte_cost_ms * static_cast<double>(bytes) +
                   connection_cost_ms * static_cast<double>(connections);
        }
    };
    [[nodiscard]] const control_load& load(std::size_t number) const
    {
        return controls_[number]->load;
    }
    [[nodiscard]] cell::directory& servers() { return servers_; }

    std::uint64_t documents_sent = 0;
    std::uint64_t full_directories_sent = 0;
    std::uint64_t servers_sent = 0; // announcements in directories and deltas
    std::set<std::size_t> silent;   // control instances that answer nobody

  private:
    struct control {
        explicit control(const cell::relay_settings& settings) : relay(settings, 1) {}
        cell::relay relay;
        control_load load;
        double processor_free_at_ms = 0;
    };
    struct follower {
        follower(std::size_t number, std::size_t domains)
            : name("entry-" + std::to_string(number)),
              domain("domain-" + std::to_string(number % domains)), plan(name, domain)
        {
            plan.set_seeds({endpoint_of(0), endpoint_of(1), endpoint_of(2)});
        }
        std::string name;
        std::string domain;
        pooler::follow_plan plan;
        cell::directory_copy directory;
        std::uint64_t document_version = 0;
        std::set<std::string> connections;
        double link_free_at_ms = 0;
    };
    struct event {
        std::int64_t time_ms;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const event& other) const
        {
            return std::tie(other.time_ms, other.number) < std::tie(time_ms, number);
        }
    };

    void later(std::int64_t delay_ms, std::function<void()> act)
    {
        events_.push({now_ms_ + delay_ms, ++event_number_, std::move(act)});
    }

    [[nodiscard]] bool has_leader() const { return now_ms_ >= settings_.leads_from_ms; }

    void announce()
    {
        while (announced_ < settings_.servers &&
               (settings_.announced_until_ms <= 0 ||
                static_cast<std::int64_t>(announced_) * settings_.announced_until_ms <=
                    now_ms_ * static_cast<std::int64_t>(settings_.servers))) {
            servers_.apply(announcement(announced_++), at(now_ms_));
        }
    }

    void tick_controls()
    {
        for (std::size_t i = 0; i < controls_.size() && has_leader(); ++i) {
            std::optional<pb::follow_request> request =
                controls_[i]->relay.next_follow_request(at(now_ms_));
            if (!request) {
                continue;
            }
            later(settings_.delay_ms, [this, i, asked = std::move(*request)] {
                if (silent.contains(0)) {
                    return;
                }
                const pb::follow_reply reply = leader_.follow(asked, state_, servers_, at(now_ms_));
                record_sent(0, reply);
                later(settings_.delay_ms,
                      [this, i, reply] { controls_[i]->relay.receive(reply, at(now_ms_)); });
            });
        }
        if (has_leader()) {
            static_cast<void>(leader_.advance(nullptr, state_, servers_, at(now_ms_)));
        }
    }

    void tick_follower(std::size_t number)
    {
        follower& sender = *followers_[number];
        const std::optional<pooler::planned_request> planned =
            sender.plan.next_request(at(now_ms_));
        for (const std::string& endpoint : sender.plan.take_unneeded()) {
            sender.connections.erase(endpoint);
        }
        if (!planned) {
            return;
        }
        std::size_t target = 0;
        while (endpoint_of(target) != planned->endpoint) {
            ++target;
        }
        if (sender.connections.insert(planned->endpoint).second) {
            ++controls_[target]->load.connections;
            controls_[target]->processor_free_at_ms =
                std::max(controls_[target]->processor_free_at_ms, static_cast<double>(now_ms_)) +
                connection_cost_ms / processor;
        }
        pb::follow_request request;
        request.set_instance(sender.name);
        request.set_failure_domain(sender.domain);
        request.set_incarnation(1);
        request.set_sequence(planned->sequence);
        request.set_asked_at_ms(to_ms(at(now_ms_)));
        request.set_document_version(sender.document_version);
        request.set_control_term(sender.directory.term());
        request.set_directory_revision(sender.directory.revision());
        request.set_wants_document(planned->wants_large_parts);
        request.set_wants_directory(planned->wants_large_parts);
        later(settings_.delay_ms,
              [this, number, target, request] { handle_follow(number, target, request); });
    }

    // As a cell instance does.
    void handle_follow(std::size_t number, std::size_t target, const pb::follow_request& request)
    {
        if (silent.contains(target)) {
            return;
        }
        control& receiver = *controls_[target];
        pb::follow_reply reply;
        if (receiver.relay.is_serving()) {
            reply =
                receiver.relay.follow(request, state_.published(cell::document_name), at(now_ms_));
        }
        else if (target == 0 && has_leader()) {
            reply = leader_.follow(request, state_, servers_, at(now_ms_));
        }
        else {
            reply.set_sequence(request.sequence());
            reply.set_leader_hint(has_leader() ? endpoint_of(0) : std::string());
            reply.set_retry_after_ms(
                cell::reply_pacer::retry_after_ms(request.instance(), at(now_ms_)));
        }
        const double cost_before = receiver.load.cost_ms();
        const std::size_t bytes = record_sent(target, reply);
        receiver.processor_free_at_ms =
            std::max(receiver.processor_free_at_ms, static_cast<double>(now_ms_)) +
            (receiver.load.cost_ms() - cost_before) / processor;
        documents_sent += reply.has_document() ? 1 : 0;
        servers_sent += static_cast<std::uint64_t>(reply.servers_size());
        full_directories_sent +=
            reply.servers_size() > 0 && reply.directory_base_revision() == 0 ? 1 : 0;
        double& free_at = followers_[number]->link_free_at_ms;
        free_at = std::max(free_at, receiver.processor_free_at_ms) +
                  static_cast<double>(bytes) / settings_.bytes_per_ms;
        later(static_cast<std::int64_t>(free_at) - now_ms_ + settings_.delay_ms,
              [this, number, target, reply] { receive(number, target, reply); });
    }

    std::size_t record_sent(std::size_t sender, const pb::follow_reply& reply)
    {
        const std::size_t bytes = reply.ByteSizeLong();
        ++controls_[sender]->load.requests;
        controls_[sender]->load.bytes += bytes;
        return bytes;
    }

    void receive(std::size_t number, std::size_t sender, const pb::follow_reply& reply)
    {
        follower& receiver = *followers_[number];
        if (!receiver.connections.contains(endpoint_of(sender))) {
            return; // the connection was closed while the reply was on its way
        }
        const pooler::reply_use use =
            receiver.plan.receive(reply, endpoint_of(sender), at(now_ms_));
        if (use == pooler::reply_use::none) {
            return;
        }
        if (reply.has_document()) {
            receiver.document_version =
                std::max(receiver.document_version, reply.document().version());
            receiver.plan.hasten();
        }
        const bool is_full = reply.servers_size() > 0 && reply.directory_base_revision() == 0;
        if (receiver.directory.apply(reply, from_ms(reply.asked_at_ms())) && is_full) {
            receiver.plan.hasten();
        }
        if (use == pooler::reply_use::all) {
            receiver.plan.set_is_behind(receiver.document_version < reply.document_version() ||
                                        receiver.directory.revision() !=
                                            reply.directory_revision());
            receiver.plan.apply_relays(reply, at(now_ms_));
        }
    }

    model_settings settings_;
    state_machine state_;
    cell::directory servers_;
    cell::service leader_; // at control instance 0
    std::vector<std::unique_ptr<control>> controls_;
    std::vector<std::unique_ptr<follower>> followers_;
    std::priority_queue<event> events_;
    std::uint64_t event_number_ = 0;
    std::int64_t now_ms_ = 0;
    std::size_t announced_ = 0;
};

void check_load(const starting_fleet& fleet, std::int64_t duration_ms)
{
    constexpr double max_load = 0.15; // half of a control instance's 0.3 of a core
    for (std::size_t i = 0; i < 6; ++i) {
        const starting_fleet::control_load& load = fleet.load(i);
        INFO("control instance ", i, ": ", load.requests, " requests, ", load.bytes, " bytes, ",
             load.connections, " connections");
        CHECK(load.cost_ms() < max_load * static_cast<double>(duration_ms));
    }
}

} // namespace

// Guards against large replies that are requested and sent again before the previous copy arrived,
// and against endpoints changed in vain: together they filled all links of a starting fleet.
TEST_CASE("fleet start: 300 instances have the document and the directory within 5 s")
{
    starting_fleet fleet({});
    fleet.run(5'000);
    CHECK(fleet.served(1) == 300);
    CHECK(fleet.documents_sent <= 310);
    CHECK(fleet.full_directories_sent <= 310);
    check_load(fleet, 5'000);
    std::uint64_t connections = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        connections += fleet.load(i).connections;
    }
    CHECK(connections <= 1'000); // a seed, the leader and a relay for each instance, and a few more
}

// Guards against instances that circle through the addresses of their settings during the first
// election, and against a directory sent anew with every server that announces itself.
TEST_CASE("fleet start: a cell that elects its first leader while 300 instances wait")
{
    model_settings settings;
    settings.leads_from_ms = 2'000;
    settings.announced_until_ms = 4'000;
    starting_fleet fleet(settings);
    fleet.run(2'000);
    std::uint64_t connections = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        connections += fleet.load(i).connections;
    }
    CHECK(connections <= 900);
    fleet.run(7'000);
    CHECK(fleet.served(1) == 300);
    CHECK(fleet.documents_sent <= 310);
    CHECK(fleet.servers_sent <= 300 * 280 * 3 / 2);
    check_load(fleet, 7'000);
}

// Guards against a new document that reaches a running fleet later than its lease allows.
TEST_CASE("fleet start: a new document reaches 300 running instances within 2 s")
{
    starting_fleet fleet({});
    fleet.run(6'000);
    fleet.publish(2);
    fleet.run(8'000);
    CHECK(fleet.served(2) == 300);
    CHECK(fleet.documents_sent <= 620);
}

// Guards against followers that stay with a frozen relay, or that all move to the same other one.
TEST_CASE("fleet start: the followers of a frozen relay get changes from others within 1 s")
{
    starting_fleet fleet({});
    fleet.run(6'000);
    fleet.silent.insert(3);
    pb::server_announcement changed = announcement(7);
    changed.set_sequence(2);
    changed.set_leaving(true);
    REQUIRE(fleet.servers().apply(changed, at(6'000)));
    const std::uint64_t sent_before = fleet.servers_sent;
    fleet.run(7'000);
    CHECK(fleet.served(1) == 300);
    CHECK(fleet.servers_sent - sent_before <= 320); // one changed server for each instance
}

// Guards against followers that try one relay after the other while none has a leader.
TEST_CASE("fleet start: without a leader for 4 s, followers change their relays a few times only")
{
    starting_fleet fleet({});
    fleet.run(6'000);
    const auto connections = [&] {
        std::uint64_t count = 0;
        for (std::size_t i = 0; i < 6; ++i) {
            count += fleet.load(i).connections;
        }
        return count;
    };
    const std::uint64_t before = connections();
    fleet.silent.insert(0);
    fleet.run(10'000);
    CHECK(connections() - before <= 3 * 300);
    fleet.silent.clear();
    fleet.publish(2);
    fleet.run(13'000);
    CHECK(fleet.served(2) == 300);
}

TEST_CASE("request pacer: one unanswered request, repeated after a doubling timeout")
{
    request_pacer pacer("entry-1");
    std::int64_t now = 0;
    std::int64_t expected = 1'000;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        REQUIRE(pacer.is_ready(at(now)));
        pacer.record_request(sequence, at(now));
        const std::int64_t asked_at = now;
        while (!pacer.is_ready(at(now))) {
            now += 10;
        }
        CHECK(now - asked_at >= expected);
        CHECK(now - asked_at <= expected * 5 / 4 + 10);
        expected = std::min<std::int64_t>(expected * 2, 8'000);
    }
    pacer.record_request(6, at(now));
    pacer.record_answer(5, clock::duration(0), at(now)); // of an earlier request
    CHECK(!pacer.is_ready(at(now)));
    pacer.record_answer(6, clock::duration(300), at(now));
    CHECK(!pacer.is_ready(at(now + 299)));
    CHECK(pacer.is_ready(at(now + 300)));
}

TEST_CASE("reply pacer: large parts in flight are bounded, small ones pass")
{
    cell::reply_pacer pacer;
    constexpr std::size_t part = 409'600;
    CHECK(pacer.admit("a", part, at(0)) == 0);
    CHECK(pacer.admit("b", part, at(0)) == 0);
    CHECK(pacer.admit("c", part, at(0)) > 0);   // the bound
    CHECK(pacer.admit("a", 20'000, at(0)) > 0); // one for each requester
    CHECK(pacer.admit("c", 1'000, at(0)) == 0);
    pacer.release("a");
    CHECK(pacer.admit("c", part, at(10)) == 0);
    CHECK(pacer.admit("d", part, at(3'400)) > 0);
    CHECK(pacer.admit("d", part, at(3'480)) == 0); // the reply to b was lost
    CHECK(pacer.deferred() == 3);
    cell::reply_pacer idle;
    CHECK(idle.admit("a", 16'777'216, at(0)) == 0); // larger than the bound: alone
}

TEST_CASE("directory copy: deltas in any order, of other terms and for unknown revisions")
{
    cell::directory servers;
    for (std::size_t i = 0; i < 4; ++i) {
        servers.apply(announcement(i), at(0));
    }
    const auto reply_since = [&](std::uint64_t since, std::uint64_t term) {
        pb::follow_reply reply;
        reply.set_control_term(term);
        reply.set_directory_revision(servers.revision());
        std::uint64_t base = 0;
        for (const pb::server_announcement& each : servers.changes_since(since, at(0), base)) {
            *reply.add_servers() = each;
        }
        reply.set_directory_base_revision(base);
        return reply;
    };
    pb::server_announcement repeated = announcement(0);
    repeated.set_sequence(2);
    CHECK(!servers.apply(repeated, at(5))); // changes nothing to route by
    CHECK(servers.revision() == 4);
    cell::directory_copy copy;
    pb::follow_reply stray = reply_since(2, 1);
    CHECK(stray.servers_size() == 2);
    CHECK(!copy.apply(stray, at(5))); // a delta without the revision that it applies to
    CHECK(copy.apply(reply_since(0, 1), at(5)));
    const pb::follow_reply full = reply_since(0, 1);
    pb::server_announcement gone;
    gone.set_server(announcement(1).server());
    gone.set_gone(true);
    servers.apply(gone, at(10));
    const pb::follow_reply delta = reply_since(4, 1);
    CHECK(delta.servers_size() == 1);
    CHECK(!copy.apply(reply_since(4, 2), at(10))); // another term
    CHECK(copy.apply(delta, at(10)));
    CHECK(!copy.apply(full, at(10))); // late
    CHECK(copy.find(gone.server())->gone());
    servers.evict_stale(at(20'000)); // silent servers; the deregistered one is kept
    const pb::follow_reply evicted = reply_since(copy.revision(), 1);
    CHECK(evicted.directory_base_revision() != 0);
    CHECK(copy.apply(evicted, at(20'000)));
    CHECK(copy.servers(at(10)).size() == 1);
    CHECK(copy.apply(reply_since(0, 2), at(10))); // all servers of a new leader
    CHECK(copy.term() == 2);
    pb::follow_request request;
    request.set_control_term(1);
    request.set_directory_revision(copy.revision());
    std::uint64_t base = 1;
    CHECK(copy.changes_for(request, at(10), base).size() == 1);
    CHECK(base == 0); // held by a follower of the previous leader
    CHECK(reply_since(servers.revision() + 5, 1).directory_base_revision() == 0); // unknown
}

namespace {

pb::follow_reply not_leading(std::uint64_t sequence, std::string_view hint)
{
    pb::follow_reply reply;
    reply.set_sequence(sequence);
    reply.set_leader_hint(std::string(hint));
    return reply;
}

pb::follow_reply leading(std::uint64_t sequence, const std::vector<std::string>& relays = {})
{
    pb::follow_reply reply;
    reply.set_sequence(sequence);
    reply.set_is_leader(true);
    for (const std::string& endpoint : relays) {
        reply.add_relays()->set_endpoint(endpoint);
    }
    return reply;
}

// Sends the requests that are due until `until_ms`; returns the times of changes of the endpoint.
std::vector<std::int64_t> run_silently(pooler::follow_plan& plan, std::int64_t from_ms,
                                       std::int64_t until_ms)
{
    std::vector<std::int64_t> changes;
    for (std::int64_t now = from_ms; now < until_ms; now += 20) {
        static_cast<void>(plan.next_request(at(now)));
        if (plan.take_change()) {
            changes.push_back(now - from_ms);
        }
    }
    return changes;
}

} // namespace

// Guards against a search that closes and opens a connection every 0.5 s.
TEST_CASE("follow plan: silent endpoints are changed with backoff, connections are kept")
{
    pooler::follow_plan plan("entry-1", "domain-1");
    plan.set_seeds({"tcp://a", "tcp://b", "tcp://c"});
    const std::vector<std::int64_t> changes = run_silently(plan, 0, 12'000);
    REQUIRE(changes.size() >= 4);
    REQUIRE(changes.size() >= 8);
    CHECK(changes.size() <= 10);
    CHECK(changes[3] <= 3 * 540); // the first round as fast as a lease needs it
    CHECK(changes[4] - changes[3] >= 1'000);
    CHECK(changes[7] - changes[6] >= 2'000);
    CHECK(plan.take_unneeded().empty()); // three addresses, three connections
}

TEST_CASE("follow plan: instances begin at different addresses")
{
    std::set<std::string> first;
    for (int i = 0; i < 30; ++i) {
        pooler::follow_plan plan("entry-" + std::to_string(i), "domain-1");
        plan.set_seeds({"tcp://a", "tcp://b", "tcp://c"});
        first.insert(plan.next_request(at(0))->endpoint);
    }
    CHECK(first.size() == 3);
}

// Guards against instances that return to a frozen leader because the others still name it.
TEST_CASE("follow plan: a leader that fell silent is not returned to, its successor is found")
{
    pooler::follow_plan plan("entry-1", "domain-1");
    plan.set_seeds({"tcp://a"});
    const auto first = plan.next_request(at(0));
    REQUIRE(first);
    CHECK(plan.receive(leading(first->sequence), "tcp://a", at(5)) == pooler::reply_use::all);
    plan.set_seeds({"tcp://a", "tcp://b"});
    plan.set_is_behind(false);
    std::int64_t successor_found_at = 0;
    for (std::int64_t now = 20; now < 3'000 && successor_found_at == 0; now += 20) {
        const auto planned = plan.next_request(at(now));
        if (!planned || planned->endpoint == "tcp://a") {
            CHECK((plan.endpoint() != "tcp://a" || now < 540));
            continue;
        }
        if (planned->endpoint == "tcp://c") {
            successor_found_at = now;
            continue;
        }
        const std::string_view hint = now < 1'000 ? "tcp://a" : "tcp://c";
        CHECK(plan.receive(not_leading(planned->sequence, hint), planned->endpoint, at(now + 5)) ==
              pooler::reply_use::none);
    }
    CHECK(successor_found_at >= 1'000);
    CHECK(successor_found_at <= 1'300);
}

// Guards against instances that ignore the leader for seconds after all power was lost, because it
// did not answer before it was elected.
TEST_CASE("follow plan: a redirect to a leader that was silent before its election is followed")
{
    pooler::follow_plan plan("entry-1", "domain-1");
    plan.set_seeds({"tcp://a"});
    static_cast<void>(plan.next_request(at(0)));
    plan.set_seeds({"tcp://a", "tcp://b"});
    std::int64_t led_from = 0;
    for (std::int64_t now = 20; now < 3'000 && led_from == 0; now += 20) {
        const auto planned = plan.next_request(at(now));
        if (planned && planned->endpoint == "tcp://b") {
            pb::follow_reply redirect = not_leading(planned->sequence, "tcp://a");
            redirect.set_control_term(1);
            static_cast<void>(plan.receive(redirect, "tcp://b", at(now + 5)));
            led_from = plan.endpoint() == "tcp://a" ? now : 0;
        }
    }
    CHECK(led_from > 0);
    CHECK(led_from <= 800);
}

// Guards against followers that go back and forth between the leader and a relay that starts.
TEST_CASE("follow plan: a relay that does not serve yet is waited for, one that never does is left")
{
    pooler::follow_plan plan("entry-1", "domain-1");
    plan.set_seeds({"tcp://leader"});
    const auto first = plan.next_request(at(0));
    REQUIRE(first);
    CHECK(!first->wants_large_parts); // the reply may name a better endpoint
    const pb::follow_reply reply = leading(first->sequence, {"tcp://relay"});
    CHECK(plan.receive(reply, "tcp://leader", at(5)) == pooler::reply_use::all);
    plan.apply_relays(reply, at(5));
    CHECK(plan.endpoint() == "tcp://relay");
    CHECK(plan.take_unneeded().empty()); // the leader's connection is kept until the relay answers
    std::int64_t left_at = 0;
    for (std::int64_t now = 20; now < 3'000 && left_at == 0; now += 20) {
        const auto planned = plan.next_request(at(now));
        if (planned && planned->endpoint == "tcp://relay") {
            static_cast<void>(plan.receive(not_leading(planned->sequence, "tcp://leader"),
                                           "tcp://relay", at(now + 5)));
        }
        left_at = plan.endpoint() == "tcp://leader" ? now : 0;
    }
    CHECK(left_at >= 1'000);
    CHECK(left_at <= 1'500);
}

// Guards against losing a document that took longer than the endpoint was waited for.
TEST_CASE("follow plan: a late reply counts for its parts, and only once for its confirmation")
{
    pooler::follow_plan plan("entry-1", "domain-1");
    plan.set_seeds({"tcp://a", "tcp://b"});
    CHECK(run_silently(plan, 0, 600).size() == 2);
    const std::string current = plan.endpoint();
    const std::string left = current == "tcp://a" ? "tcp://b" : "tcp://a";
    CHECK(plan.receive(leading(3), current, at(610)) == pooler::reply_use::all);
    CHECK(plan.take_unneeded() == std::vector<std::string>{left});
    CHECK(plan.receive(leading(2), left, at(620)) == pooler::reply_use::parts);
    CHECK(plan.receive(leading(0), current, at(620)) == pooler::reply_use::none);
    CHECK(plan.endpoint() == current);
}
