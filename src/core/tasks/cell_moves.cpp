#include "core/tasks/cell_runner.hpp"

#include <algorithm>

// On to another cell, and away from a data centre that is out.
namespace fuchsia::core::tasks
{

namespace
{

constexpr common::duration move_interval = std::chrono::milliseconds(100);
constexpr std::size_t max_parcels_a_round = 8;

} // namespace

bool cell_runner::should_move(cell_context& with,
                              job_part const& part,
                              queued_task const& task) const
{
    auto const& workers = with.workers.in_rack(cell_);
    bool const never_here =
        std::none_of(workers.begin(),
                     workers.end(),
                     [&](std::string const& id)
                     {
                         return with.workers.find(id)->info.capacity.covers(
                             part.definition.declared);
                     });
    bool const elsewhere =
        !part.definition.data_centre.empty() &&
        part.definition.data_centre != with.workers.data_centre_of(cell_);
    if (data_centre_out(with) || never_here || elsewhere)
    {
        return true;
    }
    auto const doublings = std::min<std::uint32_t>(part.moves, 10);
    auto const patience = std::min(with.settings.move_delay * (1 << doublings),
                                   with.settings.max_move_delay);
    return waiting_for_capacity_.count(task.key) != 0 &&
           with.now - task.since >= patience;
}

void cell_runner::move_tasks(cell_context& with)
{
    if (with.now < next_move_ || with.workers.all().empty() ||
        log_.pending_changes() >= max_waiting_changes)
    {
        return;
    }
    next_move_ = with.now + move_interval;
    bool const must = data_centre_out(with);
    std::map<std::string, std::vector<std::uint32_t>> leaving;
    for (auto const& task : queue_)
    {
        auto const& part = log_.state().jobs.at(task.key.job);
        auto const* record = log_.state().find(task.key);
        bool const full = leaving.size() >= max_parcels_a_round &&
                          leaving.count(task.key.job) == 0;
        if (full || record->status != task_status::queued ||
            !should_move(with, part, task))
        {
            continue;
        }
        auto& tasks = leaving[task.key.job];
        if (tasks.size() < with.settings.max_tasks_per_message)
        {
            tasks.push_back(task.key.index);
        }
    }
    for (auto const& [id, tasks] : leaving)
    {
        auto const& part = log_.state().jobs.at(id);
        auto const to = with.loads.choose_cell(
            {part.definition.declared,
             part.definition.data_centre,
             cell_,
             !must && !with.workers.in_rack(cell_).empty(),
             with.config.data_centres_out_of_service},
            with.workers);
        if (!to)
        {
            continue;
        }
        auto const name = id + "~" + cell_ + "~" +
                          std::to_string(log_.state().messages_sent + 1);
        for (std::size_t count = 0; count < tasks.size(); ++count)
        {
            with.loads.reserve(*to, part.definition.declared);
        }
        if (commit(with,
                   transfer_started{name, *to, id, tasks, part.moves + 1},
                   part.definition.urgent || must))
        {
            with.counters.moved += tasks.size();
        }
    }
}

void cell_runner::drain_data_centre(cell_context& with)
{
    bool const out = data_centre_out(with);
    if (data_centre_was_out_ && !out)
    {
        data_centre_back_since_ = with.now;
        starts_since_data_centre_back_ = 0;
    }
    data_centre_was_out_ = out;
    if (!out)
    {
        return;
    }
    // Those that only wait for a report to tell their end burden nobody.
    auto under_way = static_cast<std::uint32_t>(std::count_if(
        active_attempts_.begin(),
        active_attempts_.end(),
        [](auto const& item)
        {
            return !item.second.eviction_reason.empty() &&
                   item.second.phase != attempt_phase::awaiting_final_report;
        }));
    for (auto const& [key, run] : active_attempts_)
    {
        if (under_way >= with.settings.max_draining)
        {
            return;
        }
        if (run.eviction_reason.empty())
        {
            ++under_way;
            ++with.counters.evicted_data_centre;
            evict(with, key, "data_centre_out");
        }
    }
}

} // namespace fuchsia::core::tasks
