// Builders of state machine commands for tests.
#pragma once

#include "primrosehead.pb.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace primrosehead::test {

inline constexpr std::string_view empty_document =
    R"({"databases":[],"routes":[],"organisations":[]})";

[[nodiscard]] pb::command make_trial(std::string_view name, std::uint64_t base,
                                     std::string_view document = empty_document);
[[nodiscard]] pb::command make_promote(std::string_view name, std::uint64_t base);
[[nodiscard]] pb::command make_issue(std::string_view key_id, std::string_view organisation);
[[nodiscard]] pb::command make_withdraw(std::string_view key_id);
[[nodiscard]] pb::command make_register(std::string_view instance, std::string_view domain);
[[nodiscard]] pb::command make_remove(std::string_view instance);
[[nodiscard]] pb::command make_begin(std::string_view database, std::uint64_t new_term);
[[nodiscard]] pb::command make_request(std::string_view database, std::uint64_t term,
                                       std::string_view server);
[[nodiscard]] pb::command make_finish(std::string_view database, std::uint64_t term,
                                      std::string_view primary, std::uint64_t start_index);

[[nodiscard]] pb::command with_request(pb::command command, std::string_view request_id);

// Returns a random command. Names come from a small set, so that commands often change the same
// record and some are rejected.
[[nodiscard]] pb::command random_command(std::mt19937& random);

} // namespace primrosehead::test
