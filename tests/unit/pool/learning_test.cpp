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
constexpr std::size_t few_images = 6; ///< The last number is shared.
constexpr int readings_each = 8;
constexpr int steps = 400;
constexpr double least_headroom = 0.5;
constexpr double most_error = 1.5;
constexpr double least_share = 0.02;

// The estimates of one served image, by the formulas written out plainly.
class plain_learner
{
public:
    explicit plain_learner(colocation_settings const& settings)
        : settings_(settings)
    {
    }

    void learn(std::vector<serving_reading const*> const& readings)
    {
        double mean = 0;
        for (auto const* each : readings)
        {
            mean += std::max(each->headroom, least_headroom);
        }
        mean /= static_cast<double>(readings.size());
        auto const beyond = beyond_the_mean(readings);
        double error =
            mean - std::max(readings.back()->headroom, least_headroom);
        double total = settings_.reading_variance;
        for (auto const& [other, share] : beyond)
        {
            error -= weight(other) * share;
            total += variances_.at(other) * share * share;
        }
        error = std::clamp(error, -most_error, most_error);
        for (auto const& [other, share] : beyond)
        {
            double& variance = variances_[other];
            double const gain = variance * share / total;
            weights_[other] = std::clamp(
                weights_[other] + gain * error, 0.0, settings_.max_weight);
            variance =
                std::max(settings_.min_variance, variance * (1 - gain * share));
        }
    }

    double weight(std::uint16_t of)
    {
        variances_.emplace(of, settings_.prior_variance);
        return weights_.emplace(of, settings_.prior_weight).first->second;
    }

private:
    static std::map<std::uint16_t, double>
    beyond_the_mean(std::vector<serving_reading const*> const& readings)
    {
        std::map<std::uint16_t, double> made;
        auto const count = static_cast<double>(readings.size());
        for (auto const* each : readings)
        {
            for (auto const& other : each->neighbours)
            {
                made[other.image] -= other.share / count;
            }
        }
        for (auto const& other : readings.back()->neighbours)
        {
            made[other.image] += other.share;
        }
        std::erase_if(made,
                      [](auto const& each)
                      {
                          return std::abs(each.second) < least_share;
                      });
        return made;
    }

    colocation_settings settings_;
    std::map<std::uint16_t, double> weights_;
    std::map<std::uint16_t, double> variances_;
};

// Readings beside random amounts of random images, ascending.
std::vector<serving_reading> draw(std::mt19937_64& random, std::size_t numbers)
{
    std::uniform_real_distribution<double> part(0, 1);
    std::vector<serving_reading> made(readings_each);
    for (auto& each : made)
    {
        each.headroom = 5 * part(random);
        for (std::size_t image = 0; image < numbers; ++image)
        {
            if (part(random) < 0.4)
            {
                each.neighbours.push_back({static_cast<std::uint16_t>(image),
                                           0.3 * part(random) * part(random)});
            }
        }
    }
    return made;
}

void compare(std::uint64_t seed, std::size_t max_images)
{
    colocation_settings settings;
    settings.max_images = max_images;
    colocation model(settings);
    plain_learner plain(settings);
    for (std::size_t image = 0; image < images; ++image)
    {
        model.number_of("image" + std::to_string(image));
    }
    auto const numbers = std::min(images, max_images);
    std::mt19937_64 random(seed);
    for (int step = 0; step < steps; ++step)
    {
        auto const drawn = draw(random, numbers);
        std::vector<serving_reading const*> readings;
        readings.reserve(drawn.size());
        for (auto const& each : drawn)
        {
            readings.push_back(&each);
        }
        model.learn(0, readings);
        plain.learn(readings);
        for (std::uint16_t other = 0; other < numbers; ++other)
        {
            ASSERT_EQ(model.headroom_loss(0, {{other, 1.0}}),
                      plain.weight(other))
                << "seed " << seed << ", step " << step;
        }
    }
}

} // namespace

// Estimates that differ from the formulas in the last digit already place
// tasks elsewhere.
TEST(learning, is_the_plain_formula_to_the_last_digit)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        compare(seed, images);
        compare(seed, few_images);
    }
}
