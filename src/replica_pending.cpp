#include "replica_pending.h"

#include <utility>

namespace primrosehead {

pb::operator_reply error_reply(const std::string& request_id, const error& failure)
{
    pb::operator_reply reply;
    reply.set_request_id(request_id);
    reply.set_not_leader(failure.kind == error_kind::not_leader);
    pb::request_error* request_error = reply.mutable_error();
    request_error->set_kind(std::string(to_string(failure.kind)));
    request_error->set_message(failure.message);
    request_error->set_remedy(failure.remedy);
    request_error->set_ran(std::string(to_string(failure.ran)));
    request_error->set_retry_after_ms(static_cast<std::uint32_t>(failure.retry_after.count()));
    return reply;
}

void pending_proposals::add(std::uint64_t index, std::uint64_t term, std::string request_id,
                            replica::completion done)
{
    pending_.insert_or_assign(index, proposal{term, std::move(request_id), std::move(done)});
}

void pending_proposals::complete(std::uint64_t index, std::uint64_t term, pb::operator_reply reply)
{
    const auto found = pending_.find(index);
    if (found == pending_.end() || found->second.term != term) {
        return;
    }
    reply.set_request_id(found->second.request_id);
    completed_.push_back(completed_proposal{std::move(found->second.done), std::move(reply)});
    pending_.erase(found);
}

void pending_proposals::fail_all(clock::duration retry_after)
{
    const error outcome_unknown{
        error_kind::no_quorum,
        "This control instance lost leadership or its disk before the change was known to be "
        "committed: its outcome is unknown.",
        "Retry with the same request id: the change takes effect at most once.", ran::unknown,
        retry_after};
    for (auto& [index, entry] : pending_) {
        completed_.push_back(completed_proposal{std::move(entry.done),
                                                error_reply(entry.request_id, outcome_unknown)});
    }
    pending_.clear();
}

std::vector<completed_proposal> pending_proposals::take_completed()
{
    return std::exchange(completed_, {});
}

} // namespace primrosehead
