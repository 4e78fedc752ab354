#include "scenario_history.h"

#include "limits_model.h"

#include <algorithm>

namespace primrosehead::scenario {

namespace {

// A withdrawn key works so long at most: the default bound and one heartbeat.
constexpr clock::duration withdrawal_bound{5'200};

std::string at_text(clock::time_point at)
{
    return " at " + std::to_string(to_ms(at)) + " ms";
}

} // namespace

void history::answered(leader_answer answer)
{
    if (answer.term < highest_answered_term_) {
        broke("control instance " + answer.instance + " answered in an old term" +
              at_text(answer.at));
    }
    highest_answered_term_ = std::max(highest_answered_term_, answer.term);
    answers_.push_back(std::move(answer));
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

clock::duration history::gap(std::string_view database, clock::time_point from) const
{
    clock::duration longest{0};
    clock::time_point last = from;
    for (const acknowledged_write& write : acknowledged_) {
        if (write.database == database && write.at > from) {
            longest = std::max(longest, write.at - last);
            last = write.at;
        }
    }
    return longest;
}

std::uint64_t history::answers_of(std::string_view instance, clock::time_point from) const
{
    return static_cast<std::uint64_t>(
        std::ranges::count_if(answers_, [&](const leader_answer& one) {
            return one.instance == instance && one.at >= from;
        }));
}

void history::check_replaced(std::vector<std::string>& found) const
{
    for (const acknowledged_write& write : acknowledged_) {
        const bool is_replaced = std::ranges::any_of(promotions_, [&](const promotion& made) {
            return made.database == write.database && made.term > write.term && made.at < write.at;
        });
        if (is_replaced) {
            found.push_back("write " + write.id + " acknowledged by a replaced primary" +
                            at_text(write.at));
        }
    }
}

void history::check_logs(const std::map<std::string, std::vector<std::string>>& logs,
                         std::vector<std::string>& found) const
{
    std::set<std::string> kept;
    for (const auto& [database, ids] : logs) {
        for (const std::string& id : ids) {
            if (!kept.insert(id).second) {
                found.push_back("write " + id + " ran twice");
            }
        }
    }
    for (const acknowledged_write& write : acknowledged_) {
        if (!kept.contains(write.id) && !may_lose_.contains(write.database)) {
            found.push_back("acknowledged write " + write.id + " lost");
        }
    }
    for (const std::string& id : not_run_) {
        if (kept.contains(id)) {
            found.push_back("write " + id + " ran though refused as not run");
        }
    }
}

void history::check_limits(std::vector<std::string>& found) const
{
    for (const auto& [name, record] : organisations_) {
        const auto breach = limits::find_breach(record.admissions, record.rate, record.burst);
        if (breach) {
            found.push_back("organisation " + name + " above its rate and burst" +
                            at_text(*breach));
        }
    }
}

void history::check_keys(std::vector<std::string>& found) const
{
    for (const key_use& use : key_uses_) {
        const auto withdrawal = withdrawals_.find(use.key);
        if (withdrawal != withdrawals_.end() && use.at > withdrawal->second + withdrawal_bound) {
            found.push_back("withdrawn key " + use.key + " worked" + at_text(use.at));
        }
    }
}

std::vector<std::string>
history::breaches(const std::map<std::string, std::vector<std::string>>& logs) const
{
    std::vector<std::string> found = broken_;
    check_replaced(found);
    check_logs(logs, found);
    check_limits(found);
    check_keys(found);
    return found;
}

} // namespace primrosehead::scenario
