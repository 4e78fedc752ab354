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

// Weight of the newest service time in the smoothed one.
constexpr double smoothing_factor = 0.2;

// Slot time that a request is charged before any was measured.
constexpr double default_service_ms = 1;

// Slot time below which measurements in whole milliseconds say nothing.
constexpr double min_service_ms = 0.25;

struct waiter {
    fair_queue::ticket ticket = 0;
    clock::time_point deadline;
};

// What one organisation has waiting and running. Tags are virtual time: milliseconds of slot time
// divided by weight.
struct flow {
    std::deque<waiter> waiting;
    double weight = 1;
    double start_tag = 0;  // of the first waiting request
    double service_ms = 0; // smoothed; 0: not measured
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
                 "Come back after the stated time, or allow a longer timeout.", ran::no,
                 std::max(clock::duration(1), retry_after)};
}

clock::duration whole_milliseconds(double milliseconds)
{
    return clock::duration(static_cast<std::int64_t>(std::ceil(milliseconds)));
}

} // namespace

struct fair_queue::implementation {
    std::uint32_t slots = 1;
    queue_order order = queue_order::fair;
    ticket last_ticket = 0;
    std::size_t waiting_count = 0;
    double virtual_time = 0; // start tag of the request that was last given a slot
    double service_ms = 0;   // smoothed over all organisations; 0: not measured
    std::map<organisation_name, flow> flows;
    std::unordered_map<ticket, running_request> running;
    std::vector<ticket> evicted;

    [[nodiscard]] double estimate(const flow& of) const
    {
        if (of.service_ms > 0) {
            return of.service_ms;
        }
        return service_ms > 0 ? service_ms : default_service_ms;
    }

    // Virtual time that one request of the flow takes.
    [[nodiscard]] double virtual_cost(const flow& of) const { return estimate(of) / of.weight; }

    // Slot time that is to be served before a new last request of `entering`.
    [[nodiscard]] double backlog_before(const flow& entering) const
    {
        const auto own = static_cast<double>(entering.waiting.size());
        const double tag = entering.start_tag + own * virtual_cost(entering);
        double work = own * estimate(entering);
        for (const auto& [name, other] : flows) {
            if (&other == &entering || other.waiting.empty()) {
                continue;
            }
            work += estimate(other) * requests_before(other, tag);
        }
        return work;
    }

    // Waiting requests of a flow that run before the start tag of another flow's.
    [[nodiscard]] double requests_before(const flow& of, double tag) const
    {
        const auto all = static_cast<double>(of.waiting.size());
        if (order == queue_order::fifo) {
            return all;
        }
        if (of.start_tag > tag) {
            return 0;
        }
        return std::min(all, std::floor((tag - of.start_tag) / virtual_cost(of)) + 1);
    }

    // Time until a new last request of `entering` would be given a slot.
    [[nodiscard]] double estimated_wait(const flow& entering) const
    {
        if (running.size() < slots && waiting_count == 0) {
            return 0;
        }
        const double common = service_ms > 0 ? service_ms : default_service_ms;
        return (backlog_before(entering) + common) / slots;
    }

    [[nodiscard]] double total_weight() const
    {
        double total = 0;
        for (const auto& [name, each] : flows) {
            total += each.waiting.empty() ? 0 : each.weight;
        }
        return total;
    }

    // Places beyond its share that a flow takes, were `total` the weight of all that wait.
    [[nodiscard]] static double excess_places(const flow& of, double total)
    {
        const double share = config::max_queued_per_server * of.weight / total;
        return static_cast<double>(of.waiting.size()) - share;
    }

    // Takes a place from the flow furthest above its share; false when `entering` is that flow.
    bool evict_one(const flow& entering)
    {
        const double total = total_weight() + (entering.waiting.empty() ? entering.weight : 0);
        flow* furthest = nullptr;
        double most = excess_places(entering, total) + 1;
        for (auto& [name, other] : flows) {
            const double excess = excess_places(other, total);
            if (&other != &entering && !other.waiting.empty() && excess > most) {
                most = excess;
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

    // Forgets organisations that have nothing here and are owed nothing.
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
            const auto is_late = [now](const waiter& one) { return one.deadline <= now; };
            for (const waiter& one : each.waiting) {
                if (is_late(one)) {
                    expired.push_back(one.ticket);
                }
            }
            waiting_count -= std::erase_if(each.waiting, is_late);
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

    ticket start(const organisation_name& organisation, flow& of)
    {
        const ticket started = of.waiting.front().ticket;
        of.waiting.pop_front();
        --waiting_count;
        virtual_time = std::max(virtual_time, of.start_tag);
        const double charged_service_ms = estimate(of);
        of.start_tag += charged_service_ms / of.weight;
        ++of.running;
        running.emplace(started, running_request{organisation, charged_service_ms});
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
    flow& mine = body_->flows[request.organisation];
    mine.weight = std::max<std::uint32_t>(1, request.weight);
    if (mine.waiting.empty()) {
        mine.start_tag = std::max(mine.start_tag, body_->virtual_time);
    }
    const double wait = body_->estimated_wait(mine);
    const double needed = wait > 0 ? wait + body_->estimate(mine) : 0;
    const auto left = static_cast<double>((request.deadline - now).count());
    if (left <= 0 || needed > left) {
        body_->erase_idle_flows();
        return overloaded("The queue would not reach this request before its deadline.",
                          whole_milliseconds(needed - left));
    }
    if (body_->waiting_count >= config::max_queued_per_server && !body_->evict_one(mine)) {
        return overloaded("The queue of this server is full.", whole_milliseconds(wait));
    }
    const ticket given = ++body_->last_ticket;
    mine.waiting.push_back(waiter{given, request.deadline});
    ++body_->waiting_count;
    return given;
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

void fair_queue::complete(ticket done, clock::duration service)
{
    const auto found = body_->running.find(done);
    if (found == body_->running.end()) {
        return;
    }
    const running_request ended = std::move(found->second);
    body_->running.erase(found);
    flow& mine = body_->flows[ended.organisation];
    --mine.running;
    const double measured = std::max(min_service_ms, static_cast<double>(service.count()));
    mine.start_tag += (measured - ended.charged_ms) / mine.weight;
    mine.start_tag = std::max(mine.start_tag, body_->virtual_time);
    const auto smooth = [measured](double& value) {
        value = value > 0 ? value + smoothing_factor * (measured - value) : measured;
    };
    smooth(mine.service_ms);
    smooth(body_->service_ms);
    body_->erase_idle_flows();
}

void fair_queue::cancel(ticket given_up)
{
    for (auto& [name, each] : body_->flows) {
        const auto is_it = [given_up](const waiter& one) { return one.ticket == given_up; };
        const std::size_t gone = std::erase_if(each.waiting, is_it);
        if (gone > 0) {
            body_->waiting_count -= gone;
            break;
        }
    }
    std::erase(body_->evicted, given_up);
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
