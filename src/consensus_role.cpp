#include "consensus_role.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace primrosehead::consensus {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct campaign {};
struct pre_vote_won {};
struct vote_won {};
struct follow {};
struct became_voter {};
struct became_learner {};

// Each state records its role, so that readers need no state numbers.
template <role Role>
struct role_state : msm::front::state<> {
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        machine.current_role = Role;
    }
};

// NOLINTBEGIN(readability-identifier-naming): names that Boost.MSM looks up
struct role_machine_definition : msm::front::state_machine_def<role_machine_definition> {
    role current_role = role::learner;

    using learner = role_state<role::learner>;
    using follower = role_state<role::follower>;
    using pre_candidate = role_state<role::pre_candidate>;
    using candidate = role_state<role::candidate>;
    using leader = role_state<role::leader>;

    using initial_state = learner;

    // clang-format off
    using transition_table = boost::mpl::vector<
        Row<learner,       became_voter,   follower,      none, none>,
        Row<follower,      campaign,     pre_candidate, none, none>,
        Row<follower,      became_learner, learner,       none, none>,
        Row<pre_candidate, campaign,     pre_candidate, none, none>,
        Row<pre_candidate, pre_vote_won, candidate,     none, none>,
        Row<pre_candidate, follow,       follower,      none, none>,
        Row<pre_candidate, became_learner, learner,       none, none>,
        Row<candidate,     campaign,     pre_candidate, none, none>,
        Row<candidate,     vote_won,     leader,        none, none>,
        Row<candidate,     follow,       follower,      none, none>,
        Row<candidate,     became_learner, learner,       none, none>,
        Row<leader,        follow,       follower,      none, none>,
        Row<leader,        became_learner, learner,       none, none>>;
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};
// NOLINTEND(readability-identifier-naming)

using machine = msm::back::state_machine<role_machine_definition>;

} // namespace

struct role_machine::implementation {
    machine states;
};

role_machine::role_machine() : body_(std::make_unique<implementation>())
{
    body_->states.start();
}

role_machine::~role_machine() = default;
role_machine::role_machine(role_machine&&) noexcept = default;
role_machine& role_machine::operator=(role_machine&&) noexcept = default;

void role_machine::process(role_event event)
{
    switch (event) {
    case role_event::campaign:
        body_->states.process_event(campaign{});
        break;
    case role_event::pre_vote_won:
        body_->states.process_event(pre_vote_won{});
        break;
    case role_event::vote_won:
        body_->states.process_event(vote_won{});
        break;
    case role_event::follow:
        body_->states.process_event(follow{});
        break;
    case role_event::became_voter:
        body_->states.process_event(became_voter{});
        break;
    case role_event::became_learner:
        body_->states.process_event(became_learner{});
        break;
    }
}

role role_machine::current() const noexcept
{
    return body_->states.current_role;
}

} // namespace primrosehead::consensus
