#include "base64.h"

#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>

namespace primrosehead {

namespace {

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string to_base64url(std::string_view bytes)
{
    return absl::WebSafeBase64Escape(to_absl(bytes));
}

std::optional<std::string> from_base64url(std::string_view text)
{
    std::string bytes;
    if (!absl::WebSafeBase64Unescape(to_absl(text), &bytes)) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace primrosehead
