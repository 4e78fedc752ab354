#include "commit_fence.h"

#include "primrosehead.pb.h"

namespace primrosehead {

namespace {

fence_id parse_id(const pb::fence_id& id)
{
    return {id.control_term(), id.serial()};
}

void write_id(fence_id id, pb::fence_id& message)
{
    message.set_control_term(id.control_term);
    message.set_serial(id.serial);
}

} // namespace

void add_fences(const fence_map& fences, pb::follow_reply& reply)
{
    for (const auto& [group, fence] : fences) {
        pb::commit_fence& message = *reply.add_fences();
        message.set_group(group);
        write_id(fence.id, *message.mutable_id());
        for (const std::string& candidate : fence.candidates) {
            message.add_candidates(candidate);
        }
    }
}

fence_map fences_of(const pb::follow_reply& reply)
{
    fence_map fences;
    for (const pb::commit_fence& each : reply.fences()) {
        fences[each.group()] = {parse_id(each.id()),
                                {each.candidates().begin(), each.candidates().end()}};
    }
    return fences;
}

void add_reports(const fence_reports& reports, pb::follow_request& request)
{
    for (const auto& [group, report] : reports) {
        pb::fence_report& message = *request.add_fences();
        message.set_group(group);
        write_id(report.id, *message.mutable_id());
        message.mutable_confirmed()->set_term(report.confirmed.term);
        message.mutable_confirmed()->set_index(report.confirmed.index);
    }
}

fence_reports reports_of(const pb::follow_request& request)
{
    fence_reports reports;
    for (const pb::fence_report& each : request.fences()) {
        reports[each.group()] = {parse_id(each.id()),
                                 {each.confirmed().term(), each.confirmed().index()}};
    }
    return reports;
}

} // namespace primrosehead
