// State that the components of one stand-in process share. Used from one thread only.
#pragma once

#include "standin_database.h"
#include "standin_notifier.h"
#include "standin_record.h"
#include "standin_settings.h"
#include "standin_slots.h"
#include "standin_switches.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace primrosehead::standin {

// The primary whose log this server replicates.
struct replication_source {
    std::uint64_t term = 0;
    std::string primary;
    std::string url;

    friend bool operator==(const replication_source&, const replication_source&) = default;
};

struct node {
    node(const boost::asio::any_io_executor& executor, server_settings server_options,
         std::unique_ptr<storage> initial_storage, std::uint64_t promised_term,
         std::vector<log_entry> entries)
        : settings(std::move(server_options)), log_storage(std::move(initial_storage)),
          data(settings.server, *log_storage, settings.faults, promised_term, std::move(entries)),
          record(settings.data_folder.empty() ? std::string()
                                              : settings.data_folder + "/record.jsonl"),
          slots(executor, settings.slots), log_changed(executor), role_changed(executor)
    {
        controls.lag = settings.lag;
    }

    // Returns true if this server and `peer` can currently exchange messages.
    [[nodiscard]] bool can_reach(std::string_view peer) const
    {
        return !controls.frozen && !controls.is_cut(peer);
    }

    server_settings settings;
    std::unique_ptr<storage> log_storage;
    database data;
    execution_record record;
    switches controls;
    execution_slots slots;
    notifier log_changed;  // new entries, or a server of the group received some
    notifier role_changed; // also signalled on shutdown
    replication_source source;
    bool stopped = false;
};

// Returns the body of an announcement and of the response to GET /v1/status.
[[nodiscard]] std::string announcement(const node& self, std::string_view url);

} // namespace primrosehead::standin
