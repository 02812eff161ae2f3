#include "pool_simulation.hpp"

#include "unit/walks/seed_count.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

// What an owner knows alone is lost when it dies: orders without an answer,
// ends that are not in the store yet, numbers of attempts. Each test brings an
// owner into such a state, kills it in that instant, and lets a successor take
// over that reaches the worker in question at once, late or not at all.
using namespace fuchsia::tests::unit::pool;
using fuchsia::ports::job_state;
using fuchsia::tests::unit::walks::seed_count;
namespace core = fuchsia::core;
namespace ports = fuchsia::ports;

namespace
{

/// Time from the instant in question to the death of the owner.
constexpr duration death_offsets[] = {0ms, 1ms, 2ms, 5ms, 30ms, 200ms, 900ms};
/// Time for which the successor does not reach the worker: not at all, for
/// less than a lease, for less and for more than a takeover waits.
constexpr duration cut_lengths[] = {0ms, 2500ms, 5500ms, 20s};

constexpr fault_effect lost_answers[] = {fault_effect::answer_lost,
                                         fault_effect::request_lost,
                                         fault_effect::executed_late,
                                         fault_effect::delayed};

/// How an owner dies, and what becomes of its worker.
struct death
{
    fault_effect effect = fault_effect::carried_out;
    duration offset{};
    duration cut{};
    bool starts_again = false; ///< The instance, which may be the successor.
};

std::string text_of(death const& how)
{
    return "effect " + std::to_string(static_cast<int>(how.effect)) +
           ", death after " +
           std::to_string(core::common::to_milliseconds(how.offset)) +
           " ms, cut for " +
           std::to_string(core::common::to_milliseconds(how.cut)) + " ms" +
           (how.starts_again ? ", starts again" : "");
}

template<class Operation>
bool is_order(ports::pool_operation const& order)
{
    return std::holds_alternative<Operation>(order);
}

bool is_commit(ports::kv_operation const& call)
{
    return std::holds_alternative<ports::kv_commit>(call);
}

/// An owner that is to die, with the orders that it sends.
class dying_owner
{
public:
    using order_filter = std::function<bool(ports::pool_operation const&)>;

    explicit dying_owner(std::size_t workers = 4) : simulation(3, workers)
    {
        EXPECT_TRUE(run_until_owned(simulation));
        simulation.run(2s);
        owner_ = *simulation.owner();
        observer = other_than(owner_);
        simulation.worker_fault = [this](std::size_t instance,
                                         std::size_t worker,
                                         ports::pool_operation const& order)
        {
            return effect_on(instance, worker, order);
        };
    }

    /// Applies `effect` to the first `count` orders for which `matches` holds,
    /// and takes the worker of the first one for the one in question.
    void fail_orders(order_filter matches,
                     fault_effect effect,
                     std::size_t count = 1)
    {
        matches_ = std::move(matches);
        effect_ = effect;
        faults_left_ = count;
        simulation.set_late_delay(effect == fault_effect::delayed ? 200ms : 2s);
    }

    bool run_until_order_failed()
    {
        return simulation.run_until(
            [this]
            {
                return worker.has_value();
            },
            5s);
    }

    /// Runs until a worker runs the task, and takes it for the one in question.
    bool run_until_started(ports::task_name const& task)
    {
        return simulation.run_until(
            [this, &task]
            {
                return find_worker_of(task);
            },
            5s);
    }

    /// Drops the owner's commits to the store from now on.
    void lose_commits(fault_effect effect)
    {
        simulation.store_fault = [this, effect](std::size_t instance,
                                                ports::kv_operation const& call)
        {
            bool const lost = !dead_ && instance == owner_ && is_commit(call);
            return lost ? effect : fault_effect::carried_out;
        };
    }

    void die(death const& how)
    {
        simulation.run(how.offset);
        dead_ = true;
        cut_until_ = simulation.now() + how.cut;
        simulation.kill(owner_);
        if (how.starts_again)
        {
            simulation.start(owner_);
        }
    }

    bool ends_as(std::string const& id, job_state expected)
    {
        return simulation.run_until(
            [this, &id, expected]
            {
                return simulation.state(observer, id) == expected;
            },
            40s);
    }

    /// Whether all tasks stop in the time of a takeover and a lease.
    bool all_stop()
    {
        return simulation.run_until(
            [this]
            {
                return running_tasks(simulation) == 0;
            },
            8s);
    }

    /// Whether a task of the second step was started before both tasks of the
    /// first step had ended.
    bool started_too_early() const noexcept
    {
        return started_too_early_;
    }

    pool_simulation simulation;
    std::size_t observer = 0;          ///< An instance that lives on.
    std::optional<std::size_t> worker; ///< The worker in question.

private:
    fault_effect effect_on(std::size_t instance,
                           std::size_t number,
                           ports::pool_operation const& order)
    {
        if (auto const* const start = std::get_if<ports::start_order>(&order))
        {
            check_order(start->attempt_id.task);
        }
        if (dead_)
        {
            bool const cut = worker == number && simulation.now() < cut_until_;
            return cut ? fault_effect::request_lost : fault_effect::carried_out;
        }
        if (faults_left_ == 0 || instance != owner_ || !matches_(order))
        {
            return fault_effect::carried_out;
        }
        --faults_left_;
        worker = worker.value_or(number);
        return effect_;
    }

    void check_order(ports::task_name const& task)
    {
        if (task.step == 0)
        {
            return;
        }
        for (std::uint32_t const index : {0U, 1U})
        {
            started_too_early_ |=
                !simulation.ended_done({task.job, 0, 0, index});
        }
    }

    bool find_worker_of(ports::task_name const& task)
    {
        for (std::size_t number = 0; number < simulation.worker_count();
             ++number)
        {
            if (simulation.worker(number).runs(task))
            {
                worker = number;
                return true;
            }
        }
        return false;
    }

    std::size_t owner_ = 0;
    bool dead_ = false;
    bool started_too_early_ = false;
    time_point cut_until_{};
    order_filter matches_;
    fault_effect effect_ = fault_effect::carried_out;
    std::size_t faults_left_ = 0;
};

/// Calls `check` with each way to die.
void for_each_death(std::function<void(death const&)> const& check)
{
    for (auto const offset : death_offsets)
    {
        for (auto const cut : cut_lengths)
        {
            for (bool const starts_again : {false, true})
            {
                death const how{
                    fault_effect::carried_out, offset, cut, starts_again};
                SCOPED_TRACE(text_of(how));
                check(how);
            }
        }
    }
}

/// Calls `check` with each way to die and each way to lose an answer.
void for_each_lost_answer(std::function<void(death const&)> const& check)
{
    for (auto const effect : lost_answers)
    {
        for_each_death(
            [&check, effect](death how)
            {
                how.effect = effect;
                SCOPED_TRACE(text_of(how));
                check(how);
            });
    }
}

core::pool::job gang_job(std::uint32_t count, std::string const& spec)
{
    auto result = simple_job(count, 1s);
    result.spec = spec;
    result.steps.front().gang = true;
    result.steps.front().declared = {5000, 100, 0};
    return result;
}

core::pool::job failing_job(duration work, std::string const& word)
{
    auto result = simple_job(1, work);
    result.spec += " " + word;
    return result;
}

} // namespace

// Guards against a task that runs twice, or never, since its start was not
// answered when the owner died.
TEST(pool_owner_memory, an_unanswered_start)
{
    for_each_lost_answer(
        [](death const& how)
        {
            for (auto const work : {5ms, 3000ms})
            {
                dying_owner dying;
                dying.fail_orders(is_order<ports::start_order>, how.effect);
                dying.simulation.submit(
                    dying.observer, "a", simple_job(2, work));
                ASSERT_TRUE(dying.run_until_order_failed());
                dying.die(how);
                EXPECT_TRUE(dying.ends_as("a", job_state::completed));
                EXPECT_EQ(dying.simulation.violation(), "");
            }
        });
}

// Guards against a cancelled job that goes on, or never ends, since a stop was
// not answered when the owner died.
TEST(pool_owner_memory, an_unanswered_stop)
{
    for_each_lost_answer(
        [](death const& how)
        {
            dying_owner dying;
            dying.simulation.submit(dying.observer, "a", simple_job(4, 30s));
            dying.simulation.run(1s);
            dying.fail_orders(is_order<ports::stop_order>, how.effect, 2);
            dying.simulation.cancel(dying.observer, "a");
            ASSERT_TRUE(dying.run_until_order_failed());
            dying.die(how);
            EXPECT_TRUE(dying.ends_as("a", job_state::cancelled));
            EXPECT_TRUE(dying.all_stop());
            EXPECT_EQ(total_starts(dying.simulation), 4U);
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

// Guards against a cancellation that is forgotten with the owner that has read
// it, or was about to.
TEST(pool_owner_memory, a_cancellation_received)
{
    for_each_death(
        [](death const& how)
        {
            dying_owner dying;
            dying.simulation.submit(dying.observer, "a", simple_job(4, 30s));
            // More than the workers hold: some of its tasks wait.
            dying.simulation.submit(dying.observer, "b", simple_job(40, 30s));
            ASSERT_TRUE(dying.run_until_started({"a", 0, 0, 0}));
            dying.simulation.run(500ms);
            auto const cancels = {dying.simulation.cancel(dying.observer, "a"),
                                  dying.simulation.cancel(dying.observer, "b")};
            for (auto const cancel : cancels)
            {
                ASSERT_TRUE(dying.simulation.run_until(
                    [&dying, cancel]
                    {
                        return dying.simulation.answer(cancel).has_value();
                    }));
            }
            auto const starts = total_starts(dying.simulation);
            dying.die(how);
            EXPECT_TRUE(dying.ends_as("a", job_state::cancelled));
            EXPECT_TRUE(dying.ends_as("b", job_state::cancelled));
            EXPECT_TRUE(dying.all_stop());
            EXPECT_EQ(total_starts(dying.simulation), starts);
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

// Guards against a task that runs again, or whose successors start too early,
// since its end was read and not yet written when the owner died.
TEST(pool_owner_memory, an_end_read_but_not_written)
{
    for (auto const effect : {fault_effect::request_lost,
                              fault_effect::answer_lost,
                              fault_effect::executed_late})
    {
        for_each_death(
            [effect](death const& how)
            {
                dying_owner dying;
                dying.simulation.submit(
                    dying.observer, "a", chained_job(300ms));
                ASSERT_TRUE(dying.run_until_started({"a", 0, 0, 0}));
                dying.lose_commits(effect);
                ASSERT_TRUE(dying.simulation.run_until(
                    [&dying]
                    {
                        return dying.simulation.ended_done({"a", 0, 0, 0});
                    }));
                dying.die(how);
                EXPECT_TRUE(dying.ends_as("a", job_state::completed));
                EXPECT_FALSE(dying.started_too_early());
                EXPECT_EQ(dying.simulation.violation(), "")
                    << "effect " << static_cast<int>(effect);
            });
    }
}

// Guards against a task that starts after its last attempt, since failures
// were counted and not yet written when the owner died.
TEST(pool_owner_memory, failures_counted_but_not_written)
{
    for (std::size_t const failures : {1U, 2U, 3U})
    {
        for_each_death(
            [failures](death const& how)
            {
                dying_owner dying;
                dying.simulation.submit(
                    dying.observer, "a", failing_job(300ms, "fail"));
                ports::task_name const task{"a", 0, 0, 0};
                ASSERT_TRUE(dying.simulation.run_until(
                    [&dying, &task, failures]
                    {
                        return dying.simulation.starts_of(task) == failures;
                    }));
                ASSERT_TRUE(dying.run_until_started(task));
                dying.lose_commits(fault_effect::request_lost);
                ASSERT_TRUE(dying.simulation.run_until(
                    [&dying, &task]
                    {
                        return dying.simulation.running_count(task) == 0;
                    }));
                dying.die(how);
                EXPECT_TRUE(dying.ends_as("a", job_state::failed));
                EXPECT_EQ(dying.simulation.violation(), "")
                    << failures << " failures";
            });
    }
}

// Guards against members of a gang that run beside those of an earlier attempt,
// or wait for ever, since the gang was half started when the owner died.
TEST(pool_owner_memory, a_gang_half_started)
{
    for_each_lost_answer(
        [](death const& how)
        {
            dying_owner dying;
            dying.fail_orders(is_order<ports::start_order>, how.effect);
            dying.simulation.submit(
                dying.observer, "g", gang_job(3, "work=1000"));
            ASSERT_TRUE(dying.run_until_order_failed());
            dying.die(how);
            EXPECT_TRUE(dying.ends_as("g", job_state::completed));
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

// Guards against a gang that is started again beside members that were to be
// stopped when the owner died.
TEST(pool_owner_memory, a_gang_half_stopped)
{
    for_each_lost_answer(
        [](death const& how)
        {
            dying_owner dying;
            dying.fail_orders(is_order<ports::stop_order>, how.effect, 2);
            auto gang = gang_job(3, "work=1000 fail_first");
            dying.simulation.submit(dying.observer, "g", gang);
            dying.simulation.run(500ms);
            dying.simulation.restart_worker(1);
            ASSERT_TRUE(dying.run_until_order_failed());
            dying.die(how);
            EXPECT_TRUE(dying.ends_as("g", job_state::completed));
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

// Guards against a task that never starts since its only worker has stopped
// higher attempts of it than the successor knows of.
TEST(pool_owner_memory, attempts_that_were_stopped)
{
    for_each_death(
        [](death const& how)
        {
            dying_owner dying(1);
            dying.fail_orders(
                is_order<ports::start_order>, fault_effect::request_lost, 4);
            dying.simulation.submit(dying.observer, "a", simple_job(1, 500ms));
            dying.simulation.run(9s);
            dying.die(how);
            EXPECT_TRUE(dying.ends_as("a", job_state::completed));
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

// Guards against a run that goes on beside its successor, since the lease that
// a poll granted was not confirmed when the owner died.
TEST(pool_owner_memory, a_lease_granted_but_not_confirmed)
{
    for_each_lost_answer(
        [](death const& how)
        {
            dying_owner dying;
            auto lasting = simple_job(2, 1s);
            lasting.spec = "lasts";
            lasting.steps.front().long_running = true;
            dying.simulation.submit(dying.observer, "a", lasting);
            ASSERT_TRUE(dying.run_until_started({"a", 0, 0, 0}));
            dying.simulation.run(1s);
            auto const concerned = *dying.worker;
            dying.fail_orders(
                [](ports::pool_operation const& order)
                {
                    auto const* const poll =
                        std::get_if<ports::poll_order>(&order);
                    return poll != nullptr && poll->lease_until_ms > 0;
                },
                how.effect,
                2);
            dying.simulation.run(400ms);
            dying.worker = concerned;
            dying.die(how);
            dying.simulation.run(22s);
            EXPECT_EQ(dying.simulation.running_count({"a", 0, 0, 0}), 1U);
            EXPECT_EQ(dying.simulation.running_count({"a", 0, 0, 1}), 1U);
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

// Guards against starts without a ticket, or none at all, since the tickets
// were lost with the owner.
TEST(pool_owner_memory, tickets_of_the_policy)
{
    for_each_death(
        [](death const& how)
        {
            dying_owner dying;
            dying.simulation.require_tickets();
            dying.simulation.run(2s);
            dying.simulation.submit(dying.observer, "a", simple_job(3, 1500ms));
            dying.simulation.run(305ms);
            dying.worker = 1;
            dying.die(how);
            EXPECT_TRUE(dying.ends_as("a", job_state::completed));
            EXPECT_EQ(dying.simulation.starts_without_ticket(), 0U);
            EXPECT_EQ(dying.simulation.violation(), "");
        });
}

namespace
{

/// Random deaths of owners, cuts, restarts of workers and lost commits beside
/// a job whose tasks always fail, so that runs under several owners have the
/// same numbers.
class failing_walk
{
public:
    explicit failing_walk(std::uint64_t seed) : random_(seed), simulation_(3, 4)
    {
        simulation_.worker_fault = [this](std::size_t,
                                          std::size_t worker,
                                          ports::pool_operation const&)
        {
            return worker == cut_worker_ ? fault_effect::request_lost
                                         : fault_effect::carried_out;
        };
        simulation_.store_fault =
            [this](std::size_t, ports::kv_operation const& call)
        {
            return commits_lost_ && is_commit(call) ? fault_effect::request_lost
                                                    : fault_effect::carried_out;
        };
        run_until_owned(simulation_);
    }

    /// Returns the first violation; empty if there is none.
    std::string run()
    {
        auto const work = std::chrono::milliseconds(50 + draw(2500));
        auto job = simple_job(4, work);
        job.spec += " fail";
        simulation_.submit(0, "a", job);
        for (int step = 0; step < 15; ++step)
        {
            act();
            simulation_.run(std::chrono::milliseconds(1 + draw(1500)));
        }
        cut_worker_.reset();
        commits_lost_ = false;
        bool const failed = simulation_.run_until(
            [this]
            {
                return simulation_.state(0, "a") == job_state::failed;
            },
            60s);
        return !simulation_.violation().empty() ? simulation_.violation()
               : failed                         ? ""
                                                : "has not failed";
    }

private:
    std::uint64_t draw(std::uint64_t limit)
    {
        return random_() % limit;
    }

    void act()
    {
        switch (draw(6))
        {
        case 0:
        case 1:
            if (auto const owner = simulation_.owner())
            {
                simulation_.kill(*owner);
                simulation_.start(*owner);
            }
            break;
        case 2:
            cut_worker_ = draw(simulation_.worker_count());
            break;
        case 3:
            cut_worker_.reset();
            break;
        case 4:
            commits_lost_ = !commits_lost_;
            break;
        default:
            simulation_.restart_worker(draw(simulation_.worker_count()));
        }
    }

    std::mt19937_64 random_;
    pool_simulation simulation_;
    std::optional<std::size_t> cut_worker_;
    bool commits_lost_ = false;
};

constexpr std::uint64_t default_failing_walks = 150;

} // namespace

// Guards against a task that starts after its last attempt, since failures of
// two runs with the same number under different owners counted once.
TEST(pool_owner_memory, failures_of_runs_with_the_same_number)
{
    auto const seeds = seed_count(default_failing_walks);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        failing_walk walk(seed);
        EXPECT_EQ(walk.run(), "") << "seed " << seed;
    }
}

// Guards against a task that crashes its workers without end, since crashes
// were not counted before the owner died.
TEST(pool_owner_memory, blame_for_a_crash)
{
    for (std::size_t const crash : {1U, 2U, 3U})
    {
        for_each_death(
            [crash](death const& how)
            {
                dying_owner dying(8);
                dying.simulation.set_crash_recovery(2s, how.starts_again);
                auto job = simple_job(1, 60s);
                job.spec = "work=60000 crash crash_after=300";
                dying.simulation.submit(dying.observer, "a", job);
                ports::task_name const task{"a", 0, 0, 0};
                ASSERT_TRUE(dying.simulation.run_until(
                    [&dying, &task, crash]
                    {
                        dying.run_until_started(task);
                        return dying.simulation.crashes_by(task) == crash;
                    }));
                dying.die(how);
                EXPECT_TRUE(dying.ends_as("a", job_state::failed));
                EXPECT_EQ(dying.simulation.violation(), "")
                    << "crash " << crash;
            });
    }
}

// Guards against a task that runs twice, or is lost, since a successor died
// during its takeover as well, while a worker can't be reached.
TEST(pool_owner_memory, a_successor_that_dies_too)
{
    constexpr duration second_offsets[] = {20ms, 500ms, 4s, 5800ms};
    for (auto const second : second_offsets)
    {
        for_each_lost_answer(
            [second](death how)
            {
                how.cut = 2 * how.cut;
                dying_owner dying;
                dying.simulation.submit(
                    dying.observer, "earlier", failing_job(1500ms, "fail"));
                dying.simulation.run(1s);
                dying.fail_orders(is_order<ports::start_order>, how.effect);
                dying.simulation.submit(
                    dying.observer, "a", chained_job(2500ms));
                ASSERT_TRUE(dying.run_until_order_failed());
                dying.die(how);
                ASSERT_TRUE(run_until_owned(dying.simulation));
                dying.simulation.run(second);
                if (auto const successor = dying.simulation.claim_holder())
                {
                    dying.simulation.kill(*successor);
                    dying.simulation.start(*successor);
                }
                EXPECT_TRUE(dying.ends_as("a", job_state::completed));
                EXPECT_TRUE(dying.ends_as("earlier", job_state::failed));
                EXPECT_FALSE(dying.started_too_early());
                EXPECT_EQ(dying.simulation.violation(), "")
                    << "second death after "
                    << core::common::to_milliseconds(second) << " ms";
            });
    }
}

// Guards against a start beyond the capacity of a worker that still runs a
// later attempt of a task, of which another worker lists an earlier attempt as
// done: the successor has the later one stopped, and it counts until its end.
TEST(pool_owner_memory, a_later_attempt_of_a_task_that_is_done)
{
    pool_simulation simulation(3, 2);
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(2s);
    auto const owner = *simulation.owner();
    auto const observer = other_than(owner);
    bool cut = false;
    bool stops_are_slow = false;
    simulation.set_late_delay(1s);
    simulation.worker_fault =
        [&](std::size_t, std::size_t worker, ports::pool_operation const& order)
    {
        if (cut && worker == 0)
        {
            return fault_effect::request_lost;
        }
        return stops_are_slow && is_order<ports::stop_order>(order)
                   ? fault_effect::executed_late
                   : fault_effect::carried_out;
    };
    auto job = simple_job(1, 3s);
    job.steps.front().declared = {8000, 100, 0};
    job.steps.front().near_rack = "even";
    simulation.submit(observer, "a", job);
    ports::task_name const task{"a", 0, 0, 0};
    ASSERT_TRUE(simulation.run_until(
        [&]
        {
            return simulation.worker(0).runs(task);
        }));
    simulation.run(20ms);
    cut = true;
    ASSERT_TRUE(simulation.run_until(
        [&]
        {
            return simulation.worker(1).runs(task);
        }));
    ASSERT_TRUE(simulation.ended_done(task));
    auto waiting = simple_job(2, 1s);
    waiting.steps.front().declared = {8000, 100, 0};
    simulation.submit(observer, "b", waiting);
    simulation.run(100ms);
    simulation.kill(owner);
    cut = false;
    stops_are_slow = true;
    for (auto const* const id : {"a", "b"})
    {
        EXPECT_TRUE(simulation.run_until(
            [&]
            {
                return simulation.state(observer, id) == job_state::completed;
            }));
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a job that is given up although its task has crashed nothing:
// its workers were only cut off, and the owners that had blamed it for that
// died before they could take the blame back.
TEST(pool_owner_memory, blame_for_cuts)
{
    constexpr int cuts = 6;
    for (auto const death_after : {0ms, 1500ms, 4500ms})
    {
        pool_simulation simulation(3, 8);
        std::optional<std::size_t> cut_worker;
        simulation.worker_fault = [&cut_worker](std::size_t,
                                                std::size_t worker,
                                                ports::pool_operation const&)
        {
            return worker == cut_worker ? fault_effect::request_lost
                                        : fault_effect::carried_out;
        };
        ASSERT_TRUE(run_until_owned(simulation));
        simulation.run(2s);
        simulation.submit(0, "a", simple_job(1, 20s));
        ports::task_name const task{"a", 0, 0, 0};
        for (int cut = 0; cut < cuts; ++cut)
        {
            ASSERT_TRUE(simulation.run_until(
                [&simulation, &task]
                {
                    return simulation.running_count(task) == 1;
                }))
                << "cut " << cut << ", death after " << death_after.count()
                << " ms";
            simulation.run(1s);
            cut_worker = 0;
            while (!simulation.worker(*cut_worker).runs(task))
            {
                ++*cut_worker;
            }
            simulation.run(death_after);
            auto const owner = simulation.owner();
            ASSERT_TRUE(owner.has_value());
            simulation.kill(*owner);
            simulation.start(*owner);
            simulation.run(8s);
            cut_worker.reset();
        }
        EXPECT_TRUE(simulation.run_until(
            [&simulation]
            {
                return simulation.state(0, "a") == job_state::completed;
            },
            60s))
            << "death after " << death_after.count() << " ms";
        EXPECT_EQ(simulation.violation(), "");
    }
}
