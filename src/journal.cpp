#include "journal_frame.h"
#include "journal_recovery.h"

#include <primrosehead/config.h>
#include <primrosehead/journal.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace primrosehead {

namespace {

// Index and term of an entry in the log.
struct entry_mark {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

} // namespace

struct journal::implementation {
    std::unique_ptr<disk> files;
    journal_switches switches;
    contents found;
    std::vector<segment> segments;
    std::deque<entry_mark> marks; // of all entries in the files and in `pending`

    std::vector<pb::log_entry> pending;       // appended since the last sync
    std::optional<std::uint64_t> pending_cut; // truncated since the last sync, from this index
    std::uint64_t next_number = 1;

    status write_file(std::string_view file, const google::protobuf::MessageLite& message);
    status write_pending();
    status append_frame(frame_kind kind, std::uint64_t first_index, std::string_view payload);
    status drop_segments_through(std::uint64_t index);
    status drop_all_segments();
    status sync_file(std::string_view file);
    status begin_segment_when_full();
    [[nodiscard]] std::uint64_t last_index() const;
};

std::uint64_t journal::implementation::last_index() const
{
    return marks.empty() ? 0 : marks.back().index;
}

status journal::implementation::sync_file(std::string_view file)
{
    if (switches.unsafe_skip_sync) {
        return std::monostate{};
    }
    return files->sync(file);
}

status journal::implementation::write_file(std::string_view file,
                                           const google::protobuf::MessageLite& message)
{
    return files->replace(file,
                          encode_frame(frame_kind::message, 0, message.SerializeAsString(), 0));
}

// Syncs the full segment to its end first: only the last one may end in a torn record.
status journal::implementation::begin_segment_when_full()
{
    if (!segments.empty()) {
        if (segments.back().bytes < config::journal_segment_bytes) {
            return std::monostate{};
        }
        status synced = sync_file(segment_file(segments.back().number));
        if (!ok(synced)) {
            return synced;
        }
    }
    segments.push_back(segment{next_number, 0, 0});
    ++next_number;
    return std::monostate{};
}

status journal::implementation::append_frame(frame_kind kind, std::uint64_t first_index,
                                             std::string_view payload)
{
    segment& current = segments.back();
    const std::string bytes = encode_frame(kind, first_index, payload, current.bytes);
    current.bytes += bytes.size();
    return files->append(segment_file(current.number), bytes);
}

// One record for everything since the last sync: a crash can tear only this one.
status journal::implementation::write_pending()
{
    status begun = begin_segment_when_full();
    if (!ok(begun)) {
        return begun;
    }
    const frame_kind kind = pending_cut ? frame_kind::overwrite : frame_kind::append;
    const std::uint64_t first = pending.empty() ? pending_cut.value_or(0) : pending.front().index();
    status written = append_frame(kind, first, encode_entries(pending));
    if (!ok(written)) {
        return written;
    }
    if (!pending.empty()) {
        segment& current = segments.back();
        current.highest_index = std::max(current.highest_index, pending.back().index());
    }
    pending.clear();
    pending_cut.reset();
    status synced = sync_file(segment_file(segments.back().number));
    if (!ok(synced)) {
        return synced;
    }
    // Tells at the next start that the record before was synced: damage to it is no torn write.
    return append_frame(frame_kind::sync_marker, 0, {});
}

// Oldest first, so that what is left is always the end of the log.
status journal::implementation::drop_segments_through(std::uint64_t index)
{
    while (segments.size() > 1 && segments.front().highest_index <= index) {
        status removed = files->remove(segment_file(segments.front().number));
        if (!ok(removed)) {
            return removed;
        }
        segments.erase(segments.begin());
    }
    return std::monostate{};
}

// Newest first: after a crash between two removals what is left ends before the snapshot does, or
// differs from it, and is dropped at the next start.
status journal::implementation::drop_all_segments()
{
    while (!segments.empty()) {
        status removed = files->remove(segment_file(segments.back().number));
        if (!ok(removed)) {
            return removed;
        }
        segments.pop_back();
    }
    return std::monostate{};
}

result<journal> journal::open(std::unique_ptr<disk> files, const pb::disk_record& fresh,
                              journal_switches switches)
{
    result<recovered_folder> folder = recover_folder(*files, fresh);
    if (!ok(folder)) {
        return failure(folder);
    }
    for (const std::string& file : value(folder).obsolete) {
        status removed = files->remove(file);
        if (!ok(removed)) {
            return failure(removed);
        }
    }
    auto body = std::make_unique<implementation>();
    body->files = std::move(files);
    body->switches = switches;
    body->found = std::move(value(folder).contents);
    body->segments = std::move(value(folder).segments);
    if (!body->segments.empty()) {
        body->next_number = body->segments.back().number + 1;
    }
    for (const pb::log_entry& entry : body->found.entries) {
        body->marks.push_back(entry_mark{entry.index(), entry.term()});
    }
    return journal(std::move(body));
}

journal::journal(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
journal::~journal() = default;
journal::journal(journal&&) noexcept = default;
journal& journal::operator=(journal&&) noexcept = default;

journal::contents journal::take_contents()
{
    return std::exchange(body_->found, contents{});
}

status journal::write_hard_state(const pb::hard_state& hard)
{
    return body_->write_file(hard_state_file, hard);
}

status journal::append(std::span<const pb::log_entry> entries)
{
    for (const pb::log_entry& entry : entries) {
        if (!body_->marks.empty() && entry.index() != body_->last_index() + 1) {
            return error{error_kind::internal,
                         "Entry " + std::to_string(entry.index()) + " does not follow entry " +
                             std::to_string(body_->last_index()) + ".",
                         "Report this with the log of this instance."};
        }
        body_->marks.push_back(entry_mark{entry.index(), entry.term()});
        body_->pending.push_back(entry);
    }
    return std::monostate{};
}

status journal::truncate_from(std::uint64_t index)
{
    while (!body_->marks.empty() && body_->marks.back().index >= index) {
        body_->marks.pop_back();
    }
    std::erase_if(body_->pending,
                  [&](const pb::log_entry& entry) { return entry.index() >= index; });
    body_->pending_cut = std::min(body_->pending_cut.value_or(index), index);
    return std::monostate{};
}

status journal::write_snapshot(const pb::snapshot_record& snapshot)
{
    status synced = sync();
    if (!ok(synced)) {
        return synced;
    }
    status written = body_->write_file(snapshot_file, snapshot);
    if (!ok(written)) {
        return written;
    }
    std::deque<entry_mark>& marks = body_->marks;
    if (!marks.empty() && marks.front().index > snapshot.last_index()) {
        return std::monostate{};
    }
    const bool continues = std::any_of(marks.begin(), marks.end(), [&](const entry_mark& mark) {
        return mark.index == snapshot.last_index() && mark.term == snapshot.last_term();
    });
    if (!continues) {
        marks.clear();
        return body_->drop_all_segments();
    }
    while (!marks.empty() && marks.front().index <= snapshot.last_index()) {
        marks.pop_front();
    }
    return body_->drop_segments_through(snapshot.last_index());
}

status journal::sync()
{
    if (body_->pending.empty() && !body_->pending_cut) {
        return std::monostate{};
    }
    return body_->write_pending();
}

} // namespace primrosehead
