#include "scenario_history.h"

#include "limits_model.h"

#include <algorithm>

namespace primrosehead::scenario {

namespace {

// A withdrawn key works so long at most: the default bound and one heartbeat.
constexpr clock::duration withdrawal_bound{5'200};

std::string time_suffix(clock::time_point at)
{
    return " at " + std::to_string(to_ms(at)) + " ms";
}

} // namespace

void history::record_leader_reply(leader_reply reply)
{
    if (reply.term < highest_replied_term_) {
        record_breach("control instance " + reply.instance + " answered in an old term" +
                      time_suffix(reply.at));
    }
    highest_replied_term_ = std::max(highest_replied_term_, reply.term);
    leader_replies_.push_back(std::move(reply));
}

organisation_record& history::organisation(const std::string& name)
{
    return organisations_[name];
}

std::uint64_t history::acknowledged_count(std::string_view database) const
{
    return static_cast<std::uint64_t>(
        std::ranges::count(acknowledged_, database, &acknowledged_write::database));
}

clock::duration history::longest_gap(std::string_view database, clock::time_point from) const
{
    clock::duration longest{0};
    clock::time_point previous = from;
    for (const acknowledged_write& write : acknowledged_) {
        if (write.database == database && write.at > from) {
            longest = std::max(longest, write.at - previous);
            previous = write.at;
        }
    }
    return longest;
}

std::uint64_t history::reply_count(std::string_view instance, clock::time_point from) const
{
    return static_cast<std::uint64_t>(
        std::ranges::count_if(leader_replies_, [&](const leader_reply& reply) {
            return reply.instance == instance && reply.at >= from;
        }));
}

void history::check_replaced_primaries(std::vector<std::string>& breaches_found) const
{
    for (const acknowledged_write& write : acknowledged_) {
        const bool is_replaced = std::ranges::any_of(promotions_, [&](const promotion& promoted) {
            return promoted.database == write.database && promoted.term > write.term &&
                   promoted.at < write.at;
        });
        if (is_replaced) {
            breaches_found.push_back("write " + write.id + " acknowledged by a replaced primary" +
                                     time_suffix(write.at));
        }
    }
}

void history::check_logs(const std::map<std::string, std::vector<std::string>>& logs,
                         std::vector<std::string>& breaches_found) const
{
    std::set<std::string> log_ids;
    for (const auto& [database, ids] : logs) {
        for (const std::string& id : ids) {
            if (!log_ids.insert(id).second) {
                breaches_found.push_back("write " + id + " ran twice");
            }
        }
    }
    for (const acknowledged_write& write : acknowledged_) {
        if (!log_ids.contains(write.id) && !loss_allowed_.contains(write.database)) {
            breaches_found.push_back("acknowledged write " + write.id + " lost");
        }
    }
    for (const std::string& id : not_run_) {
        if (log_ids.contains(id)) {
            breaches_found.push_back("write " + id + " ran though refused as not run");
        }
    }
}

void history::check_limits(std::vector<std::string>& breaches_found) const
{
    for (const auto& [name, record] : organisations_) {
        const auto breach = limits::find_breach(record.admissions, record.rate, record.burst);
        if (breach) {
            breaches_found.push_back("organisation " + name + " above its rate and burst" +
                                     time_suffix(*breach));
        }
    }
}

void history::check_keys(std::vector<std::string>& breaches_found) const
{
    for (const key_use& use : key_uses_) {
        const auto withdrawal = withdrawals_.find(use.key);
        if (withdrawal != withdrawals_.end() && use.at > withdrawal->second + withdrawal_bound) {
            breaches_found.push_back("withdrawn key " + use.key + " worked" + time_suffix(use.at));
        }
    }
}

std::vector<std::string>
history::breaches(const std::map<std::string, std::vector<std::string>>& logs) const
{
    std::vector<std::string> breaches_found = recorded_breaches_;
    check_replaced_primaries(breaches_found);
    check_logs(logs, breaches_found);
    check_limits(breaches_found);
    check_keys(breaches_found);
    return breaches_found;
}

} // namespace primrosehead::scenario
