#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

// From an acknowledged cancel to the end of the job's last run.
constexpr auto cancel_limit = 3200ms;

// A job whose tasks run until they are stopped.
fuchsia::core::pool::job lasting_job(std::uint32_t count)
{
    auto made = simple_job(count, 1s);
    made.steps.front().long_running = true;
    made.spec = "lasts";
    return made;
}

std::size_t running_in_all(pool_simulation& simulation)
{
    std::size_t running = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        running += simulation.worker(number).running();
    }
    return running;
}

std::size_t begun_in_all(pool_simulation& simulation)
{
    std::size_t begun = 0;
    for (std::size_t number = 0; number < simulation.worker_count(); ++number)
    {
        begun += simulation.worker(number).started_runs().size();
    }
    return begun;
}

bool nothing_runs(pool_simulation& simulation, duration patience)
{
    return simulation.run_until(
        [&simulation]
        {
            return running_in_all(simulation) == 0;
        },
        patience);
}

// Whether its caller was told that the job is cancelled, or that there is none.
bool acknowledged(pool_simulation& simulation, std::uint64_t request)
{
    simulation.run_until(
        [&simulation, request]
        {
            return simulation.answer(request).has_value();
        });
    auto const got = simulation.answer(request);
    return got && (std::holds_alternative<ports::job_accepted>(*got) ||
                   std::holds_alternative<ports::job_not_found>(*got));
}

// From now on the owner's watches for jobs are answered with nothing.
void deafen(pool_simulation& simulation, std::size_t owner)
{
    simulation.store_fault = [owner](std::size_t at, ports::kv_operation const& call)
    {
        return at == owner && watches_jobs(call) ? fault_effect::watch_stalled
                                                 : fault_effect::carried_out;
    };
}

std::size_t logged(pool_simulation const& simulation, std::string const& event)
{
    std::size_t lines = 0;
    for (auto const& line : simulation.log())
    {
        lines += line.what.event == event ? 1U : 0U;
    }
    return lines;
}

// One of the reads by which a new owner learns what there is.
bool reads_state(ports::kv_operation const& call)
{
    auto const* const page = std::get_if<ports::kv_range>(&call);
    auto const* const read = std::get_if<ports::kv_read>(&call);
    return (page != nullptr &&
            (page->prefix == "pool/" || page->prefix == "progress/" ||
             page->prefix == "final/")) ||
           (read != nullptr &&
            (read->key == "roster" || read->key == "learned"));
}

bool writes_job(ports::kv_operation const& call, std::string const& id)
{
    auto const* const commit = std::get_if<ports::kv_commit>(&call);
    return commit != nullptr && !commit->puts.empty() &&
           commit->puts.front().key == "pool/job/" + id;
}

void cancel_backwards(pool_simulation& simulation,
                      std::size_t at,
                      std::string const& name,
                      std::size_t count)
{
    for (std::size_t number = count; number > 0; --number)
    {
        simulation.cancel(at, name + std::to_string(number - 1));
    }
}

// From now on the first such order to each worker meets this, the others pass.
template<class Order>
void first_order_meets(pool_simulation& simulation, fault_effect how)
{
    auto hit = std::make_shared<std::set<std::size_t>>();
    simulation.worker_fault = [hit, how](std::size_t,
                                    std::size_t worker,
                                    ports::pool_operation const& call)
    {
        bool const meant = std::holds_alternative<Order>(call);
        return meant && hit->insert(worker).second ? how
                                                   : fault_effect::carried_out;
    };
}

} // namespace

// Failure: a job runs that came after its own cancelling was acknowledged.
TEST(pool_cancel, a_job_that_its_cancelling_overtook_never_runs)
{
    for (auto const how : {fault_effect::executed_late, fault_effect::delayed})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.store_fault = [how](std::size_t, ports::kv_operation const& call)
        {
            return writes_job(call, "a") ? how : fault_effect::carried_out;
        };
        simulation.submit(1, "a", lasting_job(6));
        simulation.run(100ms);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(2, "a")));
        simulation.run(10s);
        EXPECT_EQ(begun_in_all(simulation), 0U);
    }
}

// Failure: a job that is unknown when it is cancelled is told to be there.
TEST(pool_cancel, the_cancelling_of_an_unknown_job_makes_none)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const request = simulation.cancel(2, "a");
    EXPECT_TRUE(acknowledged(simulation, request));
    EXPECT_TRUE(
        std::holds_alternative<ports::job_not_found>(*simulation.answer(request)));
    for (std::size_t number = 0; number < 3; ++number)
    {
        EXPECT_EQ(simulation.state(number, "a"), std::nullopt);
    }
    EXPECT_EQ(simulation.reported_waiting_jobs(1), 0U);
}

// Failure: cancellings of unknown jobs pile up in the store.
TEST(pool_cancel, the_cancelling_of_an_unknown_job_goes_in_time)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    constexpr std::size_t jobs = 40;
    cancel_backwards(simulation, 1, "never", jobs);
    simulation.run(1s);
    EXPECT_TRUE(simulation.store().find("pool/job/never0/cancel").has_value());
    simulation.kill(*simulation.owner());
    simulation.run(90s);
    auto const left =
        simulation.store().answer(simulation.now(), ports::kv_range{"pool/job/", ""});
    ASSERT_TRUE(left.has_value());
    EXPECT_TRUE(left->items.empty());
}

// Failure: a job that is sent again after its cancelling runs.
TEST(pool_cancel, a_job_that_was_cancelled_ahead_is_told_absent)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    EXPECT_TRUE(acknowledged(simulation, simulation.cancel(2, "a")));
    simulation.submit(1, "a", lasting_job(6));
    simulation.run(5s);
    EXPECT_EQ(begun_in_all(simulation), 0U);
    EXPECT_EQ(simulation.state(0, "a"), std::nullopt);
    EXPECT_EQ(simulation.reported_waiting_jobs(1), 0U);
}

// Failure: tasks run on as the owner's watches answer and tell it nothing.
TEST(pool_cancel, a_deaf_watch_does_not_hide_a_cancelling)
{
    for (auto when = 0ms; when <= 2000ms; when += 100ms)
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        simulation.submit(other_than(owner), "a", lasting_job(6));
        simulation.run(1s);
        ASSERT_EQ(running_in_all(simulation), 6U);
        deafen(simulation, owner);
        simulation.run(when);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other_than(owner), "a")));
        EXPECT_TRUE(nothing_runs(simulation, cancel_limit)) << when.count();
        EXPECT_EQ(simulation.owner(), owner);
    }
}

// Failure: an owner reads all jobs again and again, as a good watch seems deaf.
TEST(pool_cancel, a_watch_that_hears_is_not_taken_for_deaf)
{
    for (auto const how : {fault_effect::carried_out,
                           fault_effect::answer_lost,
                           fault_effect::executed_late,
                           fault_effect::delayed,
                           fault_effect::refused})
    {
        for (auto const way : {2ms, 200ms})
        {
            pool_simulation simulation;
            ASSERT_TRUE(run_until_owned(simulation));
            simulation.set_store_latency(way);
            std::size_t calls = 0;
            simulation.store_fault =
                [how, &calls](std::size_t, ports::kv_operation const& call)
            {
                bool const meant =
                    watches_jobs(call) ||
                    std::holds_alternative<ports::kv_commit>(call);
                return meant && ++calls % 3 == 0 ? how
                                                 : fault_effect::carried_out;
            };
            for (int number = 0; number < 20; ++number)
            {
                submit_many(simulation,
                            number % 3,
                            "job" + std::to_string(number) + ".",
                            2,
                            simple_job(2, 500ms));
                simulation.run(1s);
            }
            EXPECT_GT(calls, 30U);
            EXPECT_EQ(logged(simulation, "watch_deaf"), 0U);
        }
    }
}

// Failure: a job starts after its cancelling, by news that are not heard.
TEST(pool_cancel, a_deaf_watch_starts_nothing_of_a_cancelled_job)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.submit(other_than(owner), "fills", simple_job(32, 8s));
    simulation.submit(other_than(owner), "a", lasting_job(6));
    simulation.run(1s);
    deafen(simulation, owner);
    simulation.run(1500ms);
    EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other_than(owner), "a")));
    simulation.run(12s);
    EXPECT_EQ(begun_in_all(simulation), 32U);
}

// Failure: an owner takes a job from a page that is newer than its claim.
TEST(pool_cancel, a_later_page_does_not_hide_the_loss_of_the_claim)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    auto small = lasting_job(1);
    small.steps.front().declared = {1, 1, 0};
    submit_many(simulation, other, "a", 600, small);
    simulation.run(3s);
    ASSERT_EQ(running_in_all(simulation), 600U);
    bool paged = false;
    bool lost = false;
    simulation.store_fault =
        [owner, &paged, &lost](std::size_t at, ports::kv_operation const& call)
    {
        auto const* const page = std::get_if<ports::kv_range>(&call);
        bool const later =
            page != nullptr && page->prefix == "pool/" && !page->after.empty();
        paged = paged || (at == owner && later);
        bool const tells =
            std::holds_alternative<ports::kv_lease_renew>(call) ||
            std::holds_alternative<ports::kv_commit>(call);
        return at != owner          ? fault_effect::carried_out
               : watches_jobs(call) ? fault_effect::watch_stalled
               : later              ? fault_effect::delayed
               : lost && tells      ? fault_effect::request_lost
                                    : fault_effect::carried_out;
    };
    ASSERT_TRUE(simulation.run_until(
        [&paged]
        {
            return paged;
        }));
    simulation.run(1200ms);
    lost = true;
    // The owner keeps one worker, a successor reaches all others.
    simulation.worker_fault = [owner](std::size_t instance,
                                 std::size_t worker,
                                 ports::pool_operation const&)
    {
        bool const passes = (worker == 0) == (instance == owner);
        return passes ? fault_effect::carried_out : fault_effect::request_lost;
    };
    simulation.store().expire_key("pool/claim");
    simulation.run(300ms);
    ASSERT_NE(simulation.owner(), owner);
    simulation.submit(other, "z", lasting_job(8));
    simulation.run(3s);
    EXPECT_EQ(simulation.violation(), "");
    std::size_t places = 0;
    for (std::uint32_t index = 0; index < 8; ++index)
    {
        places += simulation.running_count({"z", 0, 0, index});
    }
    EXPECT_EQ(places, 8U);
}

// Failure: one lost page hides all cancellings for the length of its time-out.
TEST(pool_cancel, a_lost_page_does_not_hide_a_cancelling)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    simulation.submit(other_than(owner), "a", lasting_job(6));
    simulation.run(1s);
    ASSERT_EQ(running_in_all(simulation), 6U);
    bool forgotten = false;
    bool lost = false;
    simulation.store_fault = [owner, &forgotten, &lost, &simulation](
                            std::size_t at, ports::kv_operation const& call)
    {
        auto const* const page = std::get_if<ports::kv_range>(&call);
        bool const jobs =
            at == owner && page != nullptr && page->prefix == "pool/";
        if (at == owner && watches_jobs(call) && !forgotten)
        {
            forgotten = true;
            simulation.store().put("elsewhere", "");
            simulation.store().compact();
        }
        bool const hit = jobs && !lost;
        lost = lost || hit;
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    ASSERT_TRUE(simulation.run_until(
        [&lost]
        {
            return lost;
        }));
    EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other_than(owner), "a")));
    EXPECT_TRUE(nothing_runs(simulation, cancel_limit));
}

// Failure: all that runs lapses, as a takeover waits for one lost read.
TEST(pool_cancel, a_lost_page_does_not_hold_a_takeover_up)
{
    for (std::size_t victim = 0; victim < 5; ++victim)
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        simulation.submit(other, "a", lasting_job(6));
        simulation.run(1s);
        ASSERT_EQ(running_in_all(simulation), 6U);
        std::size_t reads = 0;
        simulation.store_fault =
            [&reads, victim](std::size_t, ports::kv_operation const& call)
        {
            bool const hit = reads_state(call) && reads++ == victim;
            return hit ? fault_effect::request_lost : fault_effect::carried_out;
        };
        simulation.kill(owner);
        simulation.run(8s);
        EXPECT_GE(reads, 5U);
        EXPECT_EQ(begun_in_all(simulation), 6U) << victim;
        EXPECT_EQ(running_in_all(simulation), 6U) << victim;
    }
}

// Failure: cancellings heard twice are gone from the store before their jobs.
TEST(pool_cancel, a_cancelling_that_is_heard_again_outlives_the_owner)
{
    constexpr std::size_t jobs = 40;
    for (bool const forgets : {false, true})
    {
        for (auto when = 20ms; when <= 400ms; when += 20ms)
        {
            pool_simulation simulation(3, 8);
            ASSERT_TRUE(run_until_owned(simulation));
            auto const owner = *simulation.owner();
            auto const other = other_than(owner);
            submit_many(simulation, other, "job", jobs, lasting_job(1));
            simulation.run(2s);
            ASSERT_EQ(running_in_all(simulation), jobs);
            cancel_backwards(simulation, other, "job", jobs);
            // The ends of all jobs are known and wait to be written.
            ASSERT_TRUE(simulation.run_until(
                [&simulation, owner]
                {
                    return simulation.owner_at(owner).commits().waiting() >= jobs;
                }));
            if (forgets)
            {
                // All pages are read again.
                simulation.store().compact();
            }
            else
            {
                cancel_backwards(simulation, other, "job", jobs);
            }
            simulation.run(when);
            simulation.kill(owner);
            auto const begun = begun_in_all(simulation);
            simulation.run(8s);
            EXPECT_EQ(begun_in_all(simulation), begun)
                << "killed after " << when.count() << " ms";
            EXPECT_EQ(running_in_all(simulation), 0U)
                << "killed after " << when.count() << " ms";
        }
    }
}

// Failure: a cancelling dies with the owner that heard of it, or did not.
TEST(pool_cancel, a_cancelling_outlives_the_owner)
{
    for (auto const commits : {fault_effect::carried_out,
                               fault_effect::request_lost,
                               fault_effect::answer_lost,
                               fault_effect::executed_late,
                               fault_effect::refused})
    {
        for (auto const when : {0ms, 3ms, 10ms, 100ms, 300ms})
        {
            pool_simulation simulation;
            ASSERT_TRUE(run_until_owned(simulation));
            auto const owner = *simulation.owner();
            auto const other = other_than(owner);
            simulation.submit(other, "a", lasting_job(6));
            simulation.run(1s);
            ASSERT_EQ(running_in_all(simulation), 6U);
            simulation.store_fault =
                [owner, commits](std::size_t at,
                                 ports::kv_operation const& call)
            {
                bool const hit = at == owner &&
                                 std::holds_alternative<ports::kv_commit>(call);
                return hit ? commits : fault_effect::carried_out;
            };
            EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other, "a")));
            simulation.run(when);
            simulation.kill(owner);
            simulation.store().compact();
            EXPECT_TRUE(nothing_runs(simulation, 5s));
            auto const begun = begun_in_all(simulation);
            simulation.run(5s);
            EXPECT_EQ(begun_in_all(simulation), begun);
            EXPECT_EQ(simulation.state(other, "a"), ports::job_state::cancelled);
        }
    }
}

// Failure: a stop that gets lost, is refused or comes late is not repeated.
TEST(pool_cancel, stops_in_trouble_are_repeated)
{
    for (auto const how : {fault_effect::request_lost,
                           fault_effect::answer_lost,
                           fault_effect::executed_late,
                           fault_effect::refused})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.submit(1, "a", lasting_job(6));
        simulation.run(1s);
        first_order_meets<ports::stop_order>(simulation, how);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(1, "a")));
        EXPECT_TRUE(nothing_runs(simulation, 1s));
        simulation.run(3s);
        EXPECT_EQ(simulation.state(1, "a"), ports::job_state::cancelled);
    }
}

// Failure: a start that is carried out after its job was over runs for good.
TEST(pool_cancel, a_late_start_of_a_cancelled_job_is_stopped)
{
    for (bool const takeover : {false, true})
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        auto const owner = *simulation.owner();
        auto const other = other_than(owner);
        first_order_meets<ports::start_order>(simulation,
                                              fault_effect::executed_late);
        simulation.submit(other, "a", lasting_job(6));
        simulation.run(100ms);
        EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other, "a")));
        if (takeover)
        {
            simulation.kill(owner);
        }
        simulation.run(3500ms);
        EXPECT_TRUE(nothing_runs(simulation, cancel_limit));
        EXPECT_EQ(simulation.violation(), "");
    }
}

// Failure: tasks of a worker that the successor reaches late are not stopped.
TEST(pool_cancel, a_worker_that_the_successor_reaches_late)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const other = other_than(owner);
    simulation.submit(other, "a", lasting_job(6));
    simulation.run(1s);
    ASSERT_GT(simulation.worker(0).running(), 0U);
    auto const until = simulation.now() + 3s;
    simulation.worker_fault = [&simulation, until](std::size_t,
                                         std::size_t worker,
                                         ports::pool_operation const&)
    {
        return worker == 0 && simulation.now() < until ? fault_effect::request_lost
                                                  : fault_effect::carried_out;
    };
    EXPECT_TRUE(acknowledged(simulation, simulation.cancel(other, "a")));
    simulation.kill(owner);
    simulation.run(3s);
    EXPECT_TRUE(nothing_runs(simulation, cancel_limit));
    auto const begun = begun_in_all(simulation);
    simulation.run(5s);
    EXPECT_EQ(begun_in_all(simulation), begun);
    EXPECT_EQ(simulation.state(other, "a"), ports::job_state::cancelled);
}
