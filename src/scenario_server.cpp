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
                   std::function<void(const write_result&)> on_result)
{
    if (!is_primary_ || term != promised_term_) {
        on_result({false, promised_term_});
        return;
    }
    log_.push_back({term, id});
    if (waits_for_replica_) {
        pending_writes_.push_back({log_.size(), std::move(on_result)});
    }
    else {
        on_result({true, term});
    }
}

void server::step_down()
{
    is_primary_ = false;
    pending_writes_.clear();
    replication_source_.clear();
    delayed_.clear();
}

std::variant<log_position, term_mismatch> server::fence(std::uint64_t term)
{
    if (term < promised_term_) {
        return term_mismatch{promised_term_};
    }
    if (term > promised_term_) {
        promised_term_ = term;
        step_down();
    }
    return received();
}

void server::truncate_after_starts(std::span<const term_boundary> starts)
{
    std::size_t kept_count = 0;
    while (kept_count < log_.size()) {
        const server_log_entry& entry = log_[kept_count];
        const bool is_superseded = std::ranges::any_of(starts, [&](const term_boundary& start) {
            return start.term > entry.term && kept_count + 1 > start.index;
        });
        if (is_superseded) {
            break;
        }
        ++kept_count;
    }
    log_.resize(kept_count);
}

std::variant<std::uint64_t, term_mismatch> server::promote(std::uint64_t term,
                                                           std::span<const term_boundary> starts)
{
    if (term != promised_term_) {
        return term_mismatch{promised_term_};
    }
    if (!is_primary_) {
        truncate_after_starts(starts);
        is_primary_ = true;
        replication_source_.clear();
    }
    return static_cast<std::uint64_t>(log_.size());
}

bool server::follow(std::uint64_t term, const std::string& primary,
                    std::span<const term_boundary> starts)
{
    if (term < promised_term_) {
        return false;
    }
    promised_term_ = term;
    if (replication_source_ != primary) {
        step_down();
        truncate_after_starts(starts);
        replication_source_ = primary;
    }
    return true;
}

std::vector<server_log_entry> server::read_log(const std::string& /*replica*/,
                                               const pull_request& request)
{
    if (!is_primary_ || request.term != promised_term_ || request.after_index > log_.size()) {
        return {};
    }
    while (!pending_writes_.empty() && pending_writes_.front().index <= request.after_index) {
        pending_writes_.front().on_result({true, promised_term_});
        pending_writes_.pop_front();
    }
    return {log_.begin() + static_cast<std::ptrdiff_t>(request.after_index), log_.end()};
}

void server::receive(std::uint64_t term, std::uint64_t after_index,
                     std::vector<server_log_entry> entries, clock::time_point now)
{
    if (!entries.empty()) {
        delayed_.push_back({now + lag_, term, after_index, std::move(entries)});
    }
}

void server::tick(clock::time_point now)
{
    while (!delayed_.empty() && delayed_.front().due <= now) {
        delayed_entries batch = std::move(delayed_.front());
        delayed_.pop_front();
        if (is_primary_ || batch.term != promised_term_ || batch.after_index > log_.size()) {
            continue;
        }
        const std::size_t known_count = log_.size() - batch.after_index;
        for (std::size_t index = known_count; index < batch.entries.size(); ++index) {
            log_.push_back(batch.entries[index]);
        }
    }
}

log_position server::received() const
{
    return log_.empty() ? log_position{} : log_position{log_.back().term, log_.size()};
}

pb::server_report server::report() const
{
    pb::server_report result;
    result.set_server(name_);
    result.set_database(database_);
    result.set_failure_domain(failure_domain_);
    result.set_url(name_);
    result.set_role(is_primary_ ? "primary" : "replica");
    result.mutable_received()->set_term(received().term);
    result.mutable_received()->set_index(received().index);
    *result.mutable_applied() = result.received();
    result.set_slots(3);
    result.set_leaving(is_leaving_);
    result.set_term(promised_term_);
    return result;
}

std::vector<std::string> server::write_ids() const
{
    std::vector<std::string> ids;
    for (const server_log_entry& entry : log_) {
        ids.push_back(entry.id);
    }
    return ids;
}

void server::restart()
{
    step_down();
}

} // namespace primrosehead::scenario
