// An entry instance's copy of the replicated state, updated by deltas from the control leader.
//
// Its version never decreases: a delta that leads to an older state, has a base newer than the
// view, or fails the digest check is ignored. Not thread-safe.
#pragma once

#include <primrosehead/names.h>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class environment_record;
class group_record;
class instance_record;
class key_record;
class state_delta;
} // namespace primrosehead::pb

namespace primrosehead {

class state_records;

// Result of applying a delta.
enum class delta_outcome {
    advanced,   // the view advanced to a newer version
    confirmed,  // the view already has this state
    stale,      // the delta leads to an older version than the view's
    gap,        // the delta's base version is newer than the view
    mismatch,   // the digest does not match; the next request is for the full state
    other_cell, // the delta belongs to another cell
};

[[nodiscard]] std::string_view to_string(delta_outcome outcome) noexcept;

class state_view {
  public:
    // `check_digest` is a test switch: false accepts corrupted deltas.
    explicit state_view(cell_name cell, bool check_digest = true);
    ~state_view();
    state_view(state_view&&) noexcept;
    state_view& operator=(state_view&&) noexcept;
    state_view(const state_view&) = delete;
    state_view& operator=(const state_view&) = delete;

    [[nodiscard]] delta_outcome apply(const pb::state_delta& delta);

    [[nodiscard]] std::uint64_t version() const noexcept;
    [[nodiscard]] std::uint64_t digest() const noexcept;

    // Base version of the next delta to request: `version()`, or 0 (full state) after a mismatch.
    [[nodiscard]] std::uint64_t requested_version() const noexcept;

    // Return null if there is no such record. Pointers are valid until the next `apply`.
    [[nodiscard]] const pb::environment_record* environment(std::string_view name) const;
    [[nodiscard]] const pb::group_record* group(std::string_view database) const;
    [[nodiscard]] const pb::instance_record* instance(std::string_view name) const;
    [[nodiscard]] const pb::key_record* key(std::string_view key_id) const;

    // Return all records of a kind in the order of their names. Pointers are valid until the next
    // `apply`.
    [[nodiscard]] std::vector<const pb::group_record*> groups() const;
    [[nodiscard]] std::vector<const pb::instance_record*> instances() const;
    [[nodiscard]] std::vector<const pb::key_record*> keys() const;

  private:
    [[nodiscard]] delta_outcome apply_full(const pb::state_delta& delta);
    [[nodiscard]] delta_outcome apply_incremental(const pb::state_delta& delta);

    cell_name cell_;
    bool check_digest_ = true;
    bool needs_full_state_ = false;
    std::unique_ptr<state_records> records_;
};

} // namespace primrosehead
