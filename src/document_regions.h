// The regions in which an operation may run. Pure.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace primrosehead {

class region_set {
  public:
    // Contains every region.
    region_set() = default;

    // Removes the regions that are not in `names`; an empty list restricts nothing.
    void restrict_to(const std::vector<std::string>& names)
    {
        if (names.empty()) {
            return;
        }
        if (!names_) {
            names_ = names;
            return;
        }
        std::erase_if(*names_, [&](const std::string& each) {
            return std::find(names.begin(), names.end(), each) == names.end();
        });
    }

    [[nodiscard]] bool is_restricted() const noexcept { return names_.has_value(); }

    // An unknown region is empty; only a set without restriction contains it.
    [[nodiscard]] bool contains(std::string_view region) const
    {
        return !names_ || (!region.empty() &&
                           std::find(names_->begin(), names_->end(), region) != names_->end());
    }

  private:
    std::optional<std::vector<std::string>> names_; // none: every region
};

} // namespace primrosehead
