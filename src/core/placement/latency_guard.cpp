#include "core/placement/latency_guard.hpp"

#include <algorithm>

namespace fuchsia::core::placement
{

namespace
{

// Interference of a batch task with the services on its worker, from the
// learned weights and the task's share of the cores. While no weights are
// learned only the share counts.
double disturbance(guarded_task const& task,
                   std::vector<guarded_service> const& services,
                   interference_model const& model)
{
    constexpr double unknown_pair_weight = 0.05;
    double sum = 0;
    for (auto const& service : services)
    {
        sum += (model.weight(service.task_class, task.task_class) +
                unknown_pair_weight) *
               task.cpu_share;
    }
    return sum;
}

double worst_latency_ratio(std::vector<guarded_service> const& services)
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
                         interference_model const& model)
{
    double const worst = worst_latency_ratio(services);
    violating_reports_ =
        worst > settings_.throttle_threshold ? violating_reports_ + 1 : 0;
    healthy_reports_ =
        worst < settings_.relax_threshold ? healthy_reports_ + 1 : 0;
    if (!settings_.enabled || batch.empty())
    {
        return std::nullopt;
    }
    if (violating_reports_ >= settings_.reports_to_act)
    {
        violating_reports_ = 0;
        auto const worst_task = std::max_element(
            batch.begin(),
            batch.end(),
            [&](guarded_task const& lhs, guarded_task const& rhs)
            {
                return disturbance(lhs, services, model) <
                       disturbance(rhs, services, model);
            });
        if (worst_task->cpu_limit_permille <= settings_.min_cpu_permille)
        {
            return guard_step{guard_action::evict,
                              worst_task->name,
                              worst_task->cpu_limit_permille};
        }
        return guard_step{guard_action::throttle,
                          worst_task->name,
                          std::max(settings_.min_cpu_permille,
                                   worst_task->cpu_limit_permille / 2)};
    }
    if (healthy_reports_ >= settings_.reports_to_relax)
    {
        healthy_reports_ = 0;
        auto const throttled = std::min_element(
            batch.begin(),
            batch.end(),
            [](guarded_task const& lhs, guarded_task const& rhs)
            {
                return lhs.cpu_limit_permille < rhs.cpu_limit_permille;
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
