// A cell instance: one of the few with a disk, which together keep the replicated state of a
// deployment with a published document. The leader also serves the pooler instances
// (cell_service.h) and carries out changes of primary.
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

// What a platform's interface calls on a cell instance. All calls on the instance's one thread.
class control_api {
  public:
    virtual ~control_api() = default;

    // Takes in an announcement or deregistration, at the leader before it returns.
    // `no_quorum`: nobody leads that this instance reaches.
    [[nodiscard]] virtual boost::asio::awaitable<status>
    announce(const pb::server_announcement& announcement) = 0;

    // Publishes a document. `bad_request`: it is invalid. `version_conflict`: its version holds
    // another document. `no_quorum`: it may or may not have been taken.
    [[nodiscard]] virtual boost::asio::awaitable<status> publish(const std::string& text) = 0;

    // The newest published document. `no_quorum` when this instance can't tell.
    [[nodiscard]] virtual boost::asio::awaitable<result<std::string>> latest_document() = 0;
};

// What a deployment's platform brings along.
struct platform_parts {
    line_dialect dialect;
    document_parser parse_document;
    std::function<std::unique_ptr<promotion::platform>(const cell_settings&,
                                                       boost::asio::any_io_executor)>
        make_promotion_port;
    std::function<http::listener::handler(control_api&)> make_handler;
};

class instance {
  public:
    // `settings_path` is read again when it changes.
    [[nodiscard]] static result<std::unique_ptr<instance>>
    open(const cell_settings& settings, std::string settings_path, platform_parts parts);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Until SIGTERM. An error when the data folder failed.
    [[nodiscard]] status run();

  private:
    struct implementation;
    explicit instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::cell
