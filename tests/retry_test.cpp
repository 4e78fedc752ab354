#include <primrosehead/retry.h>

#include <doctest/doctest.h>

#include <array>

using primrosehead::attempt;
using primrosehead::clock;
using primrosehead::decide_retry;
using primrosehead::error_kind;
using primrosehead::from_ms;
using primrosehead::ran;
using primrosehead::retry_budget;
using primrosehead::retry_decision;

namespace {

attempt failed_attempt(error_kind failure, enum ran outcome, bool idempotent)
{
    attempt made;
    made.failure = failure;
    made.ran = outcome;
    made.idempotent = idempotent;
    made.now = from_ms(100);
    made.deadline = from_ms(200);
    return made;
}

} // namespace

TEST_CASE("retry: what may have run is tried again only when it is repeatable")
{
    retry_budget budget(0.1, 10);
    const attempt unsafe = failed_attempt(error_kind::connection_lost, ran::unknown, false);
    CHECK(decide_retry(unsafe, budget) == retry_decision::not_idempotent);
    const attempt idempotent = failed_attempt(error_kind::connection_lost, ran::unknown, true);
    CHECK(decide_retry(idempotent, budget) == retry_decision::retry);
    const attempt not_run = failed_attempt(error_kind::connection_lost, ran::no, false);
    CHECK(decide_retry(not_run, budget) == retry_decision::retry);
}

TEST_CASE("retry: a final answer is not asked for again")
{
    retry_budget budget(0.1, 10);
    constexpr std::array final_kinds{error_kind::backend_refused, error_kind::bad_request,
                                     error_kind::rate_limited,    error_kind::no_primary,
                                     error_kind::no_replica,      error_kind::unknown_transaction};
    for (const error_kind kind : final_kinds) {
        CHECK(decide_retry(failed_attempt(kind, ran::no, true), budget) ==
              retry_decision::final_failure);
    }
}

TEST_CASE("retry: never past the deadline nor the number of tries")
{
    retry_budget budget(0.1, 10);
    attempt late = failed_attempt(error_kind::overloaded, ran::no, true);
    late.now = late.deadline;
    CHECK(decide_retry(late, budget) == retry_decision::deadline_exceeded);
    attempt fourth = failed_attempt(error_kind::overloaded, ran::no, true);
    fourth.attempt_number = 4;
    CHECK(decide_retry(fourth, budget) == retry_decision::final_failure);
}

TEST_CASE("retry: a failure of all servers multiplies the load by the share at most")
{
    constexpr int requests = 10'000;
    constexpr double ratio = 0.1;
    constexpr double reserve = 10;
    retry_budget budget(ratio, reserve);
    int retries = 0;
    for (int request = 0; request < requests; ++request) {
        budget.record_request();
        attempt made = failed_attempt(error_kind::connection_lost, ran::no, true);
        while (decide_retry(made, budget) == retry_decision::retry) {
            ++retries;
            ++made.attempt_number;
        }
    }
    CHECK(retries <= static_cast<int>(requests * ratio + reserve));
    CHECK(retries >= static_cast<int>(requests * ratio * 0.9));
}

TEST_CASE("retry: a replica that is behind costs no budget")
{
    retry_budget empty(0, 0);
    CHECK(decide_retry(failed_attempt(error_kind::behind, ran::no, false), empty) ==
          retry_decision::retry);
    CHECK(decide_retry(failed_attempt(error_kind::overloaded, ran::no, false), empty) ==
          retry_decision::budget_exhausted);
}

TEST_CASE("retry: a changed share counts from the next first try on")
{
    retry_budget budget(0, 1);
    CHECK(budget.try_consume());
    budget.record_request();
    CHECK(!budget.try_consume());
    budget.set_ratio(0.5);
    budget.record_request();
    CHECK(!budget.try_consume());
    budget.record_request();
    CHECK(budget.try_consume());
}
