#include "tools/soak/plan.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace fuchsia::tools::soak;

namespace
{

// Checks that a plan with these kinds has the faults of other kinds, and the
// jobs, that it has without them, and some more jobs.
void expect_all_else_unchanged_by(std::set<fault_kind> const& kinds)
{
    plan_settings settings;
    auto const without = make_plan(settings);
    settings.kinds.insert(kinds.begin(), kinds.end());
    auto with = make_plan(settings);
    std::erase_if(with.faults,
                  [&kinds](fault const& planned)
                  {
                      return kinds.contains(planned.kind);
                  });
    EXPECT_GT(with.jobs.size(), without.jobs.size());
    with.jobs.resize(without.jobs.size());
    EXPECT_EQ(to_text(with), to_text(without));
}

} // namespace

// If the plan depended on more than the seed, a failed run could not be
// reproduced.
TEST(soak_plan, one_seed_draws_one_plan)
{
    plan_settings settings;
    settings.seed = 7;
    auto const first = to_text(make_plan(settings));
    EXPECT_EQ(first, to_text(make_plan(settings)));
    settings.seed = 8;
    EXPECT_NE(first, to_text(make_plan(settings)));
}

// If the jobs were drawn from the same random sequence as the faults,
// restricting the kinds of fault to narrow down a failure would change the
// jobs.
TEST(soak_plan, jobs_do_not_depend_on_the_kinds_of_fault)
{
    plan_settings settings;
    auto all_kinds = make_plan(settings);
    settings.kinds = {fault_kind::kill};
    auto kill_only = make_plan(settings);
    ASSERT_FALSE(kill_only.faults.empty());
    for (auto const& planned : kill_only.faults)
    {
        EXPECT_EQ(planned.kind, fault_kind::kill);
    }
    all_kinds.faults.clear();
    kill_only.faults.clear();
    EXPECT_EQ(to_text(all_kinds), to_text(kill_only));
}

// A kind of fault that is never drawn, or that cannot be selected by its name,
// would never be tested.
TEST(soak_plan, every_kind_is_drawn_and_named)
{
    plan_settings settings;
    settings.traffic = std::chrono::seconds(2000);
    settings.kinds = all_fault_kinds();
    std::set<fault_kind> drawn_kinds;
    for (auto const& planned : make_plan(settings).faults)
    {
        drawn_kinds.insert(planned.kind);
        EXPECT_EQ(fault_kind_from(name_of(planned.kind)), planned.kind);
    }
    EXPECT_EQ(drawn_kinds, all_fault_kinds());
}

// With machines of one size, no instance would ever ask another one for the
// claim, and the handover of the claim would never be tested.
TEST(soak_plan, each_seed_has_a_few_large_machines_among_small_ones)
{
    plan_settings settings;
    std::set<std::ptrdiff_t> counts;
    for (settings.seed = 1; settings.seed <= 50; ++settings.seed)
    {
        auto const machines = make_plan(settings).machines;
        EXPECT_EQ(machines.size(), settings.instances);
        auto const large =
            std::count_if(machines.begin(),
                          machines.end(),
                          [](machine_size const& machine)
                          {
                              return machine.cores == large_machine.cores;
                          });
        EXPECT_GE(large, 1);
        EXPECT_LE(large, settings.instances / 4);
        counts.insert(large);
    }
    EXPECT_GT(counts.size(), 1);
}

// If each long-running job was cancelled soon, none would live through a change
// of owner, and a task that stays without a run would never be seen.
TEST(soak_plan, each_seed_has_long_running_jobs_that_are_never_cancelled)
{
    plan_settings settings;
    for (settings.seed = 1; settings.seed <= 50; ++settings.seed)
    {
        std::size_t from_the_begin = 0;
        for (auto const& job : make_plan(settings).jobs)
        {
            if (!job.kept)
            {
                continue;
            }
            EXPECT_FALSE(job.cancel_after);
            EXPECT_EQ(job.spec.find("crash"), std::string::npos);
            EXPECT_TRUE(job.shape.steps.front().lasting);
            from_the_begin += job.at <= std::chrono::seconds(1) ? 1 : 0;
        }
        EXPECT_GE(from_the_begin, 2);
    }
}

// If a seed meant other faults or jobs once a series of its own is selected,
// what it showed before could not be reproduced.
TEST(soak_plan, losses_of_the_owner_leave_all_else_as_it_is)
{
    expect_all_else_unchanged_by({fault_kind::store_outage,
                                  fault_kind::owner_loss,
                                  fault_kind::long_worker_cut});
}

TEST(soak_plan, late_orders_leave_all_else_as_it_is)
{
    expect_all_else_unchanged_by(
        {fault_kind::late_orders, fault_kind::same_id_restart});
}

// Guards against a soak that is blind to orders which reach a later incarnation
// of their worker: the worker has to restart while such orders are on their
// way, under its id.
TEST(soak_plan, workers_restart_under_their_ids_while_orders_are_late)
{
    using namespace std::chrono_literals;
    plan_settings settings;
    settings.traffic = 300s;
    settings.kinds = {fault_kind::late_orders, fault_kind::same_id_restart};
    std::map<std::uint32_t, fault> late_at;
    std::size_t restarts = 0;
    for (auto const& planned : make_plan(settings).faults)
    {
        if (planned.kind == fault_kind::late_orders)
        {
            late_at[planned.target] = planned;
            continue;
        }
        ASSERT_TRUE(late_at.contains(planned.target));
        EXPECT_EQ(planned.variant % 2, 0U) << "it gets another id";
        auto const& late = late_at[planned.target];
        auto const back_at = planned.at + planned.length;
        restarts += back_at < late.at + late.length + 8s ? 1U : 0U;
    }
    EXPECT_GT(restarts, 20U);
}

// Guards against a soak that is blind to ends that workers report late: owners
// have to be lost in outages of the store, and workers be cut off from before
// the first loss until a takeover may be complete.
TEST(soak_plan, owners_are_lost_in_outages_while_workers_are_cut_off)
{
    using namespace std::chrono_literals;
    using fuchsia::core::common::duration;
    plan_settings settings;
    settings.traffic = 300s;
    settings.kinds = {fault_kind::store_outage,
                      fault_kind::owner_loss,
                      fault_kind::long_worker_cut};
    std::optional<fault> outage;
    duration cut_until{};
    duration longest_cut{};
    std::size_t losses = 0;
    for (auto const& planned : make_plan(settings).faults)
    {
        if (planned.kind == fault_kind::store_outage)
        {
            EXPECT_GE(planned.length, 400ms);
            EXPECT_LE(planned.length, 600ms);
            EXPECT_GT(cut_until, planned.at);
            outage = planned;
        }
        else if (planned.kind == fault_kind::long_worker_cut)
        {
            EXPECT_GE(planned.length, 6s);
            EXPECT_LE(planned.length, 20s);
            EXPECT_EQ(planned.variant, 0);
            cut_until = std::max(cut_until, planned.at + planned.length);
            longest_cut = std::max(longest_cut, planned.length);
        }
        else
        {
            ASSERT_TRUE(outage);
            EXPECT_TRUE(planned.at_owner);
            EXPECT_LT(planned.at, outage->at + outage->length);
            ++losses;
        }
    }
    EXPECT_GE(losses, 20);
    EXPECT_GT(longest_cut, 15s);
}

// A single change of owner may leave its successor all the time that it needs.
// Of several in a row, each has to begin anew with what the last one left.
TEST(soak_plan, owners_change_several_times_in_a_row)
{
    using namespace std::chrono_literals;
    plan_settings settings;
    settings.traffic = 300s;
    settings.kinds = {fault_kind::owner_change};
    std::set<fault_kind> kinds;
    std::size_t in_series = 0;
    std::size_t series = 0;
    std::optional<fuchsia::core::common::duration> last;
    for (auto const& planned : make_plan(settings).faults)
    {
        EXPECT_TRUE(planned.at_owner);
        kinds.insert(kind_of_owner_change(planned.variant));
        auto const wait = planned.at - last.value_or(planned.at - 1s);
        EXPECT_GE(wait, 1s);
        if (wait > 6s)
        {
            EXPECT_GE(wait, 13s);
            EXPECT_GE(in_series, 3);
            EXPECT_LE(in_series, 8);
            in_series = 0;
            ++series;
        }
        ++in_series;
        last = planned.at;
    }
    EXPECT_GE(series, 5);
    EXPECT_EQ(kinds.size(), 4);
}
