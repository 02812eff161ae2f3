#include "pool_simulation.hpp"

#include "unit/walks/seed_count.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// A pool without enough room, whose owners change in series while workers can't
// be reached by anybody, for less and for more than a takeover waits. What a
// worker lists when it is reached again comes long after its runs were given
// up, and the tasks still wait for room. The checks are the invariants of the
// simulation.
using namespace fuchsia::tests::unit::pool;
using fuchsia::core::pool::job;
using fuchsia::ports::job_state;
using fuchsia::tests::unit::walks::seed_count;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::uint64_t default_seeds = 20;
constexpr std::uint64_t seeds_of_unclear_commits = 6;
constexpr std::size_t instances = 4;
constexpr std::size_t workers = 6;
constexpr int series_total = 4;
/// Most workers that can't be reached at a time: a successor needs answers of
/// more than half of them.
constexpr std::size_t max_cut_workers = 2;
constexpr std::uint64_t shortest_cut_ms = 3'000;
constexpr std::uint64_t longest_cut_ms = 16'000;
constexpr duration instance_down_time = 600ms;
constexpr duration store_cut = 500ms;
/// Longer than the pool needs for all jobs of a walk.
constexpr duration finish_time = 300s;

class late_ends_walk
{
public:
    /// `store_effect` is what becomes of calls while the store is cut off.
    late_ends_walk(std::uint64_t seed, fault_effect store_effect)
        : random_(seed), simulation_(instances, workers)
    {
        simulation_.worker_fault = [this](std::size_t,
                                          std::size_t worker,
                                          ports::pool_operation const&)
        {
            bool const cut = simulation_.now() < cut_until_[worker];
            return cut ? fault_effect::request_lost : fault_effect::carried_out;
        };
        simulation_.store_fault =
            [this, store_effect](std::size_t, ports::kv_operation const&)
        {
            bool const cut = simulation_.now() < store_cut_until_;
            return cut ? store_effect : fault_effect::carried_out;
        };
    }

    /// Returns what is wrong; empty if nothing is.
    std::string run()
    {
        if (!run_until_owned(simulation_))
        {
            return "no owner at first";
        }
        simulation_.run(2s);
        for (int series = 0; series < series_total; ++series)
        {
            change_owners();
            run_with_traffic(milliseconds(4'000, 14'000));
        }
        std::fill(cut_until_.begin(), cut_until_.end(), time_point{});
        simulation_.run(instance_down_time);
        restart_killed();
        auto const unfinished = unfinished_jobs();
        return simulation_.violation().empty() ? unfinished
                                               : simulation_.violation();
    }

private:
    // Changes the owner a few times, each before its successor has worked long.
    void change_owners()
    {
        for (auto left = 2 + draw(3); left > 0; --left)
        {
            act();
            run_with_traffic(milliseconds(200, 1'500));
        }
    }

    // Jobs arrive faster than the pool can run them.
    void run_with_traffic(duration length)
    {
        auto const until = simulation_.now() + length;
        while (simulation_.now() < until)
        {
            submit(3 + draw(4));
            simulation_.run(
                std::min<duration>(until - simulation_.now(), 600ms));
            restart_killed();
        }
    }

    std::uint64_t draw(std::uint64_t limit)
    {
        return random_() % limit;
    }

    duration milliseconds(std::uint64_t least, std::uint64_t most)
    {
        return std::chrono::milliseconds(least + draw(most - least + 1));
    }

    void submit(std::uint64_t count)
    {
        for (std::uint64_t number = 0; number < count; ++number)
        {
            auto const id = "j" + std::to_string(jobs_.size());
            auto const drawn = draw_job();
            jobs_[id] = drawn.spec.find("fail") != std::string::npos;
            simulation_.submit(draw(instances), id, drawn);
        }
    }

    // Returns a job of one or two steps, or a gang. Some fail at first.
    job draw_job()
    {
        auto const tasks = static_cast<std::uint32_t>(1 + draw(6));
        auto const work = milliseconds(100, 3000);
        auto result = simple_job(tasks, work);
        result.steps.front().declared.millicores = 2000;
        auto const kind = draw(5);
        if (kind == 0)
        {
            result.steps.front().count = 2;
            result.steps.front().gang = true;
        }
        else if (kind < 3)
        {
            auto second = result.steps.front();
            second.after = {0};
            result.steps.push_back(second);
        }
        result.spec += draw(6) == 0 ? " fail_first" : "";
        return result;
    }

    void act()
    {
        switch (draw(5))
        {
        case 0:
            kill_holder();
            return;
        case 1:
            cut_worker();
            return;
        case 2:
        case 3:
            cut_worker();
            kill_holder();
            return;
        default:
            store_cut_until_ = simulation_.now() + store_cut;
            kill_holder();
        }
    }

    void kill_holder()
    {
        auto const holder = simulation_.claim_holder();
        if (holder)
        {
            simulation_.kill(*holder);
            down_until_[*holder] = simulation_.now() + instance_down_time;
        }
    }

    void cut_worker()
    {
        auto const now = simulation_.now();
        auto const cut = std::count_if(cut_until_.begin(),
                                       cut_until_.end(),
                                       [now](time_point until)
                                       {
                                           return until > now;
                                       });
        if (static_cast<std::size_t>(cut) < max_cut_workers)
        {
            cut_until_[draw(workers)] =
                now + milliseconds(shortest_cut_ms, longest_cut_ms);
        }
    }

    void restart_killed()
    {
        for (std::size_t number = 0; number < instances; ++number)
        {
            if (down_until_[number] &&
                simulation_.now() >= *down_until_[number])
            {
                down_until_[number].reset();
                simulation_.start(number);
            }
        }
    }

    // Jobs that were refused are unknown. Runs with the number 1 of some jobs
    // fail, and each owner may number the runs from 1 again, so these jobs may
    // fail.
    std::string unfinished_jobs()
    {
        simulation_.run(10s);
        auto const until = simulation_.now() + finish_time;
        for (auto const& [id, may_fail] : jobs_)
        {
            auto state = simulation_.state(0, id);
            while (state && is_open(*state) && simulation_.now() < until)
            {
                simulation_.run(500ms);
                state = simulation_.state(0, id);
            }
            bool const failed = state == job_state::failed;
            if (state && (is_open(*state) || (failed && !may_fail)))
            {
                return id + (failed ? " failed" : " is not finished");
            }
        }
        return "";
    }

    static bool is_open(job_state state)
    {
        return state == job_state::queued || state == job_state::active;
    }

    std::mt19937_64 random_;
    pool_simulation simulation_;
    /// Whether the job may fail, by id.
    std::map<std::string, bool> jobs_;
    std::vector<time_point> cut_until_ = std::vector<time_point>(workers);
    std::vector<std::optional<time_point>> down_until_ =
        std::vector<std::optional<time_point>>(instances);
    time_point store_cut_until_{};
};

} // namespace

// Guards against a task that starts again long after its end as done was
// listed, under owners that change in series (incident 62).
TEST(pool_late_ends_walk, no_task_starts_again_after_its_end_is_listed)
{
    for (std::uint64_t seed = 1; seed <= seed_count(default_seeds); ++seed)
    {
        late_ends_walk walk(seed, fault_effect::request_lost);
        EXPECT_EQ(walk.run(), "") << "seed " << seed;
    }
}

// Guards against an end that is acknowledged although the commit that holds it
// had no answer, or took effect late, while owners change in series.
TEST(pool_late_ends_walk, no_task_starts_again_after_commits_without_an_answer)
{
    for (std::uint64_t seed = 1; seed <= seed_count(seeds_of_unclear_commits);
         ++seed)
    {
        for (auto const effect :
             {fault_effect::answer_lost, fault_effect::executed_late})
        {
            late_ends_walk walk(seed, effect);
            EXPECT_EQ(walk.run(), "")
                << "seed " << seed << " effect " << static_cast<int>(effect);
        }
    }
}
