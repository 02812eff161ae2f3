#include "pool_simulation.hpp"

#include <algorithm>
#include <gtest/gtest.h>

// An instance that can't read what operators set, while the store answers its
// other calls.
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::string_view operators_prefix = "operators/";
// Of the 3 s that callers wait, a new connection may take 0.7 s.
constexpr auto answers_by = 2300ms;

bool hears_operators(ports::kv_operation const& call)
{
    auto const* const pages = std::get_if<ports::kv_range>(&call);
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return (pages != nullptr && pages->prefix == operators_prefix) ||
           (watch != nullptr && watch->prefix == operators_prefix);
}

// From now on the instance gets no answer about operators' keys.
void deafen(pool_simulation& world, std::size_t victim)
{
    world.store_fault =
        [victim](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == victim && hears_operators(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
}

std::vector<logged_line> lines_of(pool_simulation const& world,
                                  std::size_t instance,
                                  std::string_view event)
{
    std::vector<logged_line> found;
    std::copy_if(world.log().begin(),
                 world.log().end(),
                 std::back_inserter(found),
                 [instance, event](logged_line const& line)
                 {
                     return line.instance == instance &&
                            line.what.event == event;
                 });
    return found;
}

template<class Answer>
bool told(pool_simulation const& world, std::uint64_t request)
{
    auto const answer = world.answer(request);
    return answer && std::holds_alternative<Answer>(*answer);
}

} // namespace

// A read that fails again and again for a minute left no line in the log.
TEST(pool_unheard, reads_that_fail_leave_few_lines)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const deaf = other_than(*world.owner());
    world.run(1s);
    deafen(world, deaf);
    world.run(60s);
    auto const lines = lines_of(world, deaf, "configuration_not_heard");
    ASSERT_FALSE(lines.empty());
    EXPECT_LE(lines.size(), 10U);
    EXPECT_NE(text_of(lines.back()).find("call=page status=5"),
              std::string::npos)
        << text_of(lines.back());
    EXPECT_TRUE(
        lines_of(world, *world.owner(), "configuration_not_heard").empty());
}

// An instance that couldn't read the configuration took the store for away, and
// told no caller the state of a job.
TEST(pool_unheard, states_of_jobs_are_told_without_a_fresh_configuration)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const deaf = other_than(owner);
    world.submit(owner, "a", simple_job(1, 60s));
    world.run(1s);
    deafen(world, deaf);
    world.run(10s);
    auto const request = world.query(deaf, "a");
    world.run(1s);
    EXPECT_TRUE(told<ports::job_status>(world, request));
}

// The same instance must take no job, for its queue may be gone, and the
// balancer has to send callers elsewhere.
TEST(pool_unheard, no_job_is_taken_and_no_caller_invited_meanwhile)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const deaf = other_than(*world.owner());
    world.run(1s);
    deafen(world, deaf);
    world.run(10s);
    auto const request = world.submit(deaf, "a", simple_job(1, 1s));
    world.run(1s);
    EXPECT_TRUE(told<ports::job_refused>(world, request));
    EXPECT_FALSE(world.store().find("pool/job/a").has_value());
    auto const readiness = lines_of(world, deaf, "readiness");
    ASSERT_FALSE(readiness.empty());
    EXPECT_NE(text_of(readiness.back()).find("ready=false"), std::string::npos);
}

// Such an instance must tell no count either: the queue may have been dropped.
TEST(pool_unheard, no_count_is_told_by_an_old_configuration)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const owner = *world.owner();
    auto const deaf = other_than(owner);
    world.run(1s);
    deafen(world, deaf);
    world.run(10s);
    for (int round = 0; round < 10; ++round)
    {
        // The store goes on, so that the age of a count can be told.
        world.submit(owner, std::to_string(round), simple_job(1, 100ms));
        EXPECT_EQ(world.reported_waiting_jobs(deaf), std::nullopt);
        world.run(700ms);
    }
}

// Calls to a silent store, one behind the other, took longer than callers wait:
// they heard nothing instead of a refusal.
TEST(pool_unheard, a_question_ends_while_its_caller_still_waits)
{
    std::vector<std::set<std::size_t>> const lost_calls{{1, 2}, {1, 3}};
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const asked = other_than(*world.owner());
    world.run(1s);
    for (auto const& lost : lost_calls)
    {
        std::size_t reads = 0;
        auto const id = "never" + std::to_string(*lost.rbegin());
        world.store_fault =
            [&](std::size_t instance, ports::kv_operation const& call)
        {
            auto const* const read = std::get_if<ports::kv_read>(&call);
            bool const counts = instance == asked && read != nullptr &&
                                read->key.find(id) != std::string::npos;
            return counts && lost.contains(++reads) ? fault_effect::request_lost
                                                    : fault_effect::carried_out;
        };
        auto const request = world.query(asked, id);
        world.run(answers_by);
        EXPECT_TRUE(world.answer(request).has_value()) << id;
        world.run(2s);
    }
}

// The same for a job's cancelling, whose read took almost its whole limit.
TEST(pool_unheard, a_cancelling_ends_while_its_caller_still_waits)
{
    pool_simulation world;
    ASSERT_TRUE(run_until_owned(world));
    auto const asked = other_than(*world.owner());
    world.submit(asked, "a", simple_job(1, 60s));
    world.run(1s);
    bool commits = false;
    world.store_fault =
        [asked, &commits](std::size_t instance, ports::kv_operation const& call)
    {
        bool const hit =
            instance == asked && std::holds_alternative<ports::kv_commit>(call);
        commits = commits || hit;
        return hit ? fault_effect::request_lost : fault_effect::carried_out;
    };
    world.set_store_latency(490ms);
    auto const request = world.cancel(asked, "a");
    world.run(answers_by);
    EXPECT_TRUE(commits);
    EXPECT_TRUE(told<ports::job_outcome_unknown>(world, request));
}
