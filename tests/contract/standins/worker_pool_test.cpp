#include "standins/workers/worker_pool.hpp"

#include <functional>
#include <gtest/gtest.h>

namespace fuchsia::standins::workers
{

namespace
{

using namespace std::chrono_literals;
using ports::attempt_state;

constexpr core::common::time_point start(1h);

worker_pool_settings small_pool()
{
    worker_pool_settings settings;
    settings.count = 3;
    settings.per_rack = 1;
    settings.data_centres = {"kochi-a", "thrissur-b"};
    settings.capacity = {4'000, 8'000, 1};
    settings.interference.size_error = 1.0;
    settings.clock_drift_ppm = 0;
    settings.report_lag = 2s;
    return settings;
}

class worker_pool_test : public testing::Test
{
protected:
    ports::worker_start make_start(std::string task,
                                   std::uint32_t attempt,
                                   std::size_t worker = 0,
                                   core::common::time_point now = start)
    {
        ports::worker_start start_call;
        start_call.attempt_id = {std::move(task), attempt};
        start_call.declared = {1'000, 1'000, 0};
        start_call.task_class = "valuation";
        start_call.work_ms = 10'000;
        start_call.start_before_ms = pool.clock_ms(worker, now) + 1'000;
        start_call.lease_until_ms = pool.clock_ms(worker, now) + 5'000;
        return start_call;
    }

    attempt_state state_of(std::string const& task,
                           std::uint32_t attempt,
                           core::common::time_point now)
    {
        for (auto const& report : pool.reports(now, ""))
        {
            for (auto const& row : report.attempts)
            {
                if (row.attempt_id == ports::task_attempt{task, attempt})
                {
                    return row.state;
                }
            }
        }
        ADD_FAILURE() << task << " is missing from all reports";
        return attempt_state::running;
    }

    void run_until(core::common::time_point now)
    {
        for (; ticked_until < now; ticked_until += 100ms)
        {
            pool.tick(ticked_until);
        }
        pool.tick(now);
    }

    worker_pool pool{small_pool(), start};
    core::common::time_point ticked_until = start;
};

} // namespace

TEST_F(worker_pool_test, repeating_a_start_has_no_effect)
{
    EXPECT_TRUE(pool.start(start, 0, make_start("t", 1)).done);
    EXPECT_TRUE(pool.start(start, 0, make_start("t", 1)).done);
    EXPECT_EQ(pool.counters().starts, 1U);
    EXPECT_EQ(pool.counters().concurrent_attempts, 0U);
}

TEST_F(worker_pool_test,
       refuses_late_expired_stopped_and_unknown_checkpoint_starts)
{
    struct row
    {
        std::string_view situation;
        std::function<void(worker_pool&, ports::worker_start&)> change;
    };
    std::vector<row> const rows{
        {"it was buffered for too long",
         [](worker_pool&, ports::worker_start& start_call)
         {
             start_call.start_before_ms -= 1'001;
         }},
        {"its lease has expired",
         [](worker_pool&, ports::worker_start& start_call)
         {
             start_call.lease_until_ms -= 5'000;
         }},
        {"its stop arrived first",
         [](worker_pool& workers, ports::worker_start& start_call)
         {
             workers.stop(start, 0, {start_call.attempt_id});
         }},
        {"its checkpoint is unknown",
         [](worker_pool&, ports::worker_start& start_call)
         {
             start_call.checkpoint = "none";
         }},
    };
    for (auto const& row : rows)
    {
        worker_pool workers(small_pool(), start);
        auto unsafe_start = make_start("t", 1);
        row.change(workers, unsafe_start);
        auto const result = workers.start(start, 0, unsafe_start);
        EXPECT_FALSE(result.done) << row.situation;
        EXPECT_FALSE(result.why.empty()) << row.situation;
        EXPECT_EQ(workers.counters().starts, 0U) << row.situation;
    }
}

TEST_F(worker_pool_test,
       an_attempt_ends_when_its_lease_expires_on_the_worker_clock)
{
    // The planner that owned the task has crashed and renews the lease no
    // longer. The worker must end the attempt itself when the lease expires; a
    // second attempt on another worker is then no violation.
    pool.start(start, 0, make_start("t", 1));
    pool.renew(start + 4s, 0, {{{"t", 1}}, pool.clock_ms(0, start) + 8'000});
    run_until(start + 7s);
    EXPECT_EQ(pool.counters().expired, 0U);
    auto second = make_start("t", 2, 1, start + 8s);
    EXPECT_TRUE(pool.start(start + 8s, 1, second).done);
    EXPECT_EQ(pool.counters().expired, 1U);
    EXPECT_EQ(pool.counters().concurrent_attempts, 0U);
    auto const renewed = pool.renew(start + 8s, 0, {{{"t", 1}}, 1'000'000'000});
    ASSERT_EQ(renewed.unknown_attempts.size(), 1U);
}

TEST_F(worker_pool_test, counts_concurrent_attempts_of_a_task)
{
    struct row
    {
        std::string_view situation;
        std::uint32_t second_attempt;
        std::size_t second_worker;
        core::common::duration delay;
        bool stopped_first;
        std::uint64_t expected_count;
    };
    std::vector<row> const rows{
        {"another worker", 2, 1, 0s, false, 1},
        {"the same attempt on another worker", 1, 1, 0s, false, 1},
        {"two attempts on one worker", 2, 0, 0s, false, 1},
        {"after a stop", 2, 1, 0s, true, 0},
        {"just before the lease ends", 2, 1, 4999ms, false, 1},
        {"when the lease has ended", 2, 1, 5s, false, 0},
    };
    for (auto const& row : rows)
    {
        worker_pool workers(small_pool(), start);
        workers.start(start, 0, make_start("t", 1));
        if (row.stopped_first)
        {
            workers.stop(start, 0, {{"t", 1}});
        }
        auto const now = start + row.delay;
        workers.start(
            now,
            row.second_worker,
            make_start("t", row.second_attempt, row.second_worker, now));
        EXPECT_EQ(workers.counters().concurrent_attempts, row.expected_count)
            << row.situation;
    }
}

TEST_F(worker_pool_test, counts_second_resumes_of_a_checkpoint)
{
    // Two planners resume the same checkpoint of an evicted task, so the
    // customer gets its result twice. Resuming again after the first resuming
    // attempt has failed is a recovery and no violation.
    struct row
    {
        std::string_view situation;
        core::common::duration second_delay;
        bool first_worker_crashes;
        std::uint64_t expected_count;
    };
    std::vector<row> const rows{
        {"while the first attempt runs", 1s, false, 1},
        {"after the first attempt finished", 12s, false, 1},
        {"after the first attempt was lost", 1s, true, 0},
    };
    for (auto const& row : rows)
    {
        worker_pool workers(small_pool(), start);
        workers.start(start, 0, make_start("t", 1));
        auto const evicted = workers.checkpoint(start + 1s, 0, {{"t", 1}});
        workers.stop(start + 1s, 0, {{"t", 1}});
        auto first = make_start("t", 2, 1);
        first.checkpoint = evicted.checkpoint;
        first.lease_until_ms += 60'000;
        first.start_before_ms += 60'000;
        EXPECT_TRUE(workers.start(start + 1s, 1, first).done);
        if (row.first_worker_crashes)
        {
            worker_faults faults;
            faults.crashed = true;
            workers.set_faults(start + 1s, "worker-2", faults);
        }
        auto second = make_start("t", 3, 2);
        second.checkpoint = evicted.checkpoint;
        second.lease_until_ms += 60'000;
        second.start_before_ms += 60'000;
        workers.tick(start + 1s + row.second_delay);
        workers.start(start + 1s + row.second_delay, 2, second);
        EXPECT_EQ(workers.counters().resumed_twice, row.expected_count)
            << row.situation;
        EXPECT_EQ(workers.counters().resumed, 2U) << row.situation;
    }
}

TEST_F(worker_pool_test, a_resumed_attempt_does_only_the_remaining_work)
{
    auto first = make_start("t", 1);
    first.lease_until_ms += 60'000;
    pool.start(start, 0, first);
    auto const evicted = pool.checkpoint(start + 6s, 0, {{"t", 1}});
    pool.stop(start + 6s, 0, {{"t", 1}});
    auto second = make_start("t", 2, 1, start + 6s);
    second.checkpoint = evicted.checkpoint;
    second.lease_until_ms += 60'000;
    pool.start(start + 6s, 1, second);
    ticked_until = start + 6s;
    run_until(start + 9900ms);
    EXPECT_EQ(pool.counters().finished, 0U);
    run_until(start + 10s);
    EXPECT_EQ(pool.counters().finished, 1U);
}

TEST_F(worker_pool_test, counts_starts_beyond_the_declared_capacity)
{
    for (std::uint32_t task = 0; task < 4; ++task)
    {
        pool.start(start, 0, make_start("t" + std::to_string(task), 1));
    }
    EXPECT_EQ(pool.counters().over_capacity, 0U);
    pool.start(start, 0, make_start("one more", 1));
    EXPECT_EQ(pool.counters().over_capacity, 1U);
}

TEST_F(worker_pool_test, counts_late_starts_in_a_data_centre_out_of_service)
{
    // Operators took kochi-a out of service, but a planner behind a network
    // partition keeps starting tasks there.
    struct row
    {
        std::string_view situation;
        core::common::duration after_out;
        std::size_t worker;
        bool back_in_service;
        std::uint64_t expected_count;
    };
    std::vector<row> const rows{
        {"within the grace period", 5s, 0, false, 0},
        {"after the grace period", 5001ms, 0, false, 1},
        {"in another data centre", 6s, 1, false, 0},
        {"back in service", 6s, 0, true, 0},
    };
    for (auto const& row : rows)
    {
        worker_pool workers(small_pool(), start);
        auto const now = start + row.after_out;
        workers.set_data_centre_out_of_service(start, "kochi-a", true);
        workers.set_data_centre_out_of_service(start + 1s, "kochi-a", true);
        if (row.back_in_service)
        {
            workers.set_data_centre_out_of_service(
                start + 2s, "kochi-a", false);
        }
        workers.start(now, row.worker, make_start("t", 1, row.worker, now));
        EXPECT_EQ(workers.counters().late_starts, row.expected_count)
            << row.situation;
    }
}

TEST_F(worker_pool_test, reports_become_visible_after_the_report_lag)
{
    pool.start(start, 0, make_start("t", 1));
    run_until(start + 500ms);
    pool.stop(start + 500ms, 0, {{"t", 1}});
    run_until(start + 2100ms);
    EXPECT_EQ(state_of("t", 1, start + 2100ms), attempt_state::running);
    run_until(start + 3100ms);
    EXPECT_EQ(state_of("t", 1, start + 3100ms), attempt_state::stopped);
}

TEST_F(worker_pool_test, a_failing_worker_fails_every_attempt_it_starts)
{
    worker_faults faults;
    faults.fail_starts = true;
    ASSERT_TRUE(pool.set_faults(start, "worker-1", faults));
    pool.start(start, 0, make_start("t", 1));
    pool.start(start, 1, make_start("u", 1, 1));
    run_until(start + 3100ms);
    EXPECT_EQ(pool.counters().failed, 1U);
    EXPECT_EQ(state_of("t", 1, start + 3100ms), attempt_state::failed);
    EXPECT_EQ(state_of("u", 1, start + 3100ms), attempt_state::running);
}

TEST_F(worker_pool_test, a_crashed_worker_comes_back_without_attempts)
{
    pool.start(start, 0, make_start("t", 1));
    worker_faults faults;
    faults.crashed = true;
    pool.set_faults(start + 1s, "worker-1", faults);
    EXPECT_EQ(pool.list().size(), 2U);
    EXPECT_EQ(pool.counters().lost, 1U);
    faults.crashed = false;
    pool.set_faults(start + 2s, "worker-1", faults);
    EXPECT_EQ(pool.list().size(), 3U);
    EXPECT_EQ(pool.renew(start + 2s, 0, {{{"t", 1}}, 1'000'000'000})
                  .unknown_attempts.size(),
              1U);
}

TEST_F(worker_pool_test, neighbours_raise_latency_and_throttling_them_lowers_it)
{
    auto settings = small_pool();
    settings.interference.strength = 1'000.0;
    worker_pool workers(settings, start);
    auto service = make_start("s", 1);
    service.service = true;
    service.task_class = "bidding";
    service.lease_until_ms += 60'000;
    auto const latency = [&](core::common::time_point now)
    {
        workers.tick(now);
        workers.tick(now + 2s);
        return workers.reports(now + 2s, "rack-1")
            .at(0)
            .attempts.back()
            .latency_p99_us;
    };
    workers.start(start, 0, service);
    EXPECT_EQ(latency(start + 1s), settings.service_latency_us);
    auto batch = make_start("b", 1);
    batch.work_ms = 1'000'000;
    batch.lease_until_ms += 60'000;
    batch.start_before_ms += 60'000;
    ASSERT_TRUE(workers.start(start + 4s, 0, batch).done);
    auto const disturbed = latency(start + 5s);
    EXPECT_GT(disturbed, settings.service_latency_us);
    workers.throttle(start + 8s, 0, {{"b", 1}, 100});
    EXPECT_LT(latency(start + 9s), disturbed);
}

TEST(interference, true_sizes_stay_within_the_size_error)
{
    interference_settings settings;
    interference const simulated(settings);
    double smallest = 1.0;
    double largest = 1.0;
    for (int index = 0; index < 200; ++index)
    {
        auto const factor =
            simulated.size_factor("class-" + std::to_string(index));
        smallest = std::min(smallest, factor);
        largest = std::max(largest, factor);
    }
    EXPECT_GE(smallest, 0.25);
    EXPECT_LE(largest, 4.0);
    EXPECT_LT(smallest, 0.5);
    EXPECT_GT(largest, 2.0);
}

} // namespace fuchsia::standins::workers
