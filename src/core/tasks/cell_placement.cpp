#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <utility>

// Placement of queued tasks on workers, and eviction of attempts that a
// contract no longer allows.
namespace fuchsia::core::tasks
{

namespace
{

constexpr std::size_t max_consecutive_misses =
    64; ///< Per tick; bounds the search.

void add(allowance& sum, job const& definition)
{
    sum.total += definition.declared;
    if (definition.kind == job_kind::batch)
    {
        sum.batch += definition.declared;
    }
}

void subtract(allowance& sum, job const& definition)
{
    sum.total -= definition.declared;
    if (definition.kind == job_kind::batch)
    {
        sum.batch -= definition.declared;
    }
}

double share_of(active_attempt const& run,
                ports::resources const& declared,
                ports::resources const& capacity)
{
    auto const cores =
        run.report_count == 0 ? declared.millicores : run.used.millicores;
    return capacity.millicores == 0
               ? 0
               : static_cast<double>(cores) /
                     static_cast<double>(capacity.millicores);
}

bool has_capacity(cell_context& context,
                  job const& definition,
                  std::vector<placement::candidate> const& workers)
{
    placement::placement_task const task{
        0, definition.kind == job_kind::service, definition.declared};
    return std::any_of(workers.begin(),
                       workers.end(),
                       [&](placement::candidate const& worker)
                       {
                           return placement::fits(
                               worker, task, context.settings.limits);
                       });
}

// Returns the worker as a candidate on which nothing runs yet.
placement::candidate candidate_of(worker_view const& view)
{
    placement::candidate result;
    result.worker = &view.info.id;
    result.capacity = view.info.capacity;
    result.memory_over_declared = view.memory_over_declared;
    return result;
}

void commit_to(placement::candidate& worker, job const& definition)
{
    worker.committed += definition.declared;
    if (definition.kind == job_kind::batch)
    {
        worker.batch_millicores += definition.declared.millicores;
    }
}

/// Room on the workers of a cell for its queued tasks.
class queue_room
{
public:
    queue_room(std::vector<placement::candidate> workers,
               placement::placement_limits const& limits)
        : workers_(std::move(workers)), limits_(limits)
    {
    }

    /// Commits the task to the first worker that it fits on. Returns false if
    /// there is none.
    bool reserve(job const& definition)
    {
        // The room only shrinks, so that the workers are not searched for tasks
        // that need at least as much as one that found no room.
        if (unplaced_ != nullptr && needs_as_much(definition, *unplaced_))
        {
            return false;
        }
        placement::placement_task const task{
            0, definition.kind == job_kind::service, definition.declared};
        auto const found =
            std::find_if(workers_.begin(),
                         workers_.end(),
                         [&](placement::candidate const& worker)
                         {
                             return placement::fits(worker, task, limits_);
                         });
        if (found == workers_.end())
        {
            unplaced_ = &definition;
            return false;
        }
        commit_to(*found, definition);
        return true;
    }

private:
    static bool needs_as_much(job const& definition, job const& other)
    {
        return definition.declared.covers(other.declared) &&
               (definition.kind == other.kind ||
                definition.kind == job_kind::batch);
    }

    std::vector<placement::candidate> workers_;
    placement::placement_limits limits_;
    job const* unplaced_ = nullptr; ///< Last task that found no room.
};

std::uint32_t rank_of(job const& definition) noexcept
{
    if (definition.urgent)
    {
        return 0;
    }
    return definition.kind == job_kind::service ? 1 : 2;
}

} // namespace

// Sorts urgent tasks first, then services, then batch, each oldest first.
void cell_runner::rebuild_queue(cell_context& context)
{
    queue_.clear();
    std::map<task_key, common::time_point> since;
    for (auto const& [id, part] : log_.state().jobs)
    {
        for (auto const& [index, task] : part.tasks)
        {
            if (task.status != task_status::queued)
            {
                continue;
            }
            task_key key{id, index};
            auto const previous = queued_since_.find(key);
            auto const queued_at = previous == queued_since_.end()
                                       ? context.now
                                       : previous->second;
            since.emplace(key, queued_at);
            queue_.push_back(
                {std::move(key), rank_of(part.definition), queued_at});
        }
    }
    queued_since_ = std::move(since);
    std::sort(queue_.begin(),
              queue_.end(),
              [](queued_task const& lhs, queued_task const& rhs)
              {
                  return std::tie(lhs.rank, lhs.since, lhs.key) <
                         std::tie(rhs.rank, rhs.since, rhs.key);
              });
}

// Reports to the quota manager what each customer uses and could use in this
// cell. The demand is limited to tasks that fit on the cell's workers, so that
// no grant is held for tasks that have to wait, and no task that fits on none
// of them keeps a later one from being granted.
void cell_runner::compute_usage(cell_context& context)
{
    for (auto& [customer, usage] : customer_usage_)
    {
        usage = {};
    }
    for (auto const& [key, run] : active_attempts_)
    {
        auto const& definition = run.part->definition;
        auto& usage = customer_usage_[definition.customer];
        add(usage.in_use, definition);
        if (run.eviction_reason.empty())
        {
            add(usage.retained, definition);
        }
    }
    queue_room room(committed_workers(context), context.settings.limits);
    bool const may_place = context.may_start && !handing_over_ &&
                           !data_centre_out_of_service(context);
    for (auto const& task : queue_)
    {
        auto const& definition = log_.state().jobs.at(task.key.job).definition;
        if (!may_place || !room.reserve(definition))
        {
            continue;
        }
        auto& usage = customer_usage_[definition.customer];
        add(usage.queued, definition);
        if (!std::exchange(usage.has_queued, true))
        {
            add(usage.next_task, definition);
        }
    }
    for (auto const& [customer, usage] : customer_usage_)
    {
        cell_need need{epoch_, usage.in_use, usage.in_use, usage.next_task};
        need.requested.total += usage.queued.total;
        need.requested.batch += usage.queued.batch;
        context.quotas.set_need(customer, cell_, need);
    }
}

std::vector<placement::candidate>
cell_runner::committed_workers(cell_context& context) const
{
    std::vector<placement::candidate> out;
    std::map<std::string_view, std::size_t> index_by_worker;
    for (auto const& id : context.workers.in_rack(cell_))
    {
        auto const* view = context.workers.find(id);
        index_by_worker.emplace(view->info.id, out.size());
        out.push_back(candidate_of(*view));
    }
    for (auto const& [key, run] : active_attempts_)
    {
        auto const found = index_by_worker.find(run.worker);
        if (found != index_by_worker.end())
        {
            commit_to(out[found->second], run.part->definition);
        }
    }
    return out;
}

std::vector<placement::candidate>
cell_runner::candidates(cell_context& context) const
{
    std::vector<placement::candidate> out;
    std::map<std::string_view, std::size_t> index_by_worker;
    for (auto const& id : context.workers.in_rack(cell_))
    {
        auto const* view = context.workers.find(id);
        if (context.workers.may_start(context.now, *view))
        {
            index_by_worker.emplace(view->info.id, out.size());
            out.push_back(candidate_of(*view));
        }
    }
    for (auto const& [key, run] : active_attempts_)
    {
        auto const found = index_by_worker.find(run.worker);
        if (found == index_by_worker.end())
        {
            continue;
        }
        auto& target = out[found->second];
        auto const& definition = run.part->definition;
        bool const service = definition.kind == job_kind::service;
        commit_to(target, definition);
        target.residents.push_back(
            {context.interference_estimates.class_index(definition.task_class),
             service,
             definition.declared,
             share_of(run, definition.declared, target.capacity)});
    }
    std::erase_if(out,
                  [&context](placement::candidate const& worker)
                  {
                      return context.workers.find(*worker.worker)->probing &&
                             !worker.residents.empty();
                  });
    return out;
}

bool cell_runner::quota_allows(cell_context& context, job const& definition)
{
    auto const contract = context.config.contracts.find(definition.customer);
    if (contract == context.config.contracts.end())
    {
        return false;
    }
    auto next = customer_usage_[definition.customer].in_use;
    add(next, definition);
    return covers(
        context.quotas.allowed(definition.customer, cell_, contract->second),
        next);
}

// Whether the ramp-up after a data centre's return to service allows a start.
// Without the ramp-up all cells would start tasks there at once; a slow
// increase lets grants, reports and interference estimates keep up.
bool cell_runner::ramp_up_allows_start(cell_context& context) const
{
    if (!data_centre_in_service_since_ ||
        context.now - *data_centre_in_service_since_ >=
            context.settings.ramp_up_duration)
    {
        return true;
    }
    double const seconds = std::chrono::duration<double>(
                               context.now - *data_centre_in_service_since_)
                               .count();
    double const allowed =
        context.settings.ramp_up_starts_per_second * seconds * (1 + seconds);
    return static_cast<double>(starts_since_data_centre_in_service_) < allowed;
}

void cell_runner::place(cell_context& context)
{
    waiting_for_capacity_.clear();
    if (!context.may_start || data_centre_out_of_service(context) ||
        queue_.empty())
    {
        return;
    }
    auto workers = candidates(context);
    std::uint32_t starts = 0;
    std::size_t misses = 0;
    for (auto const& task : queue_)
    {
        if (starts >= context.settings.max_starts_per_tick ||
            misses >= max_consecutive_misses ||
            log_.pending_changes() >= max_pending_changes ||
            !ramp_up_allows_start(context))
        {
            return;
        }
        auto const& definition = log_.state().jobs.at(task.key.job).definition;
        if (!definition.data_centre.empty() &&
            definition.data_centre != context.workers.data_centre_of(cell_))
        {
            continue;
        }
        // Capacity is checked before quota: a task that does not fit here needs
        // no grant, and must be moved to another cell in any case.
        bool const fits_here = has_capacity(context, definition, workers);
        if (fits_here && !quota_allows(context, definition))
        {
            continue;
        }
        if (fits_here && place_one(context, task.key, workers))
        {
            ++starts;
            ++starts_since_data_centre_in_service_;
        }
        else
        {
            waiting_for_capacity_.insert(task.key);
            ++misses;
        }
    }
}

bool cell_runner::place_one(cell_context& context,
                            task_key const& key,
                            std::vector<placement::candidate>& workers)
{
    auto const& part = log_.state().jobs.at(key.job);
    auto const& task = part.tasks.at(key.index);
    placement::placement_task const wanted{
        context.interference_estimates.class_index(part.definition.task_class),
        part.definition.kind == job_kind::service,
        part.definition.declared};
    for (auto& worker : workers)
    {
        worker.failed_before =
            std::find(task.failed_workers.begin(),
                      task.failed_workers.end(),
                      *worker.worker) != task.failed_workers.end();
    }
    auto const chosen = placement::choose_worker(context.settings.policy,
                                                 workers,
                                                 wanted,
                                                 context.interference_estimates,
                                                 context.settings.limits);
    bool const avoided =
        chosen && workers[*chosen].failed_before &&
        context.now - queued_since_.at(key) < context.settings.avoid_time;
    if (!chosen || avoided)
    {
        return false;
    }
    auto& target = workers[*chosen];
    auto const* view = context.workers.find(*target.worker);
    auto const clock = context.workers.clock_lower_bound(context.now, *view);
    auto const clock_after = [clock](common::duration length)
    {
        return clock +
               static_cast<std::uint64_t>(common::to_milliseconds(length));
    };
    active_attempt run;
    run.attempt = task.attempt + 1;
    run.worker = *target.worker;
    run.part = &part;
    run.start_before_ms =
        clock_after(context.settings.start_window + view->report_lag);
    run.lease_until_ms = clock_after(context.settings.lease_duration);
    bool const urgent = part.definition.urgent || wanted.is_service;
    if (!commit(context,
                attempt_started{key,
                                run.attempt,
                                run.worker,
                                run.start_before_ms,
                                run.lease_until_ms},
                urgent))
    {
        return false;
    }
    target.committed += wanted.declared;
    target.batch_millicores +=
        wanted.is_service ? 0 : wanted.declared.millicores;
    target.residents.push_back(
        {wanted.task_class,
         wanted.is_service,
         wanted.declared,
         share_of(run, wanted.declared, target.capacity)});
    add(customer_usage_[part.definition.customer].in_use, part.definition);
    active_attempts_[key] = std::move(run);
    if (view->probing)
    {
        workers.erase(workers.begin() + static_cast<std::ptrdiff_t>(*chosen));
    }
    return true;
}

void cell_runner::enforce_contracts(cell_context& context)
{
    if (context.config.revision == 0)
    {
        return;
    }
    for (auto const& [customer, usage] : customer_usage_)
    {
        if (context.config.withdrawn.count(customer) != 0)
        {
            for (auto const& [id, part] : log_.state().jobs)
            {
                if (part.definition.customer == customer && !part.stopped)
                {
                    stop_job(context,
                             id,
                             common::result_code::contract_withdrawn,
                             "the contract was withdrawn");
                }
            }
            continue;
        }
        auto const contract = context.config.contracts.find(customer);
        if (contract != context.config.contracts.end() &&
            context.quotas.grant_known(customer, cell_))
        {
            evict_excess_attempts(
                context,
                customer,
                context.quotas.allowed(customer, cell_, contract->second));
        }
    }
}

// Evicts batch before services, and within each the attempts with the least
// work done first.
void cell_runner::evict_excess_attempts(cell_context& context,
                                        std::string const& customer,
                                        allowance const& allowed)
{
    auto remaining = customer_usage_[customer].retained;
    if (covers(allowed, remaining))
    {
        return;
    }
    std::vector<std::pair<task_key, job const*>> customer_attempts;
    for (auto const& [key, run] : active_attempts_)
    {
        auto const& definition = run.part->definition;
        if (definition.customer == customer && run.eviction_reason.empty())
        {
            customer_attempts.emplace_back(key, &definition);
        }
    }
    std::sort(
        customer_attempts.begin(),
        customer_attempts.end(),
        [this](auto const& lhs, auto const& rhs)
        {
            auto const sort_key = [this](auto const& item)
            {
                bool const service = item.second->kind == job_kind::service;
                return std::tuple(service,
                                  active_attempts_.at(item.first).work_done_ms,
                                  item.first);
            };
            return sort_key(lhs) < sort_key(rhs);
        });
    for (auto const& [key, definition] : customer_attempts)
    {
        if (covers(allowed, remaining))
        {
            return;
        }
        bool const reduces_overage = !allowed.total.covers(remaining.total) ||
                                     definition->kind == job_kind::batch;
        if (reduces_overage)
        {
            subtract(remaining, *definition);
            ++context.counters.evicted_contract;
            evict(context, key, "over_contract");
        }
    }
}

} // namespace fuchsia::core::tasks
