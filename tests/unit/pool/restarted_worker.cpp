#include "restarted_worker.hpp"

#include <gtest/gtest.h>

namespace fuchsia::tests::unit::pool
{

using ports::job_state;

namespace
{

constexpr std::uint32_t earlier_tasks = 6;

} // namespace

core::pool::job job_near_restarted(std::uint32_t count, duration work)
{
    auto result = simple_job(count, work);
    for (auto& step : result.steps)
    {
        step.near_rack = "odd";
    }
    return result;
}

core::pool::job long_running_job_near_restarted()
{
    auto result = job_near_restarted(1, 1s);
    result.spec = "lasts";
    result.steps.front().long_running = true;
    return result;
}

bool completes(pool_simulation& simulation, std::string const& id)
{
    return simulation.run_until(
        [&simulation, &id]
        {
            return simulation.state(0, id) == job_state::completed;
        },
        20s);
}

bool runs_on_restarted(pool_simulation& simulation, std::string const& id)
{
    ports::task_name const task{id, 0, 0, 0};
    simulation.run_until(
        [&simulation, &task]
        {
            return simulation.running_count(task) > 0;
        },
        5s);
    return simulation.worker(restarted).runs(task);
}

void use_first_incarnation(pool_simulation& simulation)
{
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "earlier", job_near_restarted(earlier_tasks, 100ms));
    ASSERT_TRUE(completes(simulation, "earlier"));
    simulation.run(2s);
    ASSERT_EQ(simulation.worker(restarted).acknowledged_ends().size(),
              earlier_tasks);
}

void fail_next_start(pool_simulation& simulation, fault_effect effect)
{
    simulation.worker_fault =
        [effect, failed = false](std::size_t,
                                 std::size_t worker,
                                 ports::pool_operation const& order) mutable
    {
        bool const hit = !failed && worker == restarted &&
                         std::holds_alternative<ports::start_order>(order);
        failed = failed || hit;
        return hit ? effect : fault_effect::carried_out;
    };
}

void cut_off(pool_simulation& simulation)
{
    simulation.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == restarted ? fault_effect::request_lost
                                   : fault_effect::carried_out;
    };
}

std::string line_with(pool_simulation const& simulation,
                      std::string const& event,
                      std::string const& text)
{
    for (auto const& line : simulation.log())
    {
        auto written = text_of(line);
        if (line.what.event == event && written.find(text) != std::string::npos)
        {
            return written;
        }
    }
    return "";
}

} // namespace fuchsia::tests::unit::pool
