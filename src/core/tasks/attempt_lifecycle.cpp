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

// The state machine, one row per transition.
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
bool process(machine& target)
{
    return target.process_event(on<Event>{}) == msm::back::HANDLED_TRUE;
}

using event_processor = bool (*)(machine&);
constexpr std::array<event_processor, event_count> event_processors{
    process<attempt_event::start_committed>,
    process<attempt_event::running_observed>,
    process<attempt_event::evict>,
    process<attempt_event::stop>,
    process<attempt_event::checkpoint_made>,
    process<attempt_event::checkpoint_committed>,
    process<attempt_event::checkpoint_impossible>,
    process<attempt_event::stop_confirmed>,
    process<attempt_event::ended>,
};

// Returns the phase by the type of the current state. MSM numbers its states in
// the order of the table, so a phase taken from the number would depend on the
// order of the rows.
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

machine machine_after(std::vector<std::size_t> const& events)
{
    machine target;
    target.start();
    for (auto const event : events)
    {
        event_processors[event](target);
    }
    return target;
}

// Builds the transition table by a breadth-first search over the state machine.
// With the table, each of ten thousand attempts stores one byte instead of a
// machine.
phase_table build_table()
{
    phase_table table;
    std::array<bool, phase_count> visited{};
    std::deque<std::vector<std::size_t>> paths{{}};
    while (!paths.empty())
    {
        auto const path = paths.front();
        paths.pop_front();
        auto current = machine_after(path);
        auto const from = static_cast<std::size_t>(current_phase(current));
        if (visited[from])
        {
            continue;
        }
        visited[from] = true;
        for (std::size_t event = 0; event < event_count; ++event)
        {
            auto target = machine_after(path);
            if (event_processors[event](target))
            {
                table[from][event] = current_phase(target);
                auto extended = path;
                extended.push_back(event);
                paths.push_back(std::move(extended));
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
    static phase_table const table = build_table();
    return table[static_cast<std::size_t>(from)]
                [static_cast<std::size_t>(event)];
}

} // namespace fuchsia::core::tasks
