#include "core/pool/owner.hpp"

#include <algorithm>

// Answers those who ask what the owner believes. Changes nothing.
namespace fuchsia::core::pool
{

std::vector<worker_status> owner::workers(common::time_point now) const
{
    std::vector<worker_status> made;
    for (auto const& [id, each] : fleet_.all())
    {
        worker_status row;
        row.id = id;
        row.data_centre = each.info.data_centre;
        row.rack = each.info.rack;
        row.incarnation = each.adopted ? each.incarnation : 0;
        row.listed = each.listed;
        row.draining = each.info.draining;
        row.silent = each.silent;
        row.suspected = now < each.avoid_until;
        row.tasks = each.runs.size();
        row.capacity = each.info.capacity;
        row.reserved = each.reserved;
        row.silence =
            each.adopted ? now - each.last_contact : common::duration{};
        row.lease_left = fleet_.lease_left(each, now);
        row.speed = each.speed.value(now);
        made.push_back(std::move(row));
    }
    return made;
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
    std::vector<job_status_row> made;
    made.reserve(jobs_.size());
    for (auto const& [id, run] : jobs_)
    {
        made.push_back(row_of(now, run));
    }
    std::sort(made.begin(),
              made.end(),
              [](job_status_row const& left, job_status_row const& right)
              {
                  return std::tie(left.rank, left.due_in, left.id) <
                         std::tie(right.rank, right.due_in, right.id);
              });
    return made;
}

step_status owner::why_waiting(common::time_point now,
                               job_run& run,
                               ports::task_name const& first)
{
    step_status made;
    made.occurrence = first.occurrence;
    made.step = first.step;
    made.ready =
        run.occurrences[first.occurrence].steps[first.step].ready.size();
    auto const& declared = run.step_of(first).declared;
    bool const leaves_room = must_leave_reserve(run, first);
    for (auto& [id, each] : fleet_.all())
    {
        auto reason = obstacle_to(now, each, run, first);
        if (!reason && leaves_room && !each.has_capacity_for_two(declared))
        {
            reason = obstacle::short_job_reserve;
        }
        if (reason)
        {
            ++made.obstacles[*reason];
            made.idle_unusable +=
                *reason == obstacle::disturbs
                    ? std::max<std::int64_t>(each.idle_cores(), 0)
                    : 0;
        }
        else
        {
            ++made.possible;
        }
    }
    return made;
}

std::optional<job_status_detail> owner::describe(common::time_point now,
                                                 std::string const& id)
{
    auto* const run = find_job(id);
    if (run == nullptr)
    {
        return std::nullopt;
    }
    job_status_detail made;
    made.job = row_of(now, *run);
    for (std::uint32_t k = 0; k < run->occurrences.size(); ++k)
    {
        auto const& steps = run->occurrences[k].steps;
        for (std::uint32_t number = 0; number < steps.size(); ++number)
        {
            auto const& tasks = steps[number].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                auto const& each = tasks[index];
                made.tasks.push_back({{id, k, number, index},
                                      each.phase,
                                      each.attempt,
                                      each.failures.size(),
                                      each.worker,
                                      each.percent,
                                      each.speed_limit});
            }
            if (!steps[number].ready.empty())
            {
                made.waiting.push_back(why_waiting(
                    now, *run, {id, k, number, steps[number].ready.back()}));
            }
        }
    }
    return made;
}

} // namespace fuchsia::core::pool
