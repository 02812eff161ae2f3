#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

// Periodic reports of the owner: the number of waiting jobs in the store and
// the load in the log. Also erases expired final states and cancel keys.
namespace fuchsia::core::pool
{

namespace
{

using ports::severity;

constexpr common::duration load_interval = std::chrono::seconds(1);
constexpr common::duration backlog_interval = std::chrono::milliseconds(700);
constexpr common::duration estimates_interval = std::chrono::seconds(3);
constexpr std::size_t max_finals_per_commit = 8;
constexpr std::size_t max_cancels_per_commit = 8;

} // namespace

std::map<std::string, std::uint64_t> owner::pending() const
{
    std::map<std::string, std::uint64_t> counts;
    for (auto const& [id, run] : jobs_)
    {
        if (run.phase == job_phase::active && !run.started)
        {
            ++counts[run.spec.queue];
        }
    }
    return counts;
}

backlog owner::waiting_jobs() const
{
    backlog result;
    result.synced_revision = synced_revision_;
    result.waiting = pending();
    result.working_epoch = takeover_complete_ ? claim_.epoch() : 0;
    result.unreached_workers = fleet_.unreached();
    return result;
}

common::time_point owner::synced_until() const noexcept
{
    return synced_until_;
}

void owner::write_backlog(common::time_point now)
{
    if (now < next_backlog_write_ || backlog_write_pending_)
    {
        return;
    }
    next_backlog_write_ = now + backlog_interval;
    backlog_write_pending_ = true;
    ledger_.write_latest(
        write_rank::result,
        std::string(keys::backlog),
        [this]
        {
            return to_json(waiting_jobs());
        },
        [this, now](common::time_point at)
        {
            backlog_write_pending_ = false;
            backlog_revision_ = ledger_.revision();
            backlog_current_at_ = at;
            log_backlog(at - now);
        });
}

// A record that is a few seconds old still gives a successor nearly all
// estimates.
void owner::write_estimates(common::time_point now)
{
    if (now < next_estimates_write_ || estimates_write_pending_)
    {
        return;
    }
    next_estimates_write_ = now + estimates_interval;
    estimates_write_pending_ = true;
    ledger_.write_latest(
        write_rank::record,
        std::string(keys::interference_estimates),
        [this]
        {
            return to_json(colocation_.estimates());
        },
        [this](common::time_point)
        {
            estimates_write_pending_ = false;
        });
}

void owner::log_backlog(common::duration elapsed)
{
    std::uint64_t jobs = 0;
    for (auto const& [queue, count] : pending())
    {
        jobs += count;
    }
    out_.log(severity::info,
             "backlog_recorded",
             {{"jobs", std::to_string(jobs)},
              {"took_ms", std::to_string(common::to_milliseconds(elapsed))}});
}

// Drops all expired final states at once: a limit per call below the rate at
// which jobs end would let them pile up.
void owner::drop_old_final_states(common::time_point now)
{
    while (!final_times_.empty() &&
           now - final_times_.front().first >= settings_.final_state_retention)
    {
        ledger::entry entry;
        while (!final_times_.empty() &&
               entry.erases.size() < max_finals_per_commit &&
               now - final_times_.front().first >=
                   settings_.final_state_retention)
        {
            auto const& id = final_times_.front().second;
            entry.erases.push_back(keys::final_state(id));
            final_states_.erase(id);
            final_times_.pop_front();
        }
        ledger_.write(write_rank::record, std::move(entry));
    }
}

// A cancel key may arrive before its job; while the key exists, the job is not
// accepted. Where the job has ended, the key is erased after the job's end, in
// the same write queue: a successor that found the job without its cancel key
// would run it again.
void owner::drop_unmatched_cancels(common::time_point now)
{
    ledger::entry entry;
    for (auto it = unmatched_cancels_.begin(); it != unmatched_cancels_.end();)
    {
        if (now - it->second < settings_.cancel_retention)
        {
            ++it;
            continue;
        }
        entry.erases.push_back(it->first);
        it = unmatched_cancels_.erase(it);
        if (entry.erases.size() == max_cancels_per_commit)
        {
            ledger_.write(write_rank::result, std::exchange(entry, {}));
        }
    }
    if (!entry.erases.empty())
    {
        ledger_.write(write_rank::result, std::move(entry));
    }
}

// Logs in one line what limits the pool: what waits, what is in use and what is
// idle.
void owner::log_load(common::time_point now)
{
    if (now < next_load_log_)
    {
        return;
    }
    next_load_log_ = now + load_interval;
    std::size_t waiting = 0;
    for (auto const& key : ready_)
    {
        auto const* const run = find_job(key.job);
        if (run != nullptr)
        {
            waiting +=
                run->occurrences[key.occurrence].steps[key.step].ready.size();
        }
    }
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    std::int64_t serving = 0;
    std::int64_t best_effort = 0;
    std::int64_t idle = 0;
    double slowed = 0;
    for (auto& [id, w] : fleet_.all())
    {
        capacity += w.info.capacity.millicores;
        reserved += w.reserved.millicores;
        serving += w.serving_cores;
        best_effort += w.best_effort_cores;
        for (auto const& fill : view_of(w).best_effort)
        {
            slowed += 1 - fill.speed_limit / 100.0;
        }
        idle += std::max<std::int64_t>(w.idle_cores(), 0);
    }
    std::int64_t reserve = 0;
    for (auto const& [service, service_reserve] : short_job_reserves_)
    {
        reserve += service_reserve.expected();
    }
    auto const cores = [](std::int64_t millicores)
    {
        return std::to_string(millicores / 1000);
    };
    out_.log(
        severity::info,
        "pool_load",
        {{"jobs", std::to_string(jobs_.size())},
         {"steps_waiting", std::to_string(ready_.size())},
         {"tasks_waiting", std::to_string(waiting)},
         {"cores", cores(capacity)},
         {"reserved", cores(reserved)},
         {"serving", cores(serving)},
         {"fills", cores(best_effort)},
         {"idle", cores(idle)},
         {"kept", cores(reserve)},
         {"fills_slowed", std::to_string(std::lround(slowed))},
         {"commits_waiting", std::to_string(ledger_.waiting())},
         {"commit_lag_ms",
          std::to_string(common::to_milliseconds(ledger_.lag(now)))},
         {"heard_ms",
          std::to_string(common::to_milliseconds(now - synced_until_))},
         {"list_ms",
          std::to_string(common::to_milliseconds(now - list_.current_as_of()))},
         {"configuration_ms",
          std::to_string(
              common::to_milliseconds(now - operators_.current_as_of))}});
    log_waiting(now);
}

} // namespace fuchsia::core::pool
