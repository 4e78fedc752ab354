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

struct statement_begins {};
struct statement_ends {};
struct end_begins {};
struct end_refused {};
struct end_finishes {};
struct link_breaks {};

struct machine_definition : msm::front::state_machine_def<machine_definition> {
    struct open : msm::front::state<> {};
    struct busy : msm::front::state<> {};
    struct ending : msm::front::state<> {};
    struct ended : msm::front::state<> {};
    using initial_state = open;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        //  from    event             to      action guard
        Row<open,   statement_begins, busy,   none, none>,
        Row<busy,   statement_ends,   open,   none, none>,
        Row<open,   end_begins,       ending, none, none>,
        Row<ending, end_refused,      open,   none, none>,
        Row<ending, end_finishes,     ended,  none, none>,
        Row<open,   link_breaks,      ended,  none, none>,
        Row<busy,   link_breaks,      ended,  none, none>,
        Row<ending, link_breaks,      ended,  none, none>
    > {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/)
    {
    }
};

using machine = msm::back::state_machine<machine_definition>;

// In the order in which the machine numbers its states: as they come in the table.
constexpr std::array state_numbers{transaction_state::open, transaction_state::busy,
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
    return body_->process(statement_begins{});
}

bool transaction_machine::finish_statement()
{
    return body_->process(statement_ends{});
}

bool transaction_machine::begin_end()
{
    return body_->process(end_begins{});
}

bool transaction_machine::return_to_open()
{
    return body_->process(end_refused{});
}

bool transaction_machine::finish_end()
{
    return body_->process(end_finishes{});
}

bool transaction_machine::break_off()
{
    return body_->process(link_breaks{});
}

transaction_state transaction_machine::state() const noexcept
{
    return state_numbers.at(static_cast<std::size_t>(body_->states.current_state()[0]));
}

} // namespace primrosehead
