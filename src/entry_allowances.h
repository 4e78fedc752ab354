// The rate-limit allowances of all organisations at one entry instance. Thread-safe.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/limits.h>
#include <primrosehead/names.h>

#include <memory>
#include <mutex>
#include <shared_mutex>
#include <span>
#include <unordered_map>

namespace primrosehead::pb {
class allowance_grant;
class heartbeat;
class heartbeat_reply;
} // namespace primrosehead::pb

namespace primrosehead {

struct environment;

class entry_allowances {
  public:
    // Outcome of the admission of one request.
    struct admission {
        bool admitted = false;
        bool is_low = false;       // the next heartbeat should be sent at once
        bool is_exhausted = false; // waiting for the next grant does not help
        clock::duration retry_after{0};
    };

    // Applies the contracts of `document` and removes organisations that it no longer contains.
    void update_contracts(const environment& document, std::uint32_t instances,
                          clock::time_point now);

    // Takes the tokens for one request. Organisations without a contract are always admitted.
    // `is_retry`: the request was refused before and has waited for a grant since.
    [[nodiscard]] admission take(const organisation_name& organisation, bool is_retry,
                                 clock::time_point now);

    // Adds the reports that are due to a heartbeat.
    void add_reports(pb::heartbeat& message, clock::time_point now);
    void apply_grants(const pb::heartbeat_reply& reply, clock::time_point now);

  private:
    struct guarded_allowance {
        std::mutex guard;
        limits::allowance tokens;
        guarded_allowance(limits::contract contract_terms, clock::time_point now)
            : tokens(contract_terms, now)
        {
        }
    };

    std::shared_mutex guard_;
    std::unordered_map<organisation_name, std::unique_ptr<guarded_allowance>> allowances_;
};

} // namespace primrosehead
