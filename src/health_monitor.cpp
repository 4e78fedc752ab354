#include <primrosehead/health.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace primrosehead {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// Weight of the newest latency in the moving average.
constexpr double latency_weight = 0.2;

struct request_succeeded {
    clock::time_point now;
};
struct request_failed {
    clock::time_point now;
};
struct announcement_received {
    bool ends_silence = false;
};
struct silence_detected {};
struct slowness_detected {};
struct checks_passed {};
struct retry_due {};

struct health_machine_definition : msm::front::state_machine_def<health_machine_definition> {
    health_settings settings;
    std::uint32_t failures = 0;        // consecutive
    std::uint32_t successes = 0;       // consecutive, since the last state change
    clock::duration retry_interval{0}; // current time between probes
    clock::time_point retry_at;
    bool is_silent = false;
    bool is_slow = false;
    std::string_view reason = "started";

    struct up : msm::front::state<> {};
    struct suspect : msm::front::state<> {};
    struct down : msm::front::state<> {};
    struct probing : msm::front::state<> {};
    using initial_state = up;

    // Counters of consecutive answers and failures, updated in every state.
    static void count_success(health_machine_definition& machine)
    {
        machine.failures = 0;
        ++machine.successes;
    }
    static void count_failure(health_machine_definition& machine)
    {
        machine.successes = 0;
        ++machine.failures;
    }

    struct add_success {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            count_success(machine);
        }
    };
    struct add_failure {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            count_failure(machine);
        }
    };
    struct mark_failed {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            count_failure(machine);
            machine.reason = "failed";
        }
    };
    struct mark_silent {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.successes = 0;
            machine.reason = "silent";
        }
    };
    struct mark_slow {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.successes = 0;
            machine.reason = "slow";
        }
    };
    struct mark_up {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.failures = 0;
            machine.successes = 0;
            machine.retry_interval = clock::duration::zero();
            machine.reason = "works_again";
        }
    };
    struct mark_down {
        template <class Machine, class From, class To>
        void operator()(const request_failed& event, Machine& machine, From& /*from*/,
                        To& /*to*/) const
        {
            const health_settings& limits = machine.settings;
            count_failure(machine);
            machine.retry_interval =
                machine.retry_interval == clock::duration::zero()
                    ? limits.initial_retry_interval
                    : std::min(limits.max_retry_interval, machine.retry_interval * 2);
            machine.retry_at = event.now + machine.retry_interval;
            machine.reason = machine.is_silent ? "failed_while_silent" : "failed_repeatedly";
        }
    };
    struct start_probing {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.successes = 0;
            machine.reason = "tried_again";
        }
    };

    struct reached_failure_limit {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            return machine.is_silent ||
                   machine.failures + 1 >= machine.settings.failures_until_down;
        }
    };
    struct reached_success_limit {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            const bool enough = machine.successes + 1 >= machine.settings.successes_until_up;
            return enough && !machine.is_silent && !machine.is_slow;
        }
    };
    struct reached_probe_limit {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            return machine.successes + 1 >= machine.settings.probes_until_up;
        }
    };
    struct has_no_failures {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            return machine.failures == 0;
        }
    };
    struct silence_ended {
        template <class Machine, class From, class To>
        bool operator()(const announcement_received& event, Machine& /*machine*/, From& /*from*/,
                        To& /*to*/) const
        {
            return event.ends_silence;
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from     event                  to       action         guard
        Row<up,      request_succeeded,     none,    add_success,   none>,
        Row<up,      request_failed,        suspect, mark_failed,   none>,
        Row<up,      silence_detected,      suspect, mark_silent,   none>,
        Row<up,      slowness_detected,     suspect, mark_slow,     none>,
        Row<suspect, request_succeeded,     none,    add_success,   none>,
        Row<suspect, request_succeeded,     up,      mark_up,       reached_success_limit>,
        Row<suspect, checks_passed,         up,      mark_up,       has_no_failures>,
        Row<suspect, request_failed,        none,    add_failure,   none>,
        Row<suspect, request_failed,        down,    mark_down,     reached_failure_limit>,
        Row<down,    retry_due,             probing, start_probing, none>,
        Row<down,    announcement_received, probing, start_probing, silence_ended>,
        Row<probing, request_succeeded,     none,    add_success,   none>,
        Row<probing, request_succeeded,     up,      mark_up,       reached_probe_limit>,
        Row<probing, request_failed,        down,    mark_down,     none>
    > {};
    // clang-format on

    // Ignores events that have no transition from the current state.
    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using health_machine = msm::back::state_machine<health_machine_definition>;

// Indexed by the machine's state number. States are numbered in order of appearance in the
// transition table.
constexpr std::array health_of_state{server_health::up, server_health::suspect, server_health::down,
                                     server_health::probing};

bool indicates_peer_failure(error_kind kind)
{
    return kind == error_kind::connection_lost || kind == error_kind::timed_out ||
           kind == error_kind::internal;
}

} // namespace

struct health_monitor::implementation {
    health_machine machine;
    clock::time_point last_announcement_at;
    double latency_ms = 0;

    template <class Event>
    void process(const Event& event)
    {
        if (machine.settings.detection_enabled) {
            machine.process_event(event);
        }
    }

    [[nodiscard]] bool is_slower_than(clock::duration others_latency) const
    {
        if (others_latency == clock::duration::zero()) {
            return false;
        }
        const auto median = static_cast<double>(others_latency.count());
        const auto margin = static_cast<double>(machine.settings.slow_latency_margin.count());
        return latency_ms > median * machine.settings.slow_latency_factor &&
               latency_ms > median + margin;
    }
};

health_monitor::health_monitor(health_settings settings, clock::time_point now)
    : body_(std::make_unique<implementation>())
{
    body_->machine.settings = settings;
    body_->last_announcement_at = now;
    body_->machine.start();
}

health_monitor::~health_monitor() = default;
health_monitor::health_monitor(health_monitor&&) noexcept = default;
health_monitor& health_monitor::operator=(health_monitor&&) noexcept = default;

void health_monitor::record_success(clock::duration latency, clock::time_point now)
{
    const auto measured = static_cast<double>(latency.count());
    body_->latency_ms += latency_weight * (measured - body_->latency_ms);
    body_->process(request_succeeded{now});
}

void health_monitor::record_failure(error_kind kind, clock::time_point now)
{
    if (indicates_peer_failure(kind)) {
        body_->process(request_failed{now});
    }
}

void health_monitor::record_announcement(clock::time_point measured, clock::time_point now)
{
    const bool was_silent = body_->machine.is_silent;
    body_->last_announcement_at = std::max(body_->last_announcement_at, measured);
    body_->machine.is_silent =
        now - body_->last_announcement_at > body_->machine.settings.silence_limit;
    const bool silence_ended = was_silent && !body_->machine.is_silent;
    body_->process(announcement_received{silence_ended});
}

void health_monitor::check(clock::duration others_latency, clock::time_point now)
{
    health_machine& machine = body_->machine;
    machine.is_silent = now - body_->last_announcement_at > machine.settings.silence_limit;
    machine.is_slow = body_->is_slower_than(others_latency);
    if (machine.is_silent) {
        body_->process(silence_detected{});
    }
    if (machine.is_slow) {
        body_->process(slowness_detected{});
    }
    if (!machine.is_silent && !machine.is_slow) {
        body_->process(checks_passed{});
    }
    if (state() == server_health::down && now >= machine.retry_at) {
        body_->process(retry_due{});
    }
}

server_health health_monitor::state() const noexcept
{
    return health_of_state.at(static_cast<std::size_t>(body_->machine.current_state()[0]));
}

std::string_view health_monitor::reason() const noexcept
{
    return body_->machine.reason;
}

clock::duration health_monitor::latency() const noexcept
{
    return clock::duration(std::llround(body_->latency_ms));
}

clock::time_point health_monitor::last_announcement_at() const noexcept
{
    return body_->last_announcement_at;
}

std::string_view to_string(server_health health) noexcept
{
    switch (health) {
    case server_health::up:
        return "up";
    case server_health::suspect:
        return "suspect";
    case server_health::down:
        return "down";
    case server_health::probing:
        return "probing";
    }
    return "down";
}

} // namespace primrosehead
