// The replicated state: environments, keys, database groups and instances of one cell.
//
// `state_machine` applies committed commands on control instances; `state_view` follows it on entry
// instances by deltas. Both hold records stamped with versions, and agree on a digest.
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

// Records under their keys ("group/NAME", ...), shared by the machine and the view.
class state_records;
class state_requests;

// Applies commands in log order. Deterministic: no clock, no randomness.
class state_machine {
  public:
    explicit state_machine(cell_name cell, state_switches switches = {});
    ~state_machine();
    state_machine(state_machine&&) noexcept;
    state_machine& operator=(state_machine&&) noexcept;
    state_machine(const state_machine&) = delete;
    state_machine& operator=(const state_machine&) = delete;

    // Applies one command and answers it. A command whose `request_id` is known gets the first
    // answer again and changes nothing; another command under a known id is refused. Keeps the last
    // config::max_request_records answers.
    pb::operator_reply apply(const pb::command& command);

    [[nodiscard]] std::uint64_t version() const noexcept;
    [[nodiscard]] std::uint64_t digest() const noexcept;

    // Everything changed after `from_version`, tombstones included; remembered requests excepted.
    // The whole state, from version 0, when `from_version` lies before the kept tombstones; nothing
    // but version and digest when it is not below the own version.
    [[nodiscard]] pb::state_delta delta_since(std::uint64_t from_version) const;

    // The whole state, for a snapshot, and back.
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
