// A minimal backend server for tests. It implements execute, begin, commit and rollback of
// docs/BACKEND.md, records the requests and injects faults on demand.
#pragma once

#include <primrosehead/clock.h>
#include <primrosehead/http.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace primrosehead::testing {

enum class fault_mode {
    none,
    delayed,       // replies after `delay`
    wrong_id,      // replies with the id of the previous request
    truncated,     // sends half of the reply and closes
    missing_field, // omits `index`
    rejected,      // rejects every request: backend_refused, not run
    hang,          // never replies
};

struct recorded_request {
    std::string target;
    std::string id;
    std::string statement;
    std::string transaction;
    std::uint64_t connection = 0;
};

class fake_server {
  public:
    explicit fake_server(boost::asio::any_io_executor executor, std::uint32_t max_connections = 20);
    ~fake_server();
    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;

    void set_fault(fault_mode fault, clock::duration delay = clock::duration(0));

    [[nodiscard]] std::string url() const;
    [[nodiscard]] std::vector<recorded_request> record() const;
    [[nodiscard]] std::size_t open_transactions() const;
    [[nodiscard]] std::uint32_t
    max_concurrent_requests() const; // requests that ran at the same time
    [[nodiscard]] std::uint32_t connections() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
    std::shared_ptr<http::listener> listener_;
};

} // namespace primrosehead::testing
