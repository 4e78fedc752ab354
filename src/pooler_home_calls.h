// The calls of an origin that its homes have not answered. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace primrosehead::pooler {

class home_calls {
  public:
    // A home that sent neither an answer nor progress for this long is suspected. Homes send
    // progress every 100 ms, so that one lost message is tolerated.
    static constexpr clock::duration silence_limit{300};

    struct silent_call {
        std::uint64_t call = 0;
        std::string home;
    };

    void add(std::uint64_t call, std::string home, clock::time_point now);

    // Removes an answered call. Returns false if `home` was not asked this, or was answered
    // already.
    [[nodiscard]] bool finish(std::uint64_t call, std::string_view home);

    // Records that the home works on a call; false if it was not asked this.
    [[nodiscard]] bool record_progress(std::uint64_t call, std::string_view home,
                                       clock::time_point now);

    // Returns the calls whose home became silent since the last request, each once until there is
    // progress again.
    [[nodiscard]] std::vector<silent_call> newly_silent(clock::time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

  private:
    struct pending_call {
        std::string home;
        clock::time_point heard_at;
        bool is_silent = false;
    };
    std::map<std::uint64_t, pending_call> calls_;
};

} // namespace primrosehead::pooler
