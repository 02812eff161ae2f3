#include "core/pool/colocation.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace fuchsia::core::pool;

namespace
{

constexpr std::size_t images = 9;
constexpr std::size_t max_distinct_images =
    6; ///< Below `images`, so that images share the last number.
constexpr int readings_per_step = 8;
constexpr int steps = 400;
constexpr double min_tail_headroom = 0.5;
constexpr double max_error = 1.5;
constexpr double min_observable_share = 0.02;

// Estimates for one serving image, by the formulas written out plainly.
class reference_model
{
public:
    explicit reference_model(colocation_settings const& settings)
        : settings_(settings)
    {
    }

    void learn(std::vector<serving_reading const*> const& readings)
    {
        double mean = 0;
        for (auto const* reading : readings)
        {
            mean += std::max(reading->headroom, min_tail_headroom);
        }
        mean /= static_cast<double>(readings.size());
        auto const deviations = deviations_from_mean(readings);
        double error =
            mean - std::max(readings.back()->headroom, min_tail_headroom);
        double total = settings_.reading_variance;
        for (auto const& [neighbour, deviation] : deviations)
        {
            error -= weight(neighbour) * deviation;
            total += variances_.at(neighbour) * deviation * deviation;
        }
        error = std::clamp(error, -max_error, max_error);
        for (auto const& [neighbour, deviation] : deviations)
        {
            double& variance = variances_[neighbour];
            double const gain = variance * deviation / total;
            weights_[neighbour] = std::clamp(
                weights_[neighbour] + gain * error, 0.0, settings_.max_weight);
            variance = std::max(settings_.min_variance,
                                variance * (1 - gain * deviation));
        }
    }

    double weight(std::uint16_t neighbour)
    {
        variances_.emplace(neighbour, settings_.prior_variance);
        return weights_.emplace(neighbour, settings_.prior_weight)
            .first->second;
    }

private:
    static std::map<std::uint16_t, double>
    deviations_from_mean(std::vector<serving_reading const*> const& readings)
    {
        std::map<std::uint16_t, double> result;
        auto const count = static_cast<double>(readings.size());
        for (auto const* reading : readings)
        {
            for (auto const& neighbour : reading->neighbours)
            {
                result[neighbour.image] -= neighbour.share / count;
            }
        }
        for (auto const& neighbour : readings.back()->neighbours)
        {
            result[neighbour.image] += neighbour.share;
        }
        std::erase_if(result,
                      [](auto const& entry)
                      {
                          return std::abs(entry.second) < min_observable_share;
                      });
        return result;
    }

    colocation_settings settings_;
    std::map<std::uint16_t, double> weights_;
    std::map<std::uint16_t, double> variances_;
};

// Returns readings next to random shares of random images, in ascending order
// of the images.
std::vector<serving_reading> draw(std::mt19937_64& random,
                                  std::size_t image_count)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<serving_reading> readings(readings_per_step);
    for (auto& reading : readings)
    {
        reading.headroom = 5 * fraction(random);
        for (std::size_t image = 0; image < image_count; ++image)
        {
            if (fraction(random) < 0.4)
            {
                reading.neighbours.push_back(
                    {static_cast<std::uint16_t>(image),
                     0.3 * fraction(random) * fraction(random)});
            }
        }
    }
    return readings;
}

void compare(std::uint64_t seed, std::size_t max_images)
{
    colocation_settings settings;
    settings.max_images = max_images;
    colocation model(settings);
    reference_model reference(settings);
    for (std::size_t image = 0; image < images; ++image)
    {
        model.number_of("image" + std::to_string(image));
    }
    auto const image_count = std::min(images, max_images);
    std::mt19937_64 random(seed);
    for (int step = 0; step < steps; ++step)
    {
        auto const step_readings = draw(random, image_count);
        std::vector<serving_reading const*> readings;
        readings.reserve(step_readings.size());
        for (auto const& reading : step_readings)
        {
            readings.push_back(&reading);
        }
        model.learn(0, readings);
        reference.learn(readings);
        for (std::uint16_t neighbour = 0; neighbour < image_count; ++neighbour)
        {
            ASSERT_EQ(model.headroom_loss(0, {{neighbour, 1.0}}),
                      reference.weight(neighbour))
                << "seed " << seed << ", step " << step;
        }
    }
}

} // namespace

// Estimates that differ from the formulas in the last digit already change the
// placement of tasks.
TEST(colocation_learning, matches_the_reference_model_exactly)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        compare(seed, images);
        compare(seed, max_distinct_images);
    }
}
