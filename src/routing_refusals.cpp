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
                 "Check that its servers run and reach this instance.", ran::no, read_retry_after};
}

error no_eligible_server()
{
    return error{error_kind::no_replica, "No server can serve this read just now.",
                 "Come back after the stated time; look at the servers' health and lag.", ran::no,
                 read_retry_after};
}

error no_primary(std::string_view message)
{
    return error{error_kind::no_primary, std::string(message),
                 "Come back after the stated time; a failover is usually done by then.", ran::no,
                 write_retry_after};
}

} // namespace primrosehead::routing
