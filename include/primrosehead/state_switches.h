// Test switches that each disable one safety check of the state machine, so that a test can show
// that it detects the violation. Programs leave all of them enabled.
#pragma once

namespace primrosehead {

struct state_switches {
    bool check_base_versions = true;  // rejects changes based on a stale version
    bool deduplicate_requests = true; // returns the cached reply to a retry
    bool check_terms = true;          // lets each term begin and finish once
};

} // namespace primrosehead
