// A single write of a session of its own, which runs in the background.
#pragma once

#include "pooler_execution.h"
#include "pooler_state.h"

#include <optional>
#include <string>

namespace primrosehead::testing {

class pooler_fixture;

class background_write {
  public:
    background_write(pooler_fixture& instance, std::string text);
    ~background_write() = default;
    background_write(const background_write&) = delete;
    background_write& operator=(const background_write&) = delete;

    // Nothing while it runs.
    [[nodiscard]] const std::optional<line_answer>& answer() const noexcept { return answer_; }

  private:
    pooler::session_context state_;
    pooler::operation operation_;
    pooler::server_statement statement_;
    pooler::execution execution_;
    std::optional<line_answer> answer_;
};

} // namespace primrosehead::testing
