// The replicated log as the consensus core holds it in memory.
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

// Entries from some index on, the snapshot before them, and the membership in effect.
//
// The membership in effect is the latest in the log, committed or not.
class entry_log {
  public:
    // `entries` are contiguous and start right after `snapshot` (or at 1 without one).
    entry_log(std::shared_ptr<const pb::snapshot_record> snapshot, pb::membership initial_members,
              std::span<const pb::log_entry> entries);

    [[nodiscard]] std::uint64_t last_index() const noexcept;
    [[nodiscard]] std::uint64_t last_term() const noexcept;
    [[nodiscard]] std::uint64_t snapshot_index() const noexcept;
    [[nodiscard]] const std::shared_ptr<const pb::snapshot_record>& snapshot() const noexcept;

    // The term of the entry at `index`; nothing when it is not known here.
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const noexcept;

    // True when the entry at `index` can be sent.
    [[nodiscard]] bool contains(std::uint64_t index) const noexcept;
    [[nodiscard]] const pb::log_entry& at(std::uint64_t index) const;

    // Entries from `from` on, bounded in count and bytes, at least one when there is one.
    [[nodiscard]] std::vector<pb::log_entry> slice(std::uint64_t from, std::size_t max_entries,
                                                   std::size_t max_bytes) const;

    // The first index of the term that the entry at `index` belongs to, as far as it is held.
    [[nodiscard]] std::uint64_t first_index_of_term(std::uint64_t index) const noexcept;

    void append(const pb::log_entry& entry);
    void truncate_from(std::uint64_t index);

    // Takes a snapshot of this log's own prefix and drops most of what it covers.
    void compact(std::shared_ptr<const pb::snapshot_record> snapshot);

    // Replaces everything by a snapshot received from the leader.
    void reset(std::shared_ptr<const pb::snapshot_record> snapshot);

    [[nodiscard]] const pb::membership& members() const noexcept;
    [[nodiscard]] std::uint64_t members_index() const noexcept; // entry that set them, or 0
    [[nodiscard]] const pb::membership& members_at(std::uint64_t index) const noexcept;

  private:
    // A membership and the entry that set it.
    struct membership_at_index {
        std::uint64_t index = 0;
        pb::membership members;
    };

    [[nodiscard]] std::size_t offset_of(std::uint64_t index) const noexcept;

    std::shared_ptr<const pb::snapshot_record> snapshot_; // may be null
    std::uint64_t base_index_ = 0;                        // entry before the first one held
    std::uint64_t base_term_ = 0;
    std::deque<pb::log_entry> entries_;
    std::vector<membership_at_index> memberships_; // never empty, by index
};

} // namespace primrosehead::consensus
