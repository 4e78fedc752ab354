// Proposals of this leader whose commit is pending.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/replica.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace primrosehead {

// A reply and the completion that receives it.
struct completed_proposal {
    replica::completion done;
    pb::operator_reply reply;
};

// The pending proposals by log index.
class pending_proposals {
  public:
    void add(std::uint64_t index, std::uint64_t term, std::string request_id,
             replica::completion done);

    // Completes the proposal of this index and term with the reply of its committed entry. If an
    // entry of another term replaced the proposal, the proposal stays pending until `fail_all`.
    void complete(std::uint64_t index, std::uint64_t term, pb::operator_reply reply);

    // Completes all pending proposals with an unknown outcome after leadership or the disk is lost.
    void fail_all(clock::duration retry_after);

    // Returns the completed proposals. Their completions may propose again, so the caller runs them
    // after all other work.
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

// Returns a reply that carries an error.
[[nodiscard]] pb::operator_reply error_reply(const std::string& request_id, const error& failure);

} // namespace primrosehead
