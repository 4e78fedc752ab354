// The faults of promotion_model: servers that restart, leave and join, and outages of the platform.
#include "promotion_model_group.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>

namespace primrosehead::testing {

namespace {

constexpr std::ptrdiff_t min_staying_servers = 3;
constexpr std::ptrdiff_t max_servers = 5;
constexpr clock::duration announcement_timeout{3'000}; // of a server that disappears

} // namespace

void promotion_model_group::inject_server_faults()
{
    // Servers that join meanwhile have their turn in the next step.
    for (std::size_t i = 0, size = servers_.size(); i < size; ++i) {
        model_server& each = servers_[i];
        if (each.is_gone) {
            continue;
        }
        const bool all_others_up =
            std::all_of(servers_.begin(), servers_.end(),
                        [&](const model_server& other) { return other.is_gone || is_up(other); });
        if (all_others_up && chance(settings_.crash_chance)) {
            crash(each, random_duration(500, 8'000));
        }
        if (chance(settings_.partition_chance)) {
            each.partitioned_until = now_ + random_duration(500, 6'000);
            note("cut off from control: " + each.name);
        }
        if (chance(settings_.replica_partition_chance)) {
            each.replica_partitioned_until = now_ + random_duration(500, 6'000);
            note("cut off from the others: " + each.name);
        }
        if (is_up(each) && happens(settings_.second_crash_chance)) {
            count("crash whoever is down");
            crash(each, random_duration(200, 8'000));
        }
        if (!each.is_gone && happens(settings_.leave_chance)) {
            leave(each);
        }
    }
    if (happens(settings_.join_chance)) {
        join({});
    }
    if (happens(settings_.outage_chance)) {
        platform_down_until_ = now_ + random_duration(1'000, 8'000);
        count("platform down");
        note("platform down");
    }
}

void promotion_model_group::crash(model_server& server, clock::duration duration)
{
    const bool is_renamed = happens(settings_.rename_chance);
    const restart_kind kind =
        happens(settings_.empty_restart_chance) ? restart_kind::empty : restart_kind::with_log;
    is_renamed ? rename(server, duration, kind) : restart(server, duration, kind);
    if (kind == restart_kind::empty) {
        lose_destroyed_commits();
    }
}

void promotion_model_group::restart(model_server& server, clock::duration duration,
                                    restart_kind kind)
{
    note(fmt::format("restart{}: {} down {} ms{}",
                     kind == restart_kind::empty ? " without log" : "", server.name,
                     duration.count(), positions()));
    server.down_until = now_ + duration;
    server.has_lost_pause = server.has_lost_pause || server.is_paused;
    end_pause(server, "restart");
    if (&server == &servers_[primary_]) {
        if (kind == restart_kind::empty) {
            has_lead_ = false;
        }
        else if (!has_lead_ && happens(settings_.demoted_restart_leads_chance)) {
            count("restart ends a demotion");
            has_lead_ = true;
        }
    }
    if (kind == restart_kind::empty) {
        count("restart without log");
        server.log = 0;
        server.log_term = 0;
        server.receives_from = server.down_until + random_duration(200, 2'000);
    }
    if (kind == restart_kind::empty || happens(settings_.birth_chance)) {
        count("new born_ms");
        ++server.born_ms;
        if (!(settings_.defects.hides_births && kind == restart_kind::empty)) {
            schedule(duration + random_duration(50, 800),
                     [&server, born_ms = server.born_ms] { server.announced_born_ms = born_ms; });
        }
    }
}

void promotion_model_group::rename(model_server& server, clock::duration duration,
                                   restart_kind kind)
{
    const bool led = &server == &servers_[primary_];
    restart(server, duration, kind);
    model_server& renamed = servers_.emplace_back(server);
    renamed.name = "s" + std::to_string(next_server_++);
    renamed.born_ms = renamed.announced_born_ms = 1;
    renamed.announced_from = renamed.down_until + random_duration(50, 800);
    server.is_gone = true;
    server.announced_until = renamed.announced_from; // it has the same address
    if (led) {
        primary_ = servers_.size() - 1;
    }
    count("rename");
    note(fmt::format("rename: {} to {}", server.name, renamed.name));
}

void promotion_model_group::leave(model_server& server)
{
    const auto staying = std::count_if(servers_.begin(), servers_.end(), [](const auto& each) {
        return !each.is_gone && !each.is_leaving;
    });
    if (server.is_leaving || staying < min_staying_servers) {
        return;
    }
    server.is_leaving = true;
    count("leave");
    note("leaving: " + server.name);
    schedule(random_duration(7'000, 12'000), [&server, this] { end_leaving(server); });
    const bool is_same_address = chance(0.5);
    const clock::duration delay = random_duration(is_same_address ? 12'000 : 0, 14'000);
    schedule(delay,
             [this, address = is_same_address ? server.address : std::string()] { join(address); });
}

void promotion_model_group::end_leaving(model_server& server)
{
    if (server.is_gone) {
        return;
    }
    if (chance(0.5)) {
        server.announced_until = now_;
        note("deregistered: " + server.name + positions());
    }
    else {
        server.announced_until = now_ + announcement_timeout;
        note("disappeared: " + server.name + positions());
    }
    server.is_gone = true;
    if (&server == &servers_[primary_]) {
        has_lead_ = false;
    }
    lose_destroyed_commits();
}

void promotion_model_group::join(const std::string& address)
{
    const auto running = std::count_if(servers_.begin(), servers_.end(),
                                       [](const auto& each) { return !each.is_gone; });
    if (running >= max_servers) {
        return;
    }
    model_server& server = servers_.emplace_back();
    server.name = "s" + std::to_string(next_server_++);
    server.address = address.empty() || server_at(address) != nullptr ? server.name : address;
    server.log_term = 0;
    server.receives_from = now_ + random_duration(200, 2'000);
    server.unpaused_at = now_;
    server.unpaused_by = "join";
    server.announced_from = server.receives_from + random_duration(20, 500);
    count("join");
    note(fmt::format("joining: {} at {}", server.name, server.address));
}

void promotion_model_group::lose_destroyed_commits()
{
    std::uint64_t available = 0;
    for (const model_server& each : servers_) {
        available = std::max(available, each.is_gone ? 0 : each.log);
    }
    if (available < acknowledged_) {
        ++result_.destroyed;
        note(fmt::format("no server has {} any more{}", acknowledged_, positions()));
        acknowledged_ = available;
    }
}

} // namespace primrosehead::testing
