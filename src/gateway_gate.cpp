#include "gateway_gate.h"

#include "gateway_errors.h"
#include "gateway_timer.h"

#include <utility>
#include <vector>

namespace primrosehead {

namespace net = boost::asio;

namespace {

constexpr clock::duration retry_after_wait{100};

} // namespace

// A request that waits: woken when it is admitted or has lost its place.
struct gateway_gate::place {
    explicit place(const net::any_io_executor& strand) : wake(strand) {}

    enum class state { waits, admitted, lost };
    net::steady_timer wake;
    state now = state::waits;
};

gateway_gate::gateway_gate(net::any_io_executor strand, std::uint32_t slots,
                           std::atomic<std::int64_t>& queued)
    : strand_(std::move(strand)), queue_(slots), queued_(queued)
{
}

gateway_gate::~gateway_gate()
{
    queued_ -= static_cast<std::int64_t>(waiting_.size());
}

void gateway_gate::resize(std::uint32_t slots)
{
    queue_.resize(slots);
    admit();
}

net::awaitable<result<fair_queue::ticket>>
gateway_gate::enter(const fair_queue::queued_request& request)
{
    const result<fair_queue::ticket> entered = queue_.enqueue(request, clock::now());
    if (!ok(entered)) {
        co_return failure(entered);
    }
    const fair_queue::ticket ticket = value(entered);
    const auto mine = std::make_shared<place>(strand_);
    waiting_.emplace(ticket, mine);
    ++queued_;
    admit();
    if (mine->now == place::state::waits) {
        co_await wait_until(mine->wake, request.deadline);
    }
    if (mine->now == place::state::admitted) {
        co_return ticket;
    }
    if (mine->now == place::state::waits) {
        queue_.cancel(ticket);
        settle(ticket, false);
    }
    co_return no_capacity("The queue did not reach this request before its deadline.",
                       retry_after_wait);
}

void gateway_gate::leave(fair_queue::ticket ticket, clock::duration held)
{
    queue_.complete(ticket, held);
    admit();
}

bool gateway_gate::is_idle() const noexcept
{
    return queue_.size() == 0 && queue_.running() == 0;
}

void gateway_gate::admit()
{
    std::vector<fair_queue::ticket> lost;
    while (const auto next = queue_.next(clock::now(), lost)) {
        settle(*next, true);
    }
    for (const fair_queue::ticket ticket : lost) {
        settle(ticket, false);
    }
}

void gateway_gate::settle(fair_queue::ticket ticket, bool admitted)
{
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) {
        return;
    }
    found->second->now = admitted ? place::state::admitted : place::state::lost;
    found->second->wake.cancel();
    waiting_.erase(found);
    --queued_;
}

} // namespace primrosehead
