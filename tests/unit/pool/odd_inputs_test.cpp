#include "unit/pool/pool_world.hpp"

#include <gtest/gtest.h>
#include <string>

// What submitters, the store and workers may send that no sane one would.
namespace fuchsia::tests::unit::pool
{

namespace
{

template<class Answer>
bool got(pool_world& world, std::uint64_t request)
{
    world.run_until(
        [&world, request]
        {
            return world.answer(request).has_value();
        });
    auto const answer = world.answer(request);
    return answer && std::holds_alternative<Answer>(*answer);
}

} // namespace

// An id with a "/" wrote under another job's keys, and one with a "." gave its
// tasks names that nobody could read: accepted, such a job never ran.
TEST(pool_odd_inputs, ids_that_are_no_names_are_refused)
{
    pool_world world;
    ASSERT_TRUE(settled(world));
    auto const job = simple_job(1, 100ms);
    for (auto const& odd : {std::string(),
                            std::string("a/cancel"),
                            std::string("a.b"),
                            std::string("a&staleOk=1"),
                            std::string("a b"),
                            std::string("a%2e"),
                            std::string("\xff"),
                            std::string(65, 'a')})
    {
        EXPECT_TRUE(got<ports::job_invalid>(world, world.submit(0, odd, job)))
            << odd;
        EXPECT_TRUE(got<ports::job_absent>(world, world.cancel(0, odd))) << odd;
    }
    EXPECT_TRUE(got<ports::job_absent>(world, world.query(0, "a/cancel")));
    EXPECT_TRUE(got<ports::job_accepted>(
        world, world.submit(0, std::string(64, 'a'), job)));
}

// Told as "completed", its submitter believed what never ran.
TEST(pool_odd_inputs, an_end_that_cannot_be_read_is_not_told)
{
    pool_world world;
    ASSERT_TRUE(settled(world));
    std::size_t number = 0;
    for (auto const* odd : {"", "complete", "{}", "\xff", "queued", "active"})
    {
        auto const id = "odd" + std::to_string(number++);
        world.store().put("final/" + id, odd);
        EXPECT_TRUE(got<ports::job_refused>(world, world.query(0, id))) << odd;
    }
    world.store().put("final/good", "failed");
    EXPECT_EQ(world.state(0, "good"), ports::job_state::failed);
}

} // namespace fuchsia::tests::unit::pool
