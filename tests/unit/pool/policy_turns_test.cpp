#include "pool_simulation.hpp"

#include <gtest/gtest.h>

#include <array>

// The policy service takes one call of an instance at a time. A step for which
// the calls lead to nothing must not keep the others from being asked about.

using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

/// Reason for which the calls for a step lead to nothing.
enum class futility : std::uint8_t
{
    no_answer,       ///< No call for the step is answered.
    refused_tickets, ///< Each worker refuses its ticket.
    nobody_allowed,  ///< The policy allows no worker.
};

constexpr std::array<char const*, 3> names{
    "no_answer", "refused_tickets", "nobody_allowed"};

void spoil(ports::policy_reply& reply, futility why)
{
    switch (why)
    {
    case futility::no_answer:
        reply.answered = false;
        break;
    case futility::refused_tickets:
        for (auto& grant : reply.allowed)
        {
            grant.ticket = "ticket of another step";
        }
        break;
    case futility::nobody_allowed:
        reply.allowed.clear();
        break;
    }
}

} // namespace

class pool_policy_turns : public testing::TestWithParam<futility>
{
};

// Guards against a queue that stands still since its first step is asked about
// again and again. Steps of jobs that repeat stay the first ones.
TEST_P(pool_policy_turns, futile_calls_for_a_step_leave_others_their_turn)
{
    pool_simulation simulation(3, 6);
    simulation.require_tickets();
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(1s);
    simulation.policy_answer =
        [](ports::policy_request const& call, ports::policy_reply& reply)
    {
        if (call.step.job.starts_with("futile"))
        {
            spoil(reply, GetParam());
        }
    };
    auto repeated = simple_job(2, 100ms);
    repeated.occurrences = 2;
    submit_many(simulation, *simulation.owner(), "futile", 3, repeated);
    simulation.run(3s);
    submit_many(
        simulation, *simulation.owner(), "plain", 3, simple_job(2, 100ms));
    for (auto const* const id : {"plain0", "plain1", "plain2"})
    {
        EXPECT_TRUE(simulation.run_until(
            [&simulation, id]
            {
                return simulation.starts_of({id, 0, 0, 0}) == 1;
            },
            3s))
            << id;
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a step that is never asked about again after a call for it has
// led to nothing.
TEST_P(pool_policy_turns, a_step_is_asked_about_again)
{
    pool_simulation simulation(3, 6);
    simulation.require_tickets();
    ASSERT_TRUE(run_until_owned(simulation));
    simulation.run(1s);
    auto const spoiled_until = simulation.now() + 5s;
    simulation.policy_answer =
        [&](ports::policy_request const&, ports::policy_reply& reply)
    {
        // A policy never changes its mind about a worker.
        bool const spoiled = simulation.now() < spoiled_until &&
                             GetParam() != futility::nobody_allowed;
        if (spoiled)
        {
            spoil(reply, GetParam());
        }
    };
    auto repeated = simple_job(2, 100ms);
    repeated.occurrences = 2;
    submit_many(simulation, *simulation.owner(), "late", 3, repeated);
    simulation.run(5s);
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.starts_of({"late2", 1, 0, 1}) >= 1;
        },
        10s));
}

INSTANTIATE_TEST_SUITE_P(each_reason,
                         pool_policy_turns,
                         testing::Values(futility::no_answer,
                                         futility::refused_tickets,
                                         futility::nobody_allowed),
                         [](auto const& entry)
                         {
                             return std::string(
                                 names[static_cast<std::size_t>(entry.param)]);
                         });
