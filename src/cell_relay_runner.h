// Runs a control instance's relay: exchanges its messages over the bus, and observes the log
// positions of the primaries for its followers. One thread.
#pragma once

#include "cell_relay.h"
#include "deployment_settings.h"
#include "event_log.h"
#include "line_dialect.h"
#include "promotion_probe.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace primrosehead::cell {

class relay_runner {
  public:
    relay_runner(boost::asio::any_io_executor executor, const cell_settings& settings,
                 std::string instance, const line_dialect& dialect, event_log& events,
                 bus& messages);

    // Sends the requests and replies that are due. `leader` is the leader's endpoint, empty if
    // unknown. To be called about every 20 ms.
    void tick(std::string_view leader, clock::time_point now);

    // True while this instance handles the requests of pooler instances itself.
    [[nodiscard]] bool is_serving() const noexcept { return relay_.is_serving(); }

    [[nodiscard]] const reply_pacer& large_replies() const noexcept
    {
        return relay_.large_replies();
    }

    void follow(const bus_origin& origin, const pb::follow_request& request,
                const pb::published_record* stored);
    void grant_tokens(const bus_origin& origin, const pb::token_request& request);
    void receive(const pb::follow_reply& reply);
    void receive_tokens(const pb::token_reply& reply);
    void set_document(std::shared_ptr<const document> current);

  private:
    struct observation {
        std::shared_ptr<promotion::probe> probe;
        std::string server;
        clock::time_point started_at{};
        bool is_running = false;
    };

    [[nodiscard]] pb::envelope make_envelope() const;
    void observe_primaries(clock::time_point now);
    boost::asio::awaitable<void> observe(std::string group, std::string server,
                                         std::shared_ptr<promotion::probe> probe);
    void log_state(clock::time_point now);
    void announce_fences(clock::time_point now);

    boost::asio::any_io_executor executor_;
    const cell_settings& settings_;
    std::string instance_;
    const line_dialect& dialect_;
    event_log& events_;
    bus& messages_;
    relay relay_;
    std::map<std::string, observation, std::less<>> observations_; // by group
    std::map<std::string, bus_origin, std::less<>> origins_;       // by follower
    std::string leader_;
    bool was_serving_ = false;
    bool was_confirmed_ = false;
};

} // namespace primrosehead::cell
