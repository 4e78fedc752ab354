#include "session_codec.h"

#include <primrosehead/config.h>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <cstdint>
#include <utility>

namespace primrosehead {

namespace {

using google::protobuf::io::ArrayInputStream;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::StringOutputStream;

constexpr std::size_t version_prefix_bytes = 3; // "v1."
constexpr std::size_t signature_bytes = 32;     // of HMAC-SHA-256

constexpr std::size_t base64_size(std::size_t bytes) noexcept
{
    return (bytes * 4 + 2) / 3;
}

bool read_position(CodedInputStream& input, session_positions& positions)
{
    std::uint32_t length = 0;
    std::string name;
    log_position position;
    const bool is_complete = input.ReadVarint32(&length) && length <= config::max_token_bytes &&
                             input.ReadString(&name, static_cast<int>(length)) &&
                             input.ReadVarint64(&position.term) &&
                             input.ReadVarint64(&position.index);
    return is_complete && positions.emplace(database_name(std::move(name)), position).second;
}

error malformed_token()
{
    error rejection;
    rejection.kind = error_kind::bad_token;
    rejection.message = "The session token is malformed.";
    rejection.remedy =
        "Send the token of the last answer unchanged, or no token to start a new session.";
    return rejection;
}

} // namespace

std::size_t encoded_size(const session_positions& positions) noexcept
{
    std::size_t size = 0;
    for (const auto& [database, position] : positions) {
        const std::size_t length = database.text().size();
        size += CodedOutputStream::VarintSize64(length) + length;
        size += CodedOutputStream::VarintSize64(position.term);
        size += CodedOutputStream::VarintSize64(position.index);
    }
    return size;
}

std::string encode_positions(const session_positions& positions)
{
    std::string bytes;
    StringOutputStream stream(&bytes);
    CodedOutputStream output(&stream);
    for (const auto& [database, position] : positions) {
        output.WriteVarint32(static_cast<std::uint32_t>(database.text().size()));
        output.WriteString(database.text());
        output.WriteVarint64(position.term);
        output.WriteVarint64(position.index);
    }
    output.Trim();
    return bytes;
}

result<session_positions> decode_positions(std::string_view bytes)
{
    if (bytes.size() > config::max_token_bytes) {
        return malformed_token();
    }
    const auto size = static_cast<int>(bytes.size());
    ArrayInputStream stream(bytes.data(), size);
    CodedInputStream input(&stream);
    session_positions positions;
    while (input.CurrentPosition() < size) {
        if (positions.size() == config::max_session_databases || !read_position(input, positions)) {
            return malformed_token();
        }
    }
    return positions;
}

std::size_t token_size(std::size_t positions_size) noexcept
{
    return version_prefix_bytes + base64_size(positions_size) + 1 + base64_size(signature_bytes);
}

} // namespace primrosehead
