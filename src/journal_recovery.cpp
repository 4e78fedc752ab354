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

error damaged(std::string_view file, std::uint64_t offset, std::string_view what)
{
    return error{error_kind::corrupt_storage,
                 "File " + std::string(file) + " of the data folder is damaged at byte " +
                     std::to_string(offset) + ": " + std::string(what) + ".",
                 "Move the whole data folder away and start again: the instance then joins with a "
                 "new disk id."};
}

std::optional<std::uint64_t> segment_number(std::string_view file)
{
    if (!file.starts_with(segment_prefix)) {
        return std::nullopt;
    }
    file.remove_prefix(segment_prefix.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(file.data(), file.data() + file.size(), number);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == file.data() + file.size();
    return whole ? std::optional(number) : std::nullopt;
}

// Reads a file that is one record holding one message.
template <class Message>
status read_message(disk& files, std::string_view file, Message& message)
{
    const result<std::string> bytes = files.read(file);
    if (!ok(bytes)) {
        return failure(bytes);
    }
    const std::optional<frame> found = decode_frame(value(bytes), 0);
    if (!found || found->kind != frame_kind::message || found->size != value(bytes).size() ||
        !message.ParseFromString(found->payload)) {
        return damaged(file, 0, "its checksum does not match");
    }
    return std::monostate{};
}

status check_identity(const pb::disk_record& found, const pb::disk_record& expected)
{
    if (found.cell() == expected.cell() && found.instance() == expected.instance()) {
        return std::monostate{};
    }
    return error{error_kind::bad_settings,
                 "The data folder belongs to control instance " + found.instance() + " of cell " +
                     found.cell() + ".",
                 "Set `data_folder` to the folder of " + expected.instance() + "."};
}

// Rebuilds the log from its files, oldest first.
class log_reader {
  public:
    log_reader(disk& files, std::uint64_t covered) : files_(files), covered_(covered) {}

    status read_segment(std::uint64_t number, bool last)
    {
        const std::string file = segment_file(number);
        const result<std::string> bytes = files_.read(file);
        if (!ok(bytes)) {
            return failure(bytes);
        }
        segment current{number, 0, 0};
        while (current.bytes < value(bytes).size()) {
            const std::optional<frame> found = decode_frame(value(bytes), current.bytes);
            if (!found) {
                status cut = cut_tail(file, value(bytes), current.bytes, last);
                if (!ok(cut)) {
                    return cut;
                }
                break;
            }
            status taken = take(file, current, *found);
            if (!ok(taken)) {
                return taken;
            }
            current.bytes += found->size;
        }
        segments.push_back(current);
        return std::monostate{};
    }

    std::vector<pb::log_entry> entries;
    std::vector<segment> segments;
    bool is_tail_truncated = false;

  private:
    // Only the last write of the last file may be incomplete: whatever a whole record follows was
    // synced before.
    status cut_tail(std::string_view file, std::string_view bytes, std::uint64_t offset, bool last)
    {
        if (!last || find_frame(bytes, offset + 1)) {
            return damaged(file, offset, "its checksum does not match, and more follows");
        }
        status cut = files_.truncate(file, offset);
        if (!ok(cut)) {
            return cut;
        }
        is_tail_truncated = true;
        return files_.sync(file);
    }

    status take(std::string_view file, segment& current, const frame& found)
    {
        if (found.kind == frame_kind::sync_marker) {
            return std::monostate{};
        }
        std::optional<std::vector<pb::log_entry>> decoded = decode_entries(found.payload);
        const bool known = found.kind == frame_kind::append || found.kind == frame_kind::overwrite;
        if (!known || !decoded || !fits(found)) {
            return damaged(file, current.bytes, "its record does not follow the one before");
        }
        std::erase_if(entries, [&](const pb::log_entry& entry) {
            return entry.index() >= found.first_index;
        });
        std::uint64_t expected = found.first_index;
        for (pb::log_entry& entry : *decoded) {
            if (entry.index() != expected++) {
                return damaged(file, current.bytes, "its entries are not in order");
            }
            current.highest_index = std::max(current.highest_index, entry.index());
            entries.push_back(std::move(entry));
        }
        return std::monostate{};
    }

    [[nodiscard]] bool fits(const frame& found) const
    {
        if (entries.empty()) {
            return found.first_index <= covered_ + 1;
        }
        const std::uint64_t next = entries.back().index() + 1;
        return found.kind == frame_kind::append ? found.first_index == next
                                                : found.first_index <= next;
    }

    disk& files_;
    std::uint64_t covered_; // last index of the snapshot
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
    for (std::size_t next = 1; next < numbers.size(); ++next) {
        if (numbers[next] != numbers[next - 1] + 1) {
            return damaged(segment_file(numbers[next - 1] + 1), 0, "the file is missing");
        }
    }
    return numbers;
}

status initialise(disk& files, const pb::disk_record& fresh)
{
    const std::string bytes = encode_frame(frame_kind::message, 0, fresh.SerializeAsString(), 0);
    return files.replace(identity_file, bytes);
}

// Drops what the snapshot covers, and all of a log that an installed snapshot replaced.
void drop_covered(recovered_folder& folder)
{
    std::vector<pb::log_entry>& entries = folder.contents.entries;
    if (folder.contents.snapshot) {
        const pb::snapshot_record& snapshot = *folder.contents.snapshot;
        const bool replaced = !entries.empty() &&
                              entries.front().index() <= snapshot.last_index() &&
                              !continues_snapshot(entries, snapshot);
        std::erase_if(entries, [&](const pb::log_entry& entry) {
            return replaced || entry.index() <= snapshot.last_index();
        });
    }
    if (!entries.empty()) {
        return;
    }
    while (!folder.segments.empty()) {
        folder.obsolete.push_back(segment_file(folder.segments.back().number));
        folder.segments.pop_back();
    }
}

} // namespace

std::string segment_file(std::uint64_t number)
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

result<recovered_folder> recover_folder(disk& files, const pb::disk_record& fresh)
{
    const result<std::vector<std::string>> listed = files.list();
    if (!ok(listed)) {
        return failure(listed);
    }
    const std::vector<std::string>& names = value(listed);
    const auto has = [&](std::string_view name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    result<std::vector<std::uint64_t>> numbers = segment_numbers(names);
    if (!ok(numbers)) {
        return failure(numbers);
    }
    const bool used = has(hard_state_file) || has(snapshot_file) || !value(numbers).empty();
    recovered_folder folder;
    if (!has(identity_file)) {
        if (used) {
            return damaged(identity_file, 0, "the file is missing");
        }
        folder.contents.identity = fresh;
        const status made = initialise(files, fresh);
        return ok(made) ? result<recovered_folder>(std::move(folder)) : failure(made);
    }
    status read = read_message(files, identity_file, folder.contents.identity);
    if (ok(read)) {
        read = check_identity(folder.contents.identity, fresh);
    }
    if (ok(read) && has(hard_state_file)) {
        read = read_message(files, hard_state_file, folder.contents.hard_state);
    }
    if (ok(read) && has(snapshot_file)) {
        read = read_message(files, snapshot_file, folder.contents.snapshot.emplace());
    }
    if (!ok(read)) {
        return failure(read);
    }
    if (!has(hard_state_file) && (has(snapshot_file) || !value(numbers).empty())) {
        return damaged(hard_state_file, 0, "the file is missing");
    }
    const std::uint64_t covered =
        folder.contents.snapshot ? folder.contents.snapshot->last_index() : 0;
    log_reader reader(files, covered);
    for (const std::uint64_t number : value(numbers)) {
        read = reader.read_segment(number, number == value(numbers).back());
        if (!ok(read)) {
            return failure(read);
        }
    }
    folder.contents.entries = std::move(reader.entries);
    folder.contents.is_tail_truncated = reader.is_tail_truncated;
    folder.segments = std::move(reader.segments);
    drop_covered(folder);
    return folder;
}

} // namespace primrosehead
