#include "gateway_peer.h"

#include "gateway_errors.h"
#include "gateway_timer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace primrosehead {

namespace net = boost::asio;

namespace {

// A peer that owes an answer for so long is asked for a sign of life.
constexpr clock::duration ping_after{100};

// A peer that gave no sign of life for so long gets no new work.
constexpr clock::duration unresponsive_after{300};

// The owner's deadline is this much earlier, so that its own answer still arrives.
constexpr clock::duration reply_margin{10};
constexpr int max_margin_divisor = 10; // at most this part of the time left

clock::duration time_for_owner(clock::duration left)
{
    const clock::duration margin = std::min(reply_margin, left / max_margin_divisor);
    return std::max(clock::duration(1), left - margin);
}

error from_message(const pb::request_error& failed)
{
    return error{parse_error_kind(failed.kind()), failed.message(), failed.remedy(),
                 failed.ran() == "no" ? ran::no : ran::unknown,
                 clock::duration(failed.retry_after_ms())};
}

} // namespace

struct gateway_peer::pending_request {
    pending_request(const strand& peer_strand, bool read_only)
        : timer(peer_strand), is_read(read_only)
    {
    }

    net::steady_timer timer;
    bool is_read = false;
    bool can_retry_elsewhere = false;
    std::optional<pb::backend_reply> reply;
};

gateway_peer::gateway_peer(std::shared_ptr<gateway_context> context, instance_address address)
    : context_(std::move(context)), address_(std::move(address)),
      strand_(net::make_strand(context_->executor))
{
}

gateway_peer::~gateway_peer() = default;

net::awaitable<forward_outcome> gateway_peer::forward(pb::backend_request request,
                                                      clock::time_point deadline)
{
    const auto self = shared_from_this();
    co_return co_await net::co_spawn(strand_, forward_on_strand(std::move(request), deadline),
                                     net::use_awaitable);
}

net::awaitable<forward_outcome> gateway_peer::forward_on_strand(pb::backend_request request,
                                                                clock::time_point deadline)
{
    const clock::duration left = deadline - clock::now();
    if (left <= clock::duration::zero()) {
        co_return forward_outcome{deadline_exceeded("The deadline passed.", ran::no)};
    }
    request.set_deadline_ms(static_cast<std::uint32_t>(time_for_owner(left).count()));
    const bool is_read = request.operation() == pb::BACKEND_BEGIN ||
                         (!request.write() && request.transaction().empty());
    const std::uint64_t correlation = ++context_->next_correlation;
    const auto pending = std::make_shared<pending_request>(strand_, is_read);
    pending_.emplace(correlation, pending);
    ++pending_count_;
    send(correlation, request);
    co_await wait_until(pending->timer, deadline);
    pending_.erase(correlation);
    --pending_count_;
    if (!pending->reply) {
        const error unanswered =
            deadline_exceeded("The instance that holds the server's connections did not answer.",
                              is_read ? ran::no : ran::unknown);
        co_return forward_outcome{unanswered, false, pending->can_retry_elsewhere};
    }
    if (pending->reply->request_id() != request.request_id()) {
        co_return forward_outcome{
            invalid_reply("The instance answered another request.", ran::unknown)};
    }
    if (pending->reply->has_error()) {
        co_return forward_outcome{from_message(pending->reply->error()), true};
    }
    co_return forward_outcome{std::move(*pending->reply), true};
}

void gateway_peer::send(std::uint64_t correlation, const pb::backend_request& request)
{
    std::int64_t none_unanswered = 0;
    unanswered_since_ms_.compare_exchange_strong(none_unanswered, to_ms(clock::now()));
    pb::envelope message;
    message.set_cell(context_->settings.cell.text());
    message.set_from(context_->settings.instance.text());
    message.set_correlation(correlation);
    *message.mutable_backend() = request;
    context_->messages.send(address_.endpoint, message);
}

void gateway_peer::deliver_reply(std::uint64_t correlation, pb::backend_reply reply)
{
    net::post(strand_,
              [self = shared_from_this(), correlation, reply = std::move(reply)]() mutable {
                  const auto found = self->pending_.find(correlation);
                  if (found == self->pending_.end()) {
                      return;
                  }
                  found->second->reply = std::move(reply);
                  found->second->timer.cancel();
              });
}

void gateway_peer::record_activity(clock::time_point now) noexcept
{
    unanswered_since_ms_ = pending_count_ > 0 ? to_ms(now) : 0;
}

bool gateway_peer::is_unresponsive(clock::time_point now) const noexcept
{
    const std::int64_t since = unanswered_since_ms_;
    return since != 0 && now - from_ms(since) > unresponsive_after;
}

void gateway_peer::check(clock::time_point now)
{
    const std::int64_t since = unanswered_since_ms_;
    if (since == 0 || now - from_ms(since) < ping_after) {
        return;
    }
    if (now - from_ms(pinged_at_ms_) >= ping_after) {
        pinged_at_ms_ = to_ms(now);
        ping();
    }
    if (is_unresponsive(now)) {
        net::post(strand_, [self = shared_from_this()] { self->fail_over_reads(); });
    }
}

// A request without a server: the peer refuses it at once, which is a sign of life.
void gateway_peer::ping()
{
    send(++context_->next_correlation, pb::backend_request());
}

void gateway_peer::fail_over_reads()
{
    for (const auto& [correlation, pending] : pending_) {
        if (pending->is_read && !pending->reply) {
            pending->can_retry_elsewhere = true;
            pending->timer.cancel();
        }
    }
}

} // namespace primrosehead
