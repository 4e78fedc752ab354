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
                 "Check the load of the backend server, or allow a longer timeout.", ran,
                 default_retry_delay};
}

error no_capacity(std::string_view what, clock::duration retry_after)
{
    return error{error_kind::overloaded, std::string(what),
                 "Retry after the stated delay, or allow a longer timeout.", ran::no, retry_after};
}

error unknown_server(std::string_view server)
{
    return error{error_kind::no_replica,
                 "Backend server " + std::string(server) + " is unknown to this instance.",
                 "Check that it announces itself to an instance of its failure domain.", ran::no,
                 default_retry_delay};
}

error transaction_not_found()
{
    return error{error_kind::unknown_transaction, "This transaction has ended or never existed.",
                 "Begin a new transaction.", ran::no, clock::duration::zero()};
}

error transaction_busy()
{
    return error{error_kind::bad_request, "Another statement of this transaction is still running.",
                 "Send the statements of a transaction one after another.", ran::no,
                 default_retry_delay};
}

error instance_draining()
{
    return error{error_kind::leaving, "This instance is draining and begins no new transactions.",
                 "Send the request to another instance.", ran::no, default_retry_delay};
}

error malformed_request(std::string_view what)
{
    return error{error_kind::bad_request, std::string(what),
                 "Send the statement as a single JSON value.", ran::no, clock::duration::zero()};
}

} // namespace primrosehead
