#include "core/tasks/job_registry_sweep.hpp"

#include "core/tasks/job_view.hpp"

#include <string_view>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

constexpr std::string_view registry_prefix = "jobs/";

} // namespace

job_registry_sweep::job_registry_sweep(job_registry_sweep_settings settings)
    : settings_(settings)
{
}

void job_registry_sweep::tick(common::time_point now,
                              bool is_sweeper,
                              store_calls& calls,
                              ports::actions& out)
{
    if (!std::exchange(started_, true))
    {
        next_sweep_ = now + settings_.interval;
    }
    if (!is_sweeper || call_ != 0)
    {
        return;
    }
    auto const list = [&](std::string_view prefix)
    {
        call_ = calls.send(
            call_owner::sweep, "", ports::store_list{std::string(prefix)}, out);
    };
    switch (step_)
    {
    case step::idle:
        if (now >= next_sweep_)
        {
            next_sweep_ = now + settings_.interval;
            step_ = step::listing_registry;
            list(registry_prefix);
        }
        break;
    case step::listing_registry:
        list(registry_prefix);
        break;
    case step::listing_inbox:
        list("inbox/");
        break;
    case step::listing_tasks:
        list("tasks/");
        break;
    case step::erasing:
        if (erasable_.empty())
        {
            step_ = step::idle;
        }
        else if (calls.may_write(now))
        {
            auto const [job, version] = erasable_.back();
            erasable_.pop_back();
            call_ = calls.send(
                call_owner::sweep,
                job,
                ports::store_erase{std::string(registry_prefix) + job, version},
                out);
        }
        break;
    }
}

void job_registry_sweep::on_store_reply(call_tag const& tag,
                                        ports::store_reply const& reply)
{
    if (tag.number != call_)
    {
        return;
    }
    call_ = 0;
    if (step_ == step::erasing)
    {
        return; // A later sweep repeats an erasure that failed.
    }
    if (reply.status != ports::store_status::done)
    {
        step_ = step::idle;
        return;
    }
    switch (step_)
    {
    case step::listing_registry:
        registered_jobs_.clear();
        known_jobs_.clear();
        for (auto const& entry : reply.entries)
        {
            registered_jobs_[entry.key.substr(registry_prefix.size())] =
                entry.version;
        }
        step_ = step::listing_inbox;
        break;
    case step::listing_inbox:
        for (auto const& [id, view] : build_job_views(reply.entries, {}, {}))
        {
            known_jobs_.insert(id);
        }
        step_ = step::listing_tasks;
        break;
    case step::listing_tasks:
        find_unknown_jobs(reply.entries);
        step_ = step::erasing;
        break;
    case step::idle:
    case step::erasing:
        break;
    }
}

void job_registry_sweep::find_unknown_jobs(
    std::vector<ports::store_entry> const& cells)
{
    for (auto const& [id, view] : build_job_views({}, cells, {}))
    {
        known_jobs_.insert(id);
    }
    auto const previous = std::exchange(unknown_jobs_, {});
    erasable_.clear();
    for (auto const& [id, version] : registered_jobs_)
    {
        if (known_jobs_.count(id) != 0)
        {
            continue;
        }
        unknown_jobs_[id] = version;
        auto const last = previous.find(id);
        if (last != previous.end() && last->second == version &&
            erasable_.size() < settings_.max_erasures)
        {
            erasable_.emplace_back(id, version);
        }
    }
    registered_jobs_.clear();
    known_jobs_.clear();
}

} // namespace fuchsia::core::tasks
