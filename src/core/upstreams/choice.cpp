#include "core/upstreams/choice.hpp"

namespace fuchsia::core::upstreams
{

namespace
{

/// Weight of the failure rate in the cost. A failing upstream often answers
/// fast; without this weight its short latency would attract all requests, and
/// all of them would fail.
constexpr double failure_weight = 20.0;

std::size_t draw(std::size_t count, std::mt19937_64& random) noexcept
{
    return static_cast<std::size_t>(random() % count);
}

std::size_t skip_avoided(std::size_t position,
                         std::span<std::uint32_t const> candidates,
                         std::optional<std::uint32_t> avoided_upstream) noexcept
{
    bool const must_skip =
        avoided_upstream && candidates[position] == *avoided_upstream;
    return must_skip ? (position + 1) % candidates.size() : position;
}

} // namespace

double cost_of(upstream_load const& load) noexcept
{
    double const share =
        (load.in_use + 1.0) / (load.limit > 0 ? load.limit : 1);
    double const latency = load.latency_us > 0 ? load.latency_us : 1.0;
    return share * latency * (1.0 + failure_weight * load.failure_rate);
}

std::optional<std::size_t>
choose_upstream(choice_policy& policy,
                std::span<std::uint32_t const> candidates,
                std::span<upstream_load const> loads,
                std::optional<std::uint32_t> avoided_upstream,
                std::mt19937_64& random) noexcept
{
    if (candidates.empty())
    {
        return std::nullopt;
    }
    if (auto* rotation = std::get_if<round_robin>(&policy))
    {
        rotation->next = (rotation->next + 1) % candidates.size();
        return skip_avoided(rotation->next, candidates, avoided_upstream);
    }
    std::size_t const first = skip_avoided(
        draw(candidates.size(), random), candidates, avoided_upstream);
    std::size_t const second = skip_avoided(
        draw(candidates.size(), random), candidates, avoided_upstream);
    bool const second_is_better =
        cost_of(loads[candidates[second]]) < cost_of(loads[candidates[first]]);
    return second_is_better ? second : first;
}

} // namespace fuchsia::core::upstreams
