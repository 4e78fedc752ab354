#include "promotion_model_group.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace primrosehead::testing {

namespace {

constexpr std::size_t initial_servers = 3;
constexpr std::size_t max_acknowledgements = 4'000;

} // namespace

promotion_model_group::promotion_model_group(const promotion_model_settings& settings)
    : settings_(settings), random_(settings.seed)
{
    for (; next_server_ < initial_servers; ++next_server_) {
        model_server& server = servers_.emplace_back();
        server.name = "s" + std::to_string(next_server_);
        server.address = server.name;
    }
}

bool promotion_model_group::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

clock::duration promotion_model_group::random_duration(std::int64_t low, std::int64_t high)
{
    return clock::duration(std::uniform_int_distribution<std::int64_t>(low, high)(random_));
}

model_server* promotion_model_group::find_server(std::string_view name)
{
    const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const auto& each) {
        return each.name == name && !each.is_gone;
    });
    return found == servers_.end() ? nullptr : &*found;
}

model_server* promotion_model_group::server_at(std::string_view address)
{
    const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const auto& each) {
        return each.address == address && !each.is_gone;
    });
    return found == servers_.end() ? nullptr : &*found;
}

bool promotion_model_group::is_up(const model_server& server) const
{
    return !server.is_gone && now_ >= server.down_until;
}

bool promotion_model_group::is_reachable(const model_server& server) const
{
    return is_up(server) && now_ >= server.partitioned_until;
}

bool promotion_model_group::is_announced(const model_server& server) const
{
    return now_ >= server.announced_from && now_ < server.announced_until;
}

bool promotion_model_group::leads(const model_server& server) const
{
    return has_lead_ && &server == &servers_[primary_] && !server.is_gone;
}

server_status promotion_model_group::status_of(const model_server& server) const
{
    const bool is_ended_pause = settings_.defects.reports_ended_pauses && server.has_lost_pause;
    server_status status;
    status.is_primary = leads(server);
    status.term = term_;
    status.received = {server.log_term, server.log};
    status.term_held = server.is_paused || is_ended_pause ? term_ + 1 : 0;
    return status;
}

void promotion_model_group::schedule(clock::duration delay, std::function<void()> run)
{
    pending_.push_back({now_ + delay, std::move(run)});
}

void promotion_model_group::note(const std::string& event)
{
    if (settings_.trace != nullptr) {
        settings_.trace->push_back(fmt::format("{:6} {}", (now_ - started_at_).count(), event));
    }
}

void promotion_model_group::count(std::string_view fault)
{
    ++result_.faults[std::string(fault)];
}

std::string promotion_model_group::positions() const
{
    std::string text;
    for (const model_server& each : servers_) {
        if (!each.is_gone) {
            text += fmt::format(" {}={}.{}{}{}", each.name, each.log_term, each.log,
                                each.is_paused ? "p" : "", leads(each) ? "*" : "");
        }
    }
    return text;
}

void promotion_model_group::run_due_events()
{
    std::vector<pending_event> due;
    const auto first_due = std::stable_partition(pending_.begin(), pending_.end(),
                                                 [this](auto& each) { return each.due_at > now_; });
    std::move(first_due, pending_.end(), std::back_inserter(due));
    pending_.erase(first_due, pending_.end());
    for (const pending_event& each : due) {
        each.run();
    }
}

std::optional<model_acknowledgement> promotion_model_group::commit()
{
    model_server& primary = servers_[primary_];
    if (!has_lead_ || !is_up(primary)) {
        return std::nullopt;
    }
    ++primary.log;
    primary.log_term = term_;
    acknowledgement made{primary.log, now_, {}, primary.name, term_};
    for (model_server& each : servers_) {
        const bool receives = &each != &primary && is_up(each) && now_ >= each.receives_from &&
                              (!each.is_paused || settings_.defects.ignores_pauses) &&
                              now_ >= each.replica_partitioned_until &&
                              now_ >= primary.replica_partitioned_until && chance(0.8);
        if (receives) {
            each.log = primary.log;
            each.log_term = primary.log_term;
            made.servers.push_back(each.name);
            if (each.is_leaving) {
                count("acknowledgement by a leaving replica");
            }
        }
    }
    return made.servers.empty() ? std::nullopt : std::optional(std::move(made));
}

bool promotion_model_group::is_retained(const acknowledgement& made) const
{
    return std::all_of(retained_.upper_bound(made.term), retained_.end(),
                       [&](const auto& promotion) { return made.index <= promotion.second; });
}

void promotion_model_group::confirm(model_acknowledgement made)
{
    ++result_.acknowledged;
    if (!is_retained(made)) {
        ++result_.lossy_promotions;
        ++result_.avoidable_losses;
        result_.losses.push_back(
            {now_ - started_at_, made.primary, "confirmed after a promotion without it", true});
        note(fmt::format("LOST (avoidable) confirmed after a promotion without it: {}.{}",
                         made.term, made.index));
        return;
    }
    made.at = now_;
    acknowledged_ = std::max(acknowledged_, made.index);
    acknowledgements_.push_back(std::move(made));
    if (acknowledgements_.size() > max_acknowledgements) {
        acknowledgements_.pop_front();
    }
}

bool promotion_model_group::is_healthy() const
{
    const auto usable = std::count_if(servers_.begin(), servers_.end(), [&](const auto& each) {
        return is_reachable(each) && is_announced(each) && !each.is_leaving &&
               now_ >= each.receives_from && now_ >= each.replica_partitioned_until;
    });
    return usable >= 2 && is_platform_up();
}

void promotion_model_group::pause(model_server& server, std::uint64_t term)
{
    if (!leads(server) && term > term_) {
        server.is_paused = true;
        server.has_lost_pause = false;
    }
}

void promotion_model_group::step_down(model_server& server, std::uint64_t term)
{
    if (settings_.obeys_demotions && !settings_.defects.ignores_demotions && leads(server) &&
        term > term_) {
        has_lead_ = false;
        count("demotion");
    }
}

void promotion_model_group::resume(model_server& server)
{
    end_pause(server, "resume");
    server.has_lost_pause = false;
}

void promotion_model_group::end_pause(model_server& server, std::string_view cause)
{
    server.is_paused = false;
    server.unpaused_at = now_;
    server.unpaused_by = cause;
}

void promotion_model_group::disturb(model_server& server)
{
    if (happens(settings_.order_restart_chance)) {
        schedule(random_duration(10, 600), [&server, this] {
            if (is_up(server)) {
                count("restart after an answer");
                crash(server, random_duration(50, 400));
            }
        });
    }
}

void promotion_model_group::note_request_sent(const std::string& server, std::uint64_t number)
{
    requests_sent_.try_emplace({server, number}, gap_of(find_server(server)));
}

bool promotion_model_group::request(const std::string& server, std::uint64_t number)
{
    model_server* const target = find_server(server);
    const bool is_outdated =
        number < highest_decision_number_ && !settings_.defects.accepts_outdated;
    if (is_outdated || target == nullptr || !is_up(*target)) {
        note(fmt::format("platform refuses {} {}", server, number));
        return false;
    }
    highest_decision_number_ = std::max(highest_decision_number_, number);
    note(fmt::format("platform accepts {} {}{}", server, number, positions()));
    if (leads(*target)) {
        count("request for the present primary");
        return true;
    }
    const clock::duration delay = settings_.promotion_delay_max > settings_.promotion_delay
                                      ? random_duration(settings_.promotion_delay.count(),
                                                        settings_.promotion_delay_max.count())
                                      : settings_.promotion_delay;
    schedule(delay, [this, server, number] { promote(server, number); });
    disturb(*target);
    return true;
}

void promotion_model_group::promote(const std::string& name, std::uint64_t number)
{
    model_server* const promoted = find_server(name);
    if (promoted == nullptr || leads(*promoted)) {
        return;
    }
    ++result_.promotions;
    note(fmt::format("promoted: {} {}, acknowledged {}{}", name, number, acknowledged_,
                     positions()));
    if (promoted->log < acknowledged_) {
        ++result_.lossy_promotions;
        note_loss(*promoted, number);
    }
    requests_sent_[{name, number}].has_taken_effect = true;
    acknowledged_ = std::min(acknowledged_, promoted->log);
    primary_ = static_cast<std::size_t>(
        std::find_if(servers_.begin(), servers_.end(),
                     [&](const model_server& each) { return &each == promoted; }) -
        servers_.begin());
    has_lead_ = true;
    ++term_;
    retained_[term_] = promoted->log;
    for (model_server& each : servers_) {
        end_pause(each, "promotion");
        each.has_lost_pause = false;
        if (each.log > promoted->log) {
            each.log = promoted->log;
            each.log_term = promoted->log_term;
        }
    }
}

} // namespace primrosehead::testing
