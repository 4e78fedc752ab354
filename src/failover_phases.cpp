#include "failover_phases.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace primrosehead::failover {

namespace {

namespace front = boost::msm::front;

struct started_event {};
struct term_closed_event {};
struct leases_ended_event {};
struct members_fenced_event {};
struct server_promoted_event {};
struct term_opened_event {};
struct restarted_event {};

struct steady : front::state<> {};
struct closing : front::state<> {};
struct waiting : front::state<> {};
struct fencing : front::state<> {};
struct promoting : front::state<> {};
struct opening : front::state<> {};

struct failover_definition : front::state_machine_def<failover_definition> {
    using initial_state = steady;

    template <class Source, class Event, class Target>
    using row = front::Row<Source, Event, Target>;

    // Boost.MSM looks this name up; its case is the library's. The order of first mention is the
    // order of `phase`.
    struct transition_table : boost::mpl::vector<row<steady, started_event, closing>,            //
                                                 row<closing, term_closed_event, waiting>,       //
                                                 row<waiting, leases_ended_event, fencing>,      //
                                                 row<fencing, members_fenced_event, promoting>,  //
                                                 row<promoting, server_promoted_event, opening>, //
                                                 row<opening, term_opened_event, steady>,        //
                                                 row<closing, term_opened_event, steady>,        //
                                                 row<waiting, term_opened_event, steady>,        //
                                                 row<fencing, term_opened_event, steady>,        //
                                                 row<promoting, term_opened_event, steady>,      //
                                                 row<closing, restarted_event, closing>,         //
                                                 row<waiting, restarted_event, closing>,         //
                                                 row<fencing, restarted_event, closing>,         //
                                                 row<promoting, restarted_event, closing>,       //
                                                 row<opening, restarted_event, closing>> {};

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using machine = boost::msm::back::state_machine<failover_definition>;

constexpr std::array phase_names{std::string_view("steady"),    std::string_view("closing"),
                                 std::string_view("waiting"),   std::string_view("fencing"),
                                 std::string_view("promoting"), std::string_view("opening")};

} // namespace

std::string_view to_string(phase value) noexcept
{
    return phase_names.at(static_cast<std::size_t>(value));
}

struct phase_machine::implementation {
    machine states;
};

phase_machine::phase_machine() : body_(std::make_unique<implementation>())
{
    body_->states.start();
}

phase_machine::~phase_machine() = default;
phase_machine::phase_machine(phase_machine&&) noexcept = default;
phase_machine& phase_machine::operator=(phase_machine&&) noexcept = default;

void phase_machine::started()
{
    body_->states.process_event(started_event{});
}

void phase_machine::term_closed()
{
    body_->states.process_event(term_closed_event{});
}

void phase_machine::leases_ended()
{
    body_->states.process_event(leases_ended_event{});
}

void phase_machine::members_fenced()
{
    body_->states.process_event(members_fenced_event{});
}

void phase_machine::server_promoted()
{
    body_->states.process_event(server_promoted_event{});
}

void phase_machine::term_opened()
{
    body_->states.process_event(term_opened_event{});
}

void phase_machine::restarted()
{
    body_->states.process_event(restarted_event{});
}

phase phase_machine::current() const noexcept
{
    return static_cast<phase>(body_->states.current_state()[0]);
}

} // namespace primrosehead::failover
