#include "gateway_admission.h"

#include "gateway_errors.h"
#include "gateway_timer.h"

#include <utility>
#include <vector>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr clock::duration expired_retry_delay{100};

} // namespace

// A waiting request. Cancelling the timer resumes it, when it is admitted, expired or evicted.
struct gateway_admission::waiter {
    explicit waiter(const net::any_io_executor& strand) : timer(strand) {}

    enum class state { waiting, admitted, expired };
    net::steady_timer timer;
    state status = state::waiting;
};

gateway_admission::gateway_admission(net::any_io_executor strand, std::uint32_t slots,
                                     std::atomic<std::int64_t>& queued)
    : strand_(std::move(strand)), queue_(slots), queued_(queued)
{
}

gateway_admission::~gateway_admission()
{
    queued_ -= static_cast<std::int64_t>(waiting_.size());
}

void gateway_admission::resize(std::uint32_t slots)
{
    queue_.resize(slots);
    admit();
}

net::awaitable<result<fair_queue::ticket>>
gateway_admission::acquire(const fair_queue::queued_request& request)
{
    const result<fair_queue::ticket> enqueued = queue_.enqueue(request, clock::now());
    if (!ok(enqueued)) {
        co_return failure(enqueued);
    }
    const fair_queue::ticket ticket = value(enqueued);
    const auto waiting = std::make_shared<waiter>(strand_);
    waiting_.emplace(ticket, waiting);
    ++queued_;
    admit();
    if (waiting->status == waiter::state::waiting) {
        co_await wait_until(waiting->timer, request.deadline);
    }
    if (waiting->status == waiter::state::admitted) {
        co_return ticket;
    }
    if (waiting->status == waiter::state::waiting) {
        queue_.cancel(ticket);
        resolve(ticket, false);
    }
    co_return no_capacity(
        "The request got no slot before its deadline, or was evicted from the queue.",
        expired_retry_delay);
}

void gateway_admission::release(fair_queue::ticket ticket, clock::duration service)
{
    queue_.complete(ticket, service);
    admit();
}

bool gateway_admission::is_idle() const noexcept
{
    return queue_.size() == 0 && queue_.running() == 0;
}

void gateway_admission::admit()
{
    std::vector<fair_queue::ticket> expired;
    while (const auto next = queue_.next(clock::now(), expired)) {
        resolve(*next, true);
    }
    for (const fair_queue::ticket ticket : expired) {
        resolve(ticket, false);
    }
}

void gateway_admission::resolve(fair_queue::ticket ticket, bool is_admitted)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) {
        return;
    }
    found->second->status = is_admitted ? waiter::state::admitted : waiter::state::expired;
    found->second->timer.cancel();
    waiting_.erase(found);
    --queued_;
}

} // namespace primrosehead
