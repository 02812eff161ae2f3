#include "pool_simulation.hpp"

#include <gtest/gtest.h>

// Tasks that crash the workers that start them.
using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

/// Returns a job whose task with this index crashes each worker that starts
/// it.
fuchsia::core::pool::job crashing_job(std::uint32_t count = 1,
                                      std::uint32_t culprit = 0)
{
    auto result = simple_job(count, 500ms);
    result.spec += " crash crash_index=" + std::to_string(culprit);
    return result;
}

bool ends_as(pool_simulation& simulation,
             std::string const& id,
             job_state expected,
             duration timeout = 60s)
{
    return simulation.run_until(
        [&simulation, &id, expected]
        {
            return simulation.state(0, id) == expected;
        },
        timeout);
}

} // namespace

// Guards against a task that crashes one worker after the other without end.
TEST(pool_crashes, a_task_that_crashes_its_workers_is_given_up)
{
    for (bool const same_id : {false, true})
    {
        pool_simulation simulation;
        simulation.set_crash_recovery(3s, same_id);
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", crashing_job());
        EXPECT_TRUE(ends_as(simulation, "a", job_state::failed));
        EXPECT_EQ(simulation.violation(), "");
    }
}
