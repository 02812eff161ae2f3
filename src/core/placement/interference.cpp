#include "core/placement/interference.hpp"

#include <algorithm>

namespace fuchsia::core::placement
{

namespace
{

constexpr double max_slowdown = 20;
constexpr double max_weight = 50;
constexpr double baseline_growth = 1.001;

} // namespace

interference_model::interference_model(interference_settings settings)
    : settings_(settings),
      weights_(settings.max_classes * settings.max_classes, settings.prior),
      baselines_(settings.max_classes, 0)
{
}

std::uint16_t interference_model::class_index(std::string_view task_class)
{
    auto const found = class_indices_.find(task_class);
    if (found != class_indices_.end())
    {
        return found->second;
    }
    auto const last = static_cast<std::uint16_t>(settings_.max_classes - 1);
    if (class_indices_.size() >= settings_.max_classes)
    {
        return last;
    }
    auto const number = static_cast<std::uint16_t>(class_indices_.size());
    class_indices_.emplace(task_class, number);
    return number;
}

std::size_t
interference_model::weight_index(std::uint16_t victim,
                                 std::uint16_t aggressor) const noexcept
{
    return victim * settings_.max_classes + aggressor;
}

double interference_model::weight(std::uint16_t victim,
                                  std::uint16_t aggressor) const noexcept
{
    return weights_[weight_index(victim, aggressor)];
}

double interference_model::predicted_slowdown(
    std::uint16_t victim,
    std::vector<neighbour> const& neighbours) const noexcept
{
    double slowdown = 1;
    for (auto const& other : neighbours)
    {
        slowdown +=
            weights_[weight_index(victim, other.task_class)] * other.cpu_share;
    }
    return slowdown;
}

void interference_model::record_slowdown(
    std::uint16_t victim,
    std::vector<neighbour> const& neighbours,
    double slowdown)
{
    double const error = std::clamp(slowdown, 1.0, max_slowdown) -
                         predicted_slowdown(victim, neighbours);
    double squared_share_sum = 0;
    for (auto const& other : neighbours)
    {
        squared_share_sum += other.cpu_share * other.cpu_share;
    }
    // Without a neighbour that uses a noticeable share of the cores the
    // slowdown cannot be attributed to any class.
    if (squared_share_sum < 1e-4)
    {
        return;
    }
    for (auto const& other : neighbours)
    {
        auto& value = weights_[weight_index(victim, other.task_class)];
        value += settings_.learning_rate * error * other.cpu_share /
                 squared_share_sum;
        value -= settings_.decay * (value - settings_.prior);
        value = std::clamp(value, 0.0, max_weight);
    }
}

double interference_model::record_latency(std::uint16_t victim,
                                          std::uint64_t latency_us)
{
    auto const latency = static_cast<double>(latency_us);
    auto& baseline = baselines_[victim];
    if (baseline == 0 || latency < baseline)
    {
        baseline = latency;
    }
    baseline = std::min(baseline * baseline_growth, std::max(latency, 1.0));
    return latency / std::max(baseline, 1.0);
}

std::size_t interference_model::classes() const noexcept
{
    return class_indices_.size();
}

} // namespace fuchsia::core::placement
