#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t instances = 3;

// Expects that each instance either refuses to report a count or reports at
// least half of the waiting jobs.
void expect_at_least_half(pool_simulation& simulation, std::size_t waiting)
{
    for (std::size_t number = 0; number < instances; ++number)
    {
        auto const reported = simulation.reported_waiting_jobs(number);
        EXPECT_TRUE(!reported || *reported * 2 >= waiting)
            << "instance " << number << " reports " << reported.value_or(0)
            << " of " << waiting;
    }
}

// Submits jobs that occupy all workers for a minute.
void occupy_workers(pool_simulation& simulation, std::size_t at)
{
    submit_many(
        simulation, at, "fills", simulation.worker_count(), simple_job(8, 60s));
    simulation.run(1s);
}

} // namespace

// Failure: two instances reported 7 waiting jobs while 17 and 19 had waited for
// five seconds and hardly any was served. They read the record of a failed
// owner, whatever its age, while no new owner can finish loading. The record
// now contains the revision up to which its owner had received jobs.
TEST(pool_backlog, is_not_reported_from_the_record_of_a_failed_owner)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    occupy_workers(simulation, other);
    submit_many(simulation, other, "first", 1, simple_job(1, 1s));
    simulation.run(2s);
    ASSERT_EQ(simulation.reported_waiting_jobs(other), 1U);
    // No new owner can load the state.
    simulation.store_fault = [](std::size_t, ports::kv_operation const& call)
    {
        auto const* const range = std::get_if<ports::kv_range>(&call);
        bool const reads_state = range != nullptr && range->prefix == "pool/";
        return reads_state ? fault_effect::request_lost
                           : fault_effect::carried_out;
    };
    simulation.kill(owner);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(6s);
    simulation.start(owner);
    simulation.run(1s);
    expect_at_least_half(simulation, 21);
}

// Failure: instances reported 39 of 139 waiting jobs while an owner's commits
// took 0.4 s. The owner wrote the whole progress of a job for each reported
// end, one write after the other. On a pool of 1,100 workers its log showed
// 105,000 writes queued before the counts, although it received jobs within 0.2
// s.
TEST(pool_backlog, is_not_delayed_by_the_ends_of_jobs_on_a_slow_owner)
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
    auto const waiting = simulation.owner_at(owner).pending()["q"];
    expect_at_least_half(simulation, waiting);
    EXPECT_GE(waiting, 40U);
    EXPECT_LE(simulation.owner_at(owner).commits().lag(simulation.now()), 2s);
}

// Failure: an instance of a healthy pool refuses to report the count.
TEST(pool_backlog, is_reported_by_every_instance_of_a_healthy_pool)
{
    pool_simulation simulation(instances, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(2s);
    for (std::size_t step = 0; step < 150; ++step)
    {
        // Jobs are submitted for five seconds, then none for five seconds, then
        // again.
        if (step / 50 != 1)
        {
            simulation.submit(step % instances,
                              "job" + std::to_string(step),
                              simple_job(2, 500ms));
        }
        simulation.run(100ms);
        EXPECT_TRUE(
            simulation.reported_waiting_jobs(step % instances).has_value())
            << "step " << step;
    }
}

// Failure: an owner that resumes after a pause reports the count from before
// the pause.
TEST(pool_backlog, is_not_reported_from_memory_after_a_pause)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    occupy_workers(simulation, other);
    simulation.freeze(owner, 6s);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(5900ms);
    EXPECT_FALSE(simulation.reported_waiting_jobs(owner).value_or(20) < 10);
}

// Failure: an owner whose watches of the store fail reports too few of the jobs
// that other instances accept.
TEST(pool_backlog, is_not_reported_by_an_owner_whose_watches_fail)
{
    pool_simulation simulation(instances, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    occupy_workers(simulation, other);
    simulation.store_fault =
        [owner](std::size_t at, ports::kv_operation const& call)
    {
        bool const is_watch = std::holds_alternative<ports::kv_watch>(call);
        return at == owner && is_watch ? fault_effect::request_lost
                                       : fault_effect::carried_out;
    };
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(6s);
    expect_at_least_half(simulation, 20);
}

// Failure: an owner reports 0 of 20 jobs after its watch was answered without
// changes for a while.
TEST(pool_backlog, a_stalled_watch_of_jobs_does_not_count_as_synced)
{
    pool_simulation simulation(3, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    occupy_workers(simulation, other);
    simulation.store_fault =
        [owner](std::size_t at, ports::kv_operation const& call)
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
        auto const reported = simulation.reported_waiting_jobs(number);
        EXPECT_TRUE(!reported || *reported >= 10)
            << "instance " << number << " reports " << reported.value_or(0);
    }
}

// Failure: instances report 0 of 20 jobs while an owner reads all jobs again,
// page by page.
TEST(pool_backlog, jobs_on_pages_not_yet_read_do_not_count_as_synced)
{
    pool_simulation simulation(3, 1);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    auto small_job = simple_job(1, 60s);
    small_job.steps.front().declared = {1, 1, 0};
    submit_many(simulation, other, "a", 600, small_job);
    submit_many(simulation, other, "fills", 1, simple_job(7, 60s));
    simulation.run(4s);
    ASSERT_EQ(simulation.owner_at(owner).pending()["q"], 0U);
    bool watch_cut = true;
    simulation.store_fault =
        [owner, &watch_cut](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const range = std::get_if<ports::kv_range>(&call);
        bool const later_page = range != nullptr && range->prefix == "pool/" &&
                                !range->after.empty();
        bool const affected =
            at == owner && ((watch_cut && watches_jobs(call)) || later_page);
        return affected ? fault_effect::request_lost
                        : fault_effect::carried_out;
    };
    simulation.run(200ms);
    submit_many(simulation, other, "later", 20, simple_job(1, 1s));
    simulation.run(200ms);
    simulation.store().compact();
    watch_cut = false;
    simulation.run(4700ms);
    for (int step = 0; step < 8; ++step)
    {
        simulation.run(100ms);
        auto const reported = simulation.reported_waiting_jobs(other);
        EXPECT_TRUE(!reported || *reported >= 10)
            << "step " << step << " reports " << reported.value_or(0);
    }
    EXPECT_EQ(simulation.owner(), owner);
}

// Failure: instances refuse to report a count although the store is merely
// slow.
TEST(pool_backlog, a_count_is_reported_while_the_store_answers_in_400_ms)
{
    pool_simulation simulation(3, 4);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const write_other_keys = [&simulation](duration length)
    {
        for (duration elapsed{}; elapsed < length; elapsed += 20ms)
        {
            simulation.store().put("noise", "x");
            simulation.run(20ms);
        }
    };
    write_other_keys(2s);
    simulation.set_store_latency(200ms);
    write_other_keys(3s);
    std::size_t refused = 0;
    std::vector<std::uint64_t> requests;
    for (std::size_t step = 0; step < 100; ++step)
    {
        if (step < 50)
        {
            simulation.submit(
                0, "job" + std::to_string(step), simple_job(2, 500ms));
        }
        requests.push_back(simulation.query(step % 3, ""));
        write_other_keys(200ms);
    }
    write_other_keys(2s);
    for (auto const request : requests)
    {
        auto const received = simulation.answer(request);
        bool const reported =
            received && std::holds_alternative<ports::queue_status>(*received);
        refused += reported ? 0U : 1U;
    }
    EXPECT_EQ(refused, 0U) << "of " << requests.size();
}
