#include "cell_reply_parts.h"

#include "cell_reply_pacer.h"

#include <iterator>

namespace primrosehead::cell {

namespace {

constexpr clock::duration max_position_age{5'000};

} // namespace

void add_position(pb::follow_reply& reply, std::string_view group, std::string_view server,
                  log_position position, clock::duration age)
{
    if (age > max_position_age) {
        return;
    }
    pb::group_position& added = *reply.add_positions();
    added.set_group(std::string(group));
    added.set_server(std::string(server));
    added.set_term(position.term);
    added.set_index(position.index);
    added.set_age_ms(age.count());
}

bool offer_document(reply_pacer& pacer, const pb::follow_request& request,
                    const pb::published_record* newest, clock::time_point now,
                    pb::follow_reply& reply)
{
    if (newest == nullptr || newest->version() <= request.document_version()) {
        return true;
    }
    const std::uint32_t wait = pacer.admit(request.instance(), newest->ByteSizeLong(), now);
    if (wait > 0) {
        reply.set_retry_after_ms(wait);
        return false;
    }
    *reply.mutable_document() = *newest;
    return true;
}

void offer_directory(reply_pacer& pacer, const pb::follow_request& request,
                     std::vector<pb::server_announcement> changes, std::uint64_t base_revision,
                     clock::time_point now, pb::follow_reply& reply)
{
    std::size_t bytes = 0;
    for (const pb::server_announcement& each : changes) {
        bytes += each.ByteSizeLong();
    }
    const std::uint32_t wait = pacer.admit(request.instance(), bytes, now);
    if (wait == 0) {
        reply.mutable_servers()->Assign(std::make_move_iterator(changes.begin()),
                                        std::make_move_iterator(changes.end()));
        reply.set_directory_base_revision(base_revision);
    }
    else if (!reply.has_document()) {
        reply.set_retry_after_ms(wait);
    }
}

} // namespace primrosehead::cell
