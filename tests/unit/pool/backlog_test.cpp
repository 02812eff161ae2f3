#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;

// Each instance says that it does not know, or no less than half of them.
void expect_at_least_half(pool_simulation& simulation, std::size_t waiting)
{
    for (std::size_t number = 0; number < instances; ++number)
    {
        auto const told = simulation.reported_waiting_jobs(number);
        EXPECT_TRUE(!told || *told * 2 >= waiting)
            << "instance " << number << " tells " << told.value_or(0) << " of "
            << waiting;
    }
}

// All workers are busy for a minute.
void fill(pool_simulation& simulation, std::size_t at)
{
    submit_many(simulation, at, "fills", simulation.worker_count(), simple_job(8, 60s));
    simulation.run(1s);
}

} // namespace

// Two instances told 7 waiting jobs while 17 and 19 had waited for five seconds
// and hardly any was served. They read the record of an owner that is gone,
// whatever its age, while nobody who owns can begin; the record now names the
// revision up to which its owner had heard of jobs.
TEST(pool_backlog, is_not_told_from_the_record_of_an_owner_that_is_gone)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    fill(simulation, other);
    submit_many(simulation, other, "first", 1, simple_job(1, 1s));
    simulation.run(2s);
    ASSERT_EQ(simulation.reported_waiting_jobs(other), 1U);
    // Whoever claims now never gets the state.
    simulation.store_fault = [](std::size_t, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        bool const state = pages != nullptr && pages->prefix == "pool/";
        return state ? fault_effect::request_lost : fault_effect::carried_out;
    };
    simulation.kill(owner);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(6s);
    simulation.start(owner);
    simulation.run(1s);
    expect_at_least_half(simulation, 21);
}

// Instances told 39 of 139 waiting jobs while an owner's commits took 0.4 s. It
// wrote the whole progress of a job for each end that it heard of, each write
// behind the one before; 105,000 of them stood before the counts on a pool of
// 1,100 workers, by its own line, while it heard of jobs within 0.2 s.
TEST(pool_backlog, is_not_late_behind_the_ends_of_a_slow_owner)
{
    constexpr std::size_t workers = 16;
    pool_simulation simulation(instances, workers);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    simulation.set_commit_delay(owner, 400ms);
    for (std::size_t round = 0; round < 20; ++round)
    {
        submit_many(simulation,
                    other,
                    "round" + std::to_string(round) + ".",
                    20,
                    simple_job(16, 100ms));
        simulation.run(500ms);
    }
    submit_many(simulation, other, "fills", workers, simple_job(8, 60s));
    simulation.run(1s);
    submit_many(simulation, other, "later", 40, simple_job(1, 1s));
    simulation.run(5s);
    auto const truth = simulation.owner_at(owner).pending()["q"];
    expect_at_least_half(simulation, truth);
    EXPECT_GE(truth, 40U);
    EXPECT_LE(simulation.owner_at(owner).commits().lag(simulation.now()), 2s);
}

// Callers of a healthy pool are told the count, whichever instance they ask.
TEST(pool_backlog, is_told_while_all_is_well)
{
    pool_simulation simulation(instances, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(2s);
    for (std::size_t step = 0; step < 150; ++step)
    {
        // Jobs come for five seconds, then none, then again.
        if (step / 50 != 1)
        {
            simulation.submit(step % instances,
                         "job" + std::to_string(step),
                         simple_job(2, 500ms));
        }
        simulation.run(100ms);
        EXPECT_TRUE(simulation.reported_waiting_jobs(step % instances).has_value())
            << "step " << step;
    }
}

// An owner that wakes from a pause tells what it knew before.
TEST(pool_backlog, is_not_told_from_memory_of_before_a_pause)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    fill(simulation, other);
    simulation.freeze(owner, 6s);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(5900ms);
    EXPECT_FALSE(simulation.reported_waiting_jobs(owner).value_or(20) < 10);
}

// An owner that is cut from the store tells too few of the jobs that others
// accept.
TEST(pool_backlog, is_not_told_by_an_owner_that_hears_of_no_jobs)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    fill(simulation, other);
    simulation.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        bool const watches = std::holds_alternative<ports::kv_watch>(call);
        return at == owner && watches ? fault_effect::request_lost
                                      : fault_effect::carried_out;
    };
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(6s);
    expect_at_least_half(simulation, 20);
}

// An owner tells 0 of 20 after a watch that answered with nothing for a while.
TEST(pool_backlog, a_deaf_watch_of_jobs_does_not_count_as_heard)
{
    pool_simulation simulation(3, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    fill(simulation, other);
    simulation.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        return at == owner && watches_jobs(call) ? fault_effect::watch_stalled
                                                 : fault_effect::carried_out;
    };
    simulation.run(1500ms);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(1500ms);
    simulation.store_fault = nullptr;
    simulation.run(4500ms);
    for (std::size_t number = 0; number < 3; ++number)
    {
        auto const told = simulation.reported_waiting_jobs(number);
        EXPECT_TRUE(!told || *told >= 10)
            << "instance " << number << " tells " << told.value_or(0);
    }
}

// Instances tell 0 of 20 while an owner reads all jobs again, page by page.
TEST(pool_backlog, jobs_on_pages_to_come_do_not_count_as_heard)
{
    pool_simulation simulation(3, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    auto small = simple_job(1, 60s);
    small.steps.front().declared = {1, 1, 0};
    submit_many(simulation, other, "a", 600, small);
    submit_many(simulation, other, "fills", 1, simple_job(7, 60s));
    simulation.run(4s);
    ASSERT_EQ(simulation.owner_at(owner).pending()["q"], 0U);
    bool cut = true;
    simulation.store_fault =
        [owner, &cut](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const pages = std::get_if<ports::kv_range>(&call);
        bool const later_page = pages != nullptr && pages->prefix == "pool/" &&
                                !pages->after.empty();
        bool const hit =
            at == owner && ((cut && watches_jobs(call)) || later_page);
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    simulation.run(200ms);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(200ms);
    simulation.store().compact();
    cut = false;
    simulation.run(4700ms);
    for (int step = 0; step < 8; ++step)
    {
        simulation.run(100ms);
        auto const told = simulation.reported_waiting_jobs(other);
        EXPECT_TRUE(!told || *told >= 10)
            << "step " << step << " tells " << told.value_or(0);
    }
    EXPECT_EQ(simulation.owner(), owner);
}

// Callers are refused a count although the store is merely slow.
TEST(pool_backlog, a_count_is_told_while_the_store_answers_in_400_ms)
{
    pool_simulation simulation(3, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const others_write = [&simulation](duration how_long)
    {
        for (duration done{}; done < how_long; done += 20ms)
        {
            simulation.store().put("noise", "x");
            simulation.run(20ms);
        }
    };
    others_write(2s);
    simulation.set_store_latency(200ms);
    others_write(3s);
    std::size_t refused = 0;
    std::vector<std::uint64_t> asked;
    for (std::size_t step = 0; step < 100; ++step)
    {
        if (step < 50)
        {
            simulation.submit(0, "job" + std::to_string(step), simple_job(2, 500ms));
        }
        asked.push_back(simulation.query(step % 3, ""));
        others_write(200ms);
    }
    others_write(2s);
    for (auto const each : asked)
    {
        auto const got = simulation.answer(each);
        bool const told =
            got && std::holds_alternative<ports::queue_status>(*got);
        refused += told ? 0U : 1U;
    }
    EXPECT_EQ(refused, 0U) << "of " << asked.size();
}
