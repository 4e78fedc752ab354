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

// One key's new value.
struct change {
    std::string key;
    boost::json::value value;
};

// One write or committed transaction. The idempotency record is part of the entry, so that it
// lives or dies with it.
struct log_entry {
    log_position position;
    std::string idempotency_id;
    std::vector<change> changes;
    boost::json::value result;
};

[[nodiscard]] boost::json::value to_json(const log_entry& entry);
[[nodiscard]] result<log_entry> log_entry_from(const boost::json::value& source);

// Entries without gaps from index 1.
class replicated_log {
  public:
    [[nodiscard]] log_position last() const noexcept;
    [[nodiscard]] std::uint64_t term_at(std::uint64_t index) const noexcept; // 0 when not held
    [[nodiscard]] const log_entry& at(std::uint64_t index) const;

    // The entries after `index`, at most `limit`.
    [[nodiscard]] std::span<const log_entry> after(std::uint64_t index, std::size_t limit) const;

    // The entry must be the next one.
    void append(log_entry entry);
    void truncate_after(std::uint64_t index);

    // The last index before the first entry that was written in an earlier term than one of
    // `starts` and lies after that start; the last index when there is none.
    [[nodiscard]] std::uint64_t last_consistent_index(std::span<const term_boundary> starts) const;

    // The greatest index up to `index` whose entry is not of a later term than `term`.
    [[nodiscard]] std::uint64_t last_index_up_to_term(std::uint64_t index,
                                                      std::uint64_t term) const;

  private:
    std::vector<log_entry> entries_;
};

} // namespace primrosehead::standin
