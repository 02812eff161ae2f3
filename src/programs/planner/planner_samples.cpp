#include "programs/planner/planner_program.hpp"

#include <array>
#include <utility>

// Copies the counters and the state of the engine to the metrics.
namespace fuchsia::programs::planner
{

namespace tasks = core::tasks;
using core::common::time_point;

namespace
{

constexpr core::common::duration sample_interval = std::chrono::seconds(1);

} // namespace

void planner_program::sample(time_point now)
{
    runtime_.set_ready(engine_->ready(now));
    if (now < next_sample_)
    {
        return;
    }
    next_sample_ = now + sample_interval;
    auto& metrics = runtime_.metrics();
    auto const& counts = engine_->counters();
    std::array<std::pair<char const*, std::uint64_t>, 7> const attempt_counts{
        {{"finished", counts.finished},
         {"failed", counts.failed},
         {"stopped", counts.stopped},
         {"lost", counts.lost},
         {"refused", counts.refused},
         {"unsent", counts.unsent},
         {"started", counts.started}}};
    for (auto const& [kind, value] : attempt_counts)
    {
        metrics
            .gauge("fuchsia_task_attempts",
                   "Attempts since this planner joined, by what became of them",
                   {{"what", kind}})
            .Set(static_cast<double>(value));
    }
    std::array<std::pair<char const*, std::uint64_t>, 4> const evictions{
        {{"data_centre_out", counts.evicted_data_centre},
         {"over_contract", counts.evicted_contract},
         {"guard", counts.evicted_guard},
         {"memory_pressure", counts.evicted_memory}}};
    for (auto const& [reason, value] : evictions)
    {
        metrics
            .gauge("fuchsia_task_evictions",
                   "Evictions since this planner joined, by reason",
                   {{"why", reason}})
            .Set(static_cast<double>(value));
    }
    std::size_t queued = 0;
    std::size_t running = 0;
    for (auto const& [name, cell] : engine_->cells())
    {
        auto const cell_counts = cell->counts();
        queued += cell_counts.queued;
        running += cell_counts.running;
    }
    auto const set =
        [&metrics](char const* name, char const* help, double value)
    {
        metrics.gauge(name, help).Set(value);
    };
    set("fuchsia_tasks_queued",
        "Tasks that wait in the cells of this planner",
        static_cast<double>(queued));
    set("fuchsia_tasks_running",
        "Attempts under way in the cells of this planner",
        static_cast<double>(running));
    set("fuchsia_cells_owned",
        "Cells that this planner owns",
        static_cast<double>(engine_->cells().size()));
    set("fuchsia_proof_age_seconds",
        "Age of the newest proof of membership",
        adapters::metrics::seconds(engine_->members().proof_age(now)));
    set("fuchsia_config_revision",
        "Revision of the configuration in force here",
        static_cast<double>(engine_->follower().current().revision));
    for (std::size_t owner = 0; owner < tasks::call_owner_count; ++owner)
    {
        auto const kind = static_cast<tasks::call_owner>(owner);
        metrics
            .gauge("fuchsia_task_store_calls",
                   "Store calls of the tasks part, by what they were for",
                   {{"for", std::string(tasks::name_of(kind))}})
            .Set(static_cast<double>(engine_->calls().count(kind)));
    }
}

} // namespace fuchsia::programs::planner
