#include "core/pool/rebalance.hpp"
#include "pool_simulation.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>

using namespace fuchsia::core::pool;
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::int64_t cores = 64'000;
constexpr std::int64_t task_millicores = 11'000;
constexpr double isolated_headroom = 4;

// Trains the model on one pair of images, with readings of three siblings, the
// last of which has the only neighbour.
void train(colocation& pairs,
           std::uint16_t serving_image,
           std::uint16_t best_effort_image,
           double weight)
{
    constexpr double share = 0.3;
    for (int round = 0; round < 40; ++round)
    {
        serving_reading undisturbed;
        undisturbed.headroom = isolated_headroom;
        serving_reading disturbed;
        disturbed.headroom = std::max(isolated_headroom - weight * share, 0.5);
        disturbed.neighbours = {{best_effort_image, share}};
        pairs.learn(serving_image, {&undisturbed, &undisturbed, &disturbed});
    }
}

movable_task make_task(std::uint16_t image, std::uint32_t index)
{
    movable_task t;
    t.name = {"serving", 0, 0, index};
    t.image = image;
    t.declared = {task_millicores, 1000, 0};
    t.isolated_headroom = isolated_headroom;
    t.may_move = true;
    return t;
}

// Returns a worker with one serving task for each of `images`. The tasks use
// half of the cores that they reserve.
rebalance_worker make_worker(std::string id,
                             std::vector<std::uint16_t> const& images)
{
    static std::uint32_t next_index = 0;
    rebalance_worker w;
    w.id = std::move(id);
    w.capacity = cores;
    auto const reserved =
        static_cast<std::int64_t>(images.size()) * task_millicores;
    w.free = {cores - reserved, 250'000, 0};
    w.idle = cores - reserved / 2;
    w.may_be_cleared = true;
    for (auto const image : images)
    {
        w.serving.push_back(make_task(image, ++next_index));
    }
    return w;
}

struct rebalancing : testing::Test
{
    rebalancing() : pairs(colocation_settings{})
    {
        delicate = pairs.number_of("delicate");
        sturdy = pairs.number_of("sturdy");
        heavy = pairs.number_of("heavy");
        light = pairs.number_of("light");
        train(pairs, delicate, heavy, 9);
        train(pairs, delicate, light, 0);
        train(pairs, sturdy, heavy, 0);
        train(pairs, sturdy, light, 0);
    }

    std::optional<rebalance_plan> plan() const
    {
        return plan_rebalance(settings, pairs, workers, waiting);
    }

    // Executes the plan at once, as a stop and a start do within a second.
    void apply(rebalance_plan const& plan)
    {
        auto const find = [this](std::string const& id) -> rebalance_worker&
        {
            return *std::find_if(workers.begin(),
                                 workers.end(),
                                 [&id](auto const& item)
                                 {
                                     return item.id == id;
                                 });
        };
        auto& from = find(plan.from);
        for (auto const& move : plan.moves)
        {
            auto const task = std::find_if(from.serving.begin(),
                                           from.serving.end(),
                                           [&move](auto const& item)
                                           {
                                               return item.name == move.name;
                                           });
            auto& target = find(move.to);
            target.serving.push_back(*task);
            target.free -= task->declared;
            target.idle -= task->declared.millicores / 2;
            from.free += task->declared;
            from.idle += task->declared.millicores / 2;
            from.serving.erase(task);
        }
        from.cleared_for.push_back(plan.image);
    }

    std::int64_t idle_millicores_for(std::uint16_t best_effort_image) const
    {
        std::int64_t total = 0;
        for (auto const& w : workers)
        {
            bool const undisturbed = std::none_of(
                w.serving.begin(),
                w.serving.end(),
                [&](auto const& t)
                {
                    return pairs.disturbs(t.image, best_effort_image);
                });
            total += undisturbed ? w.idle : 0;
        }
        return total;
    }

    rebalance_settings settings;
    colocation pairs;
    std::uint16_t delicate = 0;
    std::uint16_t sturdy = 0;
    std::uint16_t heavy = 0;
    std::uint16_t light = 0;
    std::vector<rebalance_worker> workers;
    std::vector<waiting_image> waiting;
};

} // namespace

// Failure: work waits although there are idle cores, since a delicate task runs
// on each worker.
TEST_F(rebalancing, clears_the_worker_with_the_lowest_cost)
{
    workers = {make_worker("a", {delicate, sturdy, sturdy}),
               make_worker("b", {delicate, delicate, sturdy})};
    waiting = {{heavy, 7000, 70'000}};
    auto const found = plan();
    ASSERT_TRUE(found.has_value());
    EXPECT_EQ(found->from, "a");
    ASSERT_EQ(found->moves.size(), 1U);
    EXPECT_EQ(found->moves.front().to, "b");
}

// Failure: serving tasks move for work that is only waiting for its turn.
TEST_F(rebalancing, moves_nothing_while_a_worker_can_take_the_work)
{
    workers = {make_worker("a", {delicate, sturdy}),
               make_worker("b", {delicate, delicate}),
               make_worker("c", {sturdy})};
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: serving tasks move for a pair that may be harmless.
TEST_F(rebalancing, moves_nothing_for_an_unknown_pair)
{
    auto const fresh = pairs.number_of("fresh");
    workers = {make_worker("a", {delicate}), make_worker("b", {delicate})};
    waiting = {{fresh, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: a serving task is stopped and no worker has capacity for it.
TEST_F(rebalancing, moves_nothing_without_capacity_elsewhere)
{
    workers = {
        make_worker("a", {delicate, sturdy}),
        make_worker("b", {delicate, delicate, delicate, delicate, delicate})};
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: the same capacity is reserved for two tasks that leave one worker.
TEST_F(rebalancing, reserves_capacity_only_once)
{
    workers = {make_worker("a", {delicate, delicate}),
               make_worker("b", {delicate, delicate, delicate, delicate}),
               make_worker("c", {delicate, delicate, delicate, delicate})};
    waiting = {{heavy, 7000, 70'000}};
    auto const found = plan();
    ASSERT_TRUE(found.has_value());
    ASSERT_EQ(found->moves.size(), 2U);
    EXPECT_NE(found->moves[0].to, found->moves[1].to);
}

// Failure: a serving task moves to a worker with work that disturbs it.
TEST_F(rebalancing, moves_no_task_next_to_disturbing_work)
{
    workers = {make_worker("a", {delicate, sturdy}),
               make_worker("b", {delicate})};
    workers[1].best_effort = {{heavy, 0.5}};
    workers[1].may_be_cleared = false;
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: a task moves to another service's worker, where it can't start.
TEST_F(rebalancing, moves_tasks_only_within_their_service)
{
    workers = {make_worker("a", {delicate, sturdy}),
               make_worker("b", {delicate, delicate})};
    workers[1].service = "another";
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: the next plan moves a disturbed task to a worker that was just
// cleared.
TEST_F(rebalancing, moves_no_disturbed_task_to_a_cleared_worker)
{
    workers = {make_worker("a", {}), make_worker("b", {delicate})};
    workers[0].cleared_for = {heavy};
    workers[0].idle = 0;
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: plans make too few idle cores of a mixed pool usable, or never end.
TEST_F(rebalancing, makes_idle_cores_of_a_mixed_pool_usable)
{
    std::mt19937 random(7);
    for (int number = 0; number < 48; ++number)
    {
        std::vector<std::uint16_t> images(number % 8 == 0 ? 2 : 5);
        for (auto& image : images)
        {
            image = random() % 2 == 0 ? delicate : sturdy;
        }
        workers.push_back(make_worker("w" + std::to_string(number), images));
    }
    waiting = {{heavy, 7000, 2'000'000}};
    auto const before = idle_millicores_for(heavy);
    std::size_t moves = 0;
    for (int round = 0; round < 100; ++round)
    {
        // The waiting work uses all undisturbed workers at once.
        auto busy_workers = workers;
        for (auto& w : busy_workers)
        {
            bool const undisturbed =
                std::none_of(w.serving.begin(),
                             w.serving.end(),
                             [&](auto const& t)
                             {
                                 return t.image == delicate;
                             });
            w.idle = undisturbed ? 0 : w.idle;
            w.best_effort = undisturbed
                                ? std::vector<neighbour_share>{{heavy, 0.5}}
                                : std::vector<neighbour_share>{};
        }
        auto const found =
            plan_rebalance(settings, pairs, busy_workers, waiting);
        if (!found)
        {
            break;
        }
        moves += found->moves.size();
        apply(*found);
    }
    EXPECT_GT(idle_millicores_for(heavy), before + 150'000);
    EXPECT_GT(moves, 0U);
    EXPECT_LT(moves, 100U);
}

namespace
{

// Returns a job of serving tasks whose tail latency is a fifth of the target
// without disturbance.
job serving_job(std::uint32_t count)
{
    auto job = simple_job(count, 1s);
    job.spec = "lasts tail=20";
    auto& s = job.steps.front();
    s.declared = {2000, 100, 0};
    s.long_running = true;
    s.image = "delicate";
    s.tail_target = 100ms;
    return job;
}

job best_effort_job(std::uint32_t count)
{
    auto job = simple_job(count, 1500ms);
    job.spec = "work=1500 strain=30 cores=1000";
    auto& s = job.steps.front();
    s.declared = {1000, 100, 0};
    s.best_effort = true;
    s.image = "heavy";
    return job;
}

// Four workers with one delicate task each and six of eight cores idle; heavy
// work arrives faster than it may run next to these tasks.
struct spread_serving_pool
{
    spread_serving_pool()
    {
        world.run_until(
            [this]
            {
                return world.owner().has_value();
            });
        auto block = simple_job(4, 1s);
        block.spec = "lasts";
        block.steps.front().declared = {5000, 100, 0};
        block.steps.front().long_running = true;
        world.submit(0, "block", block);
        world.run(1s);
        world.submit(0, "serving", serving_job(4));
        world.run(1s);
        world.cancel(0, "block");
        world.run(1s);
    }

    void send_heavy_work(int rounds)
    {
        for (int round = 0; round < rounds; ++round)
        {
            auto const number = std::to_string(next++);
            world.submit(0, "fill" + number, best_effort_job(5));
            world.run(500ms);
        }
    }

    std::size_t workers_without_serving()
    {
        std::size_t count = 0;
        for (std::size_t number = 0; number < world.worker_count(); ++number)
        {
            bool any = false;
            for (std::uint32_t index = 0; index < 4; ++index)
            {
                any =
                    any || world.worker(number).runs({"serving", 0, 0, index});
            }
            count += any ? 0U : 1U;
        }
        return count;
    }

    std::size_t running_serving_tasks()
    {
        std::size_t count = 0;
        for (std::uint32_t index = 0; index < 4; ++index)
        {
            count += world.running_count({"serving", 0, 0, index});
        }
        return count;
    }

    pool_simulation world;
    int next = 0;
};

} // namespace

// Failure: serving tasks keep blocking the work, or run twice while they move.
TEST(pool_rebalance, serving_tasks_move_away_for_waiting_work)
{
    spread_serving_pool pool;
    ASSERT_EQ(pool.workers_without_serving(), 0U);
    pool.send_heavy_work(50);
    EXPECT_GT(pool.workers_without_serving(), 0U);
    pool.world.run(2s);
    EXPECT_EQ(pool.running_serving_tasks(), 4U);
    EXPECT_EQ(pool.world.violation(), "");
}

// Failure: a task that moves during a takeover starts twice, or never.
TEST(pool_rebalance, serving_tasks_all_run_after_the_owner_is_killed)
{
    for (int rounds = 20; rounds < 44; rounds += 3)
    {
        spread_serving_pool pool;
        pool.send_heavy_work(rounds);
        pool.world.kill(*pool.world.owner());
        pool.world.run(10s);
        EXPECT_EQ(pool.running_serving_tasks(), 4U) << "after " << rounds;
        EXPECT_EQ(pool.world.violation(), "") << "after " << rounds;
    }
}

namespace
{

bool has_moved(pool_simulation const& world)
{
    return std::any_of(world.log().begin(),
                       world.log().end(),
                       [](logged_line const& line)
                       {
                           return line.what.event == "tasks_move";
                       });
}

// Sends heavy work until serving tasks are moved, and stops in that instant.
bool run_until_moved(spread_serving_pool& pool)
{
    for (int round = 0; round < 50; ++round)
    {
        pool.world.submit(
            0, "work" + std::to_string(round), best_effort_job(5));
        if (pool.world.run_until(
                [&pool]
                {
                    return has_moved(pool.world);
                },
                500ms))
        {
            return true;
        }
    }
    return false;
}

} // namespace

// Failure: a successor forgets which tasks the killed owner was moving, and
// stops others of their step beside them, or never starts those again.
TEST(pool_rebalance, an_owner_killed_in_a_move_leaves_one_move)
{
    for (auto const offset : {0ms, 1ms, 2ms, 3ms, 5ms, 10ms, 50ms, 400ms})
    {
        spread_serving_pool pool;
        ASSERT_TRUE(run_until_moved(pool));
        pool.world.run(offset);
        auto const killed = *pool.world.owner();
        pool.world.kill(killed);
        std::size_t stops = 0;
        pool.world.worker_fault = [&stops](std::size_t,
                                           std::size_t,
                                           ports::pool_operation const& order)
        {
            auto const* const stop = std::get_if<ports::stop_order>(&order);
            stops += stop != nullptr && stop->attempt_id.task.job == "serving"
                         ? 1U
                         : 0U;
            return fault_effect::carried_out;
        };
        // The work that the successor could move tasks for goes on.
        for (int round = 0; round < 18; ++round)
        {
            pool.world.submit(other_than(killed),
                              "more" + std::to_string(round),
                              best_effort_job(5));
            pool.world.run(500ms);
        }
        EXPECT_EQ(stops, 0U) << "death after " << offset.count() << " ms";
        EXPECT_EQ(pool.running_serving_tasks(), 4U)
            << "death after " << offset.count() << " ms";
        EXPECT_EQ(pool.world.violation(), "");
    }
}

// Failure: the reservations of cancelled tasks are kept.
TEST(pool_rebalance, cancelled_tasks_release_their_reservations)
{
    spread_serving_pool pool;
    pool.send_heavy_work(30);
    pool.world.cancel(0, "serving");
    pool.world.run(10s);
    pool.world.submit(0,
                      "wide",
                      []
                      {
                          auto wide_job = simple_job(4, 500ms);
                          wide_job.steps.front().declared = {8000, 100, 0};
                          return wide_job;
                      }());
    EXPECT_TRUE(pool.world.run_until(
        [&pool]
        {
            return pool.world.state(0, "wide") == ports::job_state::completed;
        }));
    EXPECT_EQ(pool.world.violation(), "");
}

// Failure: two serving images share a worker although others are empty.
TEST(pool_serving, images_share_a_worker_only_if_none_is_empty)
{
    pool_simulation world;
    world.run_until(
        [&world]
        {
            return world.owner().has_value();
        });
    world.submit(0, "first", serving_job(3));
    world.run(1s);
    auto other = serving_job(1);
    other.steps.front().image = "other";
    world.submit(0, "second", other);
    world.run(1s);
    std::size_t mixed = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        bool const second = world.worker(number).runs({"second", 0, 0, 0});
        bool const first = world.worker(number).runs({"first", 0, 0, 0});
        mixed += first && second ? 1U : 0U;
    }
    EXPECT_EQ(world.running_count({"second", 0, 0, 0}), 1U);
    EXPECT_EQ(mixed, 0U);
}

// Failure: log lines for the moves of many serving tasks filled the owner's
// output just when work was waiting.
TEST(pool_rebalance, logs_the_moves_from_a_worker_in_one_line)
{
    spread_serving_pool pool;
    pool.send_heavy_work(50);
    std::map<std::pair<time_point, std::string>, std::size_t> lines;
    std::size_t moved = 0;
    for (auto const& line : pool.world.log())
    {
        if (line.what.event == "tasks_move")
        {
            auto const& from = line.what.fields.at(0);
            ++lines[{line.when, from.value}];
            auto const text = text_of(line);
            moved += static_cast<std::size_t>(
                std::count(text.begin(), text.end(), '>'));
        }
    }
    auto const owner = *pool.world.owner();
    EXPECT_EQ(moved, pool.world.owner_at(owner).counters().rebalanced);
    ASSERT_FALSE(lines.empty());
    for (auto const& [when, count] : lines)
    {
        EXPECT_EQ(count, 1U) << when.second;
    }
}
