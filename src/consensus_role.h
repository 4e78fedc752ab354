// The role of a control instance as a state machine.
#pragma once

#include <primrosehead/consensus.h>

#include <memory>

namespace primrosehead::consensus {

// What may change the role.
enum class role_event {
    campaign,       // election timeout passed
    pre_vote_won,   // a majority would vote for this instance
    vote_won,       // a majority voted for this instance
    follow,         // another leader or a higher term was seen, or the quorum was lost
    became_voter,   // the membership lists this instance as a voter
    became_learner, // the membership does not list this instance as a voter
};

// Starts as a learner. Events that mean nothing in the present role change nothing.
class role_machine {
  public:
    role_machine();
    ~role_machine();
    role_machine(role_machine&&) noexcept;
    role_machine& operator=(role_machine&&) noexcept;
    role_machine(const role_machine&) = delete;
    role_machine& operator=(const role_machine&) = delete;

    void process(role_event event);
    [[nodiscard]] role current() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::consensus
