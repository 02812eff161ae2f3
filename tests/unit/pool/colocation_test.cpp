#include "core/pool/colocation.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using namespace fuchsia::core::pool;
using namespace std::chrono_literals;
namespace ports = fuchsia::ports;
using fuchsia::core::common::time_point;

namespace
{

// Headroom of a serving task without load, and what a worker's cores of a heavy
// neighbour take of it.
constexpr double idle_headroom = 6;
constexpr double heavy = 8;

struct step_readings
{
    std::vector<serving_reading> readings;

    std::vector<serving_reading const*> with_last(std::size_t last) const
    {
        std::vector<serving_reading const*> made;
        for (std::size_t index = 0; index < readings.size(); ++index)
        {
            if (index != last)
            {
                made.push_back(&readings[index]);
            }
        }
        made.push_back(&readings[last]);
        return made;
    }
};

// Readings of a step of six tasks under one load, beside random amounts of a
// heavy and of a harmless image, and some noise.
step_readings draw(std::mt19937& random,
                   std::uint16_t heavy_image,
                   std::uint16_t light_image,
                   double load)
{
    std::uniform_real_distribution<double> share(0, 0.2);
    std::normal_distribution<double> noise(0, 0.2);
    step_readings made;
    for (int task = 0; task < 6; ++task)
    {
        double const beside = share(random);
        double const harmless = 2 * share(random);
        serving_reading reading;
        reading.headroom = std::max(
            0.1, idle_headroom * (1 - load) - heavy * beside + noise(random));
        reading.neighbours = {{heavy_image, beside}, {light_image, harmless}};
        made.readings.push_back(reading);
    }
    return made;
}

best_effort_view
make_fill(std::uint16_t image, double share, std::uint32_t index)
{
    best_effort_view made;
    made.name = {"fill", 0, 0, index};
    made.image = image;
    made.declared = share;
    made.used = share;
    return made;
}

// A serving task whose users press as those of the whole step do.
serving_view
like_its_siblings(std::uint16_t image, double headroom, double alone)
{
    return {image, headroom, alone, alone};
}

struct learned_pair : testing::Test
{
    learned_pair()
    {
        std::mt19937 random(7);
        for (int second = 0; second < 200; ++second)
        {
            // The load swings, as that of real users does.
            double const load = 0.48 + 0.24 * std::sin(second / 10.0);
            auto const seen = draw(random, heavy_image, light_image, load);
            for (std::size_t task = 0; task < seen.readings.size(); ++task)
            {
                sharing.learn(image, seen.with_last(task));
            }
        }
    }

    colocation sharing{colocation_settings{}};
    std::uint16_t image = sharing.number_of("serving");
    std::uint16_t heavy_image = sharing.number_of("heavy");
    std::uint16_t light_image = sharing.number_of("light");
};

} // namespace

// Failure: a swing of the users' load is taken for the work of a neighbour.
TEST_F(learned_pair, tells_heavy_from_harmless_under_a_swinging_load)
{
    worker_view alone;
    alone.serving.push_back(like_its_siblings(image, 3, 3));
    EXPECT_NEAR(sharing.worst_weight(alone, heavy_image), heavy, 2);
    EXPECT_LT(sharing.worst_weight(alone, light_image), 1);
}

// Failure: work is placed by its pair alone, or by the load alone.
TEST_F(learned_pair, places_by_load_and_pair)
{
    auto const limit = sharing.settings().placement_headroom;
    worker_view peak;
    peak.serving.push_back(like_its_siblings(image, 1.8, 1.8));
    EXPECT_LT(sharing.expected_headroom(peak, heavy_image, 0.15), limit);
    EXPECT_GT(sharing.expected_headroom(peak, light_image, 0.15), limit);
    worker_view trough;
    trough.serving.push_back(like_its_siblings(image, 4.5, 4.5));
    EXPECT_GT(sharing.expected_headroom(trough, heavy_image, 0.15), limit);
}

// Failure: harmless neighbours are slowed, or the culprit more than needed.
TEST_F(learned_pair, slows_the_culprit_and_no_other)
{
    worker_view seen;
    seen.serving.push_back(like_its_siblings(image, 1.0, 2.8));
    seen.best_effort.push_back(make_fill(heavy_image, 0.3, 0));
    seen.best_effort.push_back(make_fill(light_image, 0.3, 1));
    time_point over{};
    auto const changes = sharing.speed_limits(seen, time_point(1s), over);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().name.index, 0U);
    EXPECT_GT(changes.front().percent, 30U);
    EXPECT_LT(changes.front().percent, 70U);
}

// Failure: a task whose own users press is judged by its siblings alone.
TEST_F(learned_pair, slows_the_neighbour_of_a_task_whose_own_users_press)
{
    serving_reading last;
    last.headroom = 1.2;
    last.headroom_loss = 1.3;
    double const alone = 4.5;
    double const own = sharing.task_isolated_headroom(alone, last);
    EXPECT_NEAR(own, 3.3, 0.01);
    worker_view seen;
    seen.best_effort.push_back(make_fill(heavy_image, 0.3, 0));
    time_point over{};
    seen.serving.push_back(like_its_siblings(image, 1.2, alone));
    EXPECT_TRUE(sharing.speed_limits(seen, time_point(1s), over).empty());
    seen.serving.front().task_isolated_headroom = own;
    auto const changes = sharing.speed_limits(seen, time_point(1s), over);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_LT(changes.front().percent, 85U);
}

// Failure: room is given away that a task's users need again at once.
TEST(colocation, a_calm_moment_of_one_task_is_not_counted_on)
{
    colocation const sharing{colocation_settings{}};
    serving_reading last;
    last.headroom = 5;
    EXPECT_DOUBLE_EQ(sharing.task_isolated_headroom(3, last), 3);
}

// Failure: a task stays over its target, since nobody is known to disturb it.
TEST_F(learned_pair, stops_all_before_users_are_harmed)
{
    worker_view seen;
    seen.serving.push_back(like_its_siblings(image, 0.5, 4));
    seen.best_effort.push_back(make_fill(light_image, 0.3, 0));
    time_point over{};
    EXPECT_TRUE(sharing.speed_limits(seen, time_point(10s), over).empty());
    auto const changes = sharing.speed_limits(seen, time_point(11600ms), over);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().percent, 0U);
}

// Failure: a pair that was never seen is tried at a peak, or not at all.
TEST(colocation, tries_an_unknown_pair_where_there_is_room)
{
    colocation sharing{colocation_settings{}};
    auto const image = sharing.number_of("serving");
    auto const unknown = sharing.number_of("unknown");
    worker_view trough;
    trough.serving.push_back(like_its_siblings(image, 4, 4));
    worker_view peak;
    peak.serving.push_back(like_its_siblings(image, 1.8, 1.8));
    auto const limit = sharing.settings().placement_headroom;
    EXPECT_GT(sharing.expected_headroom(trough, unknown, 0.15), limit);
    EXPECT_LT(sharing.expected_headroom(peak, unknown, 0.15), limit);
}

// Failure: a task that has hardly begun is blamed for a long tail.
TEST(colocation, a_tiny_neighbour_is_not_blamed)
{
    colocation sharing{colocation_settings{}};
    auto const image = sharing.number_of("serving");
    auto const tiny = sharing.number_of("tiny");
    serving_reading calm;
    calm.headroom = 3;
    serving_reading hit;
    hit.headroom = 0.5;
    hit.neighbours = {{tiny, 0.003}};
    for (int repeat = 0; repeat < 100; ++repeat)
    {
        sharing.learn(image, {&calm, &calm, &hit});
    }
    worker_view seen;
    seen.serving.push_back(like_its_siblings(image, 3, 3));

    EXPECT_DOUBLE_EQ(sharing.worst_weight(seen, tiny),
                     sharing.settings().prior_weight);
}

// Failure: load is read by one figure for all images; idle cores look used.
TEST(colocation_load, is_read_by_what_is_usual_for_the_image)
{
    colocation model{colocation_settings{}};
    std::mt19937 random(11);
    std::uniform_real_distribution<double> swing(0.25, 0.65);
    for (double const idle : {4.5, 6.0, 9.0})
    {
        auto const image = model.number_of("idle " + std::to_string(idle));
        for (int reading = 0; reading < 2000; ++reading)
        {
            model.observe_isolated_headroom(image, idle * (1 - swing(random)));
        }
        EXPECT_NEAR(model.load(image, idle * 0.7), 0.3, 0.05);
        EXPECT_NEAR(model.load(image, idle * 0.4), 0.6, 0.05);
    }
}

// Failure: load is guessed from a headroom that was never read.
TEST(colocation_load, is_the_usual_one_while_none_was_read)
{
    colocation model{colocation_settings{}};
    auto const image = model.number_of("new");
    EXPECT_DOUBLE_EQ(model.load(image, 0), model.settings().average_load);
}
