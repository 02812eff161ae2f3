#include "planner_system.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace fuchsia::tests::unit::tasks;
using namespace std::chrono_literals;

namespace
{

/// Planners that have joined and shared out the cells, and one contract.
struct planners : testing::Test
{
    explicit planners(system_options options = {}) : system(std::move(options))
    {
        system.put_contract("estate", {64000, 256000, 0});
        for (std::size_t slot = 0; slot < 3; ++slot)
        {
            system.start(slot);
        }
        EXPECT_TRUE(system.run_until(
            [this]
            {
                return system.settled();
            },
            30s));
        system.run(3s);
    }

    ~planners() override
    {
        EXPECT_EQ(system.violation, "");
    }

    void submit(std::string const& body, std::size_t planner = 0)
    {
        auto const answer = system.ask(planner, "POST", "/v1/jobs", body);
        EXPECT_EQ(answer.status, 200) << answer.body;
    }

    bool reaches(std::string const& job, std::string const& state, duration in)
    {
        auto const until = system.time.now() + in;
        while (system.time.now() < until)
        {
            if (system.state_of(job) == state)
            {
                return true;
            }
            system.run(300ms);
        }
        return system.state_of(job) == state;
    }

    planner_system system;
};

} // namespace

TEST_F(planners, run_a_batch_job_to_its_end)
{
    submit(job_json("report", "estate", "batch", 1000, 4, 3000));
    EXPECT_TRUE(reaches("report", "finished", 30s))
        << system.state_of("report");
    EXPECT_EQ(system.workers.starts, 4U);
}

TEST_F(planners, start_urgent_work_in_time)
{
    submit(job_json(
        "urgent", "estate", "service", 1000, 1, 0, ",\"urgent\":true"));
    EXPECT_TRUE(system.run_until(
        [this]
        {
            return system.workers.starts == 1;
        },
        1400ms));
}
