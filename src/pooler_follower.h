// Client of the cell in a pooler instance. It receives the document and its confirmation, shares of
// limits and the directory of backend servers, and reports how the instance sees the primaries. It
// follows the leader or, in a large fleet, a relay (cell_relay.h). One thread.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "pooler_home_table.h"
#include "pooler_limit_table.h"
#include "pooler_relay_chooser.h"

#include <primrosehead/bus.h>
#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
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

class pool;

class follower {
  public:
    follower(boost::asio::any_io_executor executor, const pooler_settings& settings,
             std::uint64_t incarnation, document_parser parser, pool& connections,
             event_log& events);

    // Sets the bus that messages are sent on.
    void set_bus(bus& messages) noexcept { messages_ = &messages; }

    // Sends the requests that are due. To be called about every 20 ms.
    void tick(clock::time_point now);
    void receive(const pb::follow_reply& reply, clock::time_point now);

    // Replaces the configured addresses of cell instances, after a reload.
    void set_seeds(const std::vector<std::string>& addresses);
    void begin_leaving() noexcept { is_leaving_ = true; }

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
    [[nodiscard]] clock::time_point last_reply_at() const noexcept { return last_reply_at_; }

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

    // True while the instance follows a relay, which also observes the primaries' log positions.
    [[nodiscard]] bool follows_relay() const noexcept { return relays_.has_relays(); }

    // The homes of backend servers, from the list of live pooler instances.
    [[nodiscard]] home_table& homes() noexcept { return homes_; }
    [[nodiscard]] std::uint32_t live_instances() const noexcept { return live_instances_; }

  private:
    void send(clock::time_point now);
    [[nodiscard]] pb::envelope make_envelope() const;
    void request_missing_tokens(clock::time_point now);
    void follow_endpoint(const std::string& endpoint, std::string_view reason,
                         clock::time_point now);
    [[nodiscard]] std::string next_endpoint(clock::time_point now) const;
    void apply_relays(const pb::follow_reply& reply, clock::time_point now);
    void apply_positions(const pb::follow_reply& reply);
    [[nodiscard]] boost::asio::awaitable<bool> request_token(const std::string& organisation,
                                                             const std::string& endpoint);
    [[nodiscard]] pb::envelope make_token_request(const std::string& organisation,
                                                  clock::time_point now);
    [[nodiscard]] bool drop_expired_shares(clock::time_point now);
    void apply_document(const pb::published_record& record, clock::time_point now);
    void apply_limits(clock::time_point now);
    void apply_directory(const pb::follow_reply& reply, clock::time_point now);

    boost::asio::any_io_executor executor_;
    pooler_settings settings_;
    std::uint64_t incarnation_;
    document_parser parser_;
    pool& connections_;
    event_log& events_;
    bus* messages_ = nullptr;
    clock::duration lease_;

    std::shared_ptr<const document> document_;
    limit_table limits_;
    std::uint32_t central_ppm_ = 0; // part of rates and bursts that the leader keeps, in millionths
    // Operations of an organisation that wait for a token.
    struct token_wait {
        clock::time_point requested_at;
        clock::time_point answered_at;
        std::list<boost::asio::steady_timer*> timers;
    };
    std::map<std::string, token_wait, std::less<>> token_waits_;
    clock::time_point alternative_silent_at_{}; // when an alternative relay last did not reply
    clock::time_point tokens_requested_at_{};
    clock::time_point shares_sent_at_{};
    clock::time_point confirmed_at_{};

    std::set<std::string> endpoints_;
    std::set<std::string> seeds_;
    relay_chooser relays_;
    home_table homes_;
    std::string endpoint_; // of the leader or relay that this instance follows
    clock::time_point sent_at_{};
    clock::time_point last_reply_at_{};
    clock::time_point endpoint_chosen_at_{};
    bool is_answered_ = false; // by the endpoint
    std::uint64_t sequence_ = 0;
    std::uint64_t last_reply_sequence_ = 0;
    // The latest reply within `timely_round_trip`, and when its request was sent.
    std::uint64_t timely_sequence_ = 0;
    clock::time_point timely_request_at_{};
    std::uint64_t control_term_ = 0; // term of the leader that sent the directory
    std::uint64_t directory_revision_ = 0;
    std::uint32_t live_instances_ = 1;
    bool is_leaving_ = false;
    bool sends_soon_ = false;
};

} // namespace primrosehead::pooler
