#include "core/upstreams/choice.hpp"

namespace fuchsia::core::upstreams
{

namespace
{

/// A failing upstream often answers fast. Without this weight its short
/// latency would draw all the requests, and they would all fail.
constexpr double failure_weight = 20.0;

std::size_t draw(std::size_t count, std::mt19937_64& random) noexcept
{
    return static_cast<std::size_t>(random() % count);
}

std::size_t step_off(std::size_t at,
                     std::span<std::uint32_t const> open,
                     std::optional<std::uint32_t> avoid) noexcept
{
    bool const avoided = avoid && open[at] == *avoid;
    return avoided ? (at + 1) % open.size() : at;
}

} // namespace

double cost_of(upstream_load const& load) noexcept
{
    double const share =
        (load.in_use + 1.0) / (load.limit > 0 ? load.limit : 1);
    double const latency = load.latency_us > 0 ? load.latency_us : 1.0;
    return share * latency * (1.0 + failure_weight * load.failure_rate);
}

std::optional<std::size_t> choose_upstream(choice_policy& policy,
                                           std::span<std::uint32_t const> open,
                                           std::span<upstream_load const> loads,
                                           std::optional<std::uint32_t> avoid,
                                           std::mt19937_64& random) noexcept
{
    if (open.empty())
    {
        return std::nullopt;
    }
    if (auto* rotation = std::get_if<round_robin>(&policy))
    {
        rotation->next = (rotation->next + 1) % open.size();
        return step_off(rotation->next, open, avoid);
    }
    std::size_t const first = step_off(draw(open.size(), random), open, avoid);
    std::size_t const second = step_off(draw(open.size(), random), open, avoid);
    bool const second_is_better =
        cost_of(loads[open[second]]) < cost_of(loads[open[first]]);
    return second_is_better ? second : first;
}

} // namespace fuchsia::core::upstreams
