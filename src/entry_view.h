// Immutable snapshot of the replicated state that an entry instance's requests read.
#pragma once

#include "entry_request.h"

#include <primrosehead/environment.h>
#include <primrosehead/keys.h>
#include <primrosehead/names.h>
#include <primrosehead/position.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace primrosehead {

class state_view;

// The current term of a database group.
struct group_term {
    std::uint64_t term = 0;
    server_name primary; // empty while the term has no primary
    std::vector<term_boundary> term_starts;
};

class entry_view {
  public:
    // Creates the empty view that is used until the first state arrives.
    entry_view() = default;

    // Builds a view of the environment's documents, the keys and the groups in `state`.
    [[nodiscard]] static std::unique_ptr<entry_view> make(const state_view& state,
                                                          std::string_view environment_name);

    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] const environment* document(stage target_stage) const noexcept;
    [[nodiscard]] const group_term* group(const database_name& database) const noexcept;
    [[nodiscard]] const key_table& keys() const noexcept { return keys_; }
    [[nodiscard]] std::uint32_t entry_instance_count() const noexcept
    {
        return entry_instance_count_;
    }

  private:
    std::uint64_t version_ = 0;
    std::optional<environment> production_;
    std::optional<environment> trial_;
    key_table keys_;
    std::unordered_map<database_name, group_term> groups_;
    std::uint32_t entry_instance_count_ = 1;
};

} // namespace primrosehead
