#include "journal_frame.h"

#include <bit>
#include <cstring>
#include <xxhash.h>

namespace primrosehead {

namespace {

constexpr std::uint32_t frame_magic = 0x314A4850; // "PHJ1", little endian

// Header of a record; the payload follows it.
struct frame_header {
    std::uint32_t magic = frame_magic;
    std::uint32_t kind = 0;
    std::uint64_t first_index = 0;
    std::uint64_t payload_size = 0;
    std::uint64_t checksum = 0;
};
static_assert(sizeof(frame_header) == empty_frame_bytes);
static_assert(std::endian::native == std::endian::little, "the file format is little endian");

std::uint64_t compute_checksum(const frame_header& header, std::string_view payload,
                               std::uint64_t offset)
{
    frame_header covered = header;
    covered.checksum = offset;
    const std::uint64_t seed = XXH3_64bits(&covered, sizeof covered);
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

void append_size(std::string& bytes, std::uint32_t size)
{
    char raw[sizeof size];
    std::memcpy(raw, &size, sizeof size);
    bytes.append(raw, sizeof size);
}

} // namespace

std::string encode_frame(frame_kind kind, std::uint64_t first_index, std::string_view payload,
                         std::uint64_t offset)
{
    frame_header header;
    header.kind = static_cast<std::uint32_t>(kind);
    header.first_index = first_index;
    header.payload_size = payload.size();
    header.checksum = compute_checksum(header, payload, offset);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    bytes += payload;
    return bytes;
}

std::optional<frame> decode_frame(std::string_view file, std::uint64_t offset)
{
    frame_header header;
    if (offset > file.size() || file.size() - offset < sizeof header) {
        return std::nullopt;
    }
    std::memcpy(&header, file.data() + offset, sizeof header);
    const std::string_view remaining = file.substr(offset + sizeof header);
    if (header.magic != frame_magic || header.payload_size > remaining.size()) {
        return std::nullopt;
    }
    const std::string_view payload = remaining.substr(0, header.payload_size);
    if (header.checksum != compute_checksum(header, payload, offset)) {
        return std::nullopt;
    }
    return frame{static_cast<frame_kind>(header.kind), header.first_index, std::string(payload),
                 sizeof header + payload.size()};
}

std::optional<std::uint64_t> find_frame(std::string_view file, std::uint64_t start)
{
    char magic[sizeof frame_magic];
    std::memcpy(magic, &frame_magic, sizeof frame_magic);
    const std::string_view magic_bytes(magic, sizeof magic);
    std::size_t offset = file.find(magic_bytes, start);
    while (offset != std::string_view::npos) {
        if (decode_frame(file, offset)) {
            return offset;
        }
        offset = file.find(magic_bytes, offset + 1);
    }
    return std::nullopt;
}

std::string encode_entries(std::span<const pb::log_entry> entries)
{
    std::string bytes;
    for (const pb::log_entry& entry : entries) {
        append_size(bytes, static_cast<std::uint32_t>(entry.ByteSizeLong()));
        entry.AppendToString(&bytes);
    }
    return bytes;
}

std::optional<std::vector<pb::log_entry>> decode_entries(std::string_view payload)
{
    std::vector<pb::log_entry> entries;
    while (!payload.empty()) {
        std::uint32_t size = 0;
        if (payload.size() < sizeof size) {
            return std::nullopt;
        }
        std::memcpy(&size, payload.data(), sizeof size);
        payload.remove_prefix(sizeof size);
        pb::log_entry entry;
        if (size > payload.size() ||
            !entry.ParseFromArray(payload.data(), static_cast<int>(size))) {
            return std::nullopt;
        }
        payload.remove_prefix(size);
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace primrosehead
