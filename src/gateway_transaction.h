// Handle and state machine of a transaction that is pinned to a connection.
#pragma once

#include <primrosehead/names.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace primrosehead {

// Identifies a transaction across instances as INSTANCE.INCARNATION.NUMBER, with the numbers in
// hexadecimal. NUMBER is random, so that a handle can't be guessed.
struct transaction_handle {
    instance_name instance;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    [[nodiscard]] std::string text() const;
    [[nodiscard]] static std::optional<transaction_handle> parse(std::string_view text);
};

enum class transaction_state { open, busy, ending, ended };

// State machine: open -> busy -> open for each statement, open -> ending -> ended for a commit or
// rollback. Aborting ends the transaction from any state but `ended`.
class transaction_machine {
  public:
    transaction_machine();
    ~transaction_machine();
    transaction_machine(const transaction_machine&) = delete;
    transaction_machine& operator=(const transaction_machine&) = delete;

    // Each returns false, and changes nothing, when the current state doesn't allow the step.
    bool begin_statement();
    bool finish_statement();
    bool begin_completion();
    bool cancel_completion(); // the commit was not sent
    bool finish_completion();
    bool abort_transaction();

    [[nodiscard]] transaction_state state() const noexcept;

  private:
    struct implementation;
    std::unique_ptr<implementation> body_;
};

} // namespace primrosehead
