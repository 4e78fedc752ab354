#include "consensus_log.h"

#include <primrosehead/config.h>

#include <algorithm>
#include <utility>

namespace primrosehead::consensus {

entry_log::entry_log(std::shared_ptr<const pb::snapshot_record> snapshot,
                     pb::membership initial_members, std::span<const pb::log_entry> entries)
{
    memberships_.push_back(membership_at_index{0, std::move(initial_members)});
    if (snapshot) {
        reset(std::move(snapshot));
    }
    for (const pb::log_entry& entry : entries) {
        append(entry);
    }
}

std::uint64_t entry_log::last_index() const noexcept
{
    return base_index_ + entries_.size();
}

std::uint64_t entry_log::last_term() const noexcept
{
    return entries_.empty() ? base_term_ : entries_.back().term();
}

std::uint64_t entry_log::snapshot_index() const noexcept
{
    return snapshot_ ? snapshot_->last_index() : 0;
}

const std::shared_ptr<const pb::snapshot_record>& entry_log::snapshot() const noexcept
{
    return snapshot_;
}

std::size_t entry_log::offset_of(std::uint64_t index) const noexcept
{
    return static_cast<std::size_t>(index - base_index_ - 1);
}

bool entry_log::contains(std::uint64_t index) const noexcept
{
    return index > base_index_ && index <= last_index();
}

const pb::log_entry& entry_log::at(std::uint64_t index) const
{
    return entries_.at(offset_of(index));
}

std::optional<std::uint64_t> entry_log::term_at(std::uint64_t index) const noexcept
{
    if (index == base_index_) {
        return base_term_;
    }
    if (contains(index)) {
        return entries_[offset_of(index)].term();
    }
    return std::nullopt;
}

std::vector<pb::log_entry> entry_log::slice(std::uint64_t from, std::size_t max_entries,
                                            std::size_t max_bytes) const
{
    std::vector<pb::log_entry> selected;
    std::size_t bytes = 0;
    for (std::uint64_t index = from; contains(index) && selected.size() < max_entries; ++index) {
        const pb::log_entry& entry = at(index);
        bytes += entry.ByteSizeLong();
        if (!selected.empty() && bytes > max_bytes) {
            break;
        }
        selected.push_back(entry);
    }
    return selected;
}

std::uint64_t entry_log::first_index_of_term(std::uint64_t index) const noexcept
{
    const std::optional<std::uint64_t> term = term_at(index);
    while (index > base_index_ + 1 && term_at(index - 1) == term) {
        --index;
    }
    return index;
}

void entry_log::append(const pb::log_entry& entry)
{
    entries_.push_back(entry);
    if (entry.has_members()) {
        memberships_.push_back(membership_at_index{entry.index(), entry.members()});
    }
}

void entry_log::truncate_from(std::uint64_t index)
{
    while (!entries_.empty() && entries_.back().index() >= index) {
        entries_.pop_back();
    }
    while (memberships_.size() > 1 && memberships_.back().index >= index) {
        memberships_.pop_back();
    }
}

void entry_log::compact(std::shared_ptr<const pb::snapshot_record> snapshot)
{
    snapshot_ = std::move(snapshot);
    while (!entries_.empty() &&
           entries_.front().index() + config::retained_log_entries <= snapshot_->last_index()) {
        base_index_ = entries_.front().index();
        base_term_ = entries_.front().term();
        entries_.pop_front();
    }
    while (memberships_.size() > 1 && memberships_[1].index <= base_index_) {
        memberships_.erase(memberships_.begin());
    }
}

void entry_log::reset(std::shared_ptr<const pb::snapshot_record> snapshot)
{
    snapshot_ = std::move(snapshot);
    base_index_ = snapshot_->last_index();
    base_term_ = snapshot_->last_term();
    entries_.clear();
    memberships_.clear();
    memberships_.push_back(membership_at_index{base_index_, snapshot_->members()});
}

const pb::membership& entry_log::members() const noexcept
{
    return memberships_.back().members;
}

std::uint64_t entry_log::members_index() const noexcept
{
    return memberships_.back().index;
}

const pb::membership& entry_log::members_at(std::uint64_t index) const noexcept
{
    auto entry_it = memberships_.rbegin();
    while (std::next(entry_it) != memberships_.rend() && entry_it->index > index) {
        ++entry_it;
    }
    return entry_it->members;
}

} // namespace primrosehead::consensus
