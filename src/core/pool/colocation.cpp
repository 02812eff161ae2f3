#include "core/pool/colocation.hpp"

#include <algorithm>

namespace fuchsia::core::pool
{

namespace
{

// Ratios are learned as slowdown = 1 + ratio, so that a tail of nothing is no
// slowdown at all.
constexpr double no_tail = 1.0;
// Serving tasks alone stand near this share of their target.
constexpr double calm_ratio = 0.25;

placement::interference_settings learning()
{
    placement::interference_settings made;
    made.learning_rate = 0.3;
    made.decay = 0.002;
    // Half of the images that were measured disturb: a pair that was never seen
    // is taken for a light one, so that it is tried.
    made.prior = 0.5;
    return made;
}

std::vector<placement::neighbour> neighbours(worker_view const& seen)
{
    std::vector<placement::neighbour> made;
    for (auto const& each : seen.fills)
    {
        made.push_back({each.image, each.share * each.pace / 100.0});
    }
    return made;
}

double worst_ratio(worker_view const& seen)
{
    double worst = 0;
    for (auto const& each : seen.serving)
    {
        worst = std::max(worst, each.ratio);
    }
    return worst;
}

} // namespace

colocation::colocation(colocation_settings settings)
    : settings_(settings), learned_(learning())
{
}

colocation_settings const& colocation::settings() const noexcept
{
    return settings_;
}

std::uint16_t colocation::number_of(std::string const& image)
{
    return learned_.number_of(image);
}

std::vector<pace_change> colocation::observe(worker_view const& seen,
                                             common::time_point now,
                                             common::time_point& over_since)
{
    auto const beside = neighbours(seen);
    for (auto const& each : seen.serving)
    {
        double const excess = std::max(0.0, each.ratio - calm_ratio);
        learned_.observe(each.image, beside, no_tail + excess);
    }
    double const worst = worst_ratio(seen);
    if (worst < 1)
    {
        over_since = {};
    }
    else if (over_since == common::time_point{})
    {
        over_since = now;
    }
    if (worst > settings_.slow_above)
    {
        bool const all = worst >= 1 && now - over_since >= settings_.stop_after;
        return slow_down(seen, all);
    }
    if (worst < settings_.relax_below)
    {
        return speed_up(seen);
    }
    return {};
}

// Stops the tasks that are blamed most until what is left of the disturbance
// is expected to be bearable.
std::vector<pace_change> colocation::slow_down(worker_view const& seen,
                                               bool all) const
{
    struct blamed
    {
        fill_view const* fill;
        double weight;
    };
    std::vector<blamed> order;
    double total = 0;
    double const worst = worst_ratio(seen);
    for (auto const& each : seen.fills)
    {
        if (each.pace == 0)
        {
            continue;
        }
        double weight = 0;
        for (auto const& served : seen.serving)
        {
            if (served.ratio > settings_.slow_above)
            {
                weight += learned_.weight(served.image, each.image);
            }
        }
        order.push_back({&each, weight * each.share + 1e-6});
        total += order.back().weight;
    }
    std::sort(order.begin(),
              order.end(),
              [](blamed const& left, blamed const& right)
              {
                  return left.weight > right.weight;
              });
    double const wanted =
        total * std::clamp((worst - settings_.relax_below) / worst, 0.0, 1.0);
    std::vector<pace_change> changes;
    double taken = 0;
    for (auto const& each : order)
    {
        if (!all && taken >= wanted)
        {
            break;
        }
        changes.push_back({each.fill->name, 0});
        taken += each.weight;
    }
    return changes;
}

// One task at a time, the least blamed first.
std::vector<pace_change> colocation::speed_up(worker_view const& seen) const
{
    fill_view const* best = nullptr;
    double least = 0;
    for (auto const& each : seen.fills)
    {
        if (each.pace >= 100)
        {
            continue;
        }
        double const after = expected(seen, each.image, each.share);
        if (best == nullptr || after < least)
        {
            best = &each;
            least = after;
        }
    }
    if (best == nullptr || least > settings_.place_below)
    {
        return {};
    }
    return {{best->name, 100}};
}

double colocation::expected(worker_view const& seen,
                            std::uint16_t image,
                            double share) const
{
    double worst = 0;
    for (auto const& each : seen.serving)
    {
        worst = std::max(
            worst, each.ratio + learned_.weight(each.image, image) * share);
    }
    return worst;
}

} // namespace fuchsia::core::pool
