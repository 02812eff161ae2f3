#include "pool_simulation.hpp"

#include "unit/walks/seed_count.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

// Random jobs with tasks that crash their workers, beside jobs without, while
// owners are killed, workers restart, are cut off and shrink. The tasks that
// crash workers are given up within their budget; all other jobs complete. An
// owner that is killed within a second of a crash forgets it, for which the
// budget has room twice.
using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
using fuchsia::tests::unit::walks::seed_count;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;
constexpr std::size_t workers = 16;
constexpr int max_kills = 2;
constexpr std::size_t max_crashing_jobs = 4;
constexpr std::uint64_t default_seeds = 100;

class crash_walk
{
public:
    explicit crash_walk(std::uint64_t seed)
        : random_(seed), simulation_(instances, workers)
    {
        simulation_.set_crash_recovery(duration(1s) + random_duration(4),
                                       draw(2) == 0);
        simulation_.worker_fault = [this](std::size_t,
                                          std::size_t worker,
                                          ports::pool_operation const&)
        {
            return worker == cut_off_ ? fault_effect::request_lost
                                      : fault_effect::carried_out;
        };
        run_until_owned(simulation_);
    }

    /// Returns the first violation; empty if there is none.
    std::string run()
    {
        for (int step = 0; step < 40; ++step)
        {
            act();
            simulation_.run(std::chrono::milliseconds(1 + draw(1000)));
        }
        cut_off_.reset();
        for (std::size_t worker = 0; worker < workers; ++worker)
        {
            simulation_.set_capacity(worker, {8000, 8000, 0});
        }
        check_jobs();
        return simulation_.violation().empty() ? violation_
                                               : simulation_.violation();
    }

private:
    std::uint64_t draw(std::uint64_t limit)
    {
        return random_() % limit;
    }

    duration random_duration(std::uint64_t max_seconds)
    {
        return std::chrono::milliseconds(draw(max_seconds * 1000));
    }

    void act()
    {
        switch (draw(12))
        {
        case 0:
            submit(crashing_jobs_ < max_crashing_jobs);
            return;
        case 1:
            kill_owner();
            return;
        case 2:
            simulation_.crash_worker(draw(workers));
            return;
        case 3:
            cut_off_ =
                draw(2) == 0 ? std::nullopt : std::optional(draw(workers));
            return;
        case 4:
            simulation_.set_capacity(
                draw(workers),
                {static_cast<std::int64_t>(draw(5) * 2000), 8000, 0});
            return;
        default:
            submit(false);
            return;
        }
    }

    void submit(bool crashes)
    {
        auto job = simple_job(1 + draw(4), 200ms + random_duration(3));
        if (crashes)
        {
            job.spec += " crash crash_index=0 crash_after=" +
                        std::to_string(draw(2) == 0 ? 10 : draw(1500));
            job.spec.replace(0, job.spec.find(' '), "work=5000");
        }
        crashing_jobs_ += crashes ? 1 : 0;
        auto const id = "job" + std::to_string(next_job_++);
        auto const request = simulation_.submit(draw(instances), id, job);
        submitted_.push_back({id, request, crashes});
    }

    void kill_owner()
    {
        auto const owner = simulation_.owner();
        if (owner && kills_++ < max_kills)
        {
            simulation_.kill(*owner);
            simulation_.start(*owner);
        }
    }

    bool ends_as(std::string const& id, job_state expected)
    {
        return simulation_.run_until(
            [this, &id, expected]
            {
                auto const owner = simulation_.owner();
                return owner && simulation_.state(*owner, id) == expected;
            },
            60s);
    }

    void check_jobs()
    {
        for (auto const& job : submitted_)
        {
            auto const answer = simulation_.answer(job.request);
            bool const accepted =
                answer && std::holds_alternative<ports::job_accepted>(*answer);
            auto const expected =
                job.crashes ? job_state::failed : job_state::completed;
            if (accepted && !ends_as(job.id, expected) && violation_.empty())
            {
                violation_ =
                    job.id + (job.crashes
                                  ? " crashes workers and is not given up"
                                  : " does not complete");
            }
        }
    }

    struct submission
    {
        std::string id;
        std::uint64_t request = 0;
        bool crashes = false;
    };

    std::mt19937_64 random_;
    pool_simulation simulation_;
    std::optional<std::size_t> cut_off_;
    std::vector<submission> submitted_;
    std::size_t next_job_ = 0;
    std::size_t crashing_jobs_ = 0;
    int kills_ = 0;
    std::string violation_;
};

} // namespace

// Guards against faults in combination that hide crashes from the count, or
// that put blame on tasks that only ran beside.
TEST(pool_crash_walk, crashing_tasks_are_given_up_and_all_others_complete)
{
    for (std::uint64_t seed = 1; seed <= seed_count(default_seeds); ++seed)
    {
        EXPECT_EQ(crash_walk(seed).run(), "") << "seed " << seed;
    }
}
