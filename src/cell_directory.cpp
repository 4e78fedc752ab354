#include "cell_directory.h"

#include "cell_announcement_order.h"
#include "http_address.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace primrosehead::cell {

namespace {

constexpr std::size_t max_announced_name_bytes = 128;
constexpr std::size_t max_address_bytes = 64; // an IPv6 address with a scope and a port
constexpr std::uint32_t max_slots = 100'000;
constexpr std::uint32_t max_warm_up_ms = 86'400'000;
constexpr std::uint64_t max_born_ms = 253'402'300'799'999; // the end of the year 9999
constexpr std::uint64_t max_sequence = std::numeric_limits<std::int64_t>::max();

error invalid_announcement(std::string_view expected)
{
    return error{error_kind::bad_request,
                 "The announcement names no server to use: expected " + std::string(expected) + ".",
                 "Correct the announcement and send it again."};
}

// Names are parts of the startup line that instances send to a server.
bool is_word(std::string_view text)
{
    return text.size() <= max_announced_name_bytes &&
           std::all_of(text.begin(), text.end(), [](char each) {
               const auto byte = static_cast<unsigned char>(each);
               return byte > ' ' && byte != 0x7f;
           });
}

bool is_server_address(std::string_view text)
{
    if (text.size() > max_address_bytes) {
        return false;
    }
    const auto parsed = http::parse_address(text);
    return ok(parsed) && value(parsed).port() != 0 && !value(parsed).address().is_unspecified() &&
           !value(parsed).address().is_multicast();
}

// Retention of a deregistered server's entry, so that a delayed announcement does not register the
// server again.
constexpr clock::duration deregistered_retention{60'000};
// Retention of a silent server's entry: it may have crashed, or it may be partitioned from this
// instance and still serve others.
constexpr clock::duration silent_retention{15'000};
// For how long a server has been leaving that is heard of for the first time.
constexpr clock::duration assumed_leaving_time{5'000};
// Instances are told since when a server is leaving with this precision.
constexpr clock::duration leaving_precision{50};

// Clocks of the server and of this instance may differ by this much over a leaving period.
constexpr clock::duration leaving_tolerance{1'000};
// Announcements that a partition held up arrive together, those of a running server do not.
constexpr clock::duration sign_of_life_interval{500};

// A deregistration names its server only, unless another control instance passed it on.
bool names_start(const pb::server_announcement& announcement)
{
    return !announcement.gone() || !announcement.group().empty();
}

announcement_stamp stamp_of(const pb::server_announcement& announcement)
{
    return {announcement.born_ms(), announcement.sequence()};
}

bool is_newer(const pb::server_announcement& incoming, const pb::server_announcement& known)
{
    const announcement_stamp next = stamp_of(incoming);
    const announcement_stamp last = stamp_of(known);
    if (incoming.gone() && !has_other_start(next, last)) {
        return !known.gone() && next.sequence >= last.sequence;
    }
    return is_later(next, last) || next.born_ms > last.born_ms;
}

// A deregistered start counts as running again after two newer announcements, since a single one
// may have been held up. Records the first one.
bool confirm_running(const pb::server_announcement& incoming, directory_entry& entry,
                     clock::time_point now)
{
    if (!entry.announcement.gone() || incoming.born_ms() > entry.announcement.born_ms()) {
        return true;
    }
    std::optional<sign_of_life>& sign = entry.sign_after_departure;
    if (!sign) {
        sign = sign_of_life{incoming.sequence(), now};
    }
    return incoming.sequence() > sign->sequence && now - sign->heard_at >= sign_of_life_interval;
}

// True if both announcements agree on everything that instances route by.
bool has_same_routing(const pb::server_announcement& left, const pb::server_announcement& right)
{
    return left.group() == right.group() && left.address() == right.address() &&
           left.failure_domain() == right.failure_domain() && left.slots() == right.slots() &&
           left.leaving() == right.leaving() && left.gone() == right.gone() &&
           left.is_primary() == right.is_primary() && left.born_ms() == right.born_ms();
}

// True if the server began to warm up anew or became warm.
bool has_new_warm_up(const pb::server_announcement& next, const pb::server_announcement& known)
{
    return next.warm_up_left_ms() > known.warm_up_left_ms() ||
           (next.warm_up_left_ms() == 0 && known.warm_up_left_ms() > 0);
}

} // namespace

status check_announcement(const pb::server_announcement& announcement)
{
    const std::string& server = announcement.server();
    // The name comes from an HTTP path, so unlike the other texts it may not be UTF-8.
    const bool is_ascii = std::all_of(server.begin(), server.end(), [](char each) {
        return static_cast<unsigned char>(each) < 0x80;
    });
    if (server.empty() || !is_ascii || !is_word(server)) {
        return invalid_announcement("a server name of 1 to 128 ASCII characters without spaces");
    }
    if (announcement.gone()) {
        return std::monostate{};
    }
    if (announcement.group().empty() || !is_word(announcement.group())) {
        return invalid_announcement("a group name of 1 to 128 bytes without spaces");
    }
    if (!is_word(announcement.failure_domain())) {
        return invalid_announcement("a failure domain of at most 128 bytes without spaces");
    }
    if (!is_server_address(announcement.address())) {
        return invalid_announcement("an address IP:PORT with a port from 1 to 65535");
    }
    if (announcement.slots() > max_slots || announcement.warm_up_left_ms() > max_warm_up_ms ||
        announcement.sequence() > max_sequence || announcement.born_ms() > max_born_ms) {
        return invalid_announcement("numbers within their ranges");
    }
    return std::monostate{};
}

pb::server_announcement directory::with_ages(const directory_entry& entry,
                                             clock::time_point now) const
{
    pb::server_announcement aged = entry.announcement;
    aged.set_age_ms(static_cast<std::uint32_t>((now - entry.announced_at).count()));
    aged.clear_leaving_ms();
    if (aged.leaving()) {
        departures_.write_age(aged, now);
    }
    return aged;
}

// `is_known`: this start of the server was heard of before. Returns whether instances have to be
// told.
bool directory::record_leaving(const pb::server_announcement& announcement, bool is_known,
                               clock::time_point now)
{
    clock::duration leaving_time = is_known ? clock::duration(0) : assumed_leaving_time;
    if (announcement.has_leaving_ms()) {
        leaving_time = clock::duration(announcement.leaving_ms());
    }
    const std::optional<clock::time_point> known = departures_.leaving_since(announcement);
    const clock::time_point since = now - leaving_time;
    departures_.record_leaving(announcement, since, now);
    return !known || *known - since > leaving_precision;
}

// A deregistration that was held up may arrive after its server has started again. The new start
// has not deregistered before it has been leaving for its period.
bool directory::may_deregister(const pb::server_announcement& known, clock::time_point now) const
{
    if (leaving_period_ == clock::duration(0) || known.born_ms() == 0) {
        return true;
    }
    const std::optional<clock::duration> leaving_for = departures_.leaving_for(known, now);
    return leaving_for && *leaving_for >= leaving_period_ - leaving_tolerance;
}

bool directory::apply(const pb::server_announcement& announcement, clock::time_point now)
{
    if (!ok(check_announcement(announcement))) {
        ++rejected_;
        return false;
    }
    const clock::time_point announced_at = now - clock::duration(announcement.age_ms());
    const auto found = entries_.find(announcement.server());
    if (found == entries_.end()) {
        if (announcement.gone()) {
            return false;
        }
        if (announcement.leaving()) {
            record_leaving(announcement, false, now);
        }
        entries_.emplace(announcement.server(), directory_entry{announcement, announced_at});
        changes_.record_change(announcement.server(), ++revision_);
        return true;
    }
    directory_entry& entry = found->second;
    const bool is_same_start = announcement.born_ms() == entry.announcement.born_ms();
    const bool is_accepted =
        names_start(announcement)
            ? is_newer(announcement, entry.announcement) &&
                  confirm_running(announcement, entry, now)
            : !entry.announcement.gone() && may_deregister(entry.announcement, now);
    if (!is_accepted) {
        const bool is_older_notice = is_same_start && announcement.leaving() &&
                                     announcement.has_leaving_ms() && entry.announcement.leaving();
        if (is_older_notice && record_leaving(announcement, true, now)) {
            changes_.record_change(announcement.server(), ++revision_);
            return true;
        }
        return false;
    }
    pb::server_announcement next = announcement;
    if (!names_start(announcement)) {
        next = entry.announcement;
        next.set_gone(true);
        next.set_leaving(true);
    }
    bool has_other_notice = false;
    if (announcement.leaving()) {
        has_other_notice = record_leaving(announcement, is_same_start, now);
    }
    else if (!next.gone()) {
        departures_.forget(announcement.server());
    }
    const bool changed = has_other_notice || !has_same_routing(next, entry.announcement) ||
                         has_new_warm_up(next, entry.announcement);
    entry = directory_entry{std::move(next), announced_at};
    if (changed) {
        changes_.record_change(announcement.server(), ++revision_);
    }
    return changed;
}

std::vector<pb::server_announcement> directory::servers(clock::time_point now) const
{
    std::vector<pb::server_announcement> all;
    all.reserve(entries_.size());
    for (const auto& [name, entry] : entries_) {
        all.push_back(with_ages(entry, now));
    }
    return all;
}

std::vector<pb::server_announcement> directory::changes_since(std::uint64_t revision,
                                                              clock::time_point now,
                                                              std::uint64_t& base_revision) const
{
    if (revision > revision_ || !changes_.covers(revision)) {
        base_revision = 0;
        return servers(now);
    }
    base_revision = revision;
    std::vector<pb::server_announcement> changed;
    for (const auto& [name, entry] : entries_) {
        if (changes_.has_changed(name, revision)) {
            changed.push_back(with_ages(entry, now));
        }
    }
    changes_.append_removed(revision, changed);
    return changed;
}

std::vector<const directory_entry*> directory::group(std::string_view name) const
{
    std::vector<const directory_entry*> members;
    for (const auto& [server, entry] : entries_) {
        if (entry.announcement.group() == name && !entry.announcement.gone()) {
            members.push_back(&entry);
        }
    }
    return members;
}

const directory_entry* directory::find(std::string_view server) const
{
    const auto found = entries_.find(server);
    return found == entries_.end() ? nullptr : &found->second;
}

std::optional<pb::server_announcement> directory::announcement_of(std::string_view server,
                                                                  clock::time_point now) const
{
    const directory_entry* const entry = find(server);
    return entry == nullptr ? std::nullopt : std::optional(with_ages(*entry, now));
}

void directory::evict_stale(clock::time_point now)
{
    departures_.expire(now);
    const std::uint64_t next_revision = revision_ + 1;
    const std::size_t evicted_count = std::erase_if(entries_, [&](const auto& item) {
        const directory_entry& entry = item.second;
        const bool is_stale =
            now - entry.announced_at >
            (entry.announcement.gone() ? deregistered_retention : silent_retention);
        if (is_stale) {
            changes_.record_removal(item.first, next_revision);
        }
        return is_stale;
    });
    revision_ += evicted_count > 0 ? 1 : 0;
}

} // namespace primrosehead::cell
