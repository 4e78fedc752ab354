// A pooler instance: callers' sessions in front of the backend servers' connections.
#pragma once

#include "deployment_settings.h"
#include "document.h"
#include "line_dialect.h"

#include <primrosehead/error.h>

#include <memory>
#include <string>

namespace primrosehead::pooler {

// What a deployment's platform brings along.
struct platform_parts {
    line_dialect dialect;
    document_parser parse_document;
};

class instance {
  public:
    // `settings_path` is read again when it changes.
    [[nodiscard]] static result<std::unique_ptr<instance>>
    open(const pooler_settings& settings, std::string settings_path, platform_parts parts);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    // Until SIGTERM has been carried out.
    void run();

  private:
    struct implementation;
    explicit instance(std::unique_ptr<implementation> body);
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead::pooler
