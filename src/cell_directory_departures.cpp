#include "cell_directory_departures.h"

#include "primrosehead.pb.h"

#include <algorithm>

namespace primrosehead::cell {

namespace {

// A delayed announcement may arrive this long after the server's entry was removed.
constexpr clock::duration retention{60'000};

} // namespace

directory_departures::departure&
directory_departures::departure_of(const pb::server_announcement& announcement,
                                   clock::time_point now)
{
    departure& known = departures_[announcement.server()];
    if (known.born_ms != announcement.born_ms()) {
        known = departure{};
        known.born_ms = announcement.born_ms();
    }
    known.recorded_at = now;
    return known;
}

const directory_departures::departure*
directory_departures::find(const pb::server_announcement& announcement) const
{
    const auto found = departures_.find(announcement.server());
    return found == departures_.end() ? nullptr : &found->second;
}

void directory_departures::record_leaving(const pb::server_announcement& announcement,
                                          clock::time_point since, clock::time_point now)
{
    departure& known = departure_of(announcement, now);
    known.leaving_since = std::min(known.leaving_since.value_or(since), since);
}

void directory_departures::record_gone(const pb::server_announcement& announcement,
                                       clock::time_point now)
{
    departure_of(announcement, now).gone_sequence = announcement.sequence();
}

void directory_departures::forget(std::string_view server)
{
    if (const auto found = departures_.find(server); found != departures_.end()) {
        departures_.erase(found);
    }
}

std::optional<clock::time_point>
directory_departures::leaving_since(const pb::server_announcement& announcement) const
{
    const departure* const known = find(announcement);
    return known != nullptr && known->born_ms == announcement.born_ms() ? known->leaving_since
                                                                        : std::nullopt;
}

std::optional<clock::duration>
directory_departures::leaving_for(const pb::server_announcement& announcement,
                                  clock::time_point now) const
{
    const std::optional<clock::time_point> since = leaving_since(announcement);
    return since ? std::optional(std::max(clock::duration(0), now - *since)) : std::nullopt;
}

bool directory_departures::is_gone(const pb::server_announcement& announcement) const
{
    const departure* const known = find(announcement);
    if (known == nullptr || !known->gone_sequence) {
        return false;
    }
    return announcement.born_ms() == known->born_ms
               ? announcement.sequence() <= *known->gone_sequence
               : announcement.born_ms() < known->born_ms;
}

void directory_departures::write_age(pb::server_announcement& announcement,
                                     clock::time_point now) const
{
    if (const std::optional<clock::duration> age = leaving_for(announcement, now)) {
        announcement.set_leaving_ms(static_cast<std::uint32_t>(age->count()));
    }
}

void directory_departures::expire(clock::time_point now)
{
    std::erase_if(departures_,
                  [now](const auto& item) { return now - item.second.recorded_at > retention; });
}

} // namespace primrosehead::cell
