#include "core/pool/best_effort_throttle.hpp"

#include <gtest/gtest.h>
#include <vector>

using namespace fuchsia::core::pool;
using namespace std::chrono_literals;
namespace common = fuchsia::core::common;

namespace
{

constexpr common::duration report_interval = 350ms;

// A worker whose reports come at fixed intervals.
struct reports
{
    void add(double headroom)
    {
        now += report_interval;
        miss.update(now, headroom);
        throttle.update(now, headroom, miss, settings);
    }

    void add(std::vector<double> const& headrooms)
    {
        for (double const headroom : headrooms)
        {
            add(headroom);
        }
    }

    colocation_settings settings;
    common::time_point now{100s};
    target_miss miss;
    best_effort_throttle throttle;
};

} // namespace

// Guards against best-effort tasks that work at full speed beside a serving
// task over its target until the last resort.
TEST(pool_best_effort_throttle, first_report_over_the_target_cuts_the_speed)
{
    reports slightly;
    slightly.add({2.5, 0.95});
    EXPECT_LT(slightly.throttle.speed(), 0.9);
    EXPECT_GT(slightly.throttle.speed(), 0.7);
    reports far;
    far.add({2.5, 0.2});
    EXPECT_LT(far.throttle.speed(), 0.2);
}

// Guards against a wait for the last resort that begins anew with each rough
// figure at or slightly under the target.
TEST(pool_best_effort_throttle, pauses_although_single_reports_reach_the_target)
{
    reports worker;
    worker.add({2.5, 0.9, 0.9, 1.1, 0.9, 1.3, 0.9});
    EXPECT_EQ(worker.throttle.speed(), 0);
}

// Guards against best-effort tasks that go back to full speed at one report at
// the target, and bring the serving task over it again.
TEST(pool_best_effort_throttle, speed_returns_in_steps_once_reports_stay_good)
{
    reports worker;
    worker.add({0.9, 0.9, 0.9, 0.9, 0.9, 0.9});
    ASSERT_EQ(worker.throttle.speed(), 0);
    worker.add(1.1);
    EXPECT_EQ(worker.throttle.speed(), 0);
    worker.add({2.5, 2.5});
    EXPECT_EQ(worker.throttle.speed(), 0);
    double before = 0;
    for (int report = 0; report < 9; ++report)
    {
        worker.add(2.5);
        EXPECT_LE(worker.throttle.speed(),
                  before + worker.settings.speed_growth);
        before = worker.throttle.speed();
    }
    EXPECT_EQ(before, 1);
}

// Guards against best-effort work that is slowed down beside serving tasks that
// are well.
TEST(pool_best_effort_throttle, reports_under_the_target_cut_nothing)
{
    reports worker;
    worker.add({2.5, 1.3, 1.05, 1.0, 1.4, 1.1});
    EXPECT_EQ(worker.throttle.speed(), 1);
}
