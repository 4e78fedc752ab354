// An entry instance's copy of the replicated state, which follows the control leader by deltas.
//
// It only moves forward: a delta of an older state, one that starts after what is held, and one
// whose digest does not match change nothing. One thread.
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

// What became of a delta.
enum class delta_outcome {
    advanced,   // the view moved forward
    confirmed,  // the view holds this state already
    stale,      // the delta's state is older than the view's
    gap,        // the delta starts after the view's version
    mismatch,   // the digest does not match: the next question is for everything
    other_cell, // the delta is of another cell
};

[[nodiscard]] std::string_view to_string(delta_outcome outcome) noexcept;

class state_view {
  public:
    // `check_digest` is a test switch: without it a damaged delta is taken in.
    explicit state_view(cell_name cell, bool check_digest = true);
    ~state_view();
    state_view(state_view&&) noexcept;
    state_view& operator=(state_view&&) noexcept;
    state_view(const state_view&) = delete;
    state_view& operator=(const state_view&) = delete;

    [[nodiscard]] delta_outcome apply(const pb::state_delta& delta);

    [[nodiscard]] std::uint64_t version() const noexcept;
    [[nodiscard]] std::uint64_t digest() const noexcept;

    // The version to ask for changes after: the own one, or 0 (everything) after a mismatch.
    [[nodiscard]] std::uint64_t requested_version() const noexcept;

    // Null when there is none. Valid until the next `apply`.
    [[nodiscard]] const pb::environment_record* environment(std::string_view name) const;
    [[nodiscard]] const pb::group_record* group(std::string_view database) const;
    [[nodiscard]] const pb::instance_record* instance(std::string_view name) const;
    [[nodiscard]] const pb::key_record* key(std::string_view key_id) const;

    // All of a kind, by name. Valid until the next `apply`.
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
