#include "routing_refusals.h"

#include <string>

namespace primrosehead::routing {

namespace {

constexpr clock::duration read_retry_after{100};
constexpr clock::duration write_retry_after{200};

} // namespace

error no_server_announced()
{
    return error{error_kind::no_replica, "No server of this database has announced itself.",
                 "Check that the servers of the database run and can reach this instance.", ran::no,
                 read_retry_after};
}

error no_eligible_server()
{
    return error{
        error_kind::no_replica, "No server of this database can serve the read at present.",
        "Retry after the stated time; check the health and replication lag of the servers.",
        ran::no, read_retry_after};
}

error no_primary(std::string_view message)
{
    return error{error_kind::no_primary, std::string(message),
                 "Retry after the stated time; a failover has usually completed by then.", ran::no,
                 write_retry_after};
}

} // namespace primrosehead::routing
