#include "core/placement/policy.hpp"

#include <algorithm>
#include <array>

namespace fuchsia::core::placement
{

namespace
{

constexpr std::array<std::string_view, 2> policy_names{"first-fit",
                                                       "least-interference"};

double share_of(ports::resources const& declared,
                ports::resources const& capacity) noexcept
{
    return capacity.millicores == 0
               ? 0
               : static_cast<double>(declared.millicores) /
                     static_cast<double>(capacity.millicores);
}

// Sum of the slowdowns that the task adds to its neighbours and suffers
// itself, services weighing more, and a little for how full the worker is.
double cost(least_interference const& by,
            candidate const& on,
            placement_task const& task,
            interference_model const& learned) noexcept
{
    double const own_share = share_of(task.declared, on.capacity);
    double const own_weight = task.is_service ? by.service_weight : 1;
    double sum = 0;
    for (auto const& other : on.residents)
    {
        double const weight = other.is_service ? by.service_weight : 1;
        sum += weight * learned.weight(other.task_class, task.task_class) *
               own_share;
        sum += own_weight * learned.weight(task.task_class, other.task_class) *
               other.cpu_share;
    }
    return sum + by.utilisation_weight * share_of(on.committed, on.capacity);
}

struct chooser
{
    std::vector<candidate> const& workers;
    std::vector<std::size_t> const& able;
    placement_task const& task;
    interference_model const& learned;

    std::size_t operator()(first_fit const&) const
    {
        return able.front();
    }

    std::size_t operator()(least_interference const& by) const
    {
        std::size_t best = able.front();
        double best_cost = cost(by, workers[best], task, learned);
        for (auto const index : able)
        {
            double const value = cost(by, workers[index], task, learned);
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

bool fits(candidate const& on,
          placement_task const& task,
          placement_limits const& bounds) noexcept
{
    auto room = on.capacity;
    room -= on.committed;
    room.memory_mb -= std::max<std::int64_t>(0, on.memory_over_declared);
    if (!room.covers(task.declared))
    {
        return false;
    }
    auto const batch_most =
        on.capacity.millicores * bounds.batch_guard_permille / 1000;
    return task.is_service ||
           on.batch_millicores + task.declared.millicores <= batch_most;
}

std::optional<std::size_t> choose_worker(policy const& by,
                                         std::vector<candidate> const& workers,
                                         placement_task const& task,
                                         interference_model const& learned,
                                         placement_limits const& bounds)
{
    std::vector<std::size_t> able;
    std::vector<std::size_t> avoided;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        if (fits(workers[index], task, bounds))
        {
            auto& list = workers[index].failed_before ? avoided : able;
            list.push_back(index);
        }
    }
    if (able.empty())
    {
        able.swap(avoided);
    }
    if (able.empty())
    {
        return std::nullopt;
    }
    return std::visit(chooser{workers, able, task, learned}, by);
}

} // namespace fuchsia::core::placement
