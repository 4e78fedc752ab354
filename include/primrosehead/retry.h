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
    retry_budget(double ratio, double max_tokens) noexcept;

    // Retries allowed a first try from now on.
    void set_ratio(double ratio) noexcept { ratio_ = ratio; }

    void record_request() noexcept;
    [[nodiscard]] bool try_consume() noexcept;

  private:
    double ratio_;
    double max_tokens_;
    double tokens_;
};

struct attempt {
    error_kind failure = error_kind::internal;
    enum ran ran = ran::no;
    bool idempotent = false;
    std::uint32_t attempt_number = 1;
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
