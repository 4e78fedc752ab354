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

// Weight of the newest latency in the smoothed one.
constexpr double smoothing = 0.2;

struct answered {
    clock::time_point now;
};
struct broke {
    clock::time_point now;
};
struct announced {
    bool after_silence = false;
};
struct fell_silent {};
struct became_slow {};
struct looks_well {};
struct retry_due {};

struct health_machine_definition : msm::front::state_machine_def<health_machine_definition> {
    health_settings settings;
    std::uint32_t failures = 0;  // in a row
    std::uint32_t successes = 0; // in a row, since the last change of state
    clock::duration retry{0};    // present time between probes
    clock::time_point retry_at;
    bool is_silent = false;
    bool is_slow = false;
    std::string_view reason = "started";

    struct up : msm::front::state<> {};
    struct suspect : msm::front::state<> {};
    struct down : msm::front::state<> {};
    struct probing : msm::front::state<> {};
    using initial_state = up;

    // What is seen in every state: counts of answers and failures in a row.
    static void count_answer(health_machine_definition& machine)
    {
        machine.failures = 0;
        ++machine.successes;
    }
    static void count_failure(health_machine_definition& machine)
    {
        machine.successes = 0;
        ++machine.failures;
    }

    struct note_answer {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            count_answer(machine);
        }
    };
    struct note_failure {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            count_failure(machine);
        }
    };
    struct suspect_failure {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            count_failure(machine);
            machine.reason = "failed";
        }
    };
    struct suspect_silence {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.successes = 0;
            machine.reason = "silent";
        }
    };
    struct suspect_slowness {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.successes = 0;
            machine.reason = "slow";
        }
    };
    struct trust_again {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.failures = 0;
            machine.successes = 0;
            machine.retry = clock::duration::zero();
            machine.reason = "works_again";
        }
    };
    struct mark_down {
        template <class Machine, class From, class To>
        void operator()(const broke& event, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            const health_settings& limits = machine.settings;
            count_failure(machine);
            machine.retry = machine.retry == clock::duration::zero()
                              ? limits.initial_retry_interval
                              : std::min(limits.max_retry_interval, machine.retry * 2);
            machine.retry_at = event.now + machine.retry;
            machine.reason = machine.is_silent ? "failed_while_silent" : "failed_repeatedly";
        }
    };
    struct try_again {
        template <class Event, class Machine, class From, class To>
        void operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            machine.successes = 0;
            machine.reason = "tried_again";
        }
    };

    struct failed_enough {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            return machine.is_silent || machine.failures + 1 >= machine.settings.failures_until_down;
        }
    };
    struct answered_enough {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            const bool enough = machine.successes + 1 >= machine.settings.successes_until_up;
            return enough && !machine.is_silent && !machine.is_slow;
        }
    };
    struct probes_enough {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            return machine.successes + 1 >= machine.settings.probes_until_up;
        }
    };
    struct never_failed {
        template <class Event, class Machine, class From, class To>
        bool operator()(const Event& /*event*/, Machine& machine, From& /*from*/, To& /*to*/) const
        {
            return machine.failures == 0;
        }
    };
    struct was_silent {
        template <class Machine, class From, class To>
        bool operator()(const announced& event, Machine& /*watch*/, From& /*from*/,
                        To& /*to*/) const
        {
            return event.after_silence;
        }
    };

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from     event        to       action            guard
        Row<up,      answered,    none,    note_answer,      none>,
        Row<up,      broke,       suspect, suspect_failure,  none>,
        Row<up,      fell_silent, suspect, suspect_silence,  none>,
        Row<up,      became_slow, suspect, suspect_slowness, none>,
        Row<suspect, answered,    none,    note_answer,      none>,
        Row<suspect, answered,    up,      trust_again,      answered_enough>,
        Row<suspect, looks_well,  up,      trust_again,      never_failed>,
        Row<suspect, broke,       none,    note_failure,     none>,
        Row<suspect, broke,       down,    mark_down,         failed_enough>,
        Row<down,    retry_due,   probing, try_again,        none>,
        Row<down,    announced,   probing, try_again,        was_silent>,
        Row<probing, answered,    none,    note_answer,      none>,
        Row<probing, answered,    up,      trust_again,      probes_enough>,
        Row<probing, broke,       down,    mark_down,         none>
    > {};
    // clang-format on

    // Events without a row in the present state change nothing.
    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using health_machine = msm::back::state_machine<health_machine_definition>;

// In the order in which the machine numbers its states: as they come in the table.
constexpr std::array health_of_state{server_health::up, server_health::suspect, server_health::down,
                                     server_health::probing};

bool tells_of_health(error_kind kind)
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

    [[nodiscard]] bool is_slower_than(clock::duration others) const
    {
        if (others == clock::duration::zero()) {
            return false;
        }
        const auto median = static_cast<double>(others.count());
        const auto margin = static_cast<double>(machine.settings.slow_latency_margin.count());
        return latency_ms > median * machine.settings.slow_latency_factor && latency_ms > median + margin;
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
    body_->latency_ms += smoothing * (measured - body_->latency_ms);
    body_->process(answered{now});
}

void health_monitor::record_failure(error_kind kind, clock::time_point now)
{
    if (tells_of_health(kind)) {
        body_->process(broke{now});
    }
}

void health_monitor::record_announcement(clock::time_point measured, clock::time_point now)
{
    const bool was_silent = body_->machine.is_silent;
    body_->last_announcement_at = std::max(body_->last_announcement_at, measured);
    body_->machine.is_silent = now - body_->last_announcement_at > body_->machine.settings.silence_limit;
    const bool ended = was_silent && !body_->machine.is_silent;
    body_->process(announced{ended});
}

void health_monitor::check(clock::duration others, clock::time_point now)
{
    health_machine& machine = body_->machine;
    machine.is_silent = now - body_->last_announcement_at > machine.settings.silence_limit;
    machine.is_slow = body_->is_slower_than(others);
    if (machine.is_silent) {
        body_->process(fell_silent{});
    }
    if (machine.is_slow) {
        body_->process(became_slow{});
    }
    if (!machine.is_silent && !machine.is_slow) {
        body_->process(looks_well{});
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
