#include "core/pool/worker_speed.hpp"

#include <gtest/gtest.h>

using fuchsia::core::common::time_point;
using fuchsia::core::pool::worker_speed;
using namespace std::chrono_literals;

// Failure: a worker takes six times as long as estimated for some seconds and
// looks healthy. Tasks that are still placed there are late.
TEST(worker_speed, detects_a_slow_worker_within_two_seconds)
{
    worker_speed speed;
    time_point now(10s);
    for (int reading = 0; reading < 8; ++reading)
    {
        now += 250ms;
        speed.observe(now, 4, 1s, 250ms);
    }
    EXPECT_LT(speed.value(now), 0.4);
    // The worker is used again later.
    EXPECT_GT(speed.value(now + 20s), 0.9);
}

// Estimates are off by half in either direction: one task says nothing about
// its worker.
TEST(worker_speed, one_sample_changes_the_speed_little)
{
    worker_speed speed;
    speed.observe(time_point(10s), 10, 1s, 250ms);
    EXPECT_GT(speed.value(time_point(10s)), 0.8);
}
