#include "restarted_worker.hpp"

#include <gtest/gtest.h>

#include <string>

// Orders that get no answer and are carried out seconds later, by an
// incarnation of the worker that they were not meant for.
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

ports::pool_attempt const first_attempt{{"a", 0, 0, 0}, 1};

/// Lets the worker carry out a start that no owner knows of.
void start_unknown_attempt(pool_simulation& simulation,
                           std::uint32_t attempt,
                           std::string const& spec)
{
    auto& target = simulation.worker(restarted);
    ports::start_order order;
    order.fencing_token = target.fencing_token();
    order.attempt_id = {first_attempt.task, attempt};
    order.spec = spec;
    order.lease_until_ms = 1'000'000;
    target.apply(simulation.now(), order);
}

} // namespace

// Guards against a second run of a task that leaves no trace: neither the run
// nor its end is of an attempt that the owner knows.
TEST(pool_late_orders, a_run_of_another_attempt_is_logged)
{
    pool_simulation simulation(2, 2);
    use_first_incarnation(simulation);
    simulation.submit(0, "a", job_near_restarted(1, 100ms));
    ASSERT_TRUE(completes(simulation, "a"));
    simulation.run(2s);
    start_unknown_attempt(simulation, 2, "lasts");
    simulation.run(3s);
    EXPECT_NE(line_with(simulation, "run_of_other_attempt", "job=a task=0.0.0"),
              "");
    EXPECT_NE(line_with(simulation, "run_of_other_attempt", "attempt=2"), "");
    start_unknown_attempt(simulation, 3, "work=10");
    simulation.run(3s);
    EXPECT_NE(line_with(simulation, "end_of_other_attempt", "attempt=3"), "");
}
