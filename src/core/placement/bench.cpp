#include "core/placement/bench.hpp"

#include <random>
#include <string>
#include <vector>

namespace fuchsia::core::placement
{

namespace
{

constexpr std::int64_t worker_millicores = 64000;
constexpr std::int64_t worker_memory_mb = 250000;
/// Maximum number of racks tried for each task.
constexpr std::uint32_t max_rack_tries = 4;

/// Racks of workers to which tasks are added, and from which they are removed,
/// at random.
class simulated_fleet
{
public:
    explicit simulated_fleet(placement_benchmark_settings const& settings)
        : settings_(settings), random_(settings.seed), model_({})
    {
        for (std::uint32_t number = 0; number < settings.classes; ++number)
        {
            model_.class_index("class-" + std::to_string(number));
        }
        auto const racks = (settings.workers + settings.workers_per_rack - 1) /
                           settings.workers_per_rack;
        racks_.resize(racks);
        for (std::uint32_t number = 0; number < settings.workers; ++number)
        {
            candidate worker;
            worker.capacity = {worker_millicores, worker_memory_mb, 0};
            racks_[number / settings.workers_per_rack].push_back(worker);
        }
    }

    bool add(bool service)
    {
        auto const task = draw_task(service);
        for (std::uint32_t number = 0; number < max_rack_tries; ++number)
        {
            auto& rack = racks_[random_() % racks_.size()];
            auto const chosen = choose_worker(
                settings_.placement_policy, rack, task, model_, {});
            update_signature(chosen.value_or(rack.size()));
            if (chosen)
            {
                add_resident(rack[*chosen], task);
                return true;
            }
        }
        return false;
    }

    // Removes the newest task of a random worker; does nothing if the worker
    // has no task.
    void remove_one()
    {
        auto& rack = racks_[random_() % racks_.size()];
        auto& worker = rack[random_() % rack.size()];
        if (worker.residents.empty())
        {
            return;
        }
        record_random_slowdown(worker);
        auto const last = worker.residents.back();
        worker.residents.pop_back();
        worker.committed -= last.declared;
        worker.batch_millicores -=
            last.is_service ? 0 : last.declared.millicores;
    }

    std::uint64_t signature() const noexcept
    {
        return signature_;
    }

private:
    placement_task draw_task(bool service)
    {
        placement_task task;
        task.task_class =
            static_cast<std::uint16_t>(random_() % settings_.classes);
        task.is_service = service;
        task.declared.millicores =
            500 + static_cast<std::int64_t>(random_() % 4000);
        task.declared.memory_mb =
            500 + static_cast<std::int64_t>(random_() % 8000);
        return task;
    }

    static void add_resident(candidate& worker, placement_task const& task)
    {
        worker.committed += task.declared;
        worker.batch_millicores +=
            task.is_service ? 0 : task.declared.millicores;
        worker.residents.push_back(
            {task.task_class,
             task.is_service,
             task.declared,
             static_cast<double>(task.declared.millicores) /
                 static_cast<double>(worker.capacity.millicores)});
    }

    void record_random_slowdown(candidate const& worker)
    {
        std::vector<neighbour> neighbours;
        for (auto const& other : worker.residents)
        {
            neighbours.push_back({other.task_class, other.cpu_share});
        }
        auto const victim = worker.residents.front().task_class;
        model_.record_slowdown(
            victim, neighbours, 1 + static_cast<double>(random_() % 100) / 100);
    }

    // Adds a decision to the signature, an FNV-1a hash over whole numbers
    // instead of bytes.
    void update_signature(std::uint64_t value) noexcept
    {
        signature_ = (signature_ ^ value) * 1099511628211ULL;
    }

    placement_benchmark_settings const& settings_;
    std::mt19937_64 random_;
    interference_model model_;
    std::vector<std::vector<candidate>> racks_;
    std::uint64_t signature_ = 1469598103934665603ULL;
};

} // namespace

placement_benchmark_result
run_placement_benchmark(placement_benchmark_settings const& settings)
{
    simulated_fleet fleet(settings);
    placement_benchmark_result result;
    for (std::uint32_t number = 0; number < settings.services; ++number)
    {
        result.resident += fleet.add(true) ? 1 : 0;
    }
    for (std::uint32_t number = 0; number < settings.batch_tasks; ++number)
    {
        result.resident += fleet.add(false) ? 1 : 0;
    }
    for (std::uint32_t number = 0; number < settings.decisions; ++number)
    {
        fleet.remove_one();
        result.placed += fleet.add(number % 2 == 0) ? 1 : 0;
        ++result.decisions;
    }
    result.signature = fleet.signature();
    return result;
}

} // namespace fuchsia::core::placement
