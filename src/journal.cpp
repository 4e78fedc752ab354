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
struct entry_position {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

} // namespace

struct journal::implementation {
    std::unique_ptr<disk> files;
    journal_switches switches;
    contents recovered_contents;
    pb::disk_record identity;
    std::vector<segment> segments;
    std::deque<entry_position> positions; // of the entries in the segments and in `pending`

    std::vector<pb::log_entry> pending;              // appended since the last sync
    std::optional<std::uint64_t> pending_truncation; // first index truncated since the last sync
    std::uint64_t next_segment_number = 1;
    // As read at startup, until written again: the rename of the file may not be durable.
    std::optional<pb::hard_state> unconfirmed_hard_state;
    // The bytes of the last segment after its synced prefix are unknown: a write or sync failed.
    bool is_tail_uncertain = false;

    status replace_message(std::string_view file, const google::protobuf::MessageLite& message);
    status write_pending();
    status write_hard_state(const pb::hard_state& hard);
    status append_frame(frame_kind kind, std::uint64_t first_index, std::string_view payload);
    void discard_tail();
    status truncate_uncertain_tail();
    status sync_last_segment();
    status remove_segments_through(std::uint64_t index);
    status remove_all_segments();
    status sync_file(std::string_view file);
    status rotate_segment_if_full();
    [[nodiscard]] std::uint64_t last_index() const;
};

std::uint64_t journal::implementation::last_index() const
{
    return positions.empty() ? 0 : positions.back().index;
}

status journal::implementation::sync_file(std::string_view file)
{
    if (switches.unsafe_skip_sync) {
        return std::monostate{};
    }
    return files->sync(file);
}

status journal::implementation::replace_message(std::string_view file,
                                                const google::protobuf::MessageLite& message)
{
    return files->replace(file,
                          encode_frame(frame_kind::message, 0, message.SerializeAsString(), 0));
}

// Removes what a failed write or sync may have left. A later sync that succeeds does not prove that
// these bytes are durable: the system may have discarded them when the earlier one failed.
status journal::implementation::truncate_uncertain_tail()
{
    if (!is_tail_uncertain) {
        return std::monostate{};
    }
    segment& current = segments.back();
    status truncated = files->truncate(segment_file_name(current.number), current.synced_size);
    if (ok(truncated)) {
        current.size = current.synced_size;
        is_tail_uncertain = false;
    }
    return truncated;
}

status journal::implementation::sync_last_segment()
{
    segment& current = segments.back();
    status synced = sync_file(segment_file_name(current.number));
    if (ok(synced)) {
        current.synced_size = current.size;
    }
    else {
        discard_tail();
    }
    return synced;
}

// Truncates at once, so that a process that ends before the next write leaves no records whose sync
// failed.
void journal::implementation::discard_tail()
{
    is_tail_uncertain = true;
    static_cast<void>(truncate_uncertain_tail());
}

// Syncs the full segment before starting a new one: only the last segment may end in a torn record.
status journal::implementation::rotate_segment_if_full()
{
    if (!segments.empty()) {
        if (segments.back().size < config::journal_segment_bytes) {
            return std::monostate{};
        }
        status synced = sync_last_segment();
        if (!ok(synced)) {
            return synced;
        }
    }
    segments.push_back(segment{.number = next_segment_number});
    ++next_segment_number;
    return std::monostate{};
}

status journal::implementation::append_frame(frame_kind kind, std::uint64_t first_index,
                                             std::string_view payload)
{
    segment& current = segments.back();
    const std::string bytes = encode_frame(kind, first_index, payload, current.size);
    status appended = files->append(segment_file_name(current.number), bytes);
    if (ok(appended)) {
        current.size += bytes.size();
    }
    else {
        discard_tail();
    }
    return appended;
}

status journal::implementation::write_hard_state(const pb::hard_state& hard)
{
    status replaced = replace_message(hard_state_file, hard);
    if (ok(replaced)) {
        unconfirmed_hard_state.reset();
    }
    return replaced;
}

// Writes all changes since the last sync as one record, the only one that a crash can tear. They
// stay pending until the sync succeeds.
status journal::implementation::write_pending()
{
    status prepared = truncate_uncertain_tail();
    if (ok(prepared)) {
        prepared = rotate_segment_if_full();
    }
    if (!ok(prepared)) {
        return prepared;
    }
    const frame_kind kind = pending_truncation ? frame_kind::overwrite : frame_kind::append;
    const std::uint64_t first =
        pending.empty() ? pending_truncation.value_or(0) : pending.front().index();
    status appended = append_frame(kind, first, encode_entries(pending));
    if (!ok(appended)) {
        return appended;
    }
    if (!pending.empty()) {
        segment& current = segments.back();
        current.highest_index = std::max(current.highest_index, pending.back().index());
    }
    status synced = sync_last_segment();
    if (!ok(synced)) {
        return synced;
    }
    pending.clear();
    pending_truncation.reset();
    // Lets recovery distinguish corruption of the synced record before it from a torn write. The
    // record is durable without it.
    static_cast<void>(append_frame(frame_kind::sync_marker, 0, {}));
    return std::monostate{};
}

// Removes the oldest segments first, so that a crash always leaves a suffix of the log.
status journal::implementation::remove_segments_through(std::uint64_t index)
{
    while (segments.size() > 1 && segments.front().highest_index <= index) {
        status removed = files->remove(segment_file_name(segments.front().number));
        if (!ok(removed)) {
            return removed;
        }
        segments.erase(segments.begin());
    }
    return std::monostate{};
}

// Removes the newest segments first: after a crash between two removals the remaining log ends
// before the snapshot's last entry or conflicts with it, and is discarded at the next startup.
status journal::implementation::remove_all_segments()
{
    while (!segments.empty()) {
        status removed = files->remove(segment_file_name(segments.back().number));
        if (!ok(removed)) {
            return removed;
        }
        segments.pop_back();
        is_tail_uncertain = false;
    }
    return std::monostate{};
}

result<journal> journal::open(std::unique_ptr<disk> files, const pb::disk_record& new_identity,
                              journal_switches switches)
{
    result<recovered_folder> folder = recover_folder(*files, new_identity);
    if (!ok(folder)) {
        return failure(folder);
    }
    for (const std::string& file : value(folder).obsolete_files) {
        status removed = files->remove(file);
        if (!ok(removed)) {
            return failure(removed);
        }
    }
    auto body = std::make_unique<implementation>();
    body->files = std::move(files);
    body->switches = switches;
    body->recovered_contents = std::move(value(folder).contents);
    body->identity = body->recovered_contents.identity;
    body->segments = std::move(value(folder).segments);
    if (body->recovered_contents.hard_state.term() > 0) {
        body->unconfirmed_hard_state = body->recovered_contents.hard_state;
    }
    if (!body->segments.empty()) {
        body->next_segment_number = body->segments.back().number + 1;
    }
    for (const pb::log_entry& entry : body->recovered_contents.entries) {
        body->positions.push_back(entry_position{entry.index(), entry.term()});
    }
    return journal(std::move(body));
}

journal::journal(std::unique_ptr<implementation> body) : body_(std::move(body)) {}
journal::~journal() = default;
journal::journal(journal&&) noexcept = default;
journal& journal::operator=(journal&&) noexcept = default;

journal::contents journal::take_contents()
{
    return std::exchange(body_->recovered_contents, contents{});
}

status journal::write_initial_members(const pb::membership& members)
{
    *body_->identity.mutable_initial_members() = members;
    return body_->replace_message(identity_file, body_->identity);
}

status journal::write_hard_state(const pb::hard_state& hard)
{
    return body_->write_hard_state(hard);
}

status journal::append(std::span<const pb::log_entry> entries)
{
    for (const pb::log_entry& entry : entries) {
        if (!body_->positions.empty() && entry.index() != body_->last_index() + 1) {
            return error{error_kind::internal,
                         "Cannot append log entry " + std::to_string(entry.index()) +
                             ": the last entry of the log is " +
                             std::to_string(body_->last_index()) + ".",
                         "Report this with the log of this instance."};
        }
        body_->positions.push_back(entry_position{entry.index(), entry.term()});
        body_->pending.push_back(entry);
    }
    return std::monostate{};
}

status journal::truncate_from(std::uint64_t index)
{
    while (!body_->positions.empty() && body_->positions.back().index >= index) {
        body_->positions.pop_back();
    }
    std::erase_if(body_->pending,
                  [&](const pb::log_entry& entry) { return entry.index() >= index; });
    body_->pending_truncation = std::min(body_->pending_truncation.value_or(index), index);
    return std::monostate{};
}

status journal::write_snapshot(const pb::snapshot_record& snapshot)
{
    status synced = sync();
    if (!ok(synced)) {
        return synced;
    }
    status replaced = body_->replace_message(snapshot_file, snapshot);
    if (!ok(replaced)) {
        return replaced;
    }
    std::deque<entry_position>& positions = body_->positions;
    if (!positions.empty() && positions.front().index > snapshot.last_index()) {
        return std::monostate{};
    }
    const bool continues =
        std::any_of(positions.begin(), positions.end(), [&](const entry_position& position) {
            return position.index == snapshot.last_index() && position.term == snapshot.last_term();
        });
    if (!continues) {
        positions.clear();
        return body_->remove_all_segments();
    }
    while (!positions.empty() && positions.front().index <= snapshot.last_index()) {
        positions.pop_front();
    }
    return body_->remove_segments_through(snapshot.last_index());
}

status journal::sync()
{
    if (body_->unconfirmed_hard_state) {
        status confirmed = body_->write_hard_state(pb::hard_state(*body_->unconfirmed_hard_state));
        if (!ok(confirmed)) {
            return confirmed;
        }
    }
    if (body_->pending.empty() && !body_->pending_truncation) {
        return std::monostate{};
    }
    return body_->write_pending();
}

} // namespace primrosehead
