// Formats a log message as one JSON line: time, level, process, part, text.
#pragma once

#include <spdlog/formatter.h>

#include <memory>
#include <string>
#include <string_view>

namespace primrosehead {

class log_json_formatter : public spdlog::formatter {
  public:
    explicit log_json_formatter(std::string_view process);

    void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& line) override;
    [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override;

  private:
    std::string process_;
};

} // namespace primrosehead
