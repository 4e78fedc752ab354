#include <primrosehead/settings.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace primrosehead {

namespace {

constexpr std::size_t max_file_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = std::size_t{64} * 1024;

error make_read_error(std::string_view path, std::string_view cause)
{
    error read_failure;
    read_failure.kind = error_kind::bad_settings;
    read_failure.message = "Can't read " + std::string(path) + ": " + std::string(cause) + ".";
    read_failure.remedy =
        "Name a file that is there, that this user may read and that is below 16 MB.";
    return read_failure;
}

} // namespace

result<std::string> read_file(std::string_view path)
{
    std::ifstream file{std::string(path), std::ios::binary};
    if (!file) {
        return make_read_error(path, std::strerror(errno));
    }
    std::string text;
    std::array<char, read_chunk_bytes> buffer{};
    while (file && text.size() <= max_file_bytes) {
        file.read(buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (file.bad()) {
        return make_read_error(path, std::strerror(errno));
    }
    if (text.size() > max_file_bytes) {
        return make_read_error(path, "it is too large");
    }
    return text;
}

} // namespace primrosehead
