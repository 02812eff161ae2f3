#include "core/tasks/cell_runner.hpp"

#include <algorithm>
#include <utility>

// From the queue to a worker; and back from it where a contract no longer
// allows the task.
namespace fuchsia::core::tasks
{

namespace
{

constexpr std::size_t max_misses = 64; ///< Tasks in a row without room.

void add(allowance& sum, job const& what)
{
    sum.total += what.declared;
    if (what.kind == job_kind::batch)
    {
        sum.batch += what.declared;
    }
}

void take_off(allowance& sum, job const& what)
{
    sum.total -= what.declared;
    if (what.kind == job_kind::batch)
    {
        sum.batch -= what.declared;
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

bool has_room(cell_context& with,
              job const& what,
              std::vector<placement::candidate> const& workers)
{
    placement::placement_task const task{
        0, what.kind == job_kind::service, what.declared};
    return std::any_of(workers.begin(),
                       workers.end(),
                       [&](placement::candidate const& worker)
                       {
                           return placement::fits(
                               worker, task, with.settings.limits);
                       });
}

std::uint32_t rank_of(job const& what) noexcept
{
    if (what.urgent)
    {
        return 0;
    }
    return what.kind == job_kind::service ? 1 : 2;
}

} // namespace

// Urgent first, then services, then batch; within each the oldest first.
void cell_runner::rebuild_queue(cell_context& with)
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
            auto const before = queued_since_.find(key);
            auto const at =
                before == queued_since_.end() ? with.now : before->second;
            since.emplace(key, at);
            queue_.push_back({std::move(key), rank_of(part.definition), at});
        }
    }
    queued_since_ = std::move(since);
    std::sort(queue_.begin(),
              queue_.end(),
              [](queued_task const& one, queued_task const& other)
              {
                  return std::tie(one.rank, one.since, one.key) <
                         std::tie(other.rank, other.since, other.key);
              });
}

// Tells the quota book what each customer uses and could use here: no more
// than the cell has room for, so that no grant is held for work that waits.
void cell_runner::compute_usage(cell_context& with)
{
    for (auto& [customer, use] : customer_usage_)
    {
        use = {};
    }
    ports::resources free;
    for (auto const& id : with.workers.in_rack(cell_))
    {
        free += with.workers.find(id)->info.capacity;
    }
    for (auto const& [key, run] : active_attempts_)
    {
        auto const& what = run.part->definition;
        auto& use = customer_usage_[what.customer];
        add(use.in_use, what);
        if (run.eviction_reason.empty())
        {
            add(use.retained, what);
        }
        free -= what.declared;
    }
    bool const open =
        with.may_start && !handing_over_ && !data_centre_out(with);
    for (auto const& task : queue_)
    {
        auto const& what = log_.state().jobs.at(task.key.job).definition;
        if (!open || !free.covers(what.declared))
        {
            continue;
        }
        free -= what.declared;
        auto& use = customer_usage_[what.customer];
        add(use.queued, what);
        if (!std::exchange(use.has_queued, true))
        {
            add(use.next_task, what);
        }
    }
    for (auto const& [customer, use] : customer_usage_)
    {
        cell_need need{epoch_, use.in_use, use.in_use, use.next_task};
        need.requested.total += use.queued.total;
        need.requested.batch += use.queued.batch;
        with.quotas.set_need(customer, cell_, need);
    }
}

std::vector<placement::candidate>
cell_runner::candidates(cell_context& with) const
{
    std::vector<placement::candidate> out;
    std::map<std::string_view, std::size_t> places;
    for (auto const& id : with.workers.in_rack(cell_))
    {
        auto const* view = with.workers.find(id);
        if (with.workers.may_start(with.now, *view))
        {
            placement::candidate next;
            next.worker = &view->info.id;
            next.capacity = view->info.capacity;
            next.memory_over_declared = view->memory_over_declared;
            places.emplace(view->info.id, out.size());
            out.push_back(std::move(next));
        }
    }
    for (auto const& [key, run] : active_attempts_)
    {
        auto const place = places.find(run.worker);
        if (place == places.end())
        {
            continue;
        }
        auto& on = out[place->second];
        auto const& what = run.part->definition;
        bool const service = what.kind == job_kind::service;
        on.committed += what.declared;
        on.batch_millicores += service ? 0 : what.declared.millicores;
        on.residents.push_back(
            {with.interference_estimates.class_index(what.task_class),
             service,
             what.declared,
             share_of(run, what.declared, on.capacity)});
    }
    std::erase_if(out,
                  [&with](placement::candidate const& one)
                  {
                      return with.workers.find(*one.worker)->probing &&
                             !one.residents.empty();
                  });
    return out;
}

bool cell_runner::quota_allows(cell_context& with, job const& what)
{
    auto const contract = with.config.contracts.find(what.customer);
    if (contract == with.config.contracts.end())
    {
        return false;
    }
    auto next = customer_usage_[what.customer].in_use;
    add(next, what);
    return covers(with.quotas.allowed(what.customer, cell_, contract->second),
                  next);
}

// After a data centre came back everybody would start there at once; a slow
// rise lets the grants, reports and neighbours follow.
bool cell_runner::ramp_allows(cell_context& with) const
{
    if (!data_centre_back_since_ ||
        with.now - *data_centre_back_since_ >= with.settings.ramp_up_duration)
    {
        return true;
    }
    double const seconds =
        std::chrono::duration<double>(with.now - *data_centre_back_since_)
            .count();
    double const allowed =
        with.settings.ramp_up_starts_per_second * seconds * (1 + seconds);
    return static_cast<double>(starts_since_data_centre_back_) < allowed;
}

void cell_runner::place(cell_context& with)
{
    waiting_for_capacity_.clear();
    if (!with.may_start || data_centre_out(with) || queue_.empty())
    {
        return;
    }
    auto workers = candidates(with);
    std::uint32_t starts = 0;
    std::size_t misses = 0;
    for (auto const& task : queue_)
    {
        if (starts >= with.settings.max_starts_per_tick ||
            misses >= max_misses ||
            log_.pending_changes() >= max_waiting_changes || !ramp_allows(with))
        {
            return;
        }
        auto const& what = log_.state().jobs.at(task.key.job).definition;
        if (!what.data_centre.empty() &&
            what.data_centre != with.workers.data_centre_of(cell_))
        {
            continue;
        }
        // Room before quota: no grant is asked for work that has no room here,
        // and it must move on all the same.
        bool const room = has_room(with, what, workers);
        if (room && !quota_allows(with, what))
        {
            continue;
        }
        if (room && place_one(with, task.key, workers))
        {
            ++starts;
            ++starts_since_data_centre_back_;
        }
        else
        {
            waiting_for_capacity_.insert(task.key);
            ++misses;
        }
    }
}

bool cell_runner::place_one(cell_context& with,
                            task_key const& key,
                            std::vector<placement::candidate>& workers)
{
    auto const& part = log_.state().jobs.at(key.job);
    auto const& task = part.tasks.at(key.index);
    placement::placement_task const wanted{
        with.interference_estimates.class_index(part.definition.task_class),
        part.definition.kind == job_kind::service,
        part.definition.declared};
    for (auto& worker : workers)
    {
        worker.failed_before =
            std::find(task.failed_workers.begin(),
                      task.failed_workers.end(),
                      *worker.worker) != task.failed_workers.end();
    }
    auto const chosen = placement::choose_worker(with.settings.policy,
                                                 workers,
                                                 wanted,
                                                 with.interference_estimates,
                                                 with.settings.limits);
    bool const tired =
        chosen && workers[*chosen].failed_before &&
        with.now - queued_since_.at(key) < with.settings.avoid_time;
    if (!chosen || tired)
    {
        return false;
    }
    auto& on = workers[*chosen];
    auto const* view = with.workers.find(*on.worker);
    auto const clock = with.workers.clock_lower_bound(with.now, *view);
    auto const in = [clock](common::duration length)
    {
        return clock +
               static_cast<std::uint64_t>(common::to_milliseconds(length));
    };
    active_attempt run;
    run.attempt = task.attempt + 1;
    run.worker = *on.worker;
    run.part = &part;
    run.start_before_ms = in(with.settings.start_window + view->report_lag);
    run.lease_until_ms = in(with.settings.lease_duration);
    bool const urgent = part.definition.urgent || wanted.is_service;
    if (!commit(with,
                attempt_started{key,
                                run.attempt,
                                run.worker,
                                run.start_before_ms,
                                run.lease_until_ms},
                urgent))
    {
        return false;
    }
    on.committed += wanted.declared;
    on.batch_millicores += wanted.is_service ? 0 : wanted.declared.millicores;
    on.residents.push_back({wanted.task_class,
                            wanted.is_service,
                            wanted.declared,
                            share_of(run, wanted.declared, on.capacity)});
    add(customer_usage_[part.definition.customer].in_use, part.definition);
    active_attempts_[key] = std::move(run);
    if (view->probing)
    {
        workers.erase(workers.begin() + static_cast<std::ptrdiff_t>(*chosen));
    }
    return true;
}

void cell_runner::enforce_contracts(cell_context& with)
{
    if (with.config.revision == 0)
    {
        return;
    }
    for (auto const& [customer, use] : customer_usage_)
    {
        if (with.config.withdrawn.count(customer) != 0)
        {
            for (auto const& [id, part] : log_.state().jobs)
            {
                if (part.definition.customer == customer && !part.stopped)
                {
                    stop_job(with,
                             id,
                             common::result_code::contract_withdrawn,
                             "the contract was withdrawn");
                }
            }
            continue;
        }
        auto const contract = with.config.contracts.find(customer);
        if (contract != with.config.contracts.end() &&
            with.quotas.grant_known(customer, cell_))
        {
            evict_overage(
                with,
                customer,
                with.quotas.allowed(customer, cell_, contract->second));
        }
    }
}

// Batch first, and of batch the attempts with least work behind them.
void cell_runner::evict_overage(cell_context& with,
                                std::string const& customer,
                                allowance const& allowed)
{
    auto staying = customer_usage_[customer].retained;
    if (covers(allowed, staying))
    {
        return;
    }
    std::vector<std::pair<task_key, job const*>> own;
    for (auto const& [key, run] : active_attempts_)
    {
        auto const& what = run.part->definition;
        if (what.customer == customer && run.eviction_reason.empty())
        {
            own.emplace_back(key, &what);
        }
    }
    std::sort(
        own.begin(),
        own.end(),
        [this](auto const& one, auto const& other)
        {
            auto const order = [this](auto const& item)
            {
                bool const service = item.second->kind == job_kind::service;
                return std::tuple(service,
                                  active_attempts_.at(item.first).work_done_ms,
                                  item.first);
            };
            return order(one) < order(other);
        });
    for (auto const& [key, what] : own)
    {
        if (covers(allowed, staying))
        {
            return;
        }
        bool const helps = !allowed.total.covers(staying.total) ||
                           what->kind == job_kind::batch;
        if (helps)
        {
            take_off(staying, *what);
            ++with.counters.evicted_contract;
            evict(with, key, "over_contract");
        }
    }
}

} // namespace fuchsia::core::tasks
