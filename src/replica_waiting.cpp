#include "replica_waiting.h"

#include <utility>

namespace primrosehead {

pb::operator_reply failed_reply(const std::string& request_id, const error& problem)
{
    pb::operator_reply reply;
    reply.set_request_id(request_id);
    reply.set_not_leader(problem.kind == error_kind::not_leader);
    pb::request_error* failed = reply.mutable_error();
    failed->set_kind(std::string(to_string(problem.kind)));
    failed->set_message(problem.message);
    failed->set_remedy(problem.remedy);
    failed->set_ran(std::string(to_string(problem.ran)));
    failed->set_retry_after_ms(static_cast<std::uint32_t>(problem.retry_after.count()));
    return reply;
}

void waiting_proposals::add(std::uint64_t index, std::uint64_t term, std::string request_id,
                            replica::completion done)
{
    waiting_.insert_or_assign(index, proposal{term, std::move(request_id), std::move(done)});
}

void waiting_proposals::commit(std::uint64_t index, std::uint64_t term, pb::operator_reply reply)
{
    const auto found = waiting_.find(index);
    if (found == waiting_.end() || found->second.term != term) {
        return;
    }
    reply.set_request_id(found->second.request_id);
    finished_.push_back(finished_proposal{std::move(found->second.done), std::move(reply)});
    waiting_.erase(found);
}

void waiting_proposals::abandon(clock::duration retry_after)
{
    const error lost{error_kind::no_quorum,
                     "This control instance stopped leading before the change was known to be "
                     "committed: its outcome is unknown.",
                     "Send it again with the same request id: it takes effect at most once.",
                     ran::unknown, retry_after};
    for (auto& [index, one] : waiting_) {
        finished_.push_back(
            finished_proposal{std::move(one.done), failed_reply(one.request_id, lost)});
    }
    waiting_.clear();
}

std::vector<finished_proposal> waiting_proposals::take_finished()
{
    return std::exchange(finished_, {});
}

} // namespace primrosehead
