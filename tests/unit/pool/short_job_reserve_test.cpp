#include "core/pool/short_job_reserve.hpp"
#include "pool_simulation.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::pool;
using fuchsia::core::pool::short_job_reserve;
namespace common = fuchsia::core::common;

namespace
{

constexpr common::time_point start{1h};

// Tasks of so many cores of the 8 of a worker.
fuchsia::core::pool::job sized_job(std::uint32_t tasks, std::int64_t cores)
{
    auto made = simple_job(tasks, 1s);
    made.steps.front().declared.millicores = cores * 1000;
    return made;
}

fuchsia::core::pool::job lasting_job(std::uint32_t tasks, std::int64_t cores)
{
    auto made = sized_job(tasks, cores);
    made.steps.front().long_running = true;
    made.spec = "lasts";
    return made;
}

// Short tasks that need 24 of the 32 cores, for some seconds.
void keep_busy(pool_simulation& world, std::size_t at)
{
    for (int second = 0; second < 5; ++second)
    {
        world.submit(at, "short" + std::to_string(second), sized_job(6, 4));
        world.run(1s);
    }
}

std::size_t at_work(pool_simulation& world)
{
    std::size_t made = 0;
    for (std::size_t number = 0; number < world.worker_count(); ++number)
    {
        made += world.worker(number).running();
    }
    return made;
}

// Short tasks need most of the pool, then lasting ones come, of which five have
// a place: wherever two of them had room they may not wait. Returns an instance
// that is not the owner.
std::size_t leave_room(pool_simulation& world)
{
    run_until_owned(world);
    auto const other = other_than(*world.owner());
    world.run(1s);
    keep_busy(world, other);
    world.submit(other, "lasting", lasting_job(20, 3));
    world.run(2s);
    return other;
}

} // namespace

// Room for what is needed on average is missing in each burst; room for the
// highest burst lies idle.
TEST(pool_guaranteed_room, expects_what_is_enough_most_of_the_time)
{
    short_job_reserve room({});
    for (int step = 0; step < 40; ++step)
    {
        room.observe(start + step * 500ms, {(step % 10 + 1) * 1'000, 1});
    }
    EXPECT_EQ(room.expected(), 8'000);
    for (int step = 40; step < 81; ++step)
    {
        room.observe(start + step * 500ms, {2'000, 1});
    }
    EXPECT_EQ(room.expected(), 2'000);
}

// Slivers add up to cores that no task can use.
TEST(pool_guaranteed_room, counts_whole_pieces_alone)
{
    short_job_reserve room({});
    EXPECT_EQ(room.usable_millicores(7'000), 7'000);
    room.observe(start, {24'000, 2});
    EXPECT_EQ(room.usable_millicores(11'999), 0);
    EXPECT_EQ(room.usable_millicores(30'000), 24'000);
    EXPECT_EQ(room.usable_millicores(-1'000), 0);
}

TEST(pool_guaranteed_room, spares_what_is_beyond_the_expected)
{
    short_job_reserve room({});
    room.observe(start, {24'000, 2});
    room.set_available(40'000);
    EXPECT_TRUE(room.leaves_enough(16'000));
    EXPECT_FALSE(room.leaves_enough(17'000));
    room.consume(10'000);
    EXPECT_FALSE(room.leaves_enough(7'000));
}

// Lasting tasks took all that could be reserved, and short jobs waited until
// they were late.
TEST(pool_guaranteed_room,
     a_burst_of_short_tasks_finds_room_beside_lasting_ones)
{
    pool_simulation world(3, 4);
    auto const other = leave_room(world);
    ASSERT_EQ(at_work(world), 5U);
    world.submit(other, "burst", sized_job(4, 4));
    world.run(200ms);
    EXPECT_EQ(at_work(world), 8U);
}

// A lasting job of which nothing is at work serves nobody, while another one of
// many tasks could do with one less.
TEST(pool_guaranteed_room, each_lasting_job_has_a_task_at_work)
{
    pool_simulation world(3, 4);
    auto const other = leave_room(world);
    ASSERT_EQ(at_work(world), 5U);
    world.submit(other, "other", lasting_job(20, 3));
    world.run(1s);
    EXPECT_EQ(at_work(world), 6U);
}

// A lasting task that failed waited for good behind short ones, though there
// was room for it.
TEST(pool_guaranteed_room, what_was_at_work_returns_first)
{
    pool_simulation world(3, 4);
    leave_room(world);
    ASSERT_EQ(at_work(world), 5U);
    // A worker with two of them dies; two find a place at once.
    std::size_t two = 0;
    while (world.worker(two).running() != 2)
    {
        ++two;
    }
    world.restart_worker(two);
    world.run(3s);
    EXPECT_EQ(at_work(world), 6U);
}

// Without short work lasting tasks may have everything.
TEST(pool_guaranteed_room, nothing_is_kept_where_nobody_needs_it)
{
    pool_simulation world(3, 4);
    ASSERT_TRUE(run_until_owned(world));
    world.run(1s);
    world.submit(other_than(*world.owner()), "lasting", lasting_job(20, 3));
    world.run(2s);
    EXPECT_EQ(at_work(world), 8U);
}
