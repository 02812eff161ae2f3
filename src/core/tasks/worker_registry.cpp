#include "core/tasks/worker_registry.hpp"

#include <algorithm>

namespace fuchsia::core::tasks
{

namespace
{

const std::vector<std::string> no_workers;

} // namespace

worker_registry::worker_registry(worker_registry_settings settings)
    : settings_(settings)
{
}

void worker_registry::on_list(ports::worker_list const& list)
{
    for (auto& [id, view] : workers_)
    {
        view.listed = false;
    }
    for (auto const& info : list.workers)
    {
        auto& view = workers_[info.id];
        view.info = info;
        view.listed = true;
        view.report_lag = std::max(view.report_lag, settings_.report_lag);
    }
    racks_.clear();
    std::erase_if(workers_,
                  [](auto const& item)
                  {
                      return !item.second.listed;
                  });
    for (auto const& [id, view] : workers_)
    {
        racks_[view.info.rack].push_back(id);
    }
}

bool worker_registry::on_report(common::time_point now,
                                ports::worker_report const& report)
{
    auto const found = workers_.find(report.worker);
    if (found == workers_.end())
    {
        return false;
    }
    auto& view = found->second;
    if (report.sequence <= view.sequence && view.clock_ms != 0)
    {
        // A repeated number shows that the worker has not restarted its
        // numbering.
        bool const repeated = report.sequence == view.sequence;
        view.stale_reports = repeated ? 0 : view.stale_reports + 1;
        if (view.stale_reports < settings_.stale_reports_before_reset)
        {
            return false;
        }
    }
    view.stale_reports = 0;
    view.sequence = report.sequence;
    view.clock_ms = report.clock_ms;
    view.report_received = now;
    return true;
}

worker_view const*
worker_registry::find(std::string const& worker) const noexcept
{
    auto const found = workers_.find(worker);
    return found == workers_.end() ? nullptr : &found->second;
}

std::map<std::string, worker_view> const& worker_registry::all() const noexcept
{
    return workers_;
}

std::vector<std::string> worker_registry::racks() const
{
    std::vector<std::string> out;
    out.reserve(racks_.size());
    for (auto const& [rack, workers] : racks_)
    {
        out.push_back(rack);
    }
    return out;
}

std::vector<std::string> const&
worker_registry::in_rack(std::string const& rack) const
{
    auto const found = racks_.find(rack);
    return found == racks_.end() ? no_workers : found->second;
}

std::string worker_registry::data_centre_of(std::string const& rack) const
{
    auto const& workers = in_rack(rack);
    return workers.empty() ? std::string()
                           : workers_.at(workers.front()).info.data_centre;
}

std::uint64_t
worker_registry::clock_lower_bound(common::time_point now,
                                   worker_view const& worker) const noexcept
{
    auto const elapsed = common::to_milliseconds(now - worker.report_received);
    auto const min_elapsed_ms =
        std::max<std::int64_t>(0, elapsed) *
        (1000 - static_cast<std::int64_t>(settings_.clock_drift_permille)) /
        1000;
    return worker.clock_ms + static_cast<std::uint64_t>(min_elapsed_ms);
}

bool worker_registry::may_start(common::time_point now,
                                worker_view const& worker) const noexcept
{
    return worker.listed && worker.info.state == ports::instance_state::live &&
           worker.clock_ms != 0 &&
           now - worker.report_received < settings_.report_age_limit &&
           (!worker.quarantined_until || now >= *worker.quarantined_until);
}

bool worker_registry::ever_fits(ports::resources const& declared,
                                std::string const& data_centre) const noexcept
{
    return std::any_of(workers_.begin(),
                       workers_.end(),
                       [&](auto const& item)
                       {
                           auto const& info = item.second.info;
                           return info.capacity.covers(declared) &&
                                  (data_centre.empty() ||
                                   data_centre == info.data_centre);
                       });
}

void worker_registry::record_refusal(common::time_point now,
                                     std::string const& worker)
{
    auto const found = workers_.find(worker);
    if (found == workers_.end())
    {
        return;
    }
    auto& view = found->second;
    auto const doublings =
        std::min<std::uint32_t>(view.consecutive_refusals, 10);
    ++view.consecutive_refusals;
    view.refusal_pause_until =
        now + std::min(settings_.refusal_pause * (1 << doublings),
                       settings_.max_refusal_pause);
    view.report_lag =
        std::min(view.report_lag * 3 / 2, settings_.max_report_lag);
}

void worker_registry::record_acceptance(std::string const& worker)
{
    auto const found = workers_.find(worker);
    if (found != workers_.end())
    {
        auto& view = found->second;
        view.consecutive_refusals = 0;
        view.report_lag =
            std::max(view.report_lag * 99 / 100, settings_.report_lag);
    }
}

void worker_registry::record_success(std::string const& worker)
{
    auto const found = workers_.find(worker);
    if (found != workers_.end())
    {
        auto& view = found->second;
        view.consecutive_failures = 0;
        view.last_failed_job.clear();
        view.succeeded_since_quarantine = true;
        view.quarantines = 0;
        view.probing = false;
        view.quarantined_until.reset();
    }
}

void worker_registry::record_failure(common::time_point now,
                                     std::string const& worker,
                                     std::string const& job)
{
    auto const found = workers_.find(worker);
    if (found == workers_.end() || found->second.last_failed_job == job)
    {
        return;
    }
    auto& view = found->second;
    view.last_failed_job = job;
    ++view.consecutive_failures;
    if (view.consecutive_failures < settings_.failures_to_quarantine &&
        !view.probing)
    {
        return;
    }
    auto const doublings = std::min<std::uint32_t>(view.quarantines, 10);
    auto const length =
        std::min(settings_.quarantine_duration * (1 << doublings),
                 settings_.max_quarantine_duration);
    view.quarantined_until = now + length;
    view.probing = true;
    view.succeeded_since_quarantine = false;
    ++view.quarantines;
}

bool worker_registry::is_suspect(common::time_point now,
                                 std::string const& worker) const
{
    auto const* view = find(worker);
    if (view == nullptr)
    {
        return false;
    }
    bool const quarantined =
        view->quarantined_until && now < *view->quarantined_until;
    return quarantined || (view->consecutive_failures >= 2 &&
                           !view->succeeded_since_quarantine);
}

void worker_registry::set_memory_over_declared(std::string const& worker,
                                               std::int64_t mb)
{
    auto const found = workers_.find(worker);
    if (found != workers_.end())
    {
        found->second.memory_over_declared = mb;
    }
}

} // namespace fuchsia::core::tasks
