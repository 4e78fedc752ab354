// The replicated state: environments, keys, database groups and instances of one cell.
//
// `state_machine` applies committed commands on control instances. `state_view` is the copy on
// entry instances, updated by deltas. Both hold versioned records and compare their contents by a
// digest.
#pragma once

#include <primrosehead/error.h>
#include <primrosehead/names.h>
#include <primrosehead/state_switches.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace primrosehead::pb {
class command;
class environment_record;
class group_record;
class instance_record;
class key_record;
class operator_reply;
class published_record;
class state_delta;
class state_record;
} // namespace primrosehead::pb

namespace primrosehead {

// Map from record keys ("group/NAME", ...) to records, used by the state machine and the view.
class state_records;
class state_requests;

// Applies commands in log order. Deterministic: reads no clock and no random source.
class state_machine {
  public:
    explicit state_machine(cell_name cell, state_switches switches = {});
    ~state_machine();
    state_machine(state_machine&&) noexcept;
    state_machine& operator=(state_machine&&) noexcept;
    state_machine(const state_machine&) = delete;
    state_machine& operator=(const state_machine&) = delete;

    // Applies one command and returns its reply. A command is idempotent under its `request_id`: a
    // retry returns the cached reply and changes nothing, and a different command with the same id
    // is rejected. The last config::max_request_records replies are cached.
    pb::operator_reply apply(const pb::command& command);

    [[nodiscard]] std::uint64_t version() const noexcept;
    [[nodiscard]] std::uint64_t digest() const noexcept;

    // Returns the records changed after `from_version`, including tombstones but not cached
    // replies. Returns the full state, with version 0 as its base, if `from_version` is 0 or
    // tombstones after it have been dropped, and only the version and digest if it is at least
    // `version()`.
    [[nodiscard]] pb::state_delta delta_since(std::uint64_t from_version) const;

    // Serialises the full state, including cached replies, and restores it. `restore` fails with
    // `error_kind::corrupt_storage` if the snapshot is truncated or damaged.
    [[nodiscard]] std::string snapshot() const;
    [[nodiscard]] static result<state_machine> restore(std::string_view snapshot);

    [[nodiscard]] const pb::environment_record* environment(std::string_view name) const;
    [[nodiscard]] const pb::group_record* group(std::string_view database) const;
    [[nodiscard]] const pb::instance_record* instance(std::string_view name) const;
    [[nodiscard]] const pb::key_record* key(std::string_view key_id) const;
    [[nodiscard]] const pb::published_record* published(std::string_view name) const;
    [[nodiscard]] const state_records& records() const noexcept;

  private:
    cell_name cell_;
    state_switches switches_;
    std::unique_ptr<state_records> records_;
    std::unique_ptr<state_requests> requests_;
};

} // namespace primrosehead
