#include "latency_target_check.hpp"

#include "core/pool/interference_estimates.hpp"

#include <gtest/gtest.h>
#include <string>

// One worker with a serving task of steady load, beside best-effort tasks of an
// image that counts as harmless.
using namespace fuchsia::core::pool;
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 2;
constexpr duration target = 120ms;

struct shared_worker
{
    explicit shared_worker(std::string const& users)
        : simulation(instances, 1), check(simulation, {{"serving", target}})
    {
        simulation.store().put("learned", learned_record());
        run_until_owned(simulation);
        auto job = simple_job(1, 1s);
        auto& step = job.steps.front();
        step.declared = {2000, 1000, 0};
        step.long_running = true;
        step.image = "serves";
        step.tail_target = target;
        job.spec = "lasts tail=20 cores=2000 " + users;
        simulation.submit(0, "serving", job);
        simulation.run(4s);
    }

    // The image takes 2.7 targets if it uses a whole worker.
    static std::string learned_record()
    {
        interference_estimates estimates;
        estimates.headrooms = {{"serves", 3, 100}};
        estimates.pairs = {{"serves", "light", 2.7, 0.1}};
        return to_json(estimates);
    }

    void submit_light_work(std::uint32_t tasks)
    {
        auto job = simple_job(tasks, 60s);
        auto& step = job.steps.front();
        step.declared = {900, 100, 0};
        step.best_effort = true;
        step.image = "light";
        job.spec += " cores=900 press=45";
        simulation.submit(0, "light", job);
    }

    std::size_t running_light_tasks()
    {
        return simulation.worker(0).running() -
               (simulation.worker(0).runs({"serving", 0, 0, 0}) ? 1U : 0U);
    }

    duration tail_latency()
    {
        auto const milliseconds = simulation.worker(0).tail_latency(
            simulation.now(), {"serving", 0, 0, 0});
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
    }

    /// Whether best-effort tasks work beside the serving task.
    bool is_disturbed()
    {
        ports::task_name const task{"serving", 0, 0, 0};
        auto const& state = simulation.worker(0);
        return state.tail_latency(simulation.now(), task) >
               state.isolated_tail_latency(simulation.now(), task) + 0.1;
    }

    pool_simulation simulation;
    latency_target_check check;
};

} // namespace

// Guards against a round of placing that starts so many harmless tasks on one
// worker that together they bring its serving task over the target.
TEST(pool_serving_latency, a_round_places_no_more_than_the_measured_slack_bears)
{
    // The headroom is 2.
    shared_worker worker("load=67");
    worker.submit_light_work(8);
    worker.check.run(10s);
    EXPECT_GE(worker.running_light_tasks(), 2U);
    EXPECT_EQ(worker.check.total(), duration{}) << worker.check.longest_at();
}

// Guards against best-effort tasks that are placed beside a serving task that
// is over its target.
TEST(pool_serving_latency, nothing_is_placed_beside_a_task_over_its_target)
{
    // The headroom is 0.7.
    shared_worker worker("load=88");
    worker.submit_light_work(8);
    worker.check.run(10s);
    EXPECT_EQ(worker.running_light_tasks(), 0U);
}

// Guards against a pause that the owner believes in and that isn't in force:
// an older order of full speed, which got no answer, is carried out after it.
TEST(pool_serving_latency, a_pause_that_an_older_order_undoes_is_ordered_again)
{
    // The load is low at 30 s and over the target from 44 to 56 s.
    shared_worker worker("load=55 swing=35 swing_ms=40000");
    std::uint64_t fencing_token = 0;
    worker.simulation.worker_fault =
        [&fencing_token](
            std::size_t, std::size_t, ports::pool_operation const& call)
    {
        fencing_token = std::visit(
            [](auto const& order)
            {
                return order.fencing_token;
            },
            call);
        return fault_effect::carried_out;
    };
    worker.simulation.run(22s);
    worker.submit_light_work(3);
    worker.simulation.run(4s);
    ASSERT_TRUE(worker.is_disturbed());
    ASSERT_TRUE(worker.simulation.run_until(
        [&worker]
        {
            return !worker.is_disturbed();
        }));
    ASSERT_GT(worker.running_light_tasks(), 0U);
    worker.simulation.run(1s);
    for (std::uint32_t index = 0; index < 3; ++index)
    {
        ports::speed_limit_order late;
        late.fencing_token = fencing_token;
        late.attempt_id = {{"light", 0, 0, index}, 1};
        worker.simulation.worker(0).apply(worker.simulation.now(), late);
    }
    worker.simulation.run(200ms);
    ASSERT_TRUE(worker.is_disturbed());
    EXPECT_TRUE(worker.simulation.run_until(
        [&worker]
        {
            return !worker.is_disturbed();
        },
        2s));
}

// Guards against a successor that waits for the last resort as if a serving
// task had come over its target with the successor's first report.
TEST(pool_serving_latency,
     a_successor_pauses_at_its_first_report_over_the_target)
{
    shared_worker worker("load=55 swing=35 swing_ms=40000");
    worker.simulation.run(22s);
    worker.submit_light_work(3);
    ASSERT_TRUE(worker.simulation.run_until(
        [&worker]
        {
            return worker.tail_latency() > target - 5ms;
        }));
    ASSERT_EQ(worker.running_light_tasks(), 3U);
    worker.simulation.kill(*worker.simulation.owner());
    ASSERT_TRUE(worker.simulation.run_until(
        [&worker]
        {
            return worker.simulation.working_owner().has_value();
        }));
    ASSERT_TRUE(worker.is_disturbed());
    ASSERT_GT(worker.tail_latency(), target + 10ms);
    worker.simulation.run(300ms);
    EXPECT_FALSE(worker.is_disturbed());
    EXPECT_EQ(worker.running_light_tasks(), 3U);
}

// Guards against a wait for the last resort that a report without a measurement
// starts anew.
TEST(pool_serving_latency, a_report_without_a_measurement_does_not_end_a_miss)
{
    shared_worker worker("load=55 swing=35 swing_ms=40000");
    int reports = 0;
    worker.simulation.worker_answer = [&reports](ports::order_reply& reply)
    {
        bool const lacks_it = ++reports % 10 == 0;
        for (auto& row : reply.running)
        {
            row.measurement = lacks_it ? 0 : row.measurement;
        }
        return false;
    };
    worker.simulation.run(22s);
    worker.submit_light_work(3);
    ASSERT_TRUE(worker.simulation.run_until(
        [&worker]
        {
            return worker.tail_latency() > target + 1ms;
        }));
    ASSERT_EQ(worker.running_light_tasks(), 3U);
    worker.simulation.run(2500ms);
    EXPECT_FALSE(worker.is_disturbed());
}

// Guards against rounds of placing that examine every worker with idle cores
// for work that none of them bears, until the owner is out of processor time.
TEST(pool_serving_latency,
     workers_that_bear_no_more_are_not_examined_each_round)
{
    shared_worker worker("load=88");
    worker.submit_light_work(8);
    worker.simulation.run(1s);
    auto const scored = [&worker]
    {
        return worker.simulation.owner_at(*worker.simulation.owner())
            .counters()
            .scored;
    };
    auto const before = scored();
    worker.simulation.run(10s);
    EXPECT_EQ(scored(), before);
}
