// Confirms commits to callers in a pooler instance: as the commit gate decides, and by asking
// servers for the positions that it needs. Single-threaded.
#pragma once

#include "commit_gate.h"
#include "wait_list.h"

#include <primrosehead/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace primrosehead {
class event_log;
struct line_dialect;
} // namespace primrosehead

namespace primrosehead::pooler {

struct pooled_connection;
class pool;

class commits {
  public:
    commits(boost::asio::any_io_executor executor, const line_dialect& dialect, pool& connections,
            event_log& events);

    [[nodiscard]] const commit_gate& gate() const noexcept { return gate_; }

    // Records what control tells (see commit_gate).
    void record(const fence_map& fences, commit_gate::primaries known, clock::time_point as_of,
                clock::time_point asked_at, clock::time_point now);
    void add(const fence_map& fences, clock::time_point now);

    // Waits until this instance may confirm commits. False: the deadline has passed.
    [[nodiscard]] boost::asio::awaitable<bool> await_lease(clock::time_point deadline);

    // Returns whether the commit may be confirmed to its caller; false: it may be lost.
    // `organisation` is the one for which servers are asked.
    // Both must outlive the operation.
    [[nodiscard]] boost::asio::awaitable<bool> confirm(const acknowledged_commit& commit,
                                                       const std::string& organisation,
                                                       clock::time_point deadline);

  private:
    void request_position(const std::string& group, const std::string& server,
                          const std::string& organisation, clock::time_point now);
    [[nodiscard]] boost::asio::awaitable<void> observe(std::string group, std::string server,
                                                       std::string organisation);
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<pooled_connection>>
    connect(const std::string& group, const std::string& server, const std::string& organisation);
    void log(std::string_view event, const acknowledged_commit& commit,
             const commit_decision& decision, clock::time_point since);

    boost::asio::any_io_executor executor_;
    const line_dialect& dialect_;
    pool& connections_;
    event_log& events_;
    commit_gate gate_;
    wait_list changes_;
    std::set<std::string, std::less<>> observed_now_; // servers that are being asked
    std::map<std::string, clock::time_point, std::less<>> observed_at_;
};

} // namespace primrosehead::pooler
