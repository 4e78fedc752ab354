#include <primrosehead/config.h>
#include <primrosehead/fair_queue.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace primrosehead {

namespace {

// Weight of the newest service time in the exponential moving average.
constexpr double smoothing_factor = 0.2;

// Slot time charged to a request before any service time has been measured.
constexpr double default_service_ms = 1;

// Lower bound on a measured slot time, which is in whole milliseconds and may be 0.
constexpr double min_service_ms = 0.25;

struct waiter {
    fair_queue::ticket ticket = 0;
    clock::time_point deadline;
};

// Waiting and running requests of one organisation. Tags are in virtual time: milliseconds of slot
// time divided by weight.
struct flow {
    std::deque<waiter> waiting;
    double weight = 1;
    double start_tag = 0;  // of the first waiting request
    double service_ms = 0; // moving average; 0: not measured yet
    std::uint32_t running = 0;

    [[nodiscard]] bool is_idle() const { return waiting.empty() && running == 0; }
};

struct running_request {
    organisation_name organisation;
    double charged_ms = 0;
};

error overloaded(std::string_view message, clock::duration retry_after)
{
    return error{error_kind::overloaded, std::string(message),
                 "Retry after the suggested delay, or use a longer timeout.", ran::no,
                 std::max(clock::duration(1), retry_after)};
}

clock::duration round_up_to_ms(double milliseconds)
{
    return clock::duration(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

} // namespace

struct fair_queue::implementation {
    std::uint32_t slots = 1;
    queue_order order = queue_order::fair;
    ticket last_ticket = 0;
    std::size_t waiting_count = 0;
    double virtual_time = 0; // start tag of the request that got a slot last
    double service_ms = 0;   // moving average over all organisations; 0: not measured yet
    std::map<organisation_name, flow> flows;
    std::unordered_map<ticket, running_request> running;
    std::vector<ticket> evicted;

    [[nodiscard]] double estimate(const flow& target) const
    {
        if (target.service_ms > 0) {
            return target.service_ms;
        }
        return service_ms > 0 ? service_ms : default_service_ms;
    }

    // Virtual time that one request of the flow costs.
    [[nodiscard]] double virtual_cost(const flow& target) const
    {
        return estimate(target) / target.weight;
    }

    // Slot time to be served before a request appended to `entering`.
    [[nodiscard]] double backlog_before(const flow& entering) const
    {
        const auto own = static_cast<double>(entering.waiting.size());
        const double tag = entering.start_tag + own * virtual_cost(entering);
        double backlog = own * estimate(entering);
        for (const auto& [name, other] : flows) {
            if (&other == &entering || other.waiting.empty()) {
                continue;
            }
            backlog += estimate(other) * requests_before(other, tag);
        }
        return backlog;
    }

    // Waiting requests of `competing` that run before a request with start tag `tag`.
    [[nodiscard]] double requests_before(const flow& competing, double tag) const
    {
        const auto all = static_cast<double>(competing.waiting.size());
        if (order == queue_order::fifo) {
            return all;
        }
        if (competing.start_tag > tag) {
            return 0;
        }
        return std::min(all, std::floor((tag - competing.start_tag) / virtual_cost(competing)) + 1);
    }

    // Estimated time in milliseconds until a request appended to `entering` gets a slot.
    [[nodiscard]] double estimated_wait(const flow& entering) const
    {
        if (running.size() < slots && waiting_count == 0) {
            return 0;
        }
        const double average = service_ms > 0 ? service_ms : default_service_ms;
        return (backlog_before(entering) + average) / slots;
    }

    [[nodiscard]] double total_weight() const
    {
        double total = 0;
        for (const auto& [name, each] : flows) {
            total += each.waiting.empty() ? 0 : each.weight;
        }
        return total;
    }

    // Queue places that a flow occupies beyond its share, given the total weight of all flows
    // with waiting requests.
    [[nodiscard]] static double excess_places(const flow& target, double total)
    {
        const double share = config::max_queued_per_server * target.weight / total;
        return static_cast<double>(target.waiting.size()) - share;
    }

    // Evicts the last request of the flow furthest above its share. Returns false if `entering`
    // would itself be that flow.
    bool evict_one(const flow& entering)
    {
        const double total = total_weight() + (entering.waiting.empty() ? entering.weight : 0);
        flow* furthest = nullptr;
        double max_excess = excess_places(entering, total) + 1;
        for (auto& [name, other] : flows) {
            const double excess = excess_places(other, total);
            if (&other != &entering && !other.waiting.empty() && excess > max_excess) {
                max_excess = excess;
                furthest = &other;
            }
        }
        if (furthest == nullptr) {
            return false;
        }
        evicted.push_back(furthest->waiting.back().ticket);
        furthest->waiting.pop_back();
        --waiting_count;
        return true;
    }

    // Erases flows that have no requests and whose start tag is not ahead of the virtual time: a
    // new flow would start with the same tag.
    void erase_idle_flows()
    {
        std::erase_if(flows, [this](const auto& entry) {
            return entry.second.is_idle() && entry.second.start_tag <= virtual_time;
        });
        if (flows.empty()) {
            virtual_time = 0;
        }
    }

    void expire(clock::time_point now, std::vector<ticket>& expired)
    {
        for (auto& [name, each] : flows) {
            const auto is_expired = [now](const waiter& request) {
                return request.deadline <= now;
            };
            for (const waiter& request : each.waiting) {
                if (is_expired(request)) {
                    expired.push_back(request.ticket);
                }
            }
            waiting_count -= std::erase_if(each.waiting, is_expired);
        }
        expired.insert(expired.end(), evicted.begin(), evicted.end());
        evicted.clear();
    }

    [[nodiscard]] std::map<organisation_name, flow>::iterator next_flow()
    {
        auto first = flows.end();
        for (auto candidate = flows.begin(); candidate != flows.end(); ++candidate) {
            if (candidate->second.waiting.empty()) {
                continue;
            }
            if (first == flows.end() || precedes(candidate->second, first->second)) {
                first = candidate;
            }
        }
        return first;
    }

    [[nodiscard]] bool precedes(const flow& left, const flow& right) const
    {
        const ticket left_ticket = left.waiting.front().ticket;
        const ticket right_ticket = right.waiting.front().ticket;
        if (order == queue_order::fifo || left.start_tag == right.start_tag) {
            return left_ticket < right_ticket;
        }
        return left.start_tag < right.start_tag;
    }

    ticket start(const organisation_name& organisation, flow& selected)
    {
        const ticket started = selected.waiting.front().ticket;
        selected.waiting.pop_front();
        --waiting_count;
        virtual_time = std::max(virtual_time, selected.start_tag);
        const double charged_ms = estimate(selected);
        selected.start_tag += charged_ms / selected.weight;
        ++selected.running;
        running.emplace(started, running_request{organisation, charged_ms});
        return started;
    }
};

fair_queue::fair_queue(std::uint32_t slots, queue_order order)
    : body_(std::make_unique<implementation>())
{
    body_->slots = std::max<std::uint32_t>(1, slots);
    body_->order = order;
}

fair_queue::~fair_queue() = default;
fair_queue::fair_queue(fair_queue&&) noexcept = default;
fair_queue& fair_queue::operator=(fair_queue&&) noexcept = default;

void fair_queue::resize(std::uint32_t slots)
{
    body_->slots = std::max<std::uint32_t>(1, slots);
}

result<fair_queue::ticket> fair_queue::enqueue(const queued_request& request, clock::time_point now)
{
    flow& own_flow = body_->flows[request.organisation];
    own_flow.weight = std::max<std::uint32_t>(1, request.weight);
    if (own_flow.waiting.empty()) {
        own_flow.start_tag = std::max(own_flow.start_tag, body_->virtual_time);
    }
    const double wait = body_->estimated_wait(own_flow);
    const double required = wait > 0 ? wait + body_->estimate(own_flow) : 0;
    const auto remaining = static_cast<double>((request.deadline - now).count());
    if (remaining <= 0 || required > remaining) {
        body_->erase_idle_flows();
        return overloaded("The request would not get an execution slot before its deadline.",
                          round_up_to_ms(required - remaining));
    }
    if (body_->waiting_count >= config::max_queued_per_server && !body_->evict_one(own_flow)) {
        return overloaded("The request queue of this server is full.", round_up_to_ms(wait));
    }
    const ticket assigned = ++body_->last_ticket;
    own_flow.waiting.push_back(waiter{assigned, request.deadline});
    ++body_->waiting_count;
    return assigned;
}

std::optional<fair_queue::ticket> fair_queue::next(clock::time_point now,
                                                   std::vector<ticket>& expired)
{
    body_->expire(now, expired);
    if (body_->running.size() >= body_->slots) {
        return std::nullopt;
    }
    const auto first = body_->next_flow();
    if (first == body_->flows.end()) {
        return std::nullopt;
    }
    return body_->start(first->first, first->second);
}

void fair_queue::complete(ticket completed, clock::duration service)
{
    const auto found = body_->running.find(completed);
    if (found == body_->running.end()) {
        return;
    }
    const running_request ended = std::move(found->second);
    body_->running.erase(found);
    flow& own_flow = body_->flows[ended.organisation];
    --own_flow.running;
    const double measured = std::max(min_service_ms, static_cast<double>(service.count()));
    own_flow.start_tag += (measured - ended.charged_ms) / own_flow.weight;
    own_flow.start_tag = std::max(own_flow.start_tag, body_->virtual_time);
    const auto smooth = [measured](double& value) {
        value = value > 0 ? value + smoothing_factor * (measured - value) : measured;
    };
    smooth(own_flow.service_ms);
    smooth(body_->service_ms);
    body_->erase_idle_flows();
}

void fair_queue::cancel(ticket cancelled)
{
    for (auto& [name, each] : body_->flows) {
        const auto is_cancelled = [cancelled](const waiter& request) {
            return request.ticket == cancelled;
        };
        const std::size_t removed = std::erase_if(each.waiting, is_cancelled);
        if (removed > 0) {
            body_->waiting_count -= removed;
            break;
        }
    }
    std::erase(body_->evicted, cancelled);
    body_->erase_idle_flows();
}

std::size_t fair_queue::size() const noexcept
{
    return body_->waiting_count;
}

std::uint32_t fair_queue::running() const noexcept
{
    return static_cast<std::uint32_t>(body_->running.size());
}

} // namespace primrosehead
