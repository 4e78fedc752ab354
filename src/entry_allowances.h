// The allowances of all organisations at one entry instance, for many threads.
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
    // What became of one request's admission.
    struct admission {
        bool admitted = false;
        bool is_low = false;       // a heartbeat should ask for more now
        bool is_exhausted = false; // waiting for a grant does not help now
        clock::duration retry_after{0};
    };

    // Takes over the contracts of a document; those that left it are dropped.
    void update_contracts(const environment& document, std::uint32_t instances,
                          clock::time_point now);

    // Takes one request's tokens. An organisation without a contract is admitted.
    // `is_retry`: it was refused before and waited for a grant since.
    [[nodiscard]] admission take(const organisation_name& organisation, bool is_retry,
                                 clock::time_point now);

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
