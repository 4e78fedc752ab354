#include "journal_recovery.h"

#include "journal_frame.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

namespace primrosehead {

namespace {

constexpr std::string_view segment_prefix = "log-";

error corrupt_file(std::string_view file, std::uint64_t offset, std::string_view reason)
{
    return error{error_kind::corrupt_storage,
                 "File " + std::string(file) + " of the data folder is corrupt at byte " +
                     std::to_string(offset) + ": " + std::string(reason) + ".",
                 "Move the whole data folder away and restart: the instance then joins with a new "
                 "disk id."};
}

std::optional<std::uint64_t> segment_number(std::string_view file)
{
    if (!file.starts_with(segment_prefix)) {
        return std::nullopt;
    }
    file.remove_prefix(segment_prefix.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(file.data(), file.data() + file.size(), number);
    const bool is_valid = parsed.ec == std::errc() && parsed.ptr == file.data() + file.size();
    return is_valid ? std::optional(number) : std::nullopt;
}

// Reads a file that consists of a single `frame_kind::message` record.
template <class Message>
status read_message(disk& files, std::string_view file, Message& message)
{
    const result<std::string> bytes = files.read(file);
    if (!ok(bytes)) {
        return failure(bytes);
    }
    const std::optional<frame> record = decode_frame(value(bytes), 0);
    if (!record || record->kind != frame_kind::message || record->size != value(bytes).size() ||
        !message.ParseFromString(record->payload)) {
        return corrupt_file(file, 0, "it is not a single valid record");
    }
    return std::monostate{};
}

status check_identity(const pb::disk_record& stored, const pb::disk_record& expected)
{
    if (stored.cell() == expected.cell() && stored.instance() == expected.instance()) {
        return std::monostate{};
    }
    return error{error_kind::bad_settings,
                 "The data folder belongs to control instance " + stored.instance() + " of cell " +
                     stored.cell() + ".",
                 "Set `data_folder` to the folder of " + expected.instance() + "."};
}

// Rebuilds the log from its segments, which are read oldest first.
class log_reader {
  public:
    log_reader(disk& files, std::uint64_t snapshot_index)
        : files_(files), snapshot_index_(snapshot_index)
    {
    }

    status read_segment(std::uint64_t number, bool is_last)
    {
        const std::string file = segment_file_name(number);
        const result<std::string> bytes = files_.read(file);
        if (!ok(bytes)) {
            return failure(bytes);
        }
        segment current{.number = number};
        bool follows_entries = false;
        while (current.size < value(bytes).size()) {
            const std::optional<frame> record = decode_frame(value(bytes), current.size);
            if (!record && follows_entries && is_marker_missing(value(bytes), current.size)) {
                current.size += empty_frame_bytes;
                follows_entries = false;
                continue;
            }
            if (!record) {
                status truncated = truncate_tail(file, value(bytes), current.size, is_last);
                if (!ok(truncated)) {
                    return truncated;
                }
                break;
            }
            status applied = apply_record(file, current, *record);
            if (!ok(applied)) {
                return applied;
            }
            current.size += record->size;
            follows_entries = record->kind != frame_kind::sync_marker;
        }
        current.synced_size = current.size;
        segments.push_back(current);
        return std::monostate{};
    }

    std::vector<pb::log_entry> entries;
    std::vector<segment> segments;
    bool is_tail_truncated = false;

  private:
    // A marker is not synced before the record behind it, so a power loss may keep that record and
    // not the marker. Nothing else is missing if the log continues right behind it.
    static bool is_marker_missing(std::string_view bytes, std::uint64_t offset)
    {
        const std::optional<frame> next = decode_frame(bytes, offset + empty_frame_bytes);
        return next && (next->kind == frame_kind::append || next->kind == frame_kind::overwrite);
    }

    // Only the last write to the last segment may be torn: data that is followed by a valid record
    // had been synced.
    status truncate_tail(std::string_view file, std::string_view bytes, std::uint64_t offset,
                         bool is_last)
    {
        if (!is_last || find_frame(bytes, offset + 1)) {
            return corrupt_file(
                file, offset,
                "its checksum does not match, and it is not the torn tail of the log");
        }
        status truncated = files_.truncate(file, offset);
        if (!ok(truncated)) {
            return truncated;
        }
        is_tail_truncated = true;
        return files_.sync(file);
    }

    status apply_record(std::string_view file, segment& current, const frame& record)
    {
        if (record.kind == frame_kind::sync_marker) {
            return std::monostate{};
        }
        std::optional<std::vector<pb::log_entry>> decoded = decode_entries(record.payload);
        const bool is_log_record =
            record.kind == frame_kind::append || record.kind == frame_kind::overwrite;
        if (!is_log_record || !decoded || !is_contiguous(record)) {
            return corrupt_file(file, current.size, "its record does not continue the log");
        }
        std::erase_if(entries, [&](const pb::log_entry& entry) {
            return entry.index() >= record.first_index;
        });
        std::uint64_t expected = record.first_index;
        for (pb::log_entry& entry : *decoded) {
            if (entry.index() != expected++) {
                return corrupt_file(file, current.size, "its entries are not consecutive");
            }
            current.highest_index = std::max(current.highest_index, entry.index());
            entries.push_back(std::move(entry));
        }
        return std::monostate{};
    }

    [[nodiscard]] bool is_contiguous(const frame& record) const
    {
        if (entries.empty()) {
            return record.first_index <= snapshot_index_ + 1;
        }
        const std::uint64_t next = entries.back().index() + 1;
        return record.kind == frame_kind::append ? record.first_index == next
                                                 : record.first_index <= next;
    }

    disk& files_;
    std::uint64_t snapshot_index_; // last index of the snapshot
};

result<std::vector<std::uint64_t>> segment_numbers(const std::vector<std::string>& names)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names) {
        if (const std::optional<std::uint64_t> number = segment_number(name)) {
            numbers.push_back(*number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    for (std::size_t i = 1; i < numbers.size(); ++i) {
        if (numbers[i] != numbers[i - 1] + 1) {
            return corrupt_file(segment_file_name(numbers[i - 1] + 1), 0, "the file is missing");
        }
    }
    return numbers;
}

status initialise(disk& files, const pb::disk_record& new_identity)
{
    const std::string bytes =
        encode_frame(frame_kind::message, 0, new_identity.SerializeAsString(), 0);
    return files.replace(identity_file, bytes);
}

// Discards the entries that the snapshot covers, or the whole log if an installed snapshot
// superseded it.
void remove_compacted_entries(recovered_folder& folder)
{
    std::vector<pb::log_entry>& entries = folder.contents.entries;
    if (folder.contents.snapshot) {
        const pb::snapshot_record& snapshot = *folder.contents.snapshot;
        const bool is_superseded = !entries.empty() &&
                                   entries.front().index() <= snapshot.last_index() &&
                                   !continues_snapshot(entries, snapshot);
        std::erase_if(entries, [&](const pb::log_entry& entry) {
            return is_superseded || entry.index() <= snapshot.last_index();
        });
    }
    if (!entries.empty()) {
        return;
    }
    while (!folder.segments.empty()) {
        folder.obsolete_files.push_back(segment_file_name(folder.segments.back().number));
        folder.segments.pop_back();
    }
}

} // namespace

std::string segment_file_name(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    constexpr std::size_t width = 10;
    digits.insert(0, width - std::min(width, digits.size()), '0');
    return std::string(segment_prefix) + digits;
}

bool continues_snapshot(const std::vector<pb::log_entry>& entries,
                        const pb::snapshot_record& snapshot)
{
    return std::any_of(entries.begin(), entries.end(), [&](const pb::log_entry& entry) {
        return entry.index() == snapshot.last_index() && entry.term() == snapshot.last_term();
    });
}

result<recovered_folder> recover_folder(disk& files, const pb::disk_record& new_identity)
{
    const result<std::vector<std::string>> file_names = files.list();
    if (!ok(file_names)) {
        return failure(file_names);
    }
    const std::vector<std::string>& names = value(file_names);
    const auto has_file = [&](std::string_view name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    result<std::vector<std::uint64_t>> numbers = segment_numbers(names);
    if (!ok(numbers)) {
        return failure(numbers);
    }
    const bool has_data =
        has_file(hard_state_file) || has_file(snapshot_file) || !value(numbers).empty();
    recovered_folder folder;
    if (!has_file(identity_file)) {
        if (has_data) {
            return corrupt_file(identity_file, 0, "the file is missing");
        }
        folder.contents.identity = new_identity;
        const status initialised = initialise(files, new_identity);
        return ok(initialised) ? result<recovered_folder>(std::move(folder)) : failure(initialised);
    }
    status outcome = read_message(files, identity_file, folder.contents.identity);
    if (ok(outcome)) {
        outcome = check_identity(folder.contents.identity, new_identity);
    }
    if (ok(outcome) && has_file(hard_state_file)) {
        outcome = read_message(files, hard_state_file, folder.contents.hard_state);
    }
    if (ok(outcome) && has_file(snapshot_file)) {
        outcome = read_message(files, snapshot_file, folder.contents.snapshot.emplace());
    }
    if (!ok(outcome)) {
        return failure(outcome);
    }
    if (!has_file(hard_state_file) && (has_file(snapshot_file) || !value(numbers).empty())) {
        return corrupt_file(hard_state_file, 0, "the file is missing");
    }
    const std::uint64_t snapshot_index =
        folder.contents.snapshot ? folder.contents.snapshot->last_index() : 0;
    log_reader reader(files, snapshot_index);
    for (const std::uint64_t number : value(numbers)) {
        outcome = reader.read_segment(number, number == value(numbers).back());
        if (!ok(outcome)) {
            return failure(outcome);
        }
    }
    folder.contents.entries = std::move(reader.entries);
    folder.contents.is_tail_truncated = reader.is_tail_truncated;
    folder.segments = std::move(reader.segments);
    remove_compacted_entries(folder);
    return folder;
}

} // namespace primrosehead
