// A pooler instance's link to the cell's leader: the document and its confirmation, shares of
// limits, the directory of backend servers, sightings of primaries. One thread.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "pooler_limits.h"

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

    // Where messages go out.
    void set_bus(bus& messages) noexcept { messages_ = &messages; }

    // Sends what is due; call every 20 ms or so.
    void tick(clock::time_point now);
    void receive(const pb::follow_reply& reply, clock::time_point now);

    // Other addresses of cell instances, from a reload.
    void set_seeds(const std::vector<std::string>& addresses);
    void begin_leaving() noexcept { is_leaving_ = true; }

    // Null until one is known.
    [[nodiscard]] const std::shared_ptr<const document>& current_document() const noexcept
    {
        return document_;
    }

    // False when keys may have been withdrawn without this instance having heard.
    [[nodiscard]] bool is_confirmed(clock::time_point now) const noexcept
    {
        return document_ != nullptr && now - confirmed_at_ < lease_;
    }
    [[nodiscard]] clock::time_point last_reply_at() const noexcept { return last_reply_at_; }
    [[nodiscard]] clock::time_point confirmed_at() const noexcept { return confirmed_at_; }

    // Asks the leader for an operation's token when the own share is used up. False: there is none,
    // or the leader is not heard.
    [[nodiscard]] boost::asio::awaitable<bool> borrow_token(const std::string& organisation);
    void receive_tokens(const pb::token_reply& reply, clock::time_point now);

    // Null for an organisation without limits.
    [[nodiscard]] limiter* limiter_for(std::string_view organisation);

  private:
    void send(clock::time_point now);
    [[nodiscard]] pb::envelope make_envelope() const;
    void request_missing_tokens(clock::time_point now);
    void report_shares(pb::follow_request& to, clock::time_point now);
    void choose_next_endpoint();
    [[nodiscard]] bool drop_expired_shares(clock::time_point now);
    void apply_shares(const pb::follow_reply& reply, clock::time_point now);
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
    std::map<std::string, limiter, std::less<>> limits_;
    std::uint32_t central_ppm_ = 0; // of rates and bursts, at the leader; millionths
    // Operations that wait for a token, by organisation.
    struct token_wait {
        clock::time_point asked_at;
        std::list<boost::asio::steady_timer*> waiting;
    };
    std::map<std::string, token_wait, std::less<>> token_waits_;
    clock::time_point tokens_requested_at_{};
    clock::time_point shares_sent_at_{};
    clock::time_point confirmed_at_{};

    std::set<std::string> endpoints_;
    std::set<std::string> seeds_;
    std::string leader_;
    clock::time_point sent_at_{};
    clock::time_point last_reply_at_{};
    clock::time_point leader_chosen_at_{};
    bool has_leader_ = false;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_reply_sequence_ = 0;
    std::uint64_t timely_sequence_ =
        0; // the latest answer that came in time, and when it was asked for
    clock::time_point timely_request_at_{};
    std::uint64_t control_term_ = 0; // whose directory is held
    std::uint64_t directory_revision_ = 0;
    std::uint32_t live_instances_ = 1;
    bool is_leaving_ = false;
    bool sends_early_ = false;
};

} // namespace primrosehead::pooler
