#include "core/pool/owner.hpp"

#include <algorithm>

// Read-only views of the owner's state.
namespace fuchsia::core::pool
{

std::vector<worker_status> owner::workers(common::time_point now) const
{
    std::vector<worker_status> result;
    for (auto const& [id, w] : fleet_.all())
    {
        worker_status row;
        row.id = id;
        row.data_centre = w.info.data_centre;
        row.rack = w.info.rack;
        row.incarnation = w.adopted ? w.incarnation : 0;
        row.listed = w.listed;
        row.draining = w.info.draining;
        row.silent = w.silent;
        row.suspected = now < w.avoid_until;
        row.tasks = w.runs.size();
        row.capacity = w.info.capacity;
        row.reserved = w.reserved;
        row.silence = w.adopted ? now - w.last_contact : common::duration{};
        row.lease_left = fleet_.lease_left(w, now);
        row.speed = w.speed.value(now);
        result.push_back(std::move(row));
    }
    return result;
}

job_status_row owner::row_of(common::time_point now, job_run const& run) const
{
    job_status_row row;
    row.id = run.spec.id;
    row.queue = run.spec.queue;
    row.phase = run.phase;
    row.tasks_left = run.tasks_left;
    row.tasks_placed = run.placed;
    row.started = run.started;
    row.rank = run.rank;
    row.due_in = std::chrono::milliseconds(run.due_unix_ms - out_.unix_ms(now));
    return row;
}

std::vector<job_status_row> owner::jobs(common::time_point now) const
{
    std::vector<job_status_row> result;
    result.reserve(jobs_.size());
    for (auto const& [id, run] : jobs_)
    {
        result.push_back(row_of(now, run));
    }
    std::sort(result.begin(),
              result.end(),
              [](job_status_row const& lhs, job_status_row const& rhs)
              {
                  return std::tie(lhs.rank, lhs.due_in, lhs.id) <
                         std::tie(rhs.rank, rhs.due_in, rhs.id);
              });
    return result;
}

step_status owner::waiting_status(common::time_point now,
                                  job_run& run,
                                  ports::task_name const& first_task)
{
    step_status status;
    status.occurrence = first_task.occurrence;
    status.step = first_task.step;
    status.ready = run.occurrences[first_task.occurrence]
                       .steps[first_task.step]
                       .ready.size();
    auto const& declared = run.step_of(first_task).declared;
    bool const leave_reserve = must_leave_reserve(run, first_task);
    for (auto& [id, w] : fleet_.all())
    {
        auto reason = obstacle_to_task(now, w, run, first_task);
        if (!reason && leave_reserve && !w.has_capacity_for_two(declared))
        {
            reason = obstacle::short_job_reserve;
        }
        if (reason)
        {
            ++status.obstacles[*reason];
            status.idle_unusable +=
                *reason == obstacle::disturbs
                    ? std::max<std::int64_t>(w.idle_cores(), 0)
                    : 0;
        }
        else
        {
            ++status.possible;
        }
    }
    return status;
}

std::optional<job_status_detail> owner::describe(common::time_point now,
                                                 std::string const& id)
{
    auto* const run = find_job(id);
    if (run == nullptr)
    {
        return std::nullopt;
    }
    job_status_detail detail;
    detail.job = row_of(now, *run);
    for (std::uint32_t occurrence_index = 0;
         occurrence_index < run->occurrences.size();
         ++occurrence_index)
    {
        auto const& steps = run->occurrences[occurrence_index].steps;
        for (std::uint32_t step_index = 0; step_index < steps.size();
             ++step_index)
        {
            auto const& tasks = steps[step_index].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                auto const& t = tasks[index];
                detail.tasks.push_back(
                    {{id, occurrence_index, step_index, index},
                     t.phase,
                     t.attempt,
                     t.failures.size(),
                     t.crash_history.crashes(),
                     t.worker,
                     t.percent,
                     t.speed_limit});
            }
            if (!steps[step_index].ready.empty())
            {
                detail.waiting.push_back(
                    waiting_status(now,
                                   *run,
                                   {id,
                                    occurrence_index,
                                    step_index,
                                    steps[step_index].ready.back()}));
            }
        }
    }
    return detail;
}

} // namespace fuchsia::core::pool
