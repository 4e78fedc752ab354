#include "fake_server.h"
#include "gateway_transaction.h"
#include "gateway_wire.h"

#include <primrosehead/gateway.h>
#include <primrosehead/ownership.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace primrosehead;
using testing::fake_server;
using testing::fault_mode;

namespace net = boost::asio;

namespace {

using outcome = result<pb::backend_reply>;

constexpr clock::duration generous_timeout{20'000};
constexpr clock::duration short_timeout{150};

// Polls until `is_true` holds or `generous_timeout` has passed; returns whether it holds.
template <class Condition>
bool eventually(const Condition& is_true)
{
    const clock::time_point end = clock::now() + generous_timeout;
    while (clock::now() < end) {
        if (is_true()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return is_true();
}

// Two threads that run one io_context.
class runner {
  public:
    runner()
    {
        for (std::thread& each : threads_) {
            each = std::thread([this] { context_.run(); });
        }
    }
    ~runner() { stop(); }
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    net::any_io_executor executor() { return context_.get_executor(); }

    void stop()
    {
        context_.stop();
        for (std::thread& each : threads_) {
            if (each.joinable()) {
                each.join();
            }
        }
    }

  private:
    net::io_context context_;
    net::executor_work_guard<net::io_context::executor_type> work_{context_.get_executor()};
    std::array<std::thread, 2> threads_;
};

// The gateway of an entry instance with its message bus.
class test_instance {
  public:
    test_instance(std::string_view name, std::string endpoint, gateway_settings settings = {})
        : address_{instance_name(name), failure_domain_name("kumamoto"), std::move(endpoint)}
    {
        settings.cell = cell_name("test");
        settings.instance = address_.name;
        settings.failure_domain = address_.failure_domain;
        settings.health.detection_enabled = false;
        auto opened = bus::open(address_.endpoint, std::nullopt);
        REQUIRE(ok(opened));
        messages_ = value(std::move(opened));
        gateway_ = gateway::create(runner_.executor(), std::move(settings), *messages_);
        poller_ = std::thread([this] { poll(); });
    }
    ~test_instance()
    {
        runner_.stop();
        is_polling_ = false;
        poller_.join();
    }
    test_instance(const test_instance&) = delete;
    test_instance& operator=(const test_instance&) = delete;

    gateway& operator*() { return *gateway_; }
    gateway* operator->() { return gateway_.get(); }
    [[nodiscard]] const instance_address& address() const { return address_; }

    // Drops all further messages, as a frozen process would.
    void freeze() { is_frozen_ = true; }
    [[nodiscard]] bool has_dropped_messages() const { return dropped_ > 0; }

    std::future<outcome> start(pb::backend_request request,
                               clock::duration timeout = generous_timeout)
    {
        return net::co_spawn(runner_.executor(),
                             gateway_->run(std::move(request), clock::now() + timeout),
                             net::use_future);
    }
    outcome run(pb::backend_request request, clock::duration timeout = generous_timeout)
    {
        return start(std::move(request), timeout).get();
    }

  private:
    void poll()
    {
        while (is_polling_) {
            messages_->poll(clock::duration(5),
                            [this](const bus_origin& origin, const pb::envelope& message) {
                                if (is_frozen_) {
                                    ++dropped_;
                                    return;
                                }
                                gateway_->receive(origin, message);
                            });
        }
    }

    runner runner_; // its io_context must outlive the gateway's connections
    instance_address address_;
    std::unique_ptr<bus> messages_;
    std::shared_ptr<gateway> gateway_;
    std::atomic<bool> is_polling_ = true;
    std::atomic<bool> is_frozen_ = false;
    std::atomic<int> dropped_ = 0;
    std::thread poller_;
};

constexpr std::string_view server_id = "kura-1-a";

pb::server_report report_of(const fake_server& server)
{
    pb::server_report report;
    report.set_server(std::string(server_id));
    report.set_database("kura-1");
    report.set_failure_domain("kumamoto");
    report.set_url(server.url());
    report.set_role("primary");
    report.mutable_applied()->set_term(1);
    report.mutable_applied()->set_index(10);
    report.set_slots(3);
    report.set_connection_limit(20);
    return report;
}

pb::backend_request statement_request(std::string_view id, std::string_view statement,
                                      bool write = false)
{
    pb::backend_request request;
    request.set_request_id(std::string(id));
    request.set_organisation("shrine");
    request.set_database("kura-1");
    request.set_server(std::string(server_id));
    request.set_statement(std::string(statement));
    request.set_write(write);
    request.set_term(1);
    request.set_weight(1);
    return request;
}

pb::backend_request transaction_request(std::string_view id, const std::string& transaction,
                                        pb::backend_operation operation,
                                        std::string_view statement = "")
{
    pb::backend_request request = statement_request(id, statement, true);
    request.clear_server();
    request.set_transaction(transaction);
    request.set_operation(operation);
    return request;
}

pb::backend_request begin_request(std::string_view id)
{
    pb::backend_request request = statement_request(id, "", true);
    request.set_operation(pb::BACKEND_BEGIN);
    return request;
}

std::string echo(std::string_view statement)
{
    return R"({"echo":)" + std::string(statement) + "}";
}

error_kind kind_of(const outcome& reply)
{
    REQUIRE(!ok(reply));
    return failure(reply).kind;
}

// One entry instance and one backend server.
struct single_instance {
    explicit single_instance(gateway_settings settings = {}, std::string_view endpoint = "")
        : server(server_runner.executor()), entry("e1", std::string(endpoint), std::move(settings))
    {
        entry->apply_report(report_of(server), clock::now());
    }

    std::string begin_transaction()
    {
        const outcome begun = entry.run(begin_request("b"));
        REQUIRE(ok(begun));
        return value(begun).transaction();
    }

    runner server_runner;
    fake_server server;
    test_instance entry;
};

// Returns "127.0.0.1:PORT" with a port that no process listens on.
std::string free_address()
{
    net::io_context context;
    const net::ip::tcp::endpoint any_port(net::ip::address_v4::loopback(), 0);
    const net::ip::tcp::acceptor taken(context, any_port);
    return "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
}

// Two entry instances in the failure domain of a backend server, which `owner` owns.
struct owner_pair {
    owner_pair() : server(server_runner.executor())
    {
        const std::array names{instance_name("e1"), instance_name("e2")};
        const bool is_first_owner =
            ranked_owners(server_name(server_id), names).front() == names[0];
        owner = std::make_unique<test_instance>(is_first_owner ? "e1" : "e2",
                                                "tcp://" + free_address());
        other = std::make_unique<test_instance>(is_first_owner ? "e2" : "e1",
                                                "tcp://" + free_address());
        const std::array live{owner->address(), other->address()};
        for (test_instance* each : {owner.get(), other.get()}) {
            (*each)->set_instances(live);
            (*each)->apply_report(report_of(server), clock::now());
        }
    }

    runner server_runner;
    fake_server server;
    std::unique_ptr<test_instance> owner;
    std::unique_ptr<test_instance> other;
};

} // namespace

TEST_CASE("gateway: a reply carries the result, the position and the server")
{
    single_instance fixture;
    const outcome reply = fixture.entry.run(statement_request("r1", R"({"get":"bay 7"})"));
    REQUIRE(ok(reply));
    CHECK(value(reply).request_id() == "r1");
    CHECK(value(reply).result() == echo(R"({"get":"bay 7"})"));
    CHECK(value(reply).at().index() == 11);
    CHECK(value(reply).server() == server_id);
    CHECK(value(reply).role() == "primary");
    CHECK(value(reply).data_age_ms() == 7);
    const auto group = fixture.entry->group(database_name("kura-1"));
    REQUIRE(group.size() == 1);
    CHECK(group[0].applied == log_position{1, 11});
    CHECK(group[0].outstanding == 0);
}

TEST_CASE("gateway: a server's slots and half of its connection limit are never exceeded")
{
    single_instance fixture;
    fixture.server.set_fault(fault_mode::delayed, clock::duration(5));
    std::vector<std::future<outcome>> started;
    constexpr int requests = 60;
    started.reserve(requests);
    for (int number = 0; number < requests; ++number) {
        started.push_back(
            fixture.entry.start(statement_request("r" + std::to_string(number), "{}")));
    }
    for (auto& each : started) {
        CHECK(ok(each.get()));
    }
    CHECK(fixture.server.max_concurrent_requests() <= 3);
    CHECK(fixture.server.connections() <= 10);
    CHECK(fixture.entry->stats().connections_opened <= 10);
    CHECK(fixture.entry->stats().queued == 0);
}

TEST_CASE("gateway: every caller gets the reply to its own request")
{
    single_instance fixture;
    std::vector<std::future<outcome>> started;
    constexpr int requests = 200;
    started.reserve(requests);
    for (int number = 0; number < requests; ++number) {
        const std::string text = std::to_string(number);
        started.push_back(fixture.entry.start(statement_request("r" + text, text)));
    }
    for (int number = 0; number < requests; ++number) {
        const outcome reply = started[static_cast<std::size_t>(number)].get();
        REQUIRE(ok(reply));
        CHECK(value(reply).result() == echo(std::to_string(number)));
    }
}

TEST_CASE(
    "gateway: a reply with a wrong id, a truncated one or one without a field is not delivered")
{
    for (const fault_mode fault :
         {fault_mode::wrong_id, fault_mode::truncated, fault_mode::missing_field}) {
        CAPTURE(static_cast<int>(fault));
        single_instance fixture;
        REQUIRE(ok(fixture.entry.run(statement_request("r1", "1", true))));
        fixture.server.set_fault(fault);
        const outcome write = fixture.entry.run(statement_request("r2", "2", true));
        CHECK(kind_of(write) == error_kind::connection_lost);
        CHECK(failure(write).ran == ran::unknown);
        fixture.server.set_fault(fault_mode::none);
        const outcome after = fixture.entry.run(statement_request("r3", "3", true));
        REQUIRE(ok(after));
        CHECK(value(after).result() == echo("3"));
        const auto record = fixture.server.record();
        CHECK(record.back().connection != record.front().connection);
    }
}

TEST_CASE("gateway: without id verification a reply reaches the wrong caller")
{
    gateway_settings settings;
    settings.verify_reply_ids = false;
    single_instance fixture(settings);
    REQUIRE(ok(fixture.entry.run(statement_request("r1", "1", true))));
    fixture.server.set_fault(fault_mode::wrong_id);
    CHECK(ok(fixture.entry.run(
        statement_request("r2", "2", true)))); // the fault that the test above guards against
}

TEST_CASE("gateway: a late reply is dropped with its connection")
{
    single_instance fixture;
    REQUIRE(ok(fixture.entry.run(statement_request("r1", "1", true))));
    fixture.server.set_fault(fault_mode::delayed, short_timeout * 2);
    const outcome late = fixture.entry.run(statement_request("r2", "2", true), short_timeout);
    CHECK(kind_of(late) == error_kind::timed_out);
    CHECK(failure(late).ran == ran::unknown);
    fixture.server.set_fault(fault_mode::none);
    const outcome next = fixture.entry.run(statement_request("r3", "3", true));
    REQUIRE(ok(next));
    CHECK(value(next).result() == echo("3"));
}

TEST_CASE("gateway: an error reply of the server says that the request did not run")
{
    single_instance fixture;
    fixture.server.set_fault(fault_mode::rejected);
    const outcome refused = fixture.entry.run(statement_request("r1", "1", true));
    CHECK(kind_of(refused) == error_kind::backend_refused);
    CHECK(failure(refused).ran == ran::no);
}

TEST_CASE("gateway: a request to an unreachable or unknown server fails and did not run")
{
    single_instance fixture;
    pb::server_report moved = report_of(fixture.server);
    moved.set_url("http://" + free_address());
    fixture.entry->apply_report(moved, clock::now() + clock::duration(1));
    const outcome reply = fixture.entry.run(statement_request("r1", "1", true));
    CHECK(kind_of(reply) == error_kind::connection_lost);
    CHECK(failure(reply).ran == ran::no);
    pb::backend_request elsewhere = statement_request("r2", "1");
    elsewhere.set_server("nobody");
    CHECK(kind_of(fixture.entry.run(elsewhere)) == error_kind::no_replica);
}

TEST_CASE("gateway: a statement that is not valid JSON is not sent")
{
    single_instance fixture;
    const outcome reply = fixture.entry.run(statement_request("r1", "{\"get\":", true));
    CHECK(kind_of(reply) == error_kind::bad_request);
    CHECK(fixture.server.record().empty());
}

TEST_CASE("gateway: a transaction keeps its connection, which runs no other statements meanwhile")
{
    single_instance fixture;
    const std::string transaction = fixture.begin_transaction();
    std::vector<std::future<outcome>> others;
    others.reserve(20);
    for (int number = 0; number < 20; ++number) {
        others.push_back(fixture.entry.start(statement_request("o" + std::to_string(number), "0")));
    }
    REQUIRE(
        ok(fixture.entry.run(transaction_request("s1", transaction, pb::BACKEND_EXECUTE, "1"))));
    REQUIRE(
        ok(fixture.entry.run(transaction_request("s2", transaction, pb::BACKEND_EXECUTE, "2"))));
    REQUIRE(ok(fixture.entry.run(transaction_request("c", transaction, pb::BACKEND_COMMIT))));
    for (auto& each : others) {
        CHECK(ok(each.get()));
    }
    const auto record = fixture.server.record();
    const std::uint64_t pinned = record.front().connection;
    bool is_open = false;
    for (const auto& each : record) {
        is_open = is_open || each.target == "/v1/begin";
        if (is_open && each.connection == pinned && each.target == "/v1/execute") {
            CHECK(each.transaction == "t1");
        }
        is_open = is_open && each.target != "/v1/commit";
    }
    CHECK(fixture.server.open_transactions() == 0);
    CHECK(fixture.entry->is_idle());
    const outcome after =
        fixture.entry.run(transaction_request("s3", transaction, pb::BACKEND_EXECUTE, "3"));
    CHECK(kind_of(after) == error_kind::unknown_transaction);
    CHECK(failure(after).ran == ran::no);
}

TEST_CASE("gateway: a transaction is rejected for another organisation")
{
    single_instance fixture;
    const std::string transaction = fixture.begin_transaction();
    pb::backend_request foreign = transaction_request("s1", transaction, pb::BACKEND_EXECUTE, "1");
    foreign.set_organisation("carpenters");
    CHECK(kind_of(fixture.entry.run(foreign)) == error_kind::unknown_transaction);
    CHECK(fixture.server.record().size() == 1); // only the begin
    CHECK(ok(fixture.entry.run(transaction_request("r", transaction, pb::BACKEND_ROLLBACK))));
}

TEST_CASE("gateway: a broken connection ends its transaction")
{
    single_instance fixture;
    const std::string transaction = fixture.begin_transaction();
    fixture.server.set_fault(fault_mode::truncated);
    const outcome broken =
        fixture.entry.run(transaction_request("s1", transaction, pb::BACKEND_EXECUTE, "1"));
    CHECK(kind_of(broken) == error_kind::connection_lost);
    CHECK(failure(broken).ran == ran::unknown);
    fixture.server.set_fault(fault_mode::none);
    const outcome after =
        fixture.entry.run(transaction_request("s2", transaction, pb::BACKEND_EXECUTE, "2"));
    CHECK(kind_of(after) == error_kind::unknown_transaction);
    CHECK(eventually([&] { return fixture.server.open_transactions() == 0; }));
}

TEST_CASE("gateway: a commit without a reply has an unknown outcome")
{
    single_instance fixture;
    const std::string transaction = fixture.begin_transaction();
    fixture.server.set_fault(fault_mode::truncated);
    const outcome broken =
        fixture.entry.run(transaction_request("c", transaction, pb::BACKEND_COMMIT));
    CHECK(kind_of(broken) == error_kind::connection_lost);
    CHECK(failure(broken).ran == ran::unknown);
    CHECK(fixture.entry->is_idle());
}

TEST_CASE("gateway: a transaction runs one statement at a time")
{
    single_instance fixture;
    const std::string transaction = fixture.begin_transaction();
    fixture.server.set_fault(fault_mode::delayed, short_timeout);
    auto first =
        fixture.entry.start(transaction_request("s1", transaction, pb::BACKEND_EXECUTE, "1"));
    CHECK(eventually([&] { return fixture.server.record().size() == 2; }));
    const outcome second =
        fixture.entry.run(transaction_request("s2", transaction, pb::BACKEND_EXECUTE, "2"));
    CHECK(kind_of(second) == error_kind::bad_request);
    CHECK(failure(second).ran == ran::no);
    CHECK(ok(first.get()));
    CHECK(fixture.server.record().size() == 2);
    CHECK(ok(fixture.entry.run(transaction_request("r", transaction, pb::BACKEND_ROLLBACK))));
}

TEST_CASE("gateway: an abandoned transaction is rolled back")
{
    gateway_settings settings;
    settings.transaction_idle_timeout = short_timeout;
    single_instance fixture(settings);
    const std::string transaction = fixture.begin_transaction();
    CHECK(fixture.server.open_transactions() == 1);
    CHECK(eventually([&] { return fixture.server.open_transactions() == 0; }));
    CHECK(fixture.entry->is_idle());
    CHECK(kind_of(fixture.entry.run(transaction_request("c", transaction, pb::BACKEND_COMMIT))) ==
          error_kind::unknown_transaction);
}

TEST_CASE(
    "gateway: transactions leave connections for statements and queue when the rest are in use")
{
    single_instance fixture;
    std::vector<std::string> open;
    open.reserve(7);
    for (int number = 0; number < 7; ++number) {
        open.push_back(fixture.begin_transaction());
    }
    CHECK(ok(fixture.entry.run(statement_request("r1", "1"))));
    const outcome refused = fixture.entry.run(begin_request("b8"), short_timeout);
    CHECK(kind_of(refused) == error_kind::overloaded);
    CHECK(failure(refused).ran == ran::no);
    auto waiting = fixture.entry.start(begin_request("b9"));
    REQUIRE(ok(fixture.entry.run(transaction_request("r", open.front(), pb::BACKEND_ROLLBACK))));
    CHECK(ok(waiting.get()));
    CHECK(fixture.server.connections() <= 10);
}

TEST_CASE("gateway: while draining, open transactions continue and new ones are rejected")
{
    single_instance fixture;
    const std::string transaction = fixture.begin_transaction();
    fixture.entry->drain();
    CHECK(kind_of(fixture.entry.run(begin_request("b2"))) == error_kind::leaving);
    CHECK(!fixture.entry->is_idle());
    CHECK(ok(fixture.entry.run(transaction_request("s1", transaction, pb::BACKEND_EXECUTE, "1"))));
    CHECK(ok(fixture.entry.run(transaction_request("c", transaction, pb::BACKEND_COMMIT))));
    CHECK(fixture.entry->is_idle());
}

TEST_CASE("gateway: idle connections are closed")
{
    gateway_settings settings;
    settings.connection_idle_timeout = short_timeout;
    single_instance fixture(settings);
    REQUIRE(ok(fixture.entry.run(statement_request("r1", "1"))));
    CHECK(fixture.entry->stats().connections_opened == 1);
    CHECK(eventually([&] { return fixture.entry->stats().connections_open == 0; }));
}

TEST_CASE("gateway: older reports are ignored, servers without recent reports are removed")
{
    single_instance fixture;
    const clock::time_point now = clock::now() + clock::duration(1'000);
    pb::server_report newer = report_of(fixture.server);
    newer.mutable_applied()->set_index(50);
    newer.set_term(6);
    fixture.entry->apply_report(newer, now);
    pb::server_report older = report_of(fixture.server);
    older.mutable_applied()->set_index(40);
    older.set_age_ms(1);
    fixture.entry->apply_report(older, now);
    CHECK(fixture.entry->group(database_name("kura-1")).at(0).applied.index == 50);
    REQUIRE(fixture.entry->recent_announcements(now, now).size() == 1);
    CHECK(fixture.entry->recent_announcements(now, now).at(0).term() == 6);
    CHECK(fixture.entry->recent_announcements(now + clock::duration(1), now).empty());
    fixture.entry->remove_stale_servers(clock::duration(500), now + clock::duration(500));
    CHECK(fixture.entry->group(database_name("kura-1")).size() == 1);
    fixture.entry->remove_stale_servers(clock::duration(500), now + clock::duration(501));
    CHECK(fixture.entry->group(database_name("kura-1")).empty());
}

TEST_CASE("gateway: of two servers that claim to be primary, the one with the newer term is used")
{
    single_instance fixture;
    pb::server_report second = report_of(fixture.server);
    second.set_server("kura-1-b");
    second.mutable_applied()->set_term(2);
    fixture.entry->apply_report(second, clock::now());
    const auto group = fixture.entry->group(database_name("kura-1"));
    REQUIRE(group.size() == 2);
    CHECK(group[0].role == server_role::replica);
    CHECK(group[0].data_age > generous_timeout);
    CHECK(group[1].role == server_role::primary);
}

TEST_CASE("gateway: a request for another instance's server is forwarded to it")
{
    owner_pair fixture;
    const outcome reply = fixture.other->run(statement_request("r1", R"({"get":"bay 7"})"));
    REQUIRE(ok(reply));
    CHECK(value(reply).result() == echo(R"({"get":"bay 7"})"));
    CHECK(value(reply).server() == server_id);
    CHECK((*fixture.other)->stats().forwarded == 1);
    CHECK((*fixture.other)->stats().connections_opened == 0);
    CHECK((*fixture.owner)->stats().received == 1);
    CHECK((*fixture.owner)->stats().executed_locally == 1);
}

TEST_CASE("gateway: an error reply is forwarded unchanged through another instance")
{
    owner_pair fixture;
    fixture.server.set_fault(fault_mode::rejected);
    const outcome refused = fixture.other->run(statement_request("r1", "1", true));
    CHECK(kind_of(refused) == error_kind::backend_refused);
    CHECK(failure(refused).ran == ran::no);
    fixture.server.set_fault(fault_mode::truncated);
    const outcome truncated = fixture.other->run(statement_request("r2", "2", true));
    CHECK(kind_of(truncated) == error_kind::connection_lost);
    CHECK(failure(truncated).ran == ran::unknown);
}

TEST_CASE("gateway: a transaction can continue through any instance")
{
    owner_pair fixture;
    const outcome begun = fixture.other->run(begin_request("b"));
    REQUIRE(ok(begun));
    const std::string transaction = value(begun).transaction();
    CHECK(transaction.starts_with(fixture.owner->address().name.text() + "."));
    REQUIRE(
        ok(fixture.other->run(transaction_request("s1", transaction, pb::BACKEND_EXECUTE, "1"))));
    REQUIRE(
        ok(fixture.owner->run(transaction_request("s2", transaction, pb::BACKEND_EXECUTE, "2"))));
    REQUIRE(ok(fixture.other->run(transaction_request("c", transaction, pb::BACKEND_COMMIT))));
    const auto record = fixture.server.record();
    REQUIRE(record.size() == 4);
    for (const auto& each : record) {
        CHECK(each.connection == record.front().connection);
    }
    CHECK(kind_of(fixture.other->run(transaction_request("s3", transaction, pb::BACKEND_EXECUTE,
                                                         "3"))) == error_kind::unknown_transaction);
}

TEST_CASE("gateway: replies over the bus reach the caller of the request")
{
    owner_pair fixture;
    std::vector<std::future<outcome>> started;
    constexpr int requests = 100;
    started.reserve(requests);
    for (int number = 0; number < requests; ++number) {
        const std::string text = std::to_string(number);
        started.push_back(fixture.other->start(statement_request("r" + text, text)));
    }
    for (int number = 0; number < requests; ++number) {
        const outcome reply = started[static_cast<std::size_t>(number)].get();
        REQUIRE(ok(reply));
        CHECK(value(reply).result() == echo(std::to_string(number)));
    }
}

TEST_CASE(
    "gateway: reads of an unresponsive owner are retried elsewhere, writes have an unknown outcome")
{
    owner_pair fixture;
    REQUIRE(ok(fixture.other->run(statement_request("r1", "1"))));
    fixture.owner->freeze();
    auto write = fixture.other->start(statement_request("w1", "1", true), clock::duration(1'500));
    const outcome read = fixture.other->run(statement_request("r2", "2"));
    REQUIRE(ok(read)); // run by the next owner
    CHECK(value(read).result() == echo("2"));
    const outcome later_write = fixture.other->run(statement_request("w2", "2", true));
    CHECK(ok(later_write)); // never sent to the unresponsive owner
    const outcome lost = write.get();
    CHECK(kind_of(lost) == error_kind::timed_out);
    CHECK(failure(lost).ran == ran::unknown);
    CHECK((*fixture.other)->stats().executed_locally == 2);
}

TEST_CASE("gateway: a departed owner is replaced by the next one")
{
    owner_pair fixture;
    const std::array left{fixture.other->address()};
    (*fixture.other)->set_instances(left);
    REQUIRE(ok(fixture.other->run(statement_request("r1", "1", true))));
    CHECK((*fixture.other)->stats().executed_locally == 1);
    CHECK((*fixture.other)->stats().forwarded == 0);
}

TEST_CASE("transaction handle: parses what it formats, also for instance names with dots")
{
    const transaction_handle handle{instance_name("e1.fukuoka"), 0xffff'0000'1234'abcdULL, 7};
    const auto parsed = transaction_handle::parse(handle.text());
    REQUIRE(parsed);
    CHECK(parsed->instance == handle.instance);
    CHECK(parsed->incarnation == handle.incarnation);
    CHECK(parsed->number == handle.number);
    for (const std::string_view bad :
         {"", "a", "a.1", ".1.2", "a.1.", "a..1", "a.1.x", "a.1.2.", "a.11111111111111111.1"}) {
        CAPTURE(bad);
        CHECK(!transaction_handle::parse(bad));
    }
}

TEST_CASE("transaction: state machine allows one statement at a time and nothing after the end")
{
    transaction_machine states;
    CHECK(states.state() == transaction_state::open);
    CHECK(states.begin_statement());
    CHECK(!states.begin_statement());
    CHECK(!states.begin_completion());
    CHECK(states.finish_statement());
    CHECK(states.begin_completion());
    CHECK(states.state() == transaction_state::ending);
    CHECK(!states.begin_statement());
    CHECK(states.cancel_completion());
    CHECK(states.begin_completion());
    CHECK(states.finish_completion());
    CHECK(states.state() == transaction_state::ended);
    CHECK(!states.begin_statement());
    CHECK(!states.abort_transaction());
}

TEST_CASE("gateway wire: requests are encoded as in docs/BACKEND.md")
{
    pb::backend_request write = statement_request("r1", R"({"put":"bay","value":1})", true);
    write.set_idempotency_id("i1");
    write.set_durability("primary");
    write.mutable_minimum()->set_term(1);
    write.mutable_minimum()->set_index(9);
    const auto encoded = gateway_wire::encode(write, clock::duration(250));
    REQUIRE(ok(encoded));
    CHECK(value(encoded).target == "/v1/execute");
    CHECK(value(encoded).body ==
          R"({"id":"r1","term":1,"timeout_ms":250,"write":true,"minimum":{"term":1,"index":9},)"
          R"("durability":"primary","idempotency_id":"i1","statement":{"put":"bay","value":1}})");
    pb::backend_request rollback = transaction_request("r2", "t1", pb::BACKEND_ROLLBACK);
    const auto end = gateway_wire::encode(rollback, clock::duration(250));
    REQUIRE(ok(end));
    CHECK(value(end).target == "/v1/rollback");
    CHECK(value(end).body == R"({"id":"r2","transaction":"t1"})");
}

// Guards against a write that is sent again though it may have run: a server that refuses a
// connection has read nothing, but one that has answered on it before may have.
TEST_CASE("gateway wire: only the first reply on a connection can refuse it")
{
    const pb::backend_request write = statement_request("r1", R"({"put":"bay","value":1})", true);
    const auto decode = [&](bool is_first_reply) {
        return gateway_wire::decode(write, 503, R"({"kind":"overloaded"})",
                                    gateway_wire::id_check::by_id, is_first_reply);
    };
    CHECK(failure(decode(true).outcome).ran == ran::no);
    const gateway_wire::decoded_reply later = decode(false);
    REQUIRE(!ok(later.outcome));
    CHECK(failure(later.outcome).ran == ran::unknown);
    CHECK(!later.is_connection_reusable);
}

TEST_CASE("gateway wire: a reply that is cut off anywhere is invalid, and the request may have run")
{
    const pb::backend_request write = statement_request("r1", R"({"put":"bay","value":1})", true);
    const std::string reply =
        R"({"id":"r1","result":{"ok":true},"term":12,"index":34,"role":"primary","data_age_ms":0})";
    const std::string refusal = R"({"id":"r1","kind":"wrong_term","message":"x","ran":"no"})";
    const auto decode = [&](unsigned http_status, const std::string& body) {
        return gateway_wire::decode(write, http_status, body, gateway_wire::id_check::by_id, false);
    };
    CHECK(ok(decode(200, reply).outcome));
    for (std::size_t length = 0; length < reply.size(); ++length) {
        CAPTURE(length);
        const gateway_wire::decoded_reply cut = decode(200, reply.substr(0, length));
        REQUIRE(!ok(cut.outcome));
        CHECK(failure(cut.outcome).ran == ran::unknown);
        CHECK(!cut.is_connection_reusable);
    }
    for (std::size_t length = 0; length < refusal.size(); ++length) {
        CAPTURE(length);
        CHECK(failure(decode(409, refusal.substr(0, length)).outcome).ran == ran::unknown);
    }
}
