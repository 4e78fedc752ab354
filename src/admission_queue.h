// Order of service at one backend server: who runs next, who waits, and who is refused at once.
// Pure. docs/design/order-of-service.md states the rules and what was weighed.
#pragma once

#include "admission_fixed_pace.h"
#include "admission_service_times.h"
#include "admission_shares.h"
#include "admission_work.h"
#include "server_pace.h"

#include <primrosehead/clock.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace primrosehead::admission {

// Decides how many statements run at a server at once.
template <class Pace>
concept pace_model = requires(Pace pace, const Pace& constant, const server_pace::sample& sample,
                              clock::time_point now, std::uint32_t slots)
{
    Pace(slots);
    pace.set_announced_slots(slots, now);
    pace.restart(now);
    pace.start_at(double{}, now);
    pace.record(sample, now);
    {
        constant.concurrency(now)
        } -> std::convertible_to<double>;
};

// Order within an organisation. `objective_first` runs work that can still meet its objective
// before work that can't; `by_deadline` does not look at the objective.
enum class service_order { by_deadline, objective_first };

template <pace_model Pace>
class basic_queue {
  public:
    static constexpr std::size_t max_waiting = 512;

    explicit basic_queue(std::uint32_t announced_slots,
                         service_order order = service_order::by_deadline)
        : order_(order), pace_(announced_slots)
    {
    }

    // Queues work, or refuses it at once. May displace less urgent work, whose refusal the next
    // `expire` returns.
    [[nodiscard]] std::optional<refusal> submit(work item, clock::time_point now);
    // Returns the work to send to the server now. To be called until it returns `nullopt`, after
    // every `submit`, `finish` and `expire`.
    [[nodiscard]] std::optional<std::uint64_t> start_next(clock::time_point now);
    // Ends started work. Unknown ids are ignored.
    void finish(std::uint64_t id, outcome result, clock::time_point now);
    // Removes waiting work. Returns false for work that is running or unknown.
    bool cancel(std::uint64_t id);
    // Returns work that was displaced or can no longer finish before its deadline. To be called at
    // least every 50 ms while work waits.
    [[nodiscard]] std::vector<refusal> expire(clock::time_point now);

    void set_announced_slots(std::uint32_t slots, clock::time_point now);
    // Forgets the learned concurrency: the server has a new `born_ms` or was promoted.
    void server_restarted(clock::time_point now);
    // Starts from the concurrency that an earlier home of the server learned.
    void start_at(double concurrency, clock::time_point now);

    [[nodiscard]] double concurrency(clock::time_point now) const;
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }
    // Returns the estimated time until `item` would start if it were submitted now.
    [[nodiscard]] clock::duration wait_estimate(const work& item, clock::time_point now) const;
    // Returns the estimated time until `item` would be answered, to choose among servers: with its
    // wait, its service and what a failure of the server would cost.
    [[nodiscard]] clock::duration cost_estimate(const work& item, clock::time_point now) const;
    [[nodiscard]] Pace& pace() noexcept { return pace_; }

  private:
    struct waiting_work {
        work item;
        std::uint32_t work_class = 0; // 0 continues a transaction; the lower, the more urgent
        std::uint64_t sequence = 0;
        fair_shares::key owner;
        double rank = 0; // position within its organisation, for estimates
    };
    struct running_work {
        fair_shares::key owner;
        double charged_ms = 0;
        server_pace::sample sample;
    };

    [[nodiscard]] std::uint32_t limit(clock::time_point now) const;
    [[nodiscard]] double capacity_for(std::uint32_t work_class, clock::time_point now) const;
    [[nodiscard]] double running_backlog_ms() const;
    [[nodiscard]] double wait_ms(const waiting_work& entering, clock::time_point now) const;
    [[nodiscard]] double required_ms(const waiting_work& entering, double wait) const;
    [[nodiscard]] bool would_delay_urgent(const waiting_work& entering, clock::time_point now);
    [[nodiscard]] std::optional<refusal> check(const waiting_work& entering, clock::time_point now);
    [[nodiscard]] bool make_room(const waiting_work& entering, clock::time_point now);
    [[nodiscard]] refusal refuse(const waiting_work& refused, std::string_view reason,
                                 clock::time_point now) const;
    void remove(std::size_t index);
    void sort_by_service_order();
    void remove_late(clock::time_point now);
    void remove_hopeless(clock::time_point now);
    [[nodiscard]] std::size_t select(clock::time_point now);
    [[nodiscard]] bool precedes(const waiting_work& left, const waiting_work& right,
                                clock::time_point now) const;
    [[nodiscard]] bool is_late(const waiting_work& each, clock::time_point now) const;

    service_order order_;
    Pace pace_;
    service_times times_;
    fair_shares shares_;
    std::vector<waiting_work> waiting_;
    std::unordered_map<std::uint64_t, running_work> running_;
    std::vector<refusal> removed_; // refused after they were queued
    std::uint64_t last_sequence_ = 0;
    std::uint32_t urgent_starts_ = 0; // since less urgent work that was waiting started
    clock::time_point projected_at_{};
};

extern template class basic_queue<server_pace>;
extern template class basic_queue<fixed_pace>;

class queue : public basic_queue<server_pace> {
  public:
    using basic_queue::basic_queue;
};

} // namespace primrosehead::admission
