// Keywords of the session line protocol (docs/API.md). The grammar is fixed; a deployment whose
// clients and servers use other keywords provides its own dialect.
#pragma once

#include <string_view>

namespace primrosehead {

// Ends a line. A lone carriage return or line feed belongs to the text.
inline constexpr std::string_view line_end = "\r\n";

struct line_dialect {
    // Messages.
    std::string_view startup = "OPEN";
    std::string_view query = "RUN";
    std::string_view terminate = "CLOSE";
    std::string_view ready = "IDLE";
    std::string_view row = "ROW";
    std::string_view complete = "DONE";
    std::string_view failed = "FAIL"; // Statements.
    std::string_view begin = "BEGIN";
    std::string_view commit = "COMMIT";
    std::string_view rollback = "ROLLBACK";
    std::string_view read = "GET";
    std::string_view write = "PUT";
    std::string_view set = "SET";
    std::string_view prepare = "PREPARE";
    std::string_view execute = "EXECUTE";
    std::string_view deallocate = "FORGET";
    std::string_view discard = "RESET";
    std::string_view status = "STATUS";
    std::string_view pause = "PAUSE";
    std::string_view resume = "RESUME";
    std::string_view step_down = "STEPDOWN";
    std::string_view after = "AFTER"; // Roles in a status answer.
    std::string_view primary_role = "primary";
    std::string_view replica_role = "replica";     // Error codes.
    std::string_view busy = "BUSY";                // not run: no slot, or refused by this instance
    std::string_view behind = "BEHIND";            // not run: log has not reached the position
    std::string_view read_only = "READONLY";       // not run: not the primary
    std::string_view wrong_server = "WRONGSERVER"; // not run: another server answered
    std::string_view too_many = "TOOMANY";         // not run: connection or rate limit
    std::string_view statement_failed = "FAILED";  // run, but failed
    std::string_view unknown_statement = "NOSTATEMENT"; // not run: name is not prepared
    std::string_view timed_out = "TIMEOUT";             // may have run
    std::string_view denied = "DENIED";                 // invalid key
    std::string_view unknown_database = "NODATABASE";   // no route to the database
    std::string_view too_large = "TOOLARGE";            // message exceeds the size limit
    std::string_view malformed = "MALFORMED";     // invalid syntax, or not allowed in this state
    std::string_view aborted = "ABORTED";         // transaction rolled back
    std::string_view unknown_outcome = "UNKNOWN"; // may have taken effect
};

} // namespace primrosehead
