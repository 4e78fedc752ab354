// The stand-in's replicated log.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/position.h>

#include <boost/json/value.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace primrosehead::standin {

// The new value of one key.
struct change {
    std::string key;
    boost::json::value value;
};

// One write or committed transaction. The idempotency record is part of the entry, so that both are
// replicated or truncated together.
struct log_entry {
    log_position position;
    std::string idempotency_id;
    std::vector<change> changes;
    boost::json::value result;
};

[[nodiscard]] boost::json::value to_json(const log_entry& entry);
[[nodiscard]] result<log_entry> log_entry_from(const boost::json::value& source);

// Log entries with contiguous indexes, starting at 1.
class replicated_log {
  public:
    [[nodiscard]] log_position last() const noexcept;
    [[nodiscard]] std::uint64_t term_at(std::uint64_t index) const noexcept; // 0 if absent
    [[nodiscard]] const log_entry& at(std::uint64_t index) const;

    // Returns at most `limit` entries that follow `index`.
    [[nodiscard]] std::span<const log_entry> after(std::uint64_t index, std::size_t limit) const;

    // Precondition: the entry's index is `last().index + 1`.
    void append(log_entry entry);
    void truncate_after(std::uint64_t index);

    // Returns the last index that is consistent with `starts`, the boundaries of the terms. An
    // entry diverges if it follows the start of a term but was written in an earlier term. Returns
    // the index before the first such entry, or the last index if there is none.
    [[nodiscard]] std::uint64_t last_consistent_index(std::span<const term_boundary> starts) const;

    // Returns the greatest index up to `index` whose entry was written in `term` or earlier; 0 if
    // none.
    [[nodiscard]] std::uint64_t last_index_up_to_term(std::uint64_t index,
                                                      std::uint64_t term) const;

  private:
    std::vector<log_entry> entries_;
};

} // namespace primrosehead::standin
