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
    /// Share of an observed error that goes into the estimates.
    double learning_rate = 0.2;
    /// Share by which an unconfirmed estimate falls towards the prior with
    /// each observation of its victim.
    double decay = 0.002;
    /// What a pair that was never seen is taken to cost: nothing, so that it
    /// is tried.
    double prior = 0.0;
    /// Classes remembered; later ones share one entry.
    std::size_t max_classes = 64;
};

/// A task beside the one that is looked at: its class and the share of the
/// worker's cores that it uses, 0 to 1.
struct neighbour
{
    std::uint16_t task_class = 0;
    double cpu_share = 0;
};

/// How much each class of tasks slows each other class when both share a
/// worker, learned from reports: slowdown = 1 + sum(weight x share).
class interference_model
{
public:
    explicit interference_model(interference_settings settings);

    /// A small number for a class's name; bounded by `max_classes`.
    std::uint16_t class_index(std::string_view task_class);

    /// Slowdown that `victim` is expected to suffer beside these; 1 is none.
    double
    predicted_slowdown(std::uint16_t victim,
                       std::vector<neighbour> const& neighbours) const noexcept;
    double weight(std::uint16_t victim, std::uint16_t aggressor) const noexcept;

    /// `victim` was seen at `slowdown` beside these: moves the weights of the
    /// pairs by their part in it.
    void record_slowdown(std::uint16_t victim,
                         std::vector<neighbour> const& neighbours,
                         double slowdown);

    /// Best tail latency of a class so far, against which a service's slowdown
    /// is measured; rises slowly, so that a lucky minimum is forgotten.
    double record_latency(std::uint16_t victim, std::uint64_t latency_us);

    std::size_t classes() const noexcept;

private:
    std::size_t weight_index(std::uint16_t victim,
                             std::uint16_t aggressor) const noexcept;

    interference_settings settings_;
    std::map<std::string, std::uint16_t, std::less<>> class_indices_;
    std::vector<double> weights_;   ///< max_classes squared.
    std::vector<double> baselines_; ///< Of each class, in microseconds.
};

} // namespace fuchsia::core::placement
