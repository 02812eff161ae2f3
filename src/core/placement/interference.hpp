#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fuchsia::core::placement
{

struct interference_settings
{
    /// Share of an observed prediction error by which the weights are
    /// corrected.
    double learning_rate = 0.2;
    /// Share by which each observation of a victim moves the weights of its
    /// neighbours towards the prior.
    double decay = 0.002;
    /// Weight of a pair that was never observed; 0, so that the pair is tried.
    double prior = 0.0;
    /// Maximum number of classes; further classes share the last entry.
    std::size_t max_classes = 64;
};

/// Another task on the same worker: its class and the share of the worker's
/// cores that it uses, 0 to 1.
struct neighbour
{
    std::uint16_t task_class = 0;
    double cpu_share = 0;
};

/// Model of how much each class of tasks slows down each other class on the
/// same worker, learned from reports: slowdown = 1 + sum(weight x share).
class interference_model
{
public:
    explicit interference_model(interference_settings settings);

    /// Index of a class; new names get the next one below `max_classes`.
    std::uint16_t class_index(std::string_view task_class);

    /// Expected slowdown of `victim` with these neighbours; 1 means none.
    double
    predicted_slowdown(std::uint16_t victim,
                       std::vector<neighbour> const& neighbours) const noexcept;
    double weight(std::uint16_t victim, std::uint16_t aggressor) const noexcept;

    /// Records that `victim` had `slowdown` with these neighbours: corrects the
    /// weight of each pair in proportion to the neighbour's share.
    void record_slowdown(std::uint16_t victim,
                         std::vector<neighbour> const& neighbours,
                         double slowdown);

    /// Records a tail latency of a class and returns its ratio to the class's
    /// baseline, the lowest latency so far. The baseline rises slowly, so that
    /// an unusually low latency does not count for ever.
    double record_latency(std::uint16_t victim, std::uint64_t latency_us);

    std::size_t classes() const noexcept;

private:
    std::size_t weight_index(std::uint16_t victim,
                             std::uint16_t aggressor) const noexcept;

    interference_settings settings_;
    std::map<std::string, std::uint16_t, std::less<>> class_indices_;
    std::vector<double> weights_;   ///< Weights of max_classes squared pairs.
    std::vector<double> baselines_; ///< Baseline of each class, microseconds.
};

} // namespace fuchsia::core::placement
