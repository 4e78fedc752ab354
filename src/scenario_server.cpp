#include "scenario_server.h"

#include <algorithm>
#include <utility>

namespace primrosehead::scenario {

server::server(std::string name, std::string database, std::string failure_domain,
               bool waits_for_replica)
    : name_(std::move(name)), database_(std::move(database)),
      failure_domain_(std::move(failure_domain)), waits_for_replica_(waits_for_replica)
{
}

void server::write(const std::string& id, std::uint64_t term,
                   std::function<void(const write_answer&)> done)
{
    if (!is_primary_ || term != promised_) {
        done({false, promised_});
        return;
    }
    log_.push_back({term, id});
    if (waits_for_replica_) {
        waiting_.push_back({log_.size(), std::move(done)});
    }
    else {
        done({true, term});
    }
}

void server::step_down()
{
    is_primary_ = false;
    waiting_.clear();
    following_.clear();
    delayed_.clear();
}

std::variant<log_position, refused_term> server::fence(std::uint64_t term)
{
    if (term < promised_) {
        return refused_term{promised_};
    }
    if (term > promised_) {
        promised_ = term;
        step_down();
    }
    return received();
}

void server::drop_after_starts(std::span<const term_boundary> starts)
{
    std::size_t kept = 0;
    while (kept < log_.size()) {
        const server_log_entry& entry = log_[kept];
        const bool is_gone = std::ranges::any_of(starts, [&](const term_boundary& start) {
            return start.term > entry.term && kept + 1 > start.index;
        });
        if (is_gone) {
            break;
        }
        ++kept;
    }
    log_.resize(kept);
}

std::variant<std::uint64_t, refused_term> server::promote(std::uint64_t term,
                                                          std::span<const term_boundary> starts)
{
    if (term != promised_) {
        return refused_term{promised_};
    }
    if (!is_primary_) {
        drop_after_starts(starts);
        is_primary_ = true;
        following_.clear();
    }
    return static_cast<std::uint64_t>(log_.size());
}

bool server::follow(std::uint64_t term, const std::string& primary,
                    std::span<const term_boundary> starts)
{
    if (term < promised_) {
        return false;
    }
    promised_ = term;
    if (following_ != primary) {
        step_down();
        drop_after_starts(starts);
        following_ = primary;
    }
    return true;
}

std::vector<server_log_entry> server::read_log(const std::string& /*replica*/, const pull& asked)
{
    if (!is_primary_ || asked.term != promised_ || asked.after > log_.size()) {
        return {};
    }
    while (!waiting_.empty() && waiting_.front().index <= asked.after) {
        waiting_.front().done({true, promised_});
        waiting_.pop_front();
    }
    return {log_.begin() + static_cast<std::ptrdiff_t>(asked.after), log_.end()};
}

void server::receive(std::uint64_t term, std::uint64_t after, std::vector<server_log_entry> entries,
                     clock::time_point now)
{
    if (!entries.empty()) {
        delayed_.push_back({now + lag_, term, after, std::move(entries)});
    }
}

void server::tick(clock::time_point now)
{
    while (!delayed_.empty() && delayed_.front().due <= now) {
        delayed_entries next = std::move(delayed_.front());
        delayed_.pop_front();
        if (is_primary_ || next.term != promised_ || next.after > log_.size()) {
            continue;
        }
        const std::size_t known = log_.size() - next.after;
        for (std::size_t index = known; index < next.entries.size(); ++index) {
            log_.push_back(next.entries[index]);
        }
    }
}

log_position server::received() const
{
    return log_.empty() ? log_position{} : log_position{log_.back().term, log_.size()};
}

pb::server_report server::report() const
{
    pb::server_report made;
    made.set_server(name_);
    made.set_database(database_);
    made.set_failure_domain(failure_domain_);
    made.set_url(name_);
    made.set_role(is_primary_ ? "primary" : "replica");
    made.mutable_received()->set_term(received().term);
    made.mutable_received()->set_index(received().index);
    *made.mutable_applied() = made.received();
    made.set_slots(3);
    made.set_leaving(is_leaving_);
    made.set_term(promised_);
    return made;
}

std::vector<std::string> server::ids() const
{
    std::vector<std::string> all;
    for (const server_log_entry& entry : log_) {
        all.push_back(entry.id);
    }
    return all;
}

void server::restart()
{
    step_down();
}

} // namespace primrosehead::scenario
