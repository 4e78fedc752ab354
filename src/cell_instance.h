// A cell instance: one of the few instances with a disk, which together store the replicated state
// of a deployment with a published document. The leader also serves the pooler instances
// (cell_service.h) and executes changes of primary.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "line_dialect.h"
#include "promotion_platform.h"

#include <primrosehead/error.h>
#include <primrosehead/http.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace primrosehead::pb {
class server_announcement;
}

namespace primrosehead::cell {

// Operations of a cell instance for a platform's HTTP interface. All calls are made on the
// instance's single thread.
class control_api {
  public:
    virtual ~control_api() = default;

    // Applies a server's announcement or deregistration, at the leader before it returns. Fails
    // with `no_quorum` if this instance can't reach a leader.
    [[nodiscard]] virtual boost::asio::awaitable<status>
    announce(const pb::server_announcement& announcement) = 0;

    // Starts or withdraws the evacuation of a failure domain. Succeeds once a majority has stored
    // it. Fails with `bad_request` if the domain is unknown or the last one that is not evacuated,
    // and with `no_quorum` if the outcome is unknown or this instance can't reach a leader.
    [[nodiscard]] virtual boost::asio::awaitable<status> set_evacuation(const std::string& domain,
                                                                        bool is_withdrawn) = 0;

    // Publishes a document. Fails with `bad_request` if it is invalid, with `version_conflict` if
    // another document was published under its version, and with `no_quorum` if the outcome is
    // unknown.
    [[nodiscard]] virtual boost::asio::awaitable<status> publish(const std::string& text) = 0;

    // Returns the latest published document. Fails with `no_quorum` if there is none or this
    // instance can't reach a leader.
    [[nodiscard]] virtual boost::asio::awaitable<result<std::string>> latest_document() = 0;
};

// The platform-specific parts of a deployment.
struct platform_parts {
    line_dialect dialect;
    document_parser parse_document;
    std::function<std::unique_ptr<promotion::platform>(const cell_settings&,
                                                       boost::asio::any_io_executor)>
        make_promotion_platform;
    std::function<http::listener::handler(control_api&)> make_handler;
};

class instance {
  public:
    // The file at `settings_path` is reloaded when it changes.
    [[nodiscard]] static result<std::unique_ptr<instance>>
    open(const cell_settings& settings, std::string settings_path, platform_parts parts);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Runs until SIGTERM or SIGINT, also while the disk of the data folder rejects writes.
    [[nodiscard]] status run();

  private:
    struct implementation;
    explicit instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::cell
