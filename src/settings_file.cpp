#include <primrosehead/settings.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace primrosehead {

namespace {

constexpr std::size_t max_file_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t read_bytes = std::size_t{64} * 1024;

error unreadable(std::string_view path, std::string_view cause)
{
    error made;
    made.kind = error_kind::bad_settings;
    made.message = "Can't read " + std::string(path) + ": " + std::string(cause) + ".";
    made.remedy = "Name a file that is there, that this user may read and that is below 16 MB.";
    return made;
}

} // namespace

result<std::string> read_file(std::string_view path)
{
    std::ifstream file{std::string(path), std::ios::binary};
    if (!file) {
        return unreadable(path, std::strerror(errno));
    }
    std::string text;
    std::array<char, read_bytes> buffer{};
    while (file && text.size() <= max_file_bytes) {
        file.read(buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (file.bad()) {
        return unreadable(path, std::strerror(errno));
    }
    if (text.size() > max_file_bytes) {
        return unreadable(path, "it is too large");
    }
    return text;
}

} // namespace primrosehead
