#include "core/pool/colocation.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <random>

using namespace fuchsia::core::pool;
using namespace std::chrono_literals;
namespace ports = fuchsia::ports;

namespace
{

// Headroom of a serving task without load, and the headroom that a heavy
// neighbour takes per worker.
constexpr double idle_headroom = 6;
constexpr double heavy_weight = 8;
constexpr double full_speed = 1;

struct step_readings
{
    std::vector<serving_reading> readings;

    std::vector<serving_reading const*> with_last(std::size_t last) const
    {
        std::vector<serving_reading const*> result;
        for (std::size_t index = 0; index < readings.size(); ++index)
        {
            if (index != last)
            {
                result.push_back(&readings[index]);
            }
        }
        result.push_back(&readings[last]);
        return result;
    }
};

// Returns noisy readings of a step of six tasks under one load, next to random
// shares of a heavy and of a harmless image.
step_readings draw(std::mt19937& random,
                   std::uint16_t heavy_image,
                   std::uint16_t light_image,
                   double load)
{
    std::uniform_real_distribution<double> share(0, 0.2);
    std::normal_distribution<double> noise(0, 0.2);
    step_readings result;
    for (int task = 0; task < 6; ++task)
    {
        double const heavy_share = share(random);
        double const light_share = 2 * share(random);
        serving_reading reading;
        reading.headroom =
            std::max(0.1,
                     idle_headroom * (1 - load) - heavy_weight * heavy_share +
                         noise(random));
        reading.neighbours = {{heavy_image, heavy_share},
                              {light_image, light_share}};
        result.readings.push_back(reading);
    }
    return result;
}

best_effort_view
make_best_effort(std::uint16_t image, double share, std::uint32_t index)
{
    best_effort_view view;
    view.name = {"fill", 0, 0, index};
    view.image = image;
    view.declared = share;
    view.used = share;
    return view;
}

// Returns a serving task whose load is that of its whole step.
serving_view serving_without_deviation(std::uint16_t image,
                                       double headroom,
                                       double isolated_headroom)
{
    return {image, headroom, isolated_headroom, isolated_headroom};
}

struct learned_pairs : testing::Test
{
    learned_pairs()
    {
        std::mt19937 random(7);
        for (int second = 0; second < 200; ++second)
        {
            // The load varies, as that of real users does.
            double const load = 0.48 + 0.24 * std::sin(second / 10.0);
            auto const step = draw(random, heavy_image, light_image, load);
            for (std::size_t task = 0; task < step.readings.size(); ++task)
            {
                model.learn(image, step.with_last(task));
            }
        }
    }

    colocation model{colocation_settings{}};
    std::uint16_t image = model.number_of("serving");
    std::uint16_t heavy_image = model.number_of("heavy");
    std::uint16_t light_image = model.number_of("light");
};

} // namespace

// Failure: a change of the users' load is attributed to a neighbour.
TEST_F(learned_pairs,
       distinguishes_heavy_from_harmless_images_under_varying_load)
{
    worker_view view;
    view.serving.push_back(serving_without_deviation(image, 3, 3));
    EXPECT_NEAR(model.worst_weight(view, heavy_image), heavy_weight, 2);
    EXPECT_LT(model.worst_weight(view, light_image), 1);
}

// Failure: placement considers only the pair of images, or only the load.
TEST_F(learned_pairs, expected_headroom_depends_on_load_and_image)
{
    auto const limit = model.settings().placement_headroom;
    worker_view peak;
    peak.serving.push_back(serving_without_deviation(image, 1.8, 1.8));
    EXPECT_LT(model.expected_headroom(peak, heavy_image, 0.15), limit);
    EXPECT_GT(model.expected_headroom(peak, light_image, 0.15), limit);
    worker_view trough;
    trough.serving.push_back(serving_without_deviation(image, 4.5, 4.5));
    EXPECT_GT(model.expected_headroom(trough, heavy_image, 0.15), limit);
}

// Failure: harmless neighbours are slowed down, or the disturbing one more than
// needed.
TEST_F(learned_pairs, limits_only_the_disturbing_image)
{
    worker_view view;
    view.serving.push_back(serving_without_deviation(image, 1.0, 2.8));
    view.best_effort.push_back(make_best_effort(heavy_image, 0.3, 0));
    view.best_effort.push_back(make_best_effort(light_image, 0.3, 1));
    auto const changes = model.speed_limits(view, full_speed);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().name.index, 0U);
    EXPECT_GT(changes.front().percent, 30U);
    EXPECT_LT(changes.front().percent, 70U);
}

// Failure: a task with a higher load than its siblings is judged by the load of
// its siblings alone.
TEST_F(learned_pairs,
       limits_the_neighbour_of_a_task_with_a_higher_load_than_its_siblings)
{
    serving_reading last;
    last.headroom = 1.2;
    last.headroom_loss = 1.3;
    double const step_headroom = 4.5;
    double const task_headroom =
        model.task_isolated_headroom(step_headroom, last);
    EXPECT_NEAR(task_headroom, 3.3, 0.01);
    worker_view view;
    view.best_effort.push_back(make_best_effort(heavy_image, 0.3, 0));
    view.serving.push_back(
        serving_without_deviation(image, 1.2, step_headroom));
    EXPECT_TRUE(model.speed_limits(view, full_speed).empty());
    view.serving.front().task_isolated_headroom = task_headroom;
    auto const changes = model.speed_limits(view, full_speed);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_LT(changes.front().percent, 85U);
}

// Failure: neighbours get headroom that the task needs again at its next
// reading.
TEST(colocation, low_load_of_one_task_does_not_raise_its_expected_headroom)
{
    colocation const model{colocation_settings{}};
    serving_reading last;
    last.headroom = 5;
    EXPECT_DOUBLE_EQ(model.task_isolated_headroom(3, last), 3);
}

// Failure: a task stays over its target, since no neighbour is known to disturb
// it.
TEST_F(learned_pairs, limits_all_best_effort_tasks_to_the_speed_of_the_throttle)
{
    worker_view view;
    view.serving.push_back(serving_without_deviation(image, 0.5, 4));
    view.best_effort.push_back(make_best_effort(light_image, 0.3, 0));
    EXPECT_TRUE(model.speed_limits(view, full_speed).empty());
    for (double const speed : {0.4, 0.0})
    {
        auto const changes = model.speed_limits(view, speed);
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes.front().percent, std::lround(speed * 100));
    }
}

// Failure: a pair that was never observed is tried at peak load, or never.
TEST(colocation, unknown_image_is_expected_to_fit_only_at_low_load)
{
    colocation model{colocation_settings{}};
    auto const image = model.number_of("serving");
    auto const unknown = model.number_of("unknown");
    worker_view trough;
    trough.serving.push_back(serving_without_deviation(image, 4, 4));
    worker_view peak;
    peak.serving.push_back(serving_without_deviation(image, 1.8, 1.8));
    auto const limit = model.settings().placement_headroom;
    EXPECT_GT(model.expected_headroom(trough, unknown, 0.15), limit);
    EXPECT_LT(model.expected_headroom(peak, unknown, 0.15), limit);
}

// Failure: a long tail is attributed to a neighbour that has hardly started.
TEST(colocation, neighbour_with_a_negligible_share_changes_no_estimate)
{
    colocation model{colocation_settings{}};
    auto const image = model.number_of("serving");
    auto const tiny = model.number_of("tiny");
    serving_reading undisturbed;
    undisturbed.headroom = 3;
    serving_reading disturbed;
    disturbed.headroom = 0.5;
    disturbed.neighbours = {{tiny, 0.003}};
    for (int repeat = 0; repeat < 100; ++repeat)
    {
        model.learn(image, {&undisturbed, &undisturbed, &disturbed});
    }
    worker_view view;
    view.serving.push_back(serving_without_deviation(image, 3, 3));

    EXPECT_DOUBLE_EQ(model.worst_weight(view, tiny),
                     model.settings().prior_weight);
}

// Failure: the load is derived from one idle headroom for all images, so idle
// cores look used.
TEST(colocation_load, is_relative_to_the_average_headroom_of_the_image)
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

// Failure: the load is derived from a headroom that was never measured.
TEST(colocation_load, is_the_average_load_without_a_headroom)
{
    colocation model{colocation_settings{}};
    auto const image = model.number_of("new");
    EXPECT_DOUBLE_EQ(model.load(image, 0), model.settings().average_load);
}
