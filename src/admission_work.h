// Work for a backend server, and what an admission queue decides about it.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace primrosehead::admission {

// One statement, or the first statement of a transaction.
struct work {
    std::uint64_t id = 0;
    std::string organisation;
    std::uint32_t priority = 0; // 0 is the highest
    clock::time_point arrived_at{};
    clock::time_point deadline{};
    clock::time_point objective{};
    bool continues_transaction = false; // it holds a connection and goes first
};

struct refusal {
    std::uint64_t id = 0;
    clock::duration retry_after{0};
    std::string_view reason; // one of `reasons`
};

namespace reasons {
inline constexpr std::string_view deadline_unreachable = "deadline_unreachable";
inline constexpr std::string_view deadline_passed = "deadline_passed";
inline constexpr std::string_view would_delay_urgent = "would_delay_urgent";
inline constexpr std::string_view queue_full = "queue_full";
inline constexpr std::string_view displaced = "displaced";
inline constexpr std::string_view duplicate_id = "duplicate_id";
} // namespace reasons

// How a statement at the server ended. `failed` is a connection or server error, not a statement
// that the server answered with an error of the caller; `silent` is no answer in time.
enum class outcome { done, failed, busy, silent };

} // namespace primrosehead::admission
