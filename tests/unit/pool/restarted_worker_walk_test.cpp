#include "pool_simulation.hpp"

#include "unit/walks/seed_count.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Workers that start again under their ids time and again, while jobs of short
// and long tasks are submitted, orders and their answers are lost or late, and
// owners are killed. Then all is calm, and every job has to end.
using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
using fuchsia::tests::unit::walks::seed_count;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::uint64_t default_seeds = 150;
constexpr std::size_t instances = 2;
constexpr std::size_t workers = 4;
constexpr int actions = 40;
constexpr duration finish_time = 30s;
constexpr duration longest_pause = 600ms; // Between two actions.
constexpr duration longest_down_time = 3s;
constexpr duration longest_late_delay = 12s;

class restarted_worker_walk
{
public:
    explicit restarted_worker_walk(std::uint64_t seed) : random_(seed)
    {
        simulation_.run(1s);
    }

    /// Lets orders be carried out late by up to `longest_late_delay`, and some
    /// workers be down for a while before they are back. What is drawn for it
    /// leaves the other draws of a seed as they are.
    void delay_orders_for_seconds(std::uint64_t seed)
    {
        late_draws_.emplace(seed);
    }

    void run()
    {
        choose_faults();
        for (int action = 0; action < actions; ++action)
        {
            act();
            simulation_.run(random_duration(longest_pause));
        }
        simulation_.worker_fault = nullptr;
        for (std::size_t number = 0; number < instances; ++number)
        {
            simulation_.start(number);
        }
        simulation_.run_until(
            [this]
            {
                return jobs_without_end().empty();
            },
            finish_time);
    }

    /// Returns the first violation of an invariant by what ran; empty if there
    /// is none.
    std::string const& violation() const noexcept
    {
        return simulation_.violation();
    }

    /// Returns the accepted jobs that are neither completed nor failed.
    std::vector<std::string> jobs_without_end()
    {
        return accepted_jobs(
            [](std::string const&, std::optional<job_state> state)
            {
                return state != job_state::completed &&
                       state != job_state::failed;
            });
    }

    /// Returns the failed jobs without a task under which two workers crashed.
    std::vector<std::string> jobs_given_up_too_early()
    {
        return accepted_jobs(
            [this](std::string const& id, std::optional<job_state> state)
            {
                return state == job_state::failed &&
                       !simulation_.may_be_given_up(id);
            });
    }

private:
    std::uint64_t draw(std::uint64_t limit)
    {
        return random_() % limit;
    }

    duration random_duration(duration limit)
    {
        auto const limit_ms = core::common::to_milliseconds(limit);
        return std::chrono::milliseconds(
            draw(static_cast<std::uint64_t>(limit_ms)));
    }

    void act()
    {
        switch (draw(8))
        {
        case 0:
        case 1:
        case 2:
            submit();
            return;
        case 3:
        case 4:
        case 5:
            restart(draw(workers));
            return;
        case 6:
            choose_faults();
            return;
        default:
            replace_owner();
        }
    }

    duration late_duration(duration limit)
    {
        auto const limit_ms = core::common::to_milliseconds(limit);
        return std::chrono::milliseconds((*late_draws_)() %
                                         static_cast<std::uint64_t>(limit_ms));
    }

    void restart(std::size_t worker)
    {
        if (!late_draws_ || (*late_draws_)() % 2 == 0)
        {
            simulation_.restart_worker(worker);
            return;
        }
        simulation_.set_crash_recovery(late_duration(longest_down_time), true);
        simulation_.crash_worker(worker);
    }

    // The tasks last for 1 ms to 2 s, and are fewer than the workers can run.
    void submit()
    {
        constexpr duration lengths[] = {1ms, 5ms, 50ms, 300ms, 2s};
        auto const count = 1 + static_cast<std::uint32_t>(draw(3));
        auto const id = "job" + std::to_string(requests_.size());
        requests_[id] = simulation_.submit(
            draw(instances),
            id,
            simple_job(count, lengths[draw(std::size(lengths))]));
    }

    void choose_faults()
    {
        if (late_draws_)
        {
            simulation_.set_late_delay(
                default_late_delay +
                late_duration(longest_late_delay - default_late_delay));
        }
        auto const share = draw(2) == 0 ? 0 : draw(60);
        simulation_.worker_fault = [this, share](std::size_t,
                                                 std::size_t,
                                                 ports::pool_operation const&)
        {
            constexpr fault_effect effects[] = {fault_effect::answer_lost,
                                                fault_effect::request_lost,
                                                fault_effect::refused,
                                                fault_effect::executed_late,
                                                fault_effect::delayed};
            return draw(100) < share ? effects[draw(std::size(effects))]
                                     : fault_effect::carried_out;
        };
    }

    void replace_owner()
    {
        if (auto const owner = simulation_.owner())
        {
            simulation_.kill(*owner);
            simulation_.start(*owner);
        }
    }

    template<class Condition>
    std::vector<std::string> accepted_jobs(Condition const& condition)
    {
        std::vector<std::string> result;
        for (auto const& [id, request] : requests_)
        {
            auto const answer = simulation_.answer(request);
            bool const accepted =
                answer && std::holds_alternative<ports::job_accepted>(*answer);
            if (accepted && condition(id, simulation_.state(0, id)))
            {
                result.push_back(id);
            }
        }
        return result;
    }

    std::mt19937_64 random_;
    /// Draws of late orders; empty if they are all late by the same time.
    std::optional<std::mt19937_64> late_draws_;
    pool_simulation simulation_{instances, workers};
    std::map<std::string, std::uint64_t> requests_; ///< By id of the job.
};

} // namespace

// Guards against tasks that run twice or never when their workers restart, in
// orders of events that no other test has thought of.
TEST(pool_restarted_worker_walk, no_task_runs_twice_and_all_jobs_end)
{
    for (std::uint64_t seed = 0; seed < seed_count(default_seeds); ++seed)
    {
        restarted_worker_walk walk(seed);
        walk.run();
        EXPECT_EQ(walk.violation(), "") << "seed " << seed;
        EXPECT_EQ(walk.jobs_without_end(), std::vector<std::string>())
            << "seed " << seed;
    }
}

// Guards against tasks that run twice because an order is carried out seconds
// late, by an incarnation that started in between.
TEST(pool_restarted_worker_walk, no_task_runs_twice_by_orders_of_seconds_ago)
{
    for (std::uint64_t seed = 0; seed < seed_count(default_seeds); ++seed)
    {
        restarted_worker_walk walk(seed);
        walk.delay_orders_for_seconds(seed);
        walk.run();
        EXPECT_EQ(walk.violation(), "") << "seed " << seed;
        EXPECT_EQ(walk.jobs_without_end(), std::vector<std::string>())
            << "seed " << seed;
    }
}

// Guards against jobs that are shown as failed because of restarts of workers
// that did not run their tasks.
TEST(pool_restarted_worker_walk, no_job_is_given_up_without_two_crashes)
{
    for (std::uint64_t seed = 0; seed < seed_count(default_seeds); ++seed)
    {
        restarted_worker_walk walk(seed);
        walk.run();
        EXPECT_EQ(walk.jobs_given_up_too_early(), std::vector<std::string>())
            << "seed " << seed;
    }
}
