#include "gateway_transaction.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <charconv>
#include <cstddef>

namespace primrosehead {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

constexpr int hexadecimal = 16;

struct statement_started {};
struct statement_finished {};
struct completion_started {};
struct completion_cancelled {};
struct completion_finished {};
struct transaction_aborted {};

struct state_definition : msm::front::state_machine_def<state_definition> {
    struct open : msm::front::state<> {};
    struct busy : msm::front::state<> {};
    struct ending : msm::front::state<> {};
    struct ended : msm::front::state<> {};
    using initial_state = open;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from    event             to      action guard
        Row<open,   statement_started, busy,   none, none>,
        Row<busy,   statement_finished,   open,   none, none>,
        Row<open,   completion_started,       ending, none, none>,
        Row<ending, completion_cancelled,      open,   none, none>,
        Row<ending, completion_finished,     ended,  none, none>,
        Row<open,   transaction_aborted,      ended,  none, none>,
        Row<busy,   transaction_aborted,      ended,  none, none>,
        Row<ending, transaction_aborted,      ended,  none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using machine = msm::back::state_machine<state_definition>;

// Indexed by the machine's state number: states are numbered in the order of the transition table.
constexpr std::array states_by_number{transaction_state::open, transaction_state::busy,
                                      transaction_state::ending, transaction_state::ended};

std::string to_hex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.begin(), digits.end(), number, hexadecimal).ptr;
    return std::string(digits.begin(), end);
}

std::optional<std::uint64_t> from_hex(std::string_view text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stopped, failed] = std::from_chars(text.data(), end, number, hexadecimal);
    if (failed != std::errc() || stopped != end || text.empty()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string transaction_handle::text() const
{
    return instance.text() + "." + to_hex(incarnation) + "." + to_hex(number);
}

std::optional<transaction_handle> transaction_handle::parse(std::string_view text)
{
    const std::size_t last = text.rfind('.');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = text.rfind('.', last - 1);
    if (middle == std::string_view::npos || middle == 0) {
        return std::nullopt;
    }
    const auto incarnation = from_hex(text.substr(middle + 1, last - middle - 1));
    const auto number = from_hex(text.substr(last + 1));
    if (!incarnation || !number) {
        return std::nullopt;
    }
    return transaction_handle{instance_name(text.substr(0, middle)), *incarnation, *number};
}

struct transaction_machine::implementation {
    machine states;

    template <class Event>
    bool process(const Event& event)
    {
        return states.process_event(event) == msm::back::HANDLED_TRUE;
    }
};

transaction_machine::transaction_machine() : body_(std::make_unique<implementation>())
{
    body_->states.start();
}

transaction_machine::~transaction_machine() = default;

bool transaction_machine::begin_statement()
{
    return body_->process(statement_started{});
}

bool transaction_machine::finish_statement()
{
    return body_->process(statement_finished{});
}

bool transaction_machine::begin_completion()
{
    return body_->process(completion_started{});
}

bool transaction_machine::cancel_completion()
{
    return body_->process(completion_cancelled{});
}

bool transaction_machine::finish_completion()
{
    return body_->process(completion_finished{});
}

bool transaction_machine::abort_transaction()
{
    return body_->process(transaction_aborted{});
}

transaction_state transaction_machine::state() const noexcept
{
    return states_by_number.at(static_cast<std::size_t>(body_->states.current_state()[0]));
}

} // namespace primrosehead
