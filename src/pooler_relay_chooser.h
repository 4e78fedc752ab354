// Chooses the control instance that a pooler instance follows while the fleet uses relays. Pure.
//
// The relay of the instance's own failure domain comes first. When it fails, the followers of one
// relay spread over the others.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pooler {

struct relay_candidate {
    std::string endpoint;
    std::string failure_domain;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

class relay_chooser {
  public:
    relay_chooser(std::string instance, std::string failure_domain);

    // Sets the relays that the leader reports as live. Empty: instances follow the leader itself.
    void set_relays(std::vector<relay_candidate> relays);
    [[nodiscard]] bool has_relays() const noexcept { return !relays_.empty(); }

    // Avoids the relay for a time that doubles with every failure in a row.
    void record_failure(std::string_view endpoint, clock::time_point now);
    void record_success(std::string_view endpoint);

    // Returns the endpoint to follow; empty when no relay is known or all are avoided.
    [[nodiscard]] std::string choose(clock::time_point now) const;

    // Returns the next best endpoint after `current`; empty if there is none.
    [[nodiscard]] std::string alternative_to(std::string_view current, clock::time_point now) const;

  private:
    struct failure_state {
        std::uint32_t count = 0;
        clock::time_point avoided_until;
    };
    [[nodiscard]] bool is_avoided(std::string_view endpoint, clock::time_point now) const;
    void order();

    std::string instance_;
    std::string failure_domain_;
    std::vector<relay_candidate> relays_; // in order of preference
    std::map<std::string, failure_state, std::less<>> failures_;
};

} // namespace primrosehead::pooler
