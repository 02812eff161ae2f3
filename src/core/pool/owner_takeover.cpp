#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Takeover: a new owner determines which tasks earlier owners have started.
namespace fuchsia::core::pool
{

using ports::end_kind;
using ports::severity;

namespace
{

// Maximum number of unreached workers that the log line of the takeover names.
constexpr std::size_t max_missing_named = 8;

} // namespace

// Whether an earlier owner may have started the task. This includes blocked
// tasks of steps that are not open yet, since workers report the ends of the
// tasks before them in any order.
bool owner::may_belong_to_earlier_owner(job_run const& run, task const& t) const
{
    bool const blocked = t.phase == task_phase::blocked &&
                         !takeover_complete_ && run.revision < claim_.epoch();
    return t.phase == task_phase::unresolved || blocked;
}

// Fails a job whose attempts were used up by failures or crashes that this
// owner did not see when they happened.
void owner::fail_exhausted_job(common::time_point now, job_run& run)
{
    std::size_t failures = 0;
    std::uint32_t crashes = 0;
    for (auto const& occurrence : run.occurrences)
    {
        for (auto const& steps : occurrence.steps)
        {
            for (auto const& t : steps.tasks)
            {
                failures = std::max(failures, t.failures.size());
                crashes = std::max(crashes, t.crash_history.crashes());
            }
        }
    }
    out_.log(severity::info,
             "job_failing",
             {{"job", run.spec.id},
              {"failures", std::to_string(failures)},
              {"crashes", std::to_string(crashes)},
              {"inherited", "true"}});
    end_job(now, run, job_phase::failing);
}

// Completes the takeover once every worker that an earlier owner may have used
// has either reported its tasks, to the last of their ends, or can no longer
// run tasks of an earlier owner. A worker that answers is waited for until its
// ends are read, which needs the store: a task whose end it has not listed yet
// would start again.
void owner::complete_takeover(common::time_point now)
{
    if (takeover_complete_ || !loaded_ || !list_.loaded())
    {
        return;
    }
    std::vector<std::string> missing;
    std::size_t long_leases = 0;
    bool has_unlisted_ends = false;
    bool has_unseen_restart = false;
    bool has_recorded_lease = false;
    for (auto const& id : inherited_.workers)
    {
        auto const& w = *fleet_.find(id);
        has_unlisted_ends =
            has_unlisted_ends || fleet_.may_list_earlier_ends(w, now);
        if (w.adopted)
        {
            continue;
        }
        missing.push_back(id);
        bool const unseen = restarted_unseen(w);
        long_leases += unseen || inherited_.long_leases.contains(id) ? 1U : 0U;
        has_unseen_restart = has_unseen_restart || unseen;
        has_recorded_lease = has_recorded_lease ||
                             recorded_lease_left(id, now) > common::duration{};
    }
    auto const& limits = fleet_.settings();
    auto const longest = has_unseen_restart ? limits.max_lease : limits.lease;
    bool const other_leases_ended = earlier_leases_ended(now, longest);
    bool const must_wait =
        !missing.empty() && (has_recorded_lease || !other_leases_ended);
    if (has_unlisted_ends || must_wait)
    {
        return;
    }
    takeover_complete_ = true;
    update_roster(now);
    out_.push(ports::duration_sample{ports::duration_metric::takeover,
                                     now - claim_.held_since()});
    std::vector<std::string> ids;
    for (auto const& [id, run] : jobs_)
    {
        ids.push_back(id);
    }
    std::size_t unreported = 0;
    for (auto const& id : ids)
    {
        unreported += end_unreported_attempts(now, *find_job(id));
    }
    out_.log(
        severity::info,
        "takeover_settled",
        {{"epoch", std::to_string(claim_.epoch())},
         {"unreached", std::to_string(missing.size())},
         {"missing", joined(missing, max_missing_named)},
         {"long_leases", std::to_string(long_leases)},
         {"unreported", std::to_string(unreported)},
         {"after_ms",
          std::to_string(common::to_milliseconds(now - claim_.held_since()))}});
}

// Ends the attempts that an earlier owner may have started but that no worker
// has reported: they do not run anywhere. Returns the number of their tasks.
std::size_t owner::end_unreported_attempts(common::time_point now, job_run& run)
{
    std::size_t count = 0;
    for (std::uint32_t k = 0; k < run.occurrences.size(); ++k)
    {
        auto& steps = run.occurrences[k].steps;
        for (std::uint32_t step_index = 0; step_index < steps.size();
             ++step_index)
        {
            auto& tasks = steps[step_index].tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index)
            {
                ports::task_name const name{run.spec.id, k, step_index, index};
                if (tasks[index].phase != task_phase::unresolved)
                {
                    continue;
                }
                if (lost_unseen(tasks[index]))
                {
                    count_crash(run, name, crash_evidence::shared, false);
                }
                tasks[index].crash_history.worker.clear();
                ++count;
                task_over(now, run, name);
            }
        }
    }
    if (run.phase == job_phase::active && out_of_attempts(run))
    {
        fail_exhausted_job(now, run);
    }
    finish_if_over(run);
    return count;
}

// Handles the proof that a worker of the stored roster has ended: the worker
// that now has its address refuses the order. What it ran ended with it. It is
// polled on, since a worker may start again under an earlier id.
void owner::mark_ended(common::time_point now, worker& target)
{
    target.next_poll = now + settings_.idle_interval;
    if (std::exchange(target.ended, true))
    {
        return;
    }
    target.rostered = false;
    forget_inherited(target.info.id);
    out_.log(severity::info, "worker_ended", {{"worker", target.info.id}});
    update_roster(now);
    complete_takeover(now);
}

void owner::forget_inherited(std::string const& id)
{
    inherited_.workers.erase(id);
    inherited_.silent.erase(id);
    inherited_.incarnations.erase(id);
    inherited_.long_leases.erase(id);
}

// Whether the worker is of another incarnation than that by whose clock an
// earlier owner computed its leases. That owner may still have sent it such
// leases until it ended.
bool owner::restarted_unseen(worker const& target) const
{
    auto const recorded = inherited_.incarnation_of(target.info.id);
    auto const present =
        target.adopted ? target.incarnation : target.info.incarnation;
    return recorded != 0 && present != 0 && recorded != present;
}

// Returns the time after which the longer lease that the roster tells of has
// expired on the worker. The roster was written before this owner took the
// claim.
common::duration owner::recorded_lease_left(std::string const& id,
                                            common::time_point now) const
{
    auto const found = inherited_.long_leases.find(id);
    return found == inherited_.long_leases.end()
               ? common::duration{}
               : std::max<common::duration>(
                     found->second - (now - claim_.held_since()), {});
}

// Returns the time after which every lease of an earlier owner has expired on
// the worker if one may be longer than usual; else zero.
common::duration owner::inherited_long_lease_left(worker const& target,
                                                  common::time_point now) const
{
    if (takeover_complete_ || !inherited_.workers.contains(target.info.id))
    {
        return {};
    }
    return restarted_unseen(target)
               ? fleet_.expiry_time(fleet_.settings().max_lease)
               : recorded_lease_left(target.info.id, now);
}

// Whether so many workers have answered this owner that no earlier owner still
// has the majorities that it needs to go on without the store.
bool owner::successor_quorum() const
{
    auto const answering = inherited_.answering();
    constexpr auto at_any_time = common::time_point::max();
    return answering.empty() ||
           fleet_.majority_answered(answering, {}, at_any_time) ||
           fleet_.majority_answered(inherited_.workers, {}, at_any_time);
}

// Returns whether the leases granted by earlier owners, none of them longer
// than `longest`, have expired on every worker, even on those that this owner
// can't reach. Once more than half of the
// workers have answered this owner, they know the new fencing token. An earlier
// owner can then renew leases for at most one quorum window, and the last one
// expires one lease duration later. Without such a quorum, an earlier owner
// stops `quorum_limit` after its last confirmed renewal, which was before this
// owner acquired the claim. Also records the time at which the quorum was
// reached.
bool owner::earlier_leases_ended(common::time_point now,
                                 common::duration longest)
{
    auto const& limits = fleet_.settings();
    if (quorum_since_ == common::time_point{} && successor_quorum())
    {
        quorum_since_ = now;
    }
    auto const expiry = fleet_.expiry_time(longest);
    bool const quorum_wait_over =
        quorum_since_ != common::time_point{} &&
        now - quorum_since_ > limits.quorum_window + expiry;
    return quorum_wait_over ||
           now - claim_.held_since() > limits.quorum_limit + expiry;
}

} // namespace fuchsia::core::pool
