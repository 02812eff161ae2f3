#include "standins/pool/interference.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace fuchsia::standins::pool
{

using core::common::duration;
using core::common::time_point;

namespace
{

constexpr duration limit_delay = std::chrono::milliseconds(100);
constexpr duration sample_interval = std::chrono::milliseconds(50);
constexpr duration figure_interval = std::chrono::milliseconds(250);
constexpr std::size_t samples_in_window = 10;
// Capacity that remains to an overloaded task. It bounds the length of its
// queue.
constexpr double min_free_capacity = 0.04;

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

double load_at(user_load const& users, time_point now) noexcept
{
    if (users.period <= duration{})
    {
        return users.mean;
    }
    double const turns =
        seconds(now.time_since_epoch()) / seconds(users.period);
    return users.mean + users.swing * std::sin(2 * std::numbers::pi * turns);
}

double slowdown(double load, double neighbours) noexcept
{
    return 1 / std::max(1 - load - neighbours, min_free_capacity);
}

void task_speed::limit(time_point now, std::uint32_t percent) noexcept
{
    advance(now);
    ordered_percent_ = percent;
    in_force_at_ = now + limit_delay;
}

void task_speed::advance(time_point now) noexcept
{
    percent_ = now >= in_force_at_ ? ordered_percent_ : percent_;
}

double task_speed::share() const noexcept
{
    return percent_ / 100.0;
}

rough_measurement::rough_measurement(std::uint64_t seed, double error) noexcept
    : random_(seed), error_(error)
{
}

void rough_measurement::sample(time_point now, double value)
{
    if (now < next_sample_)
    {
        return;
    }
    next_sample_ = now + sample_interval;
    samples_.push_back(value);
    if (samples_.size() > samples_in_window)
    {
        samples_.pop_front();
    }
    if (now < next_figure_)
    {
        return;
    }
    next_figure_ = now + figure_interval;
    double const sum = std::accumulate(samples_.begin(), samples_.end(), 0.0);
    value_ = sum / static_cast<double>(samples_.size()) * (1 + next_error());
}

double rough_measurement::value() const noexcept
{
    return value_;
}

// SplitMix64, so that every platform draws the same errors.
double rough_measurement::next_error() noexcept
{
    random_ += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = random_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    constexpr double range = 18446744073709551616.0; // 2^64
    return error_ * (2 * static_cast<double>(mixed) / range - 1);
}

} // namespace fuchsia::standins::pool
