#include "latency_target_check.hpp"

#include "unit/walks/seed_count.hpp"

#include <array>
#include <gtest/gtest.h>
#include <random>
#include <string>

// Serving tasks whose load swings within seconds, beside best-effort tasks of
// images that disturb them by different amounts, without any other disturbance.
using namespace fuchsia::core::pool;
using namespace fuchsia::tests::unit::pool;
using fuchsia::tests::unit::walks::seed_count;

namespace
{

constexpr std::size_t instances = 2;
constexpr std::size_t workers = 6;
constexpr std::uint64_t default_seeds = 100;
constexpr duration target = 120ms;
constexpr duration length = 60s;
/// Time on end that a serving task may miss its target because of best-effort
/// tasks: the `harm_ms` of the strictest deployment.
constexpr duration limit = 4s;

class serving_latency_walk
{
public:
    explicit serving_latency_walk(std::uint64_t seed)
        : random_(seed), simulation_(instances, workers),
          check_(simulation_, {{"serving0", target}, {"serving1", target}})
    {
        run_until_owned(simulation_);
        submit_serving("serving0");
        submit_serving("serving1");
        simulation_.run(3s);
    }

    void run()
    {
        auto const until = simulation_.now() + length;
        while (simulation_.now() < until)
        {
            submit_best_effort();
            check_.run(std::chrono::milliseconds(draw(1200)));
        }
    }

    latency_target_check const& check() const
    {
        return check_;
    }

    std::string const& violation() const
    {
        return simulation_.violation();
    }

    /// Best-effort tasks that are done.
    std::uint64_t done()
    {
        auto const owner = simulation_.owner();
        return owner ? simulation_.owner_at(*owner).counters().tasks_done : 0;
    }

private:
    std::uint64_t draw(std::uint64_t bound)
    {
        return random_() % bound;
    }

    void submit_serving(std::string const& id)
    {
        auto job = simple_job(workers, 1s);
        auto& step = job.steps.front();
        step.declared = {2000, 1000, 0};
        step.long_running = true;
        step.max_per_worker = 1;
        step.image = id;
        step.tail_target = target;
        job.spec = "lasts tail=20 error=30 cores=2000 load=" +
                   std::to_string(40 + draw(30)) +
                   " swing=" + std::to_string(draw(25)) +
                   " swing_ms=" + std::to_string(8000 + draw(16'000));
        simulation_.submit(0, id, job);
    }

    void submit_best_effort()
    {
        // In percent: three images that count as harmless, and a heavy one.
        constexpr std::array<int, 4> pressures{20, 35, 45, 150};
        auto const image = draw(pressures.size());
        auto job = simple_job(1 + draw(12),
                              1s + std::chrono::milliseconds(draw(3000)));
        auto& step = job.steps.front();
        step.declared = {900, 100, 0};
        step.best_effort = true;
        step.image = "image" + std::to_string(image);
        job.spec +=
            " cores=900 error=15 press=" + std::to_string(pressures[image]);
        simulation_.submit(0, "job" + std::to_string(next_job_++), job);
    }

    std::mt19937_64 random_;
    pool_simulation simulation_;
    latency_target_check check_;
    int next_job_ = 0;
};

} // namespace

// Guards against serving tasks that miss their latency target for seconds on
// end because of best-effort tasks that work on beside them.
TEST(pool_serving_latency_walk, no_task_misses_its_target_for_long)
{
    for (std::uint64_t seed = 1; seed <= seed_count(default_seeds); ++seed)
    {
        serving_latency_walk walk(seed);
        walk.run();
        EXPECT_LT(walk.check().longest(), limit)
            << "seed " << seed << ": " << walk.check().longest_at();
        EXPECT_EQ(walk.violation(), "") << "seed " << seed;
    }
}
