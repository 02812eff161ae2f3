#include "core/placement/latency_guard.hpp"

#include <algorithm>

namespace fuchsia::core::placement
{

namespace
{

// Disturbance of the services that stand worst: by what was learned of the
// pair, or by size alone while nothing was.
double disturbance(guarded_task const& task,
                   std::vector<guarded_service> const& services,
                   interference_model const& learned)
{
    constexpr double unlearned = 0.05;
    double sum = 0;
    for (auto const& service : services)
    {
        sum +=
            (learned.weight(service.task_class, task.task_class) + unlearned) *
            task.cpu_share;
    }
    return sum;
}

double worst_share(std::vector<guarded_service> const& services)
{
    double worst = 0;
    for (auto const& service : services)
    {
        if (service.target_us != 0)
        {
            worst = std::max(worst,
                             static_cast<double>(service.latency_p99_us) /
                                 static_cast<double>(service.target_us));
        }
    }
    return worst;
}

} // namespace

latency_guard::latency_guard(latency_guard_settings settings)
    : settings_(settings)
{
}

std::optional<guard_step>
latency_guard::on_report(std::vector<guarded_service> const& services,
                         std::vector<guarded_task> const& batch,
                         interference_model const& learned)
{
    double const worst = worst_share(services);
    troubled_ = worst > settings_.throttle_threshold ? troubled_ + 1 : 0;
    well_ = worst < settings_.relax_threshold ? well_ + 1 : 0;
    if (!settings_.enabled || batch.empty())
    {
        return std::nullopt;
    }
    if (troubled_ >= settings_.reports_to_act)
    {
        troubled_ = 0;
        auto const most = std::max_element(
            batch.begin(),
            batch.end(),
            [&](guarded_task const& one, guarded_task const& other)
            {
                return disturbance(one, services, learned) <
                       disturbance(other, services, learned);
            });
        if (most->cpu_limit_permille <= settings_.min_cpu_permille)
        {
            return guard_step{
                guard_action::evict, most->name, most->cpu_limit_permille};
        }
        return guard_step{
            guard_action::throttle,
            most->name,
            std::max(settings_.min_cpu_permille, most->cpu_limit_permille / 2)};
    }
    if (well_ >= settings_.reports_to_relax)
    {
        well_ = 0;
        auto const throttled = std::min_element(
            batch.begin(),
            batch.end(),
            [](guarded_task const& one, guarded_task const& other)
            {
                return one.cpu_limit_permille < other.cpu_limit_permille;
            });
        if (throttled->cpu_limit_permille < 1000)
        {
            return guard_step{
                guard_action::relax,
                throttled->name,
                std::min(1000U, throttled->cpu_limit_permille * 2)};
        }
    }
    return std::nullopt;
}

} // namespace fuchsia::core::placement
