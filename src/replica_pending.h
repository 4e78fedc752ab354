// Proposals of this leader that are not known to be committed yet.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/replica.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace primrosehead {

// An answer and whom to give it to.
struct completed_proposal {
    replica::completion done;
    pb::operator_reply reply;
};

// The proposals by index.
class pending_proposals {
  public:
    void add(std::uint64_t index, std::uint64_t term, std::string request_id,
             replica::completion done);

    // The entry of this index and term is committed with this answer. An entry of another term took
    // the place of the proposal, which waits until it is abandoned.
    void complete(std::uint64_t index, std::uint64_t term, pb::operator_reply reply);

    // Leadership is lost: the outcome of all that still wait is unknown.
    void fail_all(clock::duration retry_after);

    // Answers to give out now. Completions may propose again, so they run after all other work.
    [[nodiscard]] std::vector<completed_proposal> take_completed();

  private:
    struct proposal {
        std::uint64_t term = 0;
        std::string request_id;
        replica::completion done;
    };

    std::map<std::uint64_t, proposal> pending_;
    std::vector<completed_proposal> completed_;
};

// An answer that carries a failure.
[[nodiscard]] pb::operator_reply error_reply(const std::string& request_id, const error& failure);

} // namespace primrosehead
