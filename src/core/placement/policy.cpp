#include "core/placement/policy.hpp"

#include <algorithm>
#include <array>

namespace fuchsia::core::placement
{

namespace
{

constexpr std::array<std::string_view, 2> policy_names{"first-fit",
                                                       "least-interference"};

double core_share(ports::resources const& declared,
                  ports::resources const& capacity) noexcept
{
    return capacity.millicores == 0
               ? 0
               : static_cast<double>(declared.millicores) /
                     static_cast<double>(capacity.millicores);
}

// Cost of placing a task: the slowdowns that it causes and suffers, with a
// higher weight for services, plus a small term for the utilisation of the
// worker.
double placement_cost(least_interference const& weights,
                      candidate const& worker,
                      placement_task const& task,
                      interference_model const& model) noexcept
{
    double const own_share = core_share(task.declared, worker.capacity);
    double const own_weight = task.is_service ? weights.service_weight : 1;
    double sum = 0;
    for (auto const& other : worker.residents)
    {
        double const weight = other.is_service ? weights.service_weight : 1;
        sum += weight * model.weight(other.task_class, task.task_class) *
               own_share;
        sum += own_weight * model.weight(task.task_class, other.task_class) *
               other.cpu_share;
    }
    return sum + weights.utilisation_weight *
                     core_share(worker.committed, worker.capacity);
}

struct worker_chooser
{
    std::vector<candidate> const& workers;
    std::vector<std::size_t> const& eligible;
    placement_task const& task;
    interference_model const& model;

    std::size_t operator()(first_fit const&) const
    {
        return eligible.front();
    }

    std::size_t operator()(least_interference const& weights) const
    {
        std::size_t best = eligible.front();
        double best_cost = placement_cost(weights, workers[best], task, model);
        for (auto const index : eligible)
        {
            double const value =
                placement_cost(weights, workers[index], task, model);
            if (value < best_cost)
            {
                best = index;
                best_cost = value;
            }
        }
        return best;
    }
};

} // namespace

std::string_view name_of(policy const& value) noexcept
{
    return policy_names[value.index()];
}

std::optional<policy> policy_from(std::string_view name) noexcept
{
    if (name == policy_names[0])
    {
        return first_fit{};
    }
    if (name == policy_names[1])
    {
        return least_interference{};
    }
    return std::nullopt;
}

bool fits(candidate const& worker,
          placement_task const& task,
          placement_limits const& limits) noexcept
{
    auto available = worker.capacity;
    available -= worker.committed;
    available.memory_mb -=
        std::max<std::int64_t>(0, worker.memory_over_declared);
    if (!available.covers(task.declared))
    {
        return false;
    }
    auto const max_batch_millicores =
        worker.capacity.millicores * limits.batch_guard_permille / 1000;
    return task.is_service ||
           worker.batch_millicores + task.declared.millicores <=
               max_batch_millicores;
}

std::optional<std::size_t> choose_worker(policy const& selected,
                                         std::vector<candidate> const& workers,
                                         placement_task const& task,
                                         interference_model const& model,
                                         placement_limits const& limits)
{
    std::vector<std::size_t> eligible;
    std::vector<std::size_t> fallback;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        if (fits(workers[index], task, limits))
        {
            auto& list = workers[index].failed_before ? fallback : eligible;
            list.push_back(index);
        }
    }
    if (eligible.empty())
    {
        eligible.swap(fallback);
    }
    if (eligible.empty())
    {
        return std::nullopt;
    }
    return std::visit(worker_chooser{workers, eligible, task, model}, selected);
}

} // namespace fuchsia::core::placement
