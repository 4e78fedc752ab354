// The origin's side of homes: passes operations to the instances that hold the servers' connections
// and matches their replies. Single-threaded.
#pragma once

#include "pooler_home_calls.h"
#include "pooler_home_message.h"
#include "pooler_home_outcome.h"
#include "pooler_home_table.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead {
class event_log;
}

namespace primrosehead::pb {
class envelope;
class home_progress;
class home_reply;
class home_request;
} // namespace primrosehead::pb

namespace primrosehead::pooler {

class follower;
class home_server;
class instance_metrics;

struct home_client_settings {
    std::string cell;
    std::string instance;
    std::uint64_t incarnation = 0;
    double connections_per_instance = 0; // 0: homes are not used
};

class home_client : public std::enable_shared_from_this<home_client> {
  public:
    using sender = std::function<void(std::string_view endpoint, const pb::envelope& message)>;

    // `own` serves the operations of servers whose home is this instance.
    home_client(boost::asio::any_io_executor executor, home_client_settings settings,
                follower& control, home_server& own, event_log& events, instance_metrics& metrics);
    ~home_client();
    home_client(const home_client&) = delete;
    home_client& operator=(const home_client&) = delete;

    void set_sender(sender send) { send_ = std::move(send); }

    // True if operations of the group are passed to homes.
    [[nodiscard]] bool is_active(std::string_view group) const;

    // Returns the homes in `allowed` to try for a server, best first; empty: use own connections.
    [[nodiscard]] std::vector<home_address>
    homes_of(std::string_view server, std::string_view failure_domain,
             std::string_view organisation, clock::time_point now, const region_set& allowed);

    // Sends the request and waits for its end. `home` and `request` must stay alive until then.
    [[nodiscard]] boost::asio::awaitable<home_result> call(const home_address& home,
                                                           pb::home_request& request,
                                                           home_call_kind kind,
                                                           clock::time_point deadline);

    // Sends a request that gets no reply, such as a rollback.
    void notify(const home_address& home, pb::home_request request);

    [[nodiscard]] std::uint64_t next_transaction() noexcept { return ++last_transaction_; }

    void receive(std::string_view from, const pb::home_reply& reply, clock::time_point now);
    void receive(std::string_view from, const pb::home_progress& progress, clock::time_point now);

    // Ends calls to silent homes. To be called about every 25 ms.
    void tick(clock::time_point now);

  private:
    struct pending_call;
    void send(const home_address& home, pb::home_request& request);
    void transmit(const home_address& home, const pb::home_request& request);
    void cancel(const home_address& home, const pb::home_request& request);
    void finish(std::uint64_t call, const pb::home_reply& reply);

    boost::asio::any_io_executor executor_;
    home_client_settings settings_;
    follower& control_;
    home_server& own_;
    event_log& events_;
    instance_metrics& metrics_;
    sender send_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_transaction_ = 0;
    home_calls calls_; // to other instances
    std::map<std::uint64_t, pending_call*> pending_;
    struct chosen_home {
        std::string instance;
        clock::time_point logged_at;
    };
    std::map<std::string, chosen_home, std::less<>> chosen_; // by server
};

} // namespace primrosehead::pooler
