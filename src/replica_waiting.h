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
struct finished_proposal {
    replica::completion done;
    pb::operator_reply reply;
};

// The proposals by index.
class waiting_proposals {
  public:
    void add(std::uint64_t index, std::uint64_t term, std::string request_id,
             replica::completion done);

    // The entry of this index and term is committed with this answer. An entry of another term took
    // the place of the proposal, which waits until it is abandoned.
    void commit(std::uint64_t index, std::uint64_t term, pb::operator_reply reply);

    // Leadership is lost: the outcome of all that still wait is unknown.
    void abandon(clock::duration retry_after);

    // Answers to give out now. Completions may propose again, so they run after all other work.
    [[nodiscard]] std::vector<finished_proposal> take_finished();

  private:
    struct proposal {
        std::uint64_t term = 0;
        std::string request_id;
        replica::completion done;
    };

    std::map<std::uint64_t, proposal> waiting_;
    std::vector<finished_proposal> finished_;
};

// An answer that carries a failure.
[[nodiscard]] pb::operator_reply failed_reply(const std::string& request_id, const error& problem);

} // namespace primrosehead
