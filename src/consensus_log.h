// In-memory replicated log of the consensus core.
#pragma once

#include "primrosehead.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace primrosehead::consensus {

// Stores the log entries after the compacted prefix, the latest snapshot and the membership in
// effect, which is the latest one in the log, committed or not.
class entry_log {
  public:
    // `entries` must be contiguous and start right after `snapshot`, or at index 1 without one.
    entry_log(std::shared_ptr<const pb::snapshot_record> snapshot, pb::membership initial_members,
              std::span<const pb::log_entry> entries);

    [[nodiscard]] std::uint64_t last_index() const noexcept;
    [[nodiscard]] std::uint64_t last_term() const noexcept;
    [[nodiscard]] std::uint64_t snapshot_index() const noexcept;
    [[nodiscard]] const std::shared_ptr<const pb::snapshot_record>& snapshot() const noexcept;

    // Returns the term of the entry at `index`, or no value if the log does not know it.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const noexcept;

    // Returns true when the entry at `index` is available, and so can be sent.
    [[nodiscard]] bool contains(std::uint64_t index) const noexcept;
    [[nodiscard]] const pb::log_entry& at(std::uint64_t index) const;

    // Returns the entries from index `from` on, limited in count and total bytes. The result has at
    // least one entry if `from` is available, even if that entry exceeds `max_bytes`.
    [[nodiscard]] std::vector<pb::log_entry> slice(std::uint64_t from, std::size_t max_entries,
                                                   std::size_t max_bytes) const;

    // Returns the first available index with the same term as the entry at `index`.
    [[nodiscard]] std::uint64_t first_index_of_term(std::uint64_t index) const noexcept;

    void append(const pb::log_entry& entry);
    void truncate_from(std::uint64_t index);

    // Records a snapshot of a prefix of this log and removes the entries it covers, except for the
    // latest `config::kept_log_entries`.
    void compact(std::shared_ptr<const pb::snapshot_record> snapshot);

    // Replaces the whole log by a snapshot received from the leader.
    void reset(std::shared_ptr<const pb::snapshot_record> snapshot);

    [[nodiscard]] const pb::membership& members() const noexcept;
    // Returns the index of the entry that set the membership in effect, or 0.
    [[nodiscard]] std::uint64_t members_index() const noexcept;
    [[nodiscard]] const pb::membership& members_at(std::uint64_t index) const noexcept;

  private:
    // A membership and the index of the entry that set it.
    struct membership_at_index {
        std::uint64_t index = 0;
        pb::membership members;
    };

    [[nodiscard]] std::size_t offset_of(std::uint64_t index) const noexcept;

    std::shared_ptr<const pb::snapshot_record> snapshot_; // may be null
    std::uint64_t base_index_ = 0; // index of the entry before the first available one
    std::uint64_t base_term_ = 0;
    std::deque<pb::log_entry> entries_;
    std::vector<membership_at_index> memberships_; // never empty, sorted by index
};

} // namespace primrosehead::consensus
