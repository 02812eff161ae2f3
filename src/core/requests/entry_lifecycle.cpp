#include "core/requests/entry_lifecycle.hpp"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace fuchsia::core::requests
{

namespace
{

namespace front = boost::msm::front;

// Events and states are types here, as Boost.MSM wants them.
struct on_joined
{
};
struct on_stop
{
};
struct on_balancer
{
};
struct on_finished
{
};
struct on_removed
{
};

struct definition : front::state_machine_def<definition>
{
    struct joining : front::state<>
    {
    };
    struct serving : front::state<>
    {
    };
    struct announced : front::state<>
    {
    };
    struct finishing : front::state<>
    {
    };
    struct leaving : front::state<>
    {
    };
    struct stopped : front::state<>
    {
    };
    using initial_state = joining;

    template<class From, class Event, class To>
    using row = front::Row<From, Event, To, front::none, front::none>;

    // One that never joined has told no balancer that it is ready.
    struct transition_table
        : boost::mpl::vector<row<joining, on_joined, serving>,
                             row<joining, on_stop, finishing>,
                             row<serving, on_stop, announced>,
                             row<announced, on_balancer, finishing>,
                             row<finishing, on_finished, leaving>,
                             row<leaving, on_removed, stopped>>
    {
    };

    template<class Machine, class Event>
    void no_transition(Event const& /*event*/, Machine& /*machine*/, int /*at*/)
    {
    }
};

} // namespace

struct entry_lifecycle::machine
{
    boost::msm::back::state_machine<definition> states;
};

std::string_view name_of(entry_phase value) noexcept
{
    constexpr std::array<std::string_view, 6> names{
        "joining", "serving", "announced", "finishing", "leaving", "stopped"};
    return names[static_cast<std::size_t>(value)];
}

entry_lifecycle::entry_lifecycle() : machine_(std::make_unique<machine>())
{
    machine_->states.start();
}

entry_lifecycle::entry_lifecycle(entry_lifecycle&&) noexcept = default;
entry_lifecycle&
entry_lifecycle::operator=(entry_lifecycle&&) noexcept = default;
entry_lifecycle::~entry_lifecycle() = default;

entry_phase entry_lifecycle::phase() const noexcept
{
    // States are numbered in the order of the transition table's rows.
    return static_cast<entry_phase>(machine_->states.current_state()[0]);
}

bool entry_lifecycle::handle(entry_event event)
{
    entry_phase const before = phase();
    switch (event)
    {
    case entry_event::joined:
        machine_->states.process_event(on_joined{});
        break;
    case entry_event::stop_requested:
        machine_->states.process_event(on_stop{});
        break;
    case entry_event::balancer_lag_elapsed:
        machine_->states.process_event(on_balancer{});
        break;
    case entry_event::drained:
        machine_->states.process_event(on_finished{});
        break;
    case entry_event::removed:
        machine_->states.process_event(on_removed{});
        break;
    }
    return phase() != before;
}

} // namespace fuchsia::core::requests
