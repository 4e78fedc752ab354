#include "follow_replies.h"

#include "document_codec.h"

#include <primrosehead/clock.h>

#include <string>

namespace primrosehead::testing {

pb::follow_reply make_follow_reply(std::uint64_t sequence, std::uint32_t live_instances)
{
    pb::follow_reply reply;
    reply.set_is_leader(true);
    reply.set_sequence(sequence);
    reply.set_asked_at_ms(to_ms(clock::now()));
    reply.set_control_term(1);
    reply.set_document_version(1);
    reply.set_live_instances(live_instances);
    return reply;
}

void add_first_state(pb::follow_reply& reply)
{
    *reply.mutable_document() = compress_document("document", 1, "{}");
    reply.set_directory_revision(1);
    reply.set_directory_complete(true);
}

pb::server_announcement& add_server(pb::follow_reply& reply, std::string_view name,
                                    std::string_view address, std::string_view failure_domain)
{
    pb::server_announcement& server = *reply.add_servers();
    server.set_server(std::string(name));
    server.set_group("g");
    server.set_address(std::string(address));
    server.set_failure_domain(std::string(failure_domain));
    server.set_slots(2);
    return server;
}

} // namespace primrosehead::testing
