#include "core/tasks/attempt_lifecycle.hpp"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <deque>
#include <vector>

namespace fuchsia::core::tasks
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
template<class... T>
using step = msm::front::Row<T..., none, none>;

constexpr std::size_t phase_count = 8;
constexpr std::size_t event_count = 9;
constexpr std::array<std::string_view, phase_count> phase_names{
    "committing-start",
    "starting",
    "running",
    "checkpointing",
    "committing-checkpoint",
    "stopping",
    "settling",
    "over"};

template<attempt_phase Phase>
struct in : msm::front::state<>
{
};

template<attempt_event Event>
struct on
{
};

// The life cycle, one row a step.
struct machine_definition
    : public msm::front::state_machine_def<machine_definition>
{
    using enum attempt_phase;
    using enum attempt_event;
    using initial_state = in<committing_start>;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        step<in<committing_start>, on<start_committed>, in<starting>>,
        step<in<committing_start>, on<ended>, in<complete>>,
        step<in<starting>, on<running_observed>, in<running>>,
        step<in<starting>, on<stop>, in<stopping>>,
        step<in<starting>, on<ended>, in<complete>>,
        step<in<running>, on<evict>, in<checkpointing>>,
        step<in<running>, on<stop>, in<stopping>>,
        step<in<running>, on<ended>, in<complete>>,
        step<in<checkpointing>, on<checkpoint_made>, in<committing_checkpoint>>,
        step<in<checkpointing>, on<checkpoint_impossible>, in<stopping>>,
        step<in<checkpointing>, on<stop>, in<stopping>>,
        step<in<checkpointing>, on<ended>, in<complete>>,
        step<in<committing_checkpoint>, on<checkpoint_committed>, in<stopping>>,
        step<in<committing_checkpoint>, on<ended>, in<complete>>,
        step<in<stopping>, on<stop_confirmed>, in<awaiting_final_report>>,
        step<in<stopping>, on<ended>, in<complete>>,
        step<in<awaiting_final_report>, on<ended>, in<complete>>
    > {};
    // clang-format on

    template<class Machine, class Event>
    void no_transition(Event const&, Machine&, int)
    {
    }
};

using machine = msm::back::state_machine<machine_definition>;

template<attempt_event Event>
bool feed(machine& target)
{
    return target.process_event(on<Event>{}) == msm::back::HANDLED_TRUE;
}

using feeder = bool (*)(machine&);
constexpr std::array<feeder, event_count> feeders{
    feed<attempt_event::start_committed>,
    feed<attempt_event::running_observed>,
    feed<attempt_event::evict>,
    feed<attempt_event::stop>,
    feed<attempt_event::checkpoint_made>,
    feed<attempt_event::checkpoint_committed>,
    feed<attempt_event::checkpoint_impossible>,
    feed<attempt_event::stop_confirmed>,
    feed<attempt_event::ended>,
};

// MSM numbers its states in the order of the table; this reads the phase by
// its type instead, so that the order of the rows does not matter.
template<attempt_phase... Phase>
attempt_phase phase_of(machine& target)
{
    auto result = attempt_phase::complete;
    int const current = target.current_state()[0];
    using states = machine::stt;
    ((msm::back::get_state_id<states, in<Phase>>::type::value == current
          ? void(result = Phase)
          : void()),
     ...);
    return result;
}

attempt_phase current_phase(machine& target)
{
    using enum attempt_phase;
    return phase_of<committing_start,
                    starting,
                    running,
                    checkpointing,
                    committing_checkpoint,
                    stopping,
                    awaiting_final_report,
                    complete>(target);
}

using phase_table =
    std::array<std::array<std::optional<attempt_phase>, event_count>,
               phase_count>;

machine after(std::vector<std::size_t> const& events)
{
    machine target;
    target.start();
    for (auto const event : events)
    {
        feeders[event](target);
    }
    return target;
}

// Ten thousand attempts keep one byte each rather than a machine each: the
// machine is walked once, breadth first, and its steps are noted in a table.
phase_table walk()
{
    phase_table table;
    std::array<bool, phase_count> seen{};
    std::deque<std::vector<std::size_t>> paths{{}};
    while (!paths.empty())
    {
        auto const path = paths.front();
        paths.pop_front();
        auto here = after(path);
        auto const from = static_cast<std::size_t>(current_phase(here));
        if (seen[from])
        {
            continue;
        }
        seen[from] = true;
        for (std::size_t event = 0; event < event_count; ++event)
        {
            auto target = after(path);
            if (feeders[event](target))
            {
                table[from][event] = current_phase(target);
                auto longer = path;
                longer.push_back(event);
                paths.push_back(std::move(longer));
            }
        }
    }
    return table;
}

} // namespace

std::string_view name_of(attempt_phase value) noexcept
{
    return phase_names[static_cast<std::size_t>(value)];
}

std::optional<attempt_phase> next_phase(attempt_phase from,
                                        attempt_event event) noexcept
{
    static phase_table const table = walk();
    return table[static_cast<std::size_t>(from)]
                [static_cast<std::size_t>(event)];
}

} // namespace fuchsia::core::tasks
