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

// Boost.MSM represents events and states as types.
struct on_joined
{
};
struct on_stop_requested
{
};
struct on_balancer_lag_elapsed
{
};
struct on_drained
{
};
struct on_removed
{
};

struct lifecycle_definition : front::state_machine_def<lifecycle_definition>
{
    struct joining : front::state<>
    {
    };
    struct serving : front::state<>
    {
    };
    struct stop_announced : front::state<>
    {
    };
    struct draining : front::state<>
    {
    };
    struct leaving : front::state<>
    {
    };
    struct stopped : front::state<>
    {
    };
    using initial_state = joining;

    template<class Source, class Event, class Target>
    using row = front::Row<Source, Event, Target, front::none, front::none>;

    // An entry that never joined was never ready, so no balancer sends to it:
    // a stop skips `stop_announced`.
    struct transition_table
        : boost::mpl::vector<
              row<joining, on_joined, serving>,
              row<joining, on_stop_requested, draining>,
              row<serving, on_stop_requested, stop_announced>,
              row<stop_announced, on_balancer_lag_elapsed, draining>,
              row<draining, on_drained, leaving>,
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
    boost::msm::back::state_machine<lifecycle_definition> states;
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
        machine_->states.process_event(on_stop_requested{});
        break;
    case entry_event::balancer_lag_elapsed:
        machine_->states.process_event(on_balancer_lag_elapsed{});
        break;
    case entry_event::drained:
        machine_->states.process_event(on_drained{});
        break;
    case entry_event::removed:
        machine_->states.process_event(on_removed{});
        break;
    }
    return phase() != before;
}

} // namespace fuchsia::core::requests
