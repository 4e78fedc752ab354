// Which pooler instances are homes of a backend server. Pure.
//
// Small version for tests of the data path: ranks all known peers by a hash.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pb {
class follow_reply;
}

namespace primrosehead::pooler {

struct home_address {
    std::string instance;
    std::string endpoint; // on the bus
};

class home_table {
  public:
    home_table(const std::string& own_instance,
               const std::map<std::string, std::string, std::less<>>& regions,
               std::uint32_t homes_per_server);

    void apply_peers(const pb::follow_reply& reply, clock::time_point now);
    [[nodiscard]] bool has_peer(std::string_view instance) const;
    [[nodiscard]] std::vector<home_address> homes_of(std::string_view server,
                                                     std::string_view failure_domain,
                                                     std::string_view organisation,
                                                     clock::time_point now) const;
    void record_silence(std::string_view instance, clock::time_point now);
    void record_answer(std::string_view instance);
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

  private:
    std::map<std::string, home_address, std::less<>> peers_;
    std::map<std::string, clock::time_point, std::less<>> suspected_until_;
    std::uint64_t revision_ = 0;
};

} // namespace primrosehead::pooler
