// The evacuated failure domains as one pooler instance knows them. Pure.
#pragma once

#include <primrosehead/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace primrosehead::pooler {

class evacuations {
  public:
    // Nothing may reach a server of an evacuated domain later than `bound` after the order was
    // acknowledged. Open transactions there get half of it.
    void set_bound(clock::duration bound) noexcept { bound_ = bound; }

    // Applies the evacuated domains at `version` of the replicated state. A version that is not
    // higher is ignored: a relay or a previous leader may have sent it late. Returns whether the
    // set has changed.
    [[nodiscard]] bool apply(std::span<const std::string> domains, std::uint64_t version,
                             clock::time_point now);

    [[nodiscard]] bool empty() const noexcept { return learned_at_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return learned_at_.size(); }
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] bool contains(std::string_view domain) const;

    // True once transactions that are open at servers of the domain must be rolled back.
    [[nodiscard]] bool must_end_transactions(std::string_view domain, clock::time_point now) const;

    // Returns when this instance learned that the domain's evacuation was withdrawn; none if it is
    // evacuated or this instance has seen no withdrawal.
    [[nodiscard]] std::optional<clock::time_point> withdrawn_at(std::string_view domain) const;

  private:
    using time_by_domain = std::map<std::string, clock::time_point, std::less<>>;

    clock::duration bound_{5'000};
    std::uint64_t version_ = 0;
    time_by_domain learned_at_; // of the evacuated domains
    time_by_domain withdrawn_at_;
};

} // namespace primrosehead::pooler
