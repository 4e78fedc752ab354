#include "scenario_network.h"

#include <algorithm>
#include <utility>

namespace primrosehead::scenario {

namespace {

constexpr clock::rep delay_min_ms = 1;
constexpr clock::rep delay_max_ms = 2;

} // namespace

void network::add(const std::string& process, const std::string& failure_domain)
{
    processes_[process].failure_domain = failure_domain;
}

void network::send(const std::string& from, const std::string& to, clock::time_point now,
                   delivery deliver)
{
    const auto receiver = processes_.find(to);
    if (receiver == processes_.end() || receiver->second.is_stopped || is_cut(from, to)) {
        return;
    }
    std::uniform_int_distribution<clock::rep> delay(delay_min_ms, delay_max_ms);
    queue_.push({now + clock::duration(delay(random_)), next_number_++, from, to,
                 receiver->second.incarnation, std::move(deliver)});
}

void network::deliver(clock::time_point now)
{
    while (!queue_.empty() && queue_.top().due <= now) {
        message next = queue_.top();
        queue_.pop();
        const process_state& receiver = processes_.at(next.to);
        if (receiver.is_stopped || receiver.incarnation != next.incarnation ||
            is_cut(next.from, next.to)) {
            continue;
        }
        if (now < receiver.frozen_until) {
            next.due = receiver.frozen_until;
            queue_.push(std::move(next));
            continue;
        }
        next.deliver(now);
    }
}

void network::cut(const std::set<std::string>& first_side, const std::set<std::string>& second_side)
{
    cuts_.push_back({first_side, second_side});
}

bool network::is_on_side(const std::set<std::string>& side, const std::string& process) const
{
    return side.contains(process) || side.contains(processes_.at(process).failure_domain);
}

bool network::separates(const cut_link& link, const std::string& from, const std::string& to) const
{
    const bool is_from_first = is_on_side(link.first_side, from);
    const bool is_to_first = is_on_side(link.first_side, to);
    if (link.second_side.empty()) {
        return is_from_first != is_to_first;
    }
    return (is_from_first && is_on_side(link.second_side, to)) ||
           (is_to_first && is_on_side(link.second_side, from));
}

bool network::is_cut(const std::string& from, const std::string& to) const
{
    return std::ranges::any_of(cuts_,
                               [&](const cut_link& link) { return separates(link, from, to); });
}

void network::freeze(const std::string& process, clock::time_point until)
{
    processes_.at(process).frozen_until = until;
}

void network::stop(const std::string& process)
{
    processes_.at(process).is_stopped = true;
}

void network::start(const std::string& process)
{
    process_state& state = processes_.at(process);
    state.is_stopped = false;
    state.frozen_until = {};
    ++state.incarnation;
}

bool network::is_running(const std::string& process, clock::time_point now) const
{
    const process_state& state = processes_.at(process);
    return !state.is_stopped && now >= state.frozen_until;
}

const std::string& network::failure_domain(const std::string& process) const
{
    return processes_.at(process).failure_domain;
}

} // namespace primrosehead::scenario
