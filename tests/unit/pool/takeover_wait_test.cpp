#include "core/pool/roster.hpp"
#include "pool_simulation.hpp"

#include <gtest/gtest.h>

// How long a successor waits for workers that do not answer.
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::size_t worker_count = 8;
constexpr std::size_t crashed_per_wave = 3;
constexpr duration wave_interval = 500ms;
// Time after which a crashed worker is back.
constexpr duration short_down_time = 300ms;
constexpr duration for_ever = 1h;
// Time within which the accepted work has to start. A worker that can't be
// reached may go on for 5.8 s.
constexpr duration start_limit = 7s;

// Crashes workers one group after the other for `length`.
void crash_in_waves(pool_simulation& simulation, duration length)
{
    std::size_t next = 0;
    for (duration passed{}; passed < length; passed += wave_interval)
    {
        for (std::size_t number = 0; number < crashed_per_wave; ++number)
        {
            simulation.crash_worker(next++ % simulation.worker_count());
        }
        simulation.run(wave_interval);
    }
}

// Makes workers refuse all starts while `refused` holds, so that the job which
// is submitted meanwhile is accepted and waits.
void refuse_starts(pool_simulation& simulation, bool const& refused)
{
    simulation.worker_fault =
        [&refused](std::size_t, std::size_t, ports::pool_operation const& call)
    {
        bool const start = std::holds_alternative<ports::start_order>(call);
        return start && refused ? fault_effect::refused
                                : fault_effect::carried_out;
    };
}

bool starts_within(pool_simulation& simulation, duration limit)
{
    return simulation.run_until(
        [&simulation]
        {
            return simulation.starts_of({"a", 0, 0, 0}) > 0;
        },
        limit);
}

std::size_t kill_owner(pool_simulation& simulation)
{
    auto const owner = *simulation.owner();
    simulation.kill(owner);
    return owner;
}

bool run_until_replaced(pool_simulation& simulation, std::size_t killed)
{
    return simulation.run_until(
        [&simulation, killed]
        {
            return simulation.owner() && *simulation.owner() != killed;
        },
        2s);
}

// Drops all calls of instance `owner` to the store from now on.
void disconnect_from_store(pool_simulation& simulation, std::size_t owner)
{
    simulation.store_fault =
        [owner](std::size_t instance, ports::kv_operation const&)
    {
        return instance == owner ? fault_effect::request_lost
                                 : fault_effect::carried_out;
    };
}

} // namespace

// Guards against a successor that waits a minute for workers that have crashed
// and whose addresses others have.
TEST(pool_takeover_wait, crashed_workers_that_were_replaced_are_not_waited_for)
{
    pool_simulation simulation(3, worker_count);
    simulation.set_crash_recovery(short_down_time, false);
    bool refused = true;
    refuse_starts(simulation, refused);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "a", simple_job(1, 1s));
    simulation.run(1s);
    crash_in_waves(simulation, 5s);
    kill_owner(simulation);
    refused = false;
    EXPECT_TRUE(starts_within(simulation, start_limit));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a successor that waits a minute because more than half of the
// workers of the stored roster are gone for good.
TEST(pool_takeover_wait, workers_that_were_gone_before_do_not_prevent_a_quorum)
{
    pool_simulation simulation(3, worker_count);
    simulation.set_crash_recovery(for_ever, false);
    bool refused = true;
    refuse_starts(simulation, refused);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "a", simple_job(1, 1s));
    simulation.run(2s);
    for (std::size_t number = 0; number < 5; ++number)
    {
        simulation.crash_worker(number);
    }
    // Their entries are still in the platform's list.
    simulation.run(4s);
    auto const killed = kill_owner(simulation);
    refused = false;
    ASSERT_TRUE(run_until_replaced(simulation, killed));
    EXPECT_TRUE(starts_within(simulation, start_limit));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against dead workers that add up in the stored roster while owners
// are replaced before their takeover is complete.
TEST(pool_takeover_wait, owners_killed_in_series_leave_no_dead_workers)
{
    pool_simulation simulation(4, worker_count);
    simulation.set_crash_recovery(short_down_time, false);
    bool refused = true;
    refuse_starts(simulation, refused);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "a", simple_job(1, 1s));
    simulation.run(1s);
    crash_in_waves(simulation, 3s);
    kill_owner(simulation);
    crash_in_waves(simulation, 3s);
    ASSERT_TRUE(run_until_owned(simulation));
    kill_owner(simulation);
    crash_in_waves(simulation, 3s);
    ASSERT_TRUE(run_until_owned(simulation));
    kill_owner(simulation);
    refused = false;
    EXPECT_TRUE(starts_within(simulation, start_limit));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a successor that begins with workers that an earlier one,
// whose takeover was never complete, knew to have ended.
TEST(pool_takeover_wait, ended_workers_leave_the_roster_during_a_takeover)
{
    pool_simulation simulation(3, worker_count);
    simulation.set_crash_recovery(short_down_time, false);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(1s);
    auto const killed = kill_owner(simulation);
    for (std::size_t number = 1; number < worker_count; ++number)
    {
        simulation.crash_worker(number);
    }
    simulation.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker == 0 ? fault_effect::request_lost
                           : fault_effect::carried_out;
    };
    ASSERT_TRUE(run_until_replaced(simulation, killed));
    simulation.run(1500ms);
    auto const successor = *simulation.owner();
    ASSERT_FALSE(simulation.owner_at(successor).working());
    auto const stored = simulation.store().find("roster");
    ASSERT_TRUE(stored.has_value());
    fuchsia::core::common::failure reason;
    EXPECT_EQ(fuchsia::core::pool::parse_roster(stored->value, reason).size(),
              worker_count);
}

// Guards against a takeover that depends on workers that may never answer: a
// few of them delay it by 7 s at most.
TEST(pool_takeover_wait, unreachable_workers_delay_a_takeover_by_a_bounded_time)
{
    pool_simulation simulation(3, worker_count);
    bool refused = true;
    refuse_starts(simulation, refused);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "a", simple_job(1, 1s));
    simulation.run(1s);
    auto const killed = kill_owner(simulation);
    simulation.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker < 3 ? fault_effect::request_lost
                          : fault_effect::carried_out;
    };
    ASSERT_TRUE(run_until_replaced(simulation, killed));
    EXPECT_TRUE(starts_within(simulation, start_limit));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a takeover that never completes: even if most workers can't
// be reached for ever, it takes `quorum_limit` and a lease at most.
TEST(pool_takeover_wait, an_unreachable_majority_delays_a_takeover_by_64_s)
{
    pool_simulation simulation(3, worker_count);
    bool refused = true;
    refuse_starts(simulation, refused);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.submit(0, "a", simple_job(1, 1s));
    simulation.run(1s);
    auto const killed = kill_owner(simulation);
    simulation.worker_fault =
        [](std::size_t, std::size_t worker, ports::pool_operation const&)
    {
        return worker < 5 ? fault_effect::request_lost
                          : fault_effect::carried_out;
    };
    ASSERT_TRUE(run_until_replaced(simulation, killed));
    EXPECT_TRUE(starts_within(simulation, 64s));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against an old owner that goes on beside its successor because the
// workers that have seen the successor's fencing token have crashed since.
TEST(pool_takeover_wait, an_old_owner_counts_workers_that_crashed_since)
{
    pool_simulation simulation;
    simulation.set_crash_recovery(short_down_time, false);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const old_owner = *simulation.owner();
    simulation.submit(other_than(old_owner), "a", simple_job(8, 20s));
    simulation.run(500ms);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    bool crashed = false;
    // The old owner reaches only worker 0 and whoever has the addresses of the
    // others after the crash.
    simulation.worker_fault =
        [old_owner, &crashed](std::size_t instance,
                              std::size_t worker,
                              ports::pool_operation const&)
    {
        bool const old = instance == old_owner;
        bool const passes = worker == 0 ? old : !old || crashed;
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    disconnect_from_store(simulation, old_owner);
    ASSERT_TRUE(run_until_replaced(simulation, old_owner));
    simulation.run(200ms);
    for (std::size_t number = 1; number < simulation.worker_count(); ++number)
    {
        simulation.crash_worker(number);
    }
    crashed = true;
    simulation.run(30s);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a successor that starts tasks again which an old owner, with
// answers of most workers and without the store, keeps running.
TEST(pool_takeover_wait, a_successor_with_few_workers_waits_for_the_old_owner)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const old_owner = *simulation.owner();
    simulation.submit(other_than(old_owner), "a", simple_job(8, 20s));
    simulation.run(500ms);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    simulation.worker_fault = [old_owner](std::size_t instance,
                                          std::size_t worker,
                                          ports::pool_operation const&)
    {
        bool const passes = (worker < 3) == (instance == old_owner);
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    disconnect_from_store(simulation, old_owner);
    simulation.run(18s);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against an old owner that goes on with most workers while its
// successor has most of those that were not silent in the stored roster.
TEST(pool_takeover_wait, an_old_owner_needs_workers_that_were_not_silent)
{
    pool_simulation simulation(3, 5);
    ASSERT_TRUE(run_until_owned(simulation));
    auto const old_owner = *simulation.owner();
    simulation.submit(other_than(old_owner), "a", simple_job(36, 30s));
    simulation.run(500ms);
    ASSERT_GT(simulation.worker(2).running(), 0U);
    bool replaced = false;
    // Workers 3 and 4 are silent at first. Then the old owner reaches workers 2
    // to 4, and its successor workers 0 and 1.
    simulation.worker_fault =
        [old_owner, &replaced](std::size_t instance,
                               std::size_t worker,
                               ports::pool_operation const&)
    {
        bool const old = instance == old_owner;
        bool const passes = !replaced ? worker < 3 : (worker >= 2) == old;
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    simulation.run(3s);
    replaced = true;
    disconnect_from_store(simulation, old_owner);
    simulation.run(20s);
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_TRUE(simulation.owner_at(*simulation.owner()).working());
}
