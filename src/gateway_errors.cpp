#include "gateway_errors.h"

#include <string>

namespace primrosehead {

namespace {

constexpr clock::duration default_retry_delay{100};

} // namespace

error invalid_reply(std::string_view what, enum ran ran)
{
    return error{error_kind::connection_lost, std::string(what),
                 "Check the backend server and the network to it.", ran, default_retry_delay};
}

error deadline_exceeded(std::string_view what, enum ran ran)
{
    return error{error_kind::timed_out, std::string(what),
                 "Look at the load of the backend server, or allow a longer timeout.", ran,
                 default_retry_delay};
}

error no_capacity(std::string_view what, clock::duration retry_after)
{
    return error{error_kind::overloaded, std::string(what),
                 "Come back after the stated time, or allow a longer timeout.", ran::no,
                 retry_after};
}

error unknown_server(std::string_view server)
{
    return error{
        error_kind::no_replica, "Backend server " + std::string(server) + " is not known here.",
        "Check that it announces itself to this failure domain.", ran::no, default_retry_delay};
}

error transaction_not_found()
{
    return error{error_kind::unknown_transaction, "This transaction has ended or never was.",
                 "Begin a new transaction.", ran::no, clock::duration::zero()};
}

error transaction_busy()
{
    return error{error_kind::bad_request, "Another statement of this transaction is running.",
                 "Send the statements of a transaction one after another.", ran::no,
                 default_retry_delay};
}

error instance_draining()
{
    return error{error_kind::leaving, "This instance is stopping and begins no transaction.",
                 "Send the request to another instance.", ran::no, default_retry_delay};
}

error malformed_request(std::string_view what)
{
    return error{error_kind::bad_request, std::string(what),
                 "Send a statement that is one JSON value.", ran::no, clock::duration::zero()};
}

} // namespace primrosehead
