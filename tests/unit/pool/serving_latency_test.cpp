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
    explicit shared_worker(int load_percent)
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
        job.spec =
            "lasts tail=20 cores=2000 load=" + std::to_string(load_percent);
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

    pool_simulation simulation;
    latency_target_check check;
};

} // namespace

// Guards against a round of placing that starts so many harmless tasks on one
// worker that together they bring its serving task over the target.
TEST(pool_serving_latency, a_round_places_no_more_than_the_measured_slack_bears)
{
    // The headroom is 2.
    shared_worker worker(67);
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
    shared_worker worker(88);
    worker.submit_light_work(8);
    worker.check.run(10s);
    EXPECT_EQ(worker.running_light_tasks(), 0U);
}
