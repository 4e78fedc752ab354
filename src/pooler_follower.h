// Client of the cell in a pooler instance. It receives the document and its confirmation, shares of
// limits and the directory of backend servers, and reports how the instance sees the primaries. It
// follows the leader or, in a large fleet, a relay (cell_relay.h). One thread.
#pragma once

#include "cell_directory_copy.h"
#include "deployment_settings.h"
#include "document.h"
#include "pooler_follow_plan.h"
#include "pooler_home_table.h"
#include "pooler_limit_table.h"
#include "wait_list.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class envelope;
class follow_reply;
class follow_request;
class published_record;
class token_reply;
} // namespace primrosehead::pb

namespace primrosehead {
class event_log;
}

namespace primrosehead::pooler {

class commits;
class pool;

class follower {
  public:
    follower(boost::asio::any_io_executor executor, const pooler_settings& settings,
             std::uint64_t incarnation, document_parser parser, pool& connections,
             commits& confirmations, event_log& events);

    // Sets the bus that messages are sent on.
    void set_bus(bus& messages) noexcept { messages_ = &messages; }

    // Sends the requests that are due. To be called about every 20 ms.
    void tick(clock::time_point now);
    // `from` is the endpoint that the reply came from; empty: the one that this instance follows.
    void receive(const pb::follow_reply& reply, clock::time_point now, std::string_view from = {});

    // Replaces the configured addresses of cell instances, after a reload.
    void set_seeds(const std::vector<std::string>& addresses);
    void begin_leaving() noexcept
    {
        is_leaving_ = true;
        plan_.hasten(); // its servers need other homes
    }

    // Null until a document has been received.
    [[nodiscard]] const std::shared_ptr<const document>& current_document() const noexcept
    {
        return document_;
    }

    // False when the lease has expired: keys may have been withdrawn since the last confirmation.
    [[nodiscard]] bool is_confirmed(clock::time_point now) const noexcept
    {
        return document_ != nullptr && now - confirmed_at_ < lease_;
    }

    // Waits until this instance has a share of the organisation's limits, and takes a token of it.
    // False: there is none, or the deadline has passed.
    [[nodiscard]] boost::asio::awaitable<bool> await_share(const std::string& organisation,
                                                           clock::time_point deadline);

    [[nodiscard]] clock::time_point last_reply_at() const noexcept { return plan_.last_reply_at(); }

    // True if no operation within a limit can be admitted: the instance follows relays, which hold
    // its tokens, and none has replied for longer than the switch to another one takes.
    [[nodiscard]] bool is_without_tokens(clock::time_point now) const noexcept;
    [[nodiscard]] clock::time_point confirmed_at() const noexcept { return confirmed_at_; }

    // Requests an operation's token from the leader or relay when this instance's share is used up.
    // False: no token was granted, or neither the endpoint nor an alternative replies.
    [[nodiscard]] boost::asio::awaitable<bool> borrow_token(const std::string& organisation);
    void receive_tokens(const pb::token_reply& reply, clock::time_point now);

    // Null for an unknown organisation.
    [[nodiscard]] limiter* limiter_for(std::string_view organisation)
    {
        return limits_.find(organisation);
    }

    // True while the leader or a relay reports the primaries' log positions.
    [[nodiscard]] bool has_positions(clock::time_point now) const noexcept
    {
        return now - positions_received_at_ < lease_;
    }

    // The homes of the backend servers (docs/design/homes.md).
    [[nodiscard]] home_table& homes() noexcept { return homes_; }

    // True while the instance follows a relay, which also observes the primaries' log positions.
    [[nodiscard]] bool follows_relay() const noexcept { return plan_.relays().has_relays(); }

    [[nodiscard]] std::uint32_t live_instances() const noexcept { return live_instances_; }

  private:
    void send(const planned_request& planned, clock::time_point now);
    void close_unneeded_connections();
    void log_endpoint_change();
    void receive_first(const pb::follow_reply& reply);
    [[nodiscard]] bool is_malformed(const pb::follow_reply& reply);
    [[nodiscard]] pb::envelope make_envelope() const;
    void request_missing_tokens(clock::time_point now);
    void apply_relays(const pb::follow_reply& reply, clock::time_point now);
    void apply_positions(const pb::follow_reply& reply, clock::time_point now);
    [[nodiscard]] boost::asio::awaitable<bool> request_token(const std::string& organisation,
                                                             const std::string& endpoint);
    [[nodiscard]] pb::envelope make_token_request(const std::string& organisation,
                                                  clock::time_point now);
    [[nodiscard]] bool drop_expired_shares(clock::time_point now);
    void apply_document(const pb::published_record& record, clock::time_point now);
    void apply_evacuations(const pb::follow_reply& reply, clock::time_point now);
    void apply_limits(clock::time_point now);
    void apply_directory(const pb::follow_reply& reply, clock::time_point now);
    void apply_fences(const pb::follow_reply& reply, clock::time_point as_of,
                      clock::time_point asked_at, clock::time_point now);
    void apply_fleet(const pb::follow_reply& reply, clock::time_point now);
    void apply_peers(const pb::follow_reply& reply, clock::time_point now);

    boost::asio::any_io_executor executor_;
    pooler_settings settings_;
    std::uint64_t incarnation_;
    document_parser parser_;
    pool& connections_;
    commits& confirmations_;
    event_log& events_;
    bus* messages_ = nullptr;
    clock::duration lease_;

    std::shared_ptr<const document> document_;
    std::uint64_t unreadable_version_ = 0; // latest document that could not be read; 0: none
    std::uint64_t newest_version_ = 0;     // as the latest reply told
    limit_table limits_;
    std::uint32_t central_ppm_ = 0; // part of rates and bursts that the leader keeps, in millionths
    // Operations of an organisation that wait for a token.
    struct token_wait {
        clock::time_point requested_at;
        clock::time_point answered_at;
        wait_list operations;
    };
    std::map<std::string, token_wait, std::less<>> token_waits_;
    wait_list share_waits_;
    clock::time_point alternative_silent_at_{}; // when an alternative relay last did not reply
    clock::time_point tokens_requested_at_{};
    clock::time_point shares_sent_at_{};
    clock::time_point confirmed_at_{};
    clock::time_point positions_received_at_{};

    follow_plan plan_;
    home_table homes_;
    // The latest reply within `timely_round_trip`, and when its request was sent.
    std::uint64_t timely_sequence_ = 0;
    clock::time_point timely_request_at_{};
    cell::directory_copy directory_;
    std::uint32_t live_instances_ = 1;
    bool is_leaving_ = false;
};

} // namespace primrosehead::pooler
