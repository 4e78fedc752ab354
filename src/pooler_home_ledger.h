// Decides at a home which calls of origins may run: each call once, the statements of a transaction
// in order, and nothing of an earlier start of an origin. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <bitset>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pooler {

// A transaction of an origin.
struct home_handle {
    std::string origin; // instance
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    friend auto operator<=>(const home_handle&,
                            const home_handle&) = default; // NOLINT(modernize-use-nullptr)
};

enum class home_verdict {
    run,
    duplicate,           // a call that was received before: it gets no second answer
    earlier_incarnation, // of an earlier start of the origin
    unknown_transaction, // never begun here, ended, or rolled back
    wrong_step,          // repeated, skipped, or while the previous statement runs
};
[[nodiscard]] std::string_view to_string(home_verdict verdict) noexcept;

class home_ledger {
  public:
    // An origin that is no peer is regarded as gone after this time without a message.
    static constexpr clock::duration origin_timeout{3'000};

    // Records a message of an origin. Transactions of its earlier incarnations are moved to
    // `ended`, for rollback.
    [[nodiscard]] home_verdict accept_call(const std::string& origin, std::uint64_t incarnation,
                                           std::uint64_t call, clock::time_point now,
                                           std::vector<home_handle>& ended);

    // Accepts statement `step` of a transaction, the first of which begins it.
    [[nodiscard]] home_verdict accept_step(const home_handle& handle, std::uint32_t step,
                                           clock::time_point now);

    // Records that the accepted step was answered.
    void finish_step(const home_handle& handle, clock::time_point now);

    // Forgets a transaction; false if it is unknown.
    bool end(const home_handle& handle);

    // Returns and forgets the transactions that no statement continues: idle for longer than
    // `idle_limit`, or of an origin that is gone.
    [[nodiscard]] std::vector<home_handle>
    expire(clock::time_point now, clock::duration idle_limit,
           const std::function<bool(std::string_view)>& is_peer);

    [[nodiscard]] std::size_t open_transactions() const noexcept { return transactions_.size(); }

  private:
    // Calls are numbered in ascending order. Messages on a new connection can overtake earlier ones
    // on the connection that it replaces, so a window of numbers is remembered.
    static constexpr std::size_t window = 1'024;
    struct origin_state {
        std::uint64_t incarnation = 0;
        std::uint64_t newest_call = 0;
        std::bitset<window> received; // bit i: call `newest_call - i`
        clock::time_point heard_at;
    };
    struct transaction_state {
        std::uint32_t step = 0;
        bool is_running = false;
        clock::time_point used_at;
    };
    [[nodiscard]] static bool record_call(origin_state& state, std::uint64_t call);

    std::map<std::string, origin_state, std::less<>> origins_;
    std::map<home_handle, transaction_state> transactions_;
};

} // namespace primrosehead::pooler
