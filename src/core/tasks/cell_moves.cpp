#include "core/tasks/cell_runner.hpp"

#include <algorithm>

// Moves of queued tasks to other cells, and the draining of a data centre that
// is out of service.
namespace fuchsia::core::tasks
{

namespace
{

constexpr common::duration move_interval = std::chrono::milliseconds(100);
constexpr std::size_t max_messages_per_round =
    8; ///< Per cell and `move_interval`.

} // namespace

bool cell_runner::should_move(cell_context& context,
                              job_part const& part,
                              queued_task const& task) const
{
    auto const& workers = context.workers.in_rack(cell_);
    bool const fits_no_worker =
        std::none_of(workers.begin(),
                     workers.end(),
                     [&](std::string const& id)
                     {
                         return context.workers.find(id)->info.capacity.covers(
                             part.definition.declared);
                     });
    bool const wrong_data_centre =
        !part.definition.data_centre.empty() &&
        part.definition.data_centre != context.workers.data_centre_of(cell_);
    if (data_centre_out_of_service(context) || fits_no_worker ||
        wrong_data_centre)
    {
        return true;
    }
    auto const doublings = std::min<std::uint32_t>(part.moves, 10);
    auto const delay = std::min(context.settings.move_delay * (1 << doublings),
                                context.settings.max_move_delay);
    return waiting_for_capacity_.count(task.key) != 0 &&
           context.now - task.since >= delay;
}

void cell_runner::move_tasks(cell_context& context)
{
    if (context.now < next_move_ || context.workers.all().empty() ||
        log_.pending_changes() >= max_pending_changes)
    {
        return;
    }
    next_move_ = context.now + move_interval;
    bool const forced = data_centre_out_of_service(context);
    std::map<std::string, std::vector<std::uint32_t>> tasks_by_job;
    for (auto const& task : queue_)
    {
        auto const& part = log_.state().jobs.at(task.key.job);
        auto const* record = log_.state().find(task.key);
        bool const message_limit_reached =
            tasks_by_job.size() >= max_messages_per_round &&
            tasks_by_job.count(task.key.job) == 0;
        if (message_limit_reached || record->status != task_status::queued ||
            !should_move(context, part, task))
        {
            continue;
        }
        auto& tasks = tasks_by_job[task.key.job];
        if (tasks.size() < context.settings.max_tasks_per_message)
        {
            tasks.push_back(task.key.index);
        }
    }
    for (auto const& [id, tasks] : tasks_by_job)
    {
        auto const& part = log_.state().jobs.at(id);
        auto const target_cell = context.loads.choose_cell(
            {part.definition.declared,
             part.definition.data_centre,
             cell_,
             !forced && !context.workers.in_rack(cell_).empty(),
             context.config.data_centres_out_of_service},
            context.workers);
        if (!target_cell)
        {
            continue;
        }
        auto const name = id + "~" + cell_ + "~" +
                          std::to_string(log_.state().messages_sent + 1);
        for (std::size_t count = 0; count < tasks.size(); ++count)
        {
            context.loads.reserve(*target_cell, part.definition.declared);
        }
        if (commit(
                context,
                transfer_started{name, *target_cell, id, tasks, part.moves + 1},
                part.definition.urgent || forced))
        {
            context.counters.moved += tasks.size();
        }
    }
}

void cell_runner::drain_data_centre(cell_context& context)
{
    bool const out_of_service = data_centre_out_of_service(context);
    if (data_centre_was_out_of_service_ && !out_of_service)
    {
        data_centre_in_service_since_ = context.now;
        starts_since_data_centre_in_service_ = 0;
    }
    data_centre_was_out_of_service_ = out_of_service;
    if (!out_of_service)
    {
        return;
    }
    // Attempts that only await their final report no longer run and cause no
    // load, so they do not count against the limit.
    auto evictions_in_progress = static_cast<std::uint32_t>(std::count_if(
        active_attempts_.begin(),
        active_attempts_.end(),
        [](auto const& item)
        {
            return !item.second.eviction_reason.empty() &&
                   item.second.phase != attempt_phase::awaiting_final_report;
        }));
    for (auto const& [key, run] : active_attempts_)
    {
        if (evictions_in_progress >= context.settings.max_draining)
        {
            return;
        }
        if (run.eviction_reason.empty())
        {
            ++evictions_in_progress;
            ++context.counters.evicted_data_centre;
            evict(context, key, "data_centre_out");
        }
    }
}

} // namespace fuchsia::core::tasks
