#include "planner_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace fuchsia::tests::unit::tasks;
using namespace std::chrono_literals;

namespace
{

/// Three planners that have joined and distributed the cells, and one contract.
struct planners : testing::Test
{
    planners() : system({})
    {
        system.put_contract("estate", {64000, 256000, 0});
        for (std::size_t slot = 0; slot < 3; ++slot)
        {
            system.start(slot);
        }
        EXPECT_TRUE(system.run_until(
            [this]
            {
                return system.is_stable();
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
        auto const answer =
            system.request_and_wait(planner, "POST", "/v1/jobs", body);
        EXPECT_EQ(answer.status, 200) << answer.body;
    }

    bool
    reaches(std::string const& job, std::string const& state, duration timeout)
    {
        auto const until = system.time.now() + timeout;
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

    planner_simulation system;
};

} // namespace

TEST_F(planners, run_a_batch_job_to_completion)
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

// An operator who got no answer to a submission repeats it, perhaps through
// another planner. Running the job twice would do its work twice: a packing run
// would pack every box twice.
TEST_F(planners, treat_a_repeated_submission_as_the_same_job)
{
    auto const body = job_json("twice", "estate", "batch", 1000, 1, 2000);
    system.request(0, "POST", "/v1/jobs", body);
    submit(body, 1);
    submit(body, 2);
    EXPECT_TRUE(reaches("twice", "finished", 30s));
    submit(body, 1);
    system.run(10s);
    EXPECT_EQ(system.workers.starts, 1U);
    auto const other = job_json("twice", "estate", "batch", 2000, 1, 2000);
    EXPECT_EQ(system.request_and_wait(2, "POST", "/v1/jobs", other).status,
              409);
}

TEST_F(planners, refuse_jobs_that_can_never_run)
{
    auto const status = [this](std::string const& body)
    {
        return system.request_and_wait(0, "POST", "/v1/jobs", body).code;
    };
    using core::common::result_code;
    EXPECT_EQ(status(job_json("a", "estate", "batch", 9000)),
              result_code::job_never_fits);
    EXPECT_EQ(status(job_json("b", "nobody")), result_code::unknown_customer);
    EXPECT_EQ(status(job_json("c", "estate", "batch", 65000)),
              result_code::over_contract_resources);
    EXPECT_EQ(status("{\"id\":"), result_code::malformed_json);
}

TEST_F(planners, stop_a_job_that_fails_on_every_worker)
{
    system.workers.broken_classes.insert("batch-class");
    submit(job_json("broken", "estate", "batch", 1000, 2));
    EXPECT_TRUE(reaches("broken", "failed", 60s));
    EXPECT_LE(system.workers.starts, 8U);
    auto const shown =
        system.request_and_wait(1, "GET", "/v1/jobs/broken").body;
    EXPECT_NE(shown.find("job_failed_everywhere"), std::string::npos) << shown;
}

// Some workers fail every attempt and, being empty, look best for placement.
// The jobs must finish on other workers, and none may be marked as faulty
// because of its worker.
TEST_F(planners, avoid_workers_that_fail_every_attempt)
{
    system.workers.workers.at("w-0-0").faults.fail_starts = true;
    system.workers.workers.at("w-1-0").faults.fail_starts = true;
    for (int number = 0; number < 12; ++number)
    {
        submit(job_json(
            "j" + std::to_string(number), "estate", "batch", 1000, 2, 2000));
    }
    for (int number = 0; number < 12; ++number)
    {
        EXPECT_TRUE(reaches("j" + std::to_string(number), "finished", 60s));
    }
    EXPECT_LE(system.workers.starts, 24U + 16U);
}

TEST_F(planners, cancel_many_services_at_once)
{
    for (int number = 0; number < 20; ++number)
    {
        submit(job_json(
            "s" + std::to_string(number), "estate", "service", 500, 1, 0));
    }
    system.run(5s);
    for (int number = 0; number < 20; ++number)
    {
        system.request(
            number % 3, "DELETE", "/v1/jobs/s" + std::to_string(number));
    }
    system.run(10s);
    for (int number = 0; number < 20; ++number)
    {
        auto const job = "s" + std::to_string(number);
        EXPECT_EQ(system.state_of(job), "cancelled");
        EXPECT_TRUE(system.workers.places_of(job + "/0").empty());
    }
}

// A planner is killed while attempts run on workers under leases. The next
// owner must renew the leases in time, and must neither start the tasks a
// second time nor let them end.
TEST_F(planners, keep_tasks_running_after_a_crash_of_their_planner)
{
    submit(job_json("bids", "estate", "service", 1000, 6, 0));
    system.run(5s);
    ASSERT_EQ(system.workers.starts, 6U);
    for (std::size_t slot = 0; slot < 2; ++slot)
    {
        system.kill(slot);
        system.run(40s);
        system.start(slot);
        system.run(10s);
    }
    EXPECT_EQ(system.workers.starts, 6U);
    for (int task = 0; task < 6; ++task)
    {
        EXPECT_EQ(
            system.workers.places_of("bids/" + std::to_string(task)).size(),
            1U);
    }
}

TEST_F(planners, hand_over_cells_in_a_planned_stop_without_ending_tasks)
{
    submit(job_json("bids", "estate", "service", 1000, 6, 0));
    system.run(5s);
    for (std::size_t slot = 0; slot < 3; ++slot)
    {
        system.begin_stop(slot);
        EXPECT_TRUE(system.run_until(
            [&]
            {
                return system.stopped(slot);
            },
            20s));
        system.start(slot);
        system.run(15s);
    }
    EXPECT_EQ(system.workers.starts, 6U);
}

namespace
{

/// Crash of a planner at a call to a worker.
struct planner_crash
{
    std::string name;
    std::size_t call = 0;   ///< Index of `ports::worker_operation`.
    bool delivered = false; ///< Whether the worker still gets the call.
};

struct planner_crashes : planners, testing::WithParamInterface<planner_crash>
{
};

} // namespace

// A planner crashes between commit and start, between a start and its reply, or
// between a checkpoint and the resume. The log tells the next owner only that
// the attempt was committed. A fault would compute a report twice or never.
TEST_P(planner_crashes, leave_the_task_on_one_worker_and_resume_it_once)
{
    bool killed = false;
    system.worker_call_filter =
        [this, &killed](std::size_t planner, ports::worker_call const& call)
    {
        if (killed || call.operation.index() != GetParam().call)
        {
            return true;
        }
        killed = true;
        system.time.after(0s,
                          [this, planner]
                          {
                              system.kill(planner);
                          });
        return GetParam().delivered;
    };
    submit(job_json("report", "estate", "batch", 1000, 2, 20000), 2);
    system.run(8s);
    auto const where = system.workers.places_of("report/0");
    auto const rack =
        where.empty()
            ? std::string("dc-0")
            : system.workers.workers.at(where.front()).info.data_centre;
    system.set_out_of_service(rack, true);
    system.run(60s);
    EXPECT_TRUE(killed);
    EXPECT_TRUE(reaches("report", "finished", 120s));
    EXPECT_EQ(system.workers.finished["report/0"], 1);
    EXPECT_EQ(system.workers.finished["report/1"], 1);
}

INSTANTIATE_TEST_SUITE_P(
    at_each_step,
    planner_crashes,
    testing::Values(planner_crash{"before_the_start", 0, false},
                    planner_crash{"after_the_start", 0, true},
                    planner_crash{"before_the_checkpoint", 3, false},
                    planner_crash{"after_the_checkpoint", 3, true},
                    planner_crash{"before_the_stop", 4, false},
                    planner_crash{"after_the_stop", 4, true}),
    [](auto const& info)
    {
        return info.param.name;
    });

// A data centre is taken out of service while starts are in flight and the
// planner of its racks is partitioned from the store, so that it cannot read
// the change there. A few seconds later nothing may start in it, however late a
// call arrives.
TEST_F(planners, start_nothing_in_a_data_centre_out_of_service)
{
    system.workers.faults.late_permille = 300;
    auto const owner = system.owner_of("rack-0");
    ASSERT_TRUE(owner);
    for (int number = 0; number < 10; ++number)
    {
        system.request(number % 3,
                       "POST",
                       "/v1/jobs",
                       job_json("j" + std::to_string(number),
                                "estate",
                                "batch",
                                1000,
                                3,
                                4000,
                                ",\"data_centre\":\"dc-0\""));
    }
    system.run(60ms);
    system.cut_store(*owner, true);
    system.set_out_of_service("dc-0", true);
    system.run(30s);
    system.cut_store(*owner, false);
    system.run(10s);
    auto const before = system.workers.starts;
    system.run(20s);
    EXPECT_EQ(system.workers.starts, before);
    system.set_out_of_service("dc-0", false);
    for (int number = 0; number < 10; ++number)
    {
        auto const job = "j" + std::to_string(number);
        auto const state = system.state_of(job);
        EXPECT_TRUE(reaches(job, "finished", 90s)) << job << " " << state;
    }
}

// A report finishes between its checkpoint and the stop that follows. The
// worker replies that the task does not run, which does not mean that it was
// interrupted. Restarted from the checkpoint, the report would be delivered
// twice.
TEST_F(planners, do_not_repeat_a_task_that_finished_before_its_stop)
{
    submit(job_json("report", "estate", "batch", 1000, 1, 11000));
    system.run(6s);
    auto const where = system.workers.places_of("report/0");
    ASSERT_EQ(where.size(), 1U);
    system.workers.faults.delay = 1800ms;
    system.workers.faults.timeout = 10s;
    system.workers.report_lag = 4s;
    system.set_out_of_service(
        system.workers.workers.at(where.front()).info.data_centre, true);
    EXPECT_TRUE(reaches("report", "finished", 60s));
    EXPECT_EQ(system.workers.starts, 1U);
    EXPECT_EQ(system.workers.finished["report/0"], 1);
}

// The store takes seconds to reply, and a data centre is taken out of service
// while starts are being committed. A start decided before must not be carried
// out afterwards.
TEST_F(planners, start_nothing_late_after_a_slow_commit)
{
    system.store.faults.timeout = 30s;
    for (int number = 0; number < 3; ++number)
    {
        system.request(number,
                       "POST",
                       "/v1/jobs",
                       job_json("j" + std::to_string(number),
                                "estate",
                                "batch",
                                1000,
                                4,
                                4000,
                                ",\"data_centre\":\"dc-0\""));
    }
    system.run(21ms);
    system.store.faults.delay = 2500ms;
    system.set_out_of_service("dc-0", true);
    system.run(30s);
    system.store.faults.delay = 2ms;
    system.set_out_of_service("dc-0", false);
    EXPECT_TRUE(reaches("j0", "finished", 90s));
}

// The tasks of a data centre that is taken out of service continue in others:
// batch tasks resume once from their checkpoint, services start again. Back in
// service, the data centre is filled slowly.
TEST_F(planners, move_tasks_out_of_a_data_centre_and_back)
{
    submit(job_json("bids", "estate", "service", 1000, 6, 0));
    submit(job_json("report", "estate", "batch", 1000, 6, 50000));
    system.run(6s);
    for (auto const* name : {"dc-0", "dc-1", "dc-2"})
    {
        system.set_out_of_service(name, true);
        system.run(20s);
        for (auto const& [id, worker] : system.workers.workers)
        {
            for (auto const& [key, attempt] : worker.attempts)
            {
                EXPECT_FALSE(worker.info.data_centre == name &&
                             attempt.state == ports::attempt_state::running)
                    << key.task << " still in " << name;
            }
        }
        system.set_out_of_service(name, false);
        system.run(10s);
    }
    EXPECT_TRUE(reaches("report", "finished", 120s));
    for (int task = 0; task < 6; ++task)
    {
        EXPECT_EQ(
            system.workers.places_of("bids/" + std::to_string(task)).size(),
            1U);
        EXPECT_EQ(system.workers.finished["report/" + std::to_string(task)], 1);
    }
    EXPECT_GT(system.workers.resumed, 0U);
}

// An operator lowers a contract while its tasks run in all cells. Each cell
// sees only its own tasks; together they must get below the new limit, and
// batch tasks are evicted first.
TEST_F(planners, evict_tasks_that_a_lowered_contract_no_longer_allows)
{
    submit(job_json("bids", "estate", "service", 1000, 4, 0));
    submit(job_json("report", "estate", "batch", 1000, 24, 60000));
    system.run(8s);
    ASSERT_GE(system.workers.starts, 20U);
    system.put_contract("estate", {10000, 256000, 0});
    system.run(30s);
    auto const use = system.workers.in_use(
        [](std::string const&)
        {
            return "estate";
        });
    EXPECT_LE(use.at("estate").millicores, 10000);
    EXPECT_GE(use.at("estate").millicores, 6000);
    for (int task = 0; task < 4; ++task)
    {
        EXPECT_EQ(
            system.workers.places_of("bids/" + std::to_string(task)).size(),
            1U);
    }
    system.put_contract("estate", {64000, 256000, 0});
    EXPECT_TRUE(reaches("report", "finished", 240s));
    system.withdraw("estate");
    system.run(20s);
    EXPECT_EQ(system.state_of("bids"), "failed");
}

namespace
{

struct lost_store_reply
{
    std::string name;
    std::string prefix;
};

struct lost_store_replies : planners,
                            testing::WithParamInterface<lost_store_reply>
{
};

} // namespace

// The store applies a write and its reply is lost. The writer must read the key
// back: to assume that the write failed would run a task twice, to assume that
// it is done would lose the task.
TEST_P(lost_store_replies, neither_repeat_nor_lose_tasks)
{
    system.store.faults.lose_prefix = GetParam().prefix;
    system.store.faults.lose_next_replies = 3;
    submit(job_json("report", "estate", "batch", 1000, 4, 6000));
    submit(job_json("bids", "estate", "service", 1000, 2, 0), 1);
    EXPECT_TRUE(reaches("report", "finished", 60s));
    EXPECT_EQ(system.request_and_wait(2, "DELETE", "/v1/jobs/bids").status,
              200);
    EXPECT_TRUE(reaches("bids", "cancelled", 30s));
    EXPECT_EQ(system.workers.starts, 6U);
}

INSTANTIATE_TEST_SUITE_P(of_each_write,
                         lost_store_replies,
                         testing::Values(lost_store_reply{"log", "tasks/"},
                                         lost_store_reply{"registry", "jobs/"},
                                         lost_store_reply{"inbox", "inbox/"},
                                         lost_store_reply{"quota", "quota/"}),
                         [](auto const& info)
                         {
                             return info.param.name;
                         });

// The store is down for a minute. Running tasks must continue, since the
// liveness proofs of the planners come from their witnesses. Nothing new starts
// until the store is back, and then all work continues.
TEST_F(planners, keep_tasks_running_while_the_store_is_down)
{
    submit(job_json("bids", "estate", "service", 1000, 6, 0));
    submit(job_json("report", "estate", "batch", 1000, 3, 20000));
    system.run(5s);
    auto const before = system.workers.starts;
    system.store.faults.down = true;
    system.run(60s);
    EXPECT_EQ(system.workers.starts, before);
    for (int task = 0; task < 6; ++task)
    {
        EXPECT_EQ(
            system.workers.places_of("bids/" + std::to_string(task)).size(),
            1U);
    }
    system.store.faults.down = false;
    EXPECT_TRUE(reaches("report", "finished", 60s));
    EXPECT_EQ(system.workers.starts, before);
}

// Guards against tasks that wait forever beside free room: a task that fits on
// no worker, but into the sum of what they have left, took all of the cell's
// demand for quota.
TEST_F(planners, start_a_task_that_fits_behind_one_that_fits_on_no_worker)
{
    system.put_contract("farm", {64000, 256000, 0});
    // Each of the six workers keeps 3000 millicores free.
    submit(job_json("lasting", "estate", "service", 5000, 6, 0));
    ASSERT_TRUE(reaches("lasting", "running", 30s));
    system.run(10s);
    std::string const in_one_cell = ",\"data_centre\":\"dc-0\"";
    submit(job_json("large", "estate", "batch", 4000, 1, 1000, in_one_cell));
    submit(job_json("small", "farm", "batch", 2500, 1, 1000, in_one_cell));
    EXPECT_TRUE(reaches("small", "finished", 60s)) << system.state_of("small");
    EXPECT_EQ(system.state_of("large"), "queued");
}
