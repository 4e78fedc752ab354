// Test switches that turn one mechanism of the state machine off each, so that a test can show that
// it catches the breach. All are on in every program.
#pragma once

namespace primrosehead {

struct state_switches {
    bool check_base_versions = true;  // a change based on an old version is refused
    bool deduplicate_requests = true; // a resend gets the first answer again
    bool check_terms = true;          // a term is opened and finished once
};

} // namespace primrosehead
