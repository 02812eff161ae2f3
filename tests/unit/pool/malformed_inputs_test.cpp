#include "unit/pool/pool_simulation.hpp"

#include <gtest/gtest.h>
#include <random>
#include <string>

// What submitters, the store and workers may send that no sane one would.
namespace fuchsia::tests::unit::pool
{

namespace
{

template<class Answer>
bool got(pool_simulation& world, std::uint64_t request)
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
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
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
        EXPECT_TRUE(got<ports::job_not_found>(world, world.cancel(0, odd)))
            << odd;
    }
    EXPECT_TRUE(got<ports::job_not_found>(world, world.query(0, "a/cancel")));
    EXPECT_TRUE(got<ports::job_accepted>(
        world, world.submit(0, std::string(64, 'a'), job)));
}

// Told as "completed", its submitter believed what never ran.
TEST(pool_odd_inputs, an_end_that_cannot_be_read_is_not_told)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
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

// Records that another program or an odd version left ended every instance that
// read them, one after the other.
TEST(pool_odd_inputs, odd_records_end_no_owner)
{
    pool_simulation world;
    for (auto const* odd :
         {"", "null", "[]", "{}", "{\"id\":7}", "\xff\xfe", "1e999"})
    {
        for (auto const* key : {"pool/job/odd",
                                "pool/job/",
                                "pool/job/cancel",
                                "pool/job//cancel",
                                "pool/job/none/cancel",
                                "pool/odd",
                                "progress/odd",
                                "progress/",
                                "final/",
                                "roster",
                                "backlog",
                                "learned",
                                "ledger",
                                "workers/odd",
                                "workers/"})
        {
            world.store().put(key, odd);
        }
        ASSERT_TRUE(run_until_owned(world)) << odd;
        auto const id = "job" + std::to_string(world.now().time_since_epoch() /
                                               core::common::duration(1));
        auto const at = other_than(*world.owner());
        world.submit(at, id, simple_job(2, 100ms));
        EXPECT_TRUE(world.run_until(
            [&world, &id, at]
            {
                return world.state(at, id) == ports::job_state::completed;
            }))
            << odd;
        // The next one reads all of it.
        auto const owner = *world.owner();
        world.kill(owner);
        world.run(3s);
        world.start(owner);
        world.run(1s);
    }
    EXPECT_EQ(world.violation(), "");
}

// Run by the record's own id, a job would be in two places of the owner's
// table.
TEST(pool_odd_inputs, a_record_under_the_key_of_another_job_is_not_run)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto other = simple_job(2, 100ms);
    other.id = "two";
    other.queue = "q";
    world.store().put("pool/job/one", to_json(other));
    world.submit(0, "three", simple_job(2, 100ms));
    EXPECT_TRUE(world.run_until(
        [&world]
        {
            return world.state(0, "three") == ports::job_state::completed;
        }));
    world.kill(*world.owner());
    world.run(5s);
    EXPECT_TRUE(world.owner());
    EXPECT_EQ(world.violation(), "");
    EXPECT_EQ(world.running_count({"two", 0, 0, 0}), 0U);
}

// Answers that come twice, late, to nobody or garbled, for some seconds: what
// was accepted runs once they are sane.
TEST(pool_odd_inputs, jobs_finish_after_odd_answers)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        pool_simulation world;
        ASSERT_TRUE(run_until_owned(world));
        std::mt19937_64 random(seed);
        auto const one_in = [&random](std::uint64_t count)
        {
            return random() % count == 0;
        };
        world.store_answer = [&](ports::kv_reply& reply)
        {
            if (one_in(8))
            {
                // What a garbled answer is read as.
                reply = {reply.id, ports::kv_status::unclear, {}, false, 0, 0};
            }
            if (one_in(8) && !reply.items.empty())
            {
                auto const item = reply.items[random() % reply.items.size()];
                reply.items.push_back(item);
            }
            return one_in(4);
        };
        world.worker_answer = [&](ports::order_reply& reply)
        {
            if (one_in(6))
            {
                reply = {reply.id, ports::order_status::unclear, 0, 0, {}, {}};
            }
            if (one_in(4) && !reply.running.empty())
            {
                reply.running.push_back(reply.running.front());
            }
            if (one_in(4) && !reply.ended.empty())
            {
                auto const row = reply.ended.front();
                reply.ended.insert(reply.ended.begin(), row);
                std::swap(reply.ended.front(), reply.ended.back());
            }
            if (one_in(4))
            {
                // Of a job that nobody knows, and of tasks that it has not.
                reply.running.push_back({{{"none", 7, 8, 9}, 1}, "c", 3, 1});
                reply.running.push_back(
                    {{{"job0", 4'000'000'000, 0, 1}, 1'000'000'000}, "", 0, 0});
            }
            if (one_in(4) && !reply.ended.empty())
            {
                auto row = reply.ended.back();
                row.attempt_id = {{"job0", 0, 9, 9}, 3};
                row.kind = ports::end_kind::failed;
                reply.ended.push_back(row);
            }
            reply.incarnation = one_in(8) ? 0 : reply.incarnation;
            return one_in(4);
        };
        for (std::size_t number = 0; number < 6; ++number)
        {
            world.submit(
                number % 3, "job" + std::to_string(number), chained_job(300ms));
            world.run(700ms);
        }
        world.run(4s);
        world.store_answer = {};
        world.worker_answer = {};
        for (std::size_t number = 0; number < 6; ++number)
        {
            auto const id = "job" + std::to_string(number);
            if (!world.store().find("pool/job/" + id) &&
                !world.store().find("final/" + id))
            {
                continue; // Its submitter was not told that it was accepted.
            }
            EXPECT_TRUE(world.run_until(
                [&world, &id]
                {
                    return world.state(0, id) == ports::job_state::completed;
                },
                60s))
                << "seed " << seed << " " << id;
        }
        EXPECT_EQ(world.violation(), "") << "seed " << seed;
    }
}

} // namespace fuchsia::tests::unit::pool
