// A pooler instance, which multiplexes callers' sessions over connections to backend servers.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "line_dialect.h"

#include <primrosehead/error.h>

#include <memory>
#include <string>

namespace primrosehead::pooler {

// The platform's components of a deployment.
struct platform_parts {
    line_dialect dialect;
    document_parser parse_document;
};

class instance {
  public:
    // Opens the listeners. The file at `settings_path` is reloaded when it changes.
    [[nodiscard]] static result<std::unique_ptr<instance>>
    open(const pooler_settings& settings, std::string settings_path, platform_parts parts);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Serves until SIGTERM or SIGINT, then drains the sessions.
    void run();

  private:
    struct implementation;
    explicit instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::pooler
