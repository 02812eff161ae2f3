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
constexpr std::int64_t task_cores = 11'000;
constexpr double alone = 4;

// A model that has learned which of the images disturb each other: a reading of
// three siblings, the last of which has the only neighbour.
void teach(colocation& pairs,
           std::uint16_t served,
           std::uint16_t fill,
           double weight)
{
    constexpr double share = 0.3;
    for (int round = 0; round < 40; ++round)
    {
        serving_reading calm;
        calm.headroom = alone;
        serving_reading beside;
        beside.headroom = std::max(alone - weight * share, 0.5);
        beside.neighbours = {{fill, share}};
        pairs.learn(served, {&calm, &calm, &beside});
    }
}

movable_task make_task(std::uint16_t image, std::uint32_t index)
{
    movable_task made;
    made.name = {"serving", 0, 0, index};
    made.image = image;
    made.declared = {task_cores, 1000, 0};
    made.isolated_headroom = alone;
    made.may_move = true;
    return made;
}

// A worker with `images` on it, one serving task each, that use half of what
// they reserve.
rebalance_worker make_worker(std::string id,
                             std::vector<std::uint16_t> const& images)
{
    static std::uint32_t next = 0;
    rebalance_worker made;
    made.id = std::move(id);
    made.capacity = cores;
    auto const reserved = static_cast<std::int64_t>(images.size()) * task_cores;
    made.free = {cores - reserved, 250'000, 0};
    made.idle = cores - reserved / 2;
    made.may_be_cleared = true;
    for (auto const image : images)
    {
        made.serving.push_back(make_task(image, ++next));
    }
    return made;
}

struct regrouping : testing::Test
{
    regrouping() : pairs(colocation_settings{})
    {
        delicate = pairs.number_of("delicate");
        sturdy = pairs.number_of("sturdy");
        heavy = pairs.number_of("heavy");
        light = pairs.number_of("light");
        teach(pairs, delicate, heavy, 9);
        teach(pairs, delicate, light, 0);
        teach(pairs, sturdy, heavy, 0);
        teach(pairs, sturdy, light, 0);
    }

    std::optional<rebalance_plan> plan() const
    {
        return plan_rebalance(settings, pairs, workers, waiting);
    }

    // Carries the plan out at once, as stop and start do within a second.
    void apply(rebalance_plan const& what)
    {
        auto const find = [this](std::string const& id) -> rebalance_worker&
        {
            return *std::find_if(workers.begin(),
                                 workers.end(),
                                 [&id](auto const& each)
                                 {
                                     return each.id == id;
                                 });
        };
        auto& from = find(what.from);
        for (auto const& move : what.moves)
        {
            auto const task = std::find_if(from.serving.begin(),
                                           from.serving.end(),
                                           [&move](auto const& each)
                                           {
                                               return each.name == move.name;
                                           });
            auto& to = find(move.to);
            to.serving.push_back(*task);
            to.free -= task->declared;
            to.idle -= task->declared.millicores / 2;
            from.free += task->declared;
            from.idle += task->declared.millicores / 2;
            from.serving.erase(task);
        }
        from.cleared_for.push_back(what.image);
    }

    std::int64_t open_to(std::uint16_t fill) const
    {
        std::int64_t total = 0;
        for (auto const& each : workers)
        {
            bool const open =
                std::none_of(each.serving.begin(),
                             each.serving.end(),
                             [&](auto const& task)
                             {
                                 return pairs.disturbs(task.image, fill);
                             });
            total += open ? each.idle : 0;
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

// Failure: work waits beside idle cores, a delicate task on each worker.
TEST_F(regrouping, clears_the_worker_that_costs_least)
{
    workers = {make_worker("a", {delicate, sturdy, sturdy}),
               make_worker("b", {delicate, delicate, sturdy})};
    waiting = {{heavy, 7000, 70'000}};
    auto const made = plan();
    ASSERT_TRUE(made.has_value());
    EXPECT_EQ(made->from, "a");
    ASSERT_EQ(made->moves.size(), 1U);
    EXPECT_EQ(made->moves.front().to, "b");
}

// Failure: serving tasks move for work that only waits its turn.
TEST_F(regrouping, moves_nothing_while_the_work_has_a_place)
{
    workers = {make_worker("a", {delicate, sturdy}),
               make_worker("b", {delicate, delicate}),
               make_worker("c", {sturdy})};
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: serving tasks move for a pair that may be harmless.
TEST_F(regrouping, moves_nothing_for_a_pair_that_is_not_known)
{
    auto const fresh = pairs.number_of("fresh");
    workers = {make_worker("a", {delicate}), make_worker("b", {delicate})};
    waiting = {{fresh, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: a serving task is stopped and finds no room.
TEST_F(regrouping, moves_nothing_without_room_elsewhere)
{
    workers = {
        make_worker("a", {delicate, sturdy}),
        make_worker("b", {delicate, delicate, delicate, delicate, delicate})};
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: two tasks that leave one worker are promised the same room.
TEST_F(regrouping, promises_room_once)
{
    workers = {make_worker("a", {delicate, delicate}),
               make_worker("b", {delicate, delicate, delicate, delicate}),
               make_worker("c", {delicate, delicate, delicate, delicate})};
    waiting = {{heavy, 7000, 70'000}};
    auto const made = plan();
    ASSERT_TRUE(made.has_value());
    ASSERT_EQ(made->moves.size(), 2U);
    EXPECT_NE(made->moves[0].to, made->moves[1].to);
}

// Failure: a serving task moves beside what disturbs it.
TEST_F(regrouping, keeps_away_from_what_disturbs_there)
{
    workers = {make_worker("a", {delicate, sturdy}),
               make_worker("b", {delicate})};
    workers[1].best_effort = {{heavy, 0.5}};
    workers[1].may_be_cleared = false;
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: a task moves to another service's worker, where it can't start.
TEST_F(regrouping, keeps_tasks_with_their_service)
{
    workers = {make_worker("a", {delicate, sturdy}),
               make_worker("b", {delicate, delicate})};
    workers[1].service = "another";
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: the next plan fills a worker that was just cleared.
TEST_F(regrouping, leaves_a_cleared_worker_clear)
{
    workers = {make_worker("a", {}), make_worker("b", {delicate})};
    workers[0].cleared_for = {heavy};
    workers[0].idle = 0;
    waiting = {{heavy, 7000, 70'000}};
    EXPECT_FALSE(plan().has_value());
}

// Failure: plans open too few idle cores of a mixed pool, or never end.
TEST_F(regrouping, opens_a_mixed_pool_to_the_work_that_waits)
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
    auto const before = open_to(heavy);
    std::size_t moves = 0;
    for (int round = 0; round < 100; ++round)
    {
        // All that is open is taken by the work at once.
        auto seen = workers;
        for (auto& each : seen)
        {
            bool const open = std::none_of(each.serving.begin(),
                                           each.serving.end(),
                                           [&](auto const& task)
                                           {
                                               return task.image == delicate;
                                           });
            each.idle = open ? 0 : each.idle;
            each.best_effort = open ? std::vector<neighbour_share>{{heavy, 0.5}}
                                    : std::vector<neighbour_share>{};
        }
        auto const made = plan_rebalance(settings, pairs, seen, waiting);
        if (!made)
        {
            break;
        }
        moves += made->moves.size();
        apply(*made);
    }
    EXPECT_GT(open_to(heavy), before + 150'000);
    EXPECT_GT(moves, 0U);
    EXPECT_LT(moves, 100U);
}

namespace
{

// A serving task whose tail is a fifth of its target while nobody disturbs it.
job serving_job(std::uint32_t count)
{
    auto made = simple_job(count, 1s);
    made.spec = "lasts tail=20";
    auto& what = made.steps.front();
    what.declared = {2000, 100, 0};
    what.long_running = true;
    what.image = "delicate";
    what.tail_target = 100ms;
    return made;
}

job filling_job(std::uint32_t count)
{
    auto made = simple_job(count, 1500ms);
    made.spec = "work=1500 strain=30 cores=1000";
    auto& what = made.steps.front();
    what.declared = {1000, 100, 0};
    what.best_effort = true;
    what.image = "heavy";
    return made;
}

// Four workers with one delicate task each, six of eight cores idle, and heavy
// work that comes faster than it may run beside them.
struct scattered_pool
{
    scattered_pool()
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
            world.submit(0, "fill" + number, filling_job(5));
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

    std::size_t serving_at_work()
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

// Failure: serving tasks stay in the way, or run twice as they move.
TEST(pool_regroup, serving_tasks_make_room_for_work_that_waits)
{
    scattered_pool pool;
    ASSERT_EQ(pool.workers_without_serving(), 0U);
    pool.send_heavy_work(50);
    EXPECT_GT(pool.workers_without_serving(), 0U);
    pool.world.run(2s);
    EXPECT_EQ(pool.serving_at_work(), 4U);
    EXPECT_EQ(pool.world.violation(), "");
}

// Failure: a task that moves at a takeover starts twice, or never.
TEST(pool_regroup, a_killed_owner_leaves_no_task_without_a_place)
{
    for (int rounds = 20; rounds < 44; rounds += 3)
    {
        scattered_pool pool;
        pool.send_heavy_work(rounds);
        pool.world.kill(*pool.world.owner());
        pool.world.run(10s);
        EXPECT_EQ(pool.serving_at_work(), 4U) << "after " << rounds;
        EXPECT_EQ(pool.world.violation(), "") << "after " << rounds;
    }
}

// Failure: room promised to cancelled tasks stays reserved.
TEST(pool_regroup, cancelled_tasks_give_their_promised_room_back)
{
    scattered_pool pool;
    pool.send_heavy_work(30);
    pool.world.cancel(0, "serving");
    pool.world.run(10s);
    pool.world.submit(0,
                      "wide",
                      []
                      {
                          auto made = simple_job(4, 500ms);
                          made.steps.front().declared = {8000, 100, 0};
                          return made;
                      }());
    EXPECT_TRUE(pool.world.run_until(
        [&pool]
        {
            return pool.world.state(0, "wide") == ports::job_state::completed;
        }));
    EXPECT_EQ(pool.world.violation(), "");
}

// Failure: two serving images share a worker beside empty ones.
TEST(pool_serving, images_share_a_worker_only_once_none_is_empty)
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

// Moves of many serving tasks filled the owner's output just when work waited.
TEST(pool_regroup, tells_the_moves_from_a_worker_in_one_line)
{
    scattered_pool pool;
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
