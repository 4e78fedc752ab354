// Strong types for the names in messages between processes.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace primrosehead {

// A name of the kind `Tag`. Names of different kinds do not convert to each other.
template <class Tag>
class name {
  public:
    name() = default;
    explicit name(std::string_view text) : text_(text) {}
    explicit name(std::string&& text) noexcept : text_(std::move(text)) {}
    explicit name(const char* text) : text_(text) {}

    [[nodiscard]] const std::string& text() const noexcept { return text_; }
    [[nodiscard]] bool empty() const noexcept { return text_.empty(); }

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    friend auto operator<=>(const name&, const name&) = default; // NOLINT(modernize-use-nullptr)

  private:
    std::string text_;
};

using cell_name = name<struct cell_tag>;
using instance_name = name<struct instance_tag>;
using failure_domain_name = name<struct failure_domain_tag>;
using organisation_name = name<struct organisation_tag>;
using database_name = name<struct database_tag>;
using server_name = name<struct server_tag>;
using route_name = name<struct route_tag>;

} // namespace primrosehead

template <class Tag>
struct std::hash<primrosehead::name<Tag>> {
    std::size_t operator()(const primrosehead::name<Tag>& value) const noexcept
    {
        return std::hash<std::string>()(value.text());
    }
};
