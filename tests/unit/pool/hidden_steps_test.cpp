#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <array>
#include <set>
#include <string>
#include <vector>

// Steps that no worker can take wait at the head of the queue. They must not
// keep those behind them from workers that are free.

using namespace fuchsia::tests::unit::pool;
using fuchsia::core::pool::job;
using fuchsia::ports::job_state;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t workers = 4;

/// Reason for which no worker can take a step.
enum class obstacle : std::uint8_t
{
    label,          ///< No worker has the label.
    size,           ///< The task is larger than any worker.
    gang,           ///< All workers together are too small for the gang.
    gang_of_a_rack, ///< The same for a gang that would like one rack.
};

constexpr std::array<char const*, 4> names{
    "label", "size", "gang", "gang_of_a_rack"};

// Returns a job that waits for ever and, since it repeats, never becomes late
// and sinks in the queue. Jobs with different numbers differ in what they need,
// so that the failure of one tells nothing about the others.
job hopeless_job(obstacle why, std::size_t number)
{
    constexpr std::int64_t more_than_any_worker = 9000;
    auto result = simple_job(1, 1s);
    result.occurrences = 2;
    auto& step = result.steps.front();
    step.image = "image-" + std::to_string(number);
    switch (why)
    {
    case obstacle::label:
        step.required_label = "gone-" + std::to_string(number);
        break;
    case obstacle::size:
        step.declared.millicores = more_than_any_worker;
        break;
    case obstacle::gang_of_a_rack:
    case obstacle::gang:
        step.count = 2 * workers + 1;
        step.declared.millicores = more_than_any_worker / 2;
        step.gang = true;
        step.same_rack = why == obstacle::gang_of_a_rack;
        break;
    }
    return result;
}

void submit_hopeless(pool_simulation& simulation,
                     std::size_t count,
                     std::vector<obstacle> const& reasons)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        simulation.submit(
            *simulation.owner(),
            "hopeless" + std::to_string(number),
            hopeless_job(reasons[number % reasons.size()], number));
    }
    simulation.run(2s);
}

// Returns whether a job that is submitted now starts in time on the workers,
// which are free.
bool starts_within(pool_simulation& simulation, duration limit)
{
    submit_many(
        simulation, *simulation.owner(), "plain", 1, simple_job(2, 100ms));
    return simulation.run_until(
        [&simulation]
        {
            return simulation.starts_of({"plain0", 0, 0, 0}) == 1;
        },
        limit);
}

} // namespace

class pool_hidden_steps : public testing::TestWithParam<obstacle>
{
};

// Guards against a queue that stands still behind more hopeless steps than a
// round examines.
TEST_P(pool_hidden_steps, hopeless_steps_do_not_hide_others)
{
    pool_simulation simulation(3, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    submit_hopeless(simulation, 150, {GetParam()});
    EXPECT_TRUE(starts_within(simulation, 1s));
    EXPECT_EQ(simulation.violation(), "");
}

INSTANTIATE_TEST_SUITE_P(each_reason,
                         pool_hidden_steps,
                         testing::Values(obstacle::label,
                                         obstacle::size,
                                         obstacle::gang,
                                         obstacle::gang_of_a_rack),
                         [](auto const& entry)
                         {
                             return std::string(
                                 names[static_cast<std::size_t>(entry.param)]);
                         });

// Guards against a wait that grows beyond the three seconds in which a task
// that could run has to start.
TEST(pool_hidden_steps, a_thousand_hopeless_steps_of_all_kinds_are_passed)
{
    pool_simulation simulation(3, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    submit_hopeless(simulation,
                    500,
                    {obstacle::label,
                     obstacle::gang,
                     obstacle::size,
                     obstacle::gang_of_a_rack});
    EXPECT_TRUE(starts_within(simulation, 3s));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against work that stays behind after a worker that can take it has
// appeared, and against later work that goes before earlier.
TEST(pool_hidden_steps, the_first_of_them_starts_when_a_worker_can_take_it)
{
    pool_simulation simulation(3, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    submit_many(simulation,
                *simulation.owner(),
                "large",
                300,
                hopeless_job(obstacle::size, 0));
    simulation.run(2s);
    simulation.set_capacity(0, {10'000, 10'000, 0});
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.starts_of({"large0", 0, 0, 0}) == 1;
        },
        2s));
    for (std::size_t number = 1; number < 300; ++number)
    {
        EXPECT_EQ(
            simulation.starts_of({"large" + std::to_string(number), 0, 0, 0}),
            0U);
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against capacity that is kept free for work which no worker can take:
// long-running tasks would wait beside it.
TEST(pool_hidden_steps, hopeless_steps_reserve_no_capacity)
{
    pool_simulation simulation(3, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    auto hopeless = hopeless_job(obstacle::label, 0);
    hopeless.steps.front().declared.millicores = 8000;
    hopeless.steps.front().estimate = 60s;
    submit_many(simulation, *simulation.owner(), "hopeless", 20, hopeless);
    simulation.run(5s);
    auto lasting = simple_job(14, 0s);
    lasting.spec = "lasts";
    lasting.steps.front().declared.millicores = 2000;
    lasting.steps.front().long_running = true;
    submit_many(simulation, *simulation.owner(), "lasting", 1, lasting);
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return running_tasks(simulation) == 14;
        },
        3s));
}

// Guards against a log that doesn't say why a step waits, since it names only
// the reasons of the first steps and images.
TEST(pool_hidden_steps, the_log_tells_in_turn_why_each_kind_waits)
{
    constexpr std::size_t kinds = 20;
    pool_simulation simulation(3, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    for (std::size_t number = 0; number < kinds; ++number)
    {
        submit_many(simulation,
                    *simulation.owner(),
                    "kind" + std::to_string(number) + "-",
                    number == 0 ? 300 : 1,
                    hopeless_job(obstacle::label, number));
    }
    simulation.run(10s);
    std::set<std::string> images;
    for (auto const& line : simulation.log())
    {
        auto const text = text_of(line);
        auto const image = text.find("image=");
        if (line.what.event == "steps_wait" && image != std::string::npos)
        {
            images.insert(text.substr(image, text.find(' ', image) - image));
        }
    }
    EXPECT_EQ(images.size(), kinds);
}
