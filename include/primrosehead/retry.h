// Whether a failed try is made again. Pure.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/error.h>

#include <cstdint>
#include <string_view>

namespace primrosehead {

// Allows retries as a share of first tries, so that they can't multiply a failure's load.
class retry_budget {
  public:
    retry_budget(double share, double reserve) noexcept;

    // Retries allowed a first try from now on.
    void change(double share) noexcept { share_ = share; }

    void first_try() noexcept;
    [[nodiscard]] bool take() noexcept;

  private:
    double share_;
    double reserve_;
    double tokens_;
};

struct attempt {
    error_kind failure = error_kind::internal;
    enum ran ran = ran::no;
    bool repeatable = false;
    std::uint32_t tries = 1;
    clock::time_point now;
    clock::time_point deadline;
};

enum class retry_decision {
    retry,
    final_failure,
    deadline_exceeded,
    budget_exhausted,
    not_idempotent
};

[[nodiscard]] std::string_view to_string(retry_decision decision) noexcept;

// Tries again only what certainly did not run or may be repeated, within deadline and budget.
[[nodiscard]] retry_decision decide_retry(const attempt& last, retry_budget& budget) noexcept;

} // namespace primrosehead
