#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <utility>

// Reads the state that the last owner left in the store.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

void owner::load_page(std::string const& after)
{
    out_.store(life_,
               ports::kv_range{std::string(keys::owned_prefix), after},
               settings_.page_timeout,
               [this, after](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status != kv_status::done)
                   {
                       load_page(after);
                       return;
                   }
                   advanced_ = at;
                   // Pages are no snapshot: events since the first one are
                   // taken again.
                   if (after.empty())
                   {
                       watched_ = reply.revision;
                   }
                   on_page(at, reply);
               });
}

void owner::on_page(common::time_point now, kv_reply const& reply)
{
    job_items_.insert(job_items_.end(), reply.items.begin(), reply.items.end());
    if (reply.more && !reply.items.empty())
    {
        load_page(reply.items.back().key);
        return;
    }
    // After a compaction jobs are already known here; what is gone meanwhile
    // was ended by ourselves.
    if (loaded_)
    {
        for (auto const& item : std::exchange(job_items_, {}))
        {
            take_item(now, item);
        }
        watch();
        return;
    }
    parts_loaded(now);
}

void owner::load_progress(std::string const& after)
{
    out_.store(life_,
               ports::kv_range{std::string(keys::progress_prefix), after},
               settings_.page_timeout,
               [this, after](common::time_point now, kv_reply const& reply)
               {
                   if (reply.status != kv_status::done)
                   {
                       load_progress(after);
                       return;
                   }
                   advanced_ = now;
                   progress_items_.insert(progress_items_.end(),
                                          reply.items.begin(),
                                          reply.items.end());
                   if (reply.more && !reply.items.empty())
                   {
                       load_progress(reply.items.back().key);
                       return;
                   }
                   parts_loaded(now);
               });
}

void owner::load_finals(std::string const& after)
{
    out_.store(life_,
               ports::kv_range{std::string(keys::final_prefix), after},
               settings_.page_timeout,
               [this, after](common::time_point now, kv_reply const& reply)
               {
                   if (reply.status != kv_status::done)
                   {
                       load_finals(after);
                       return;
                   }
                   advanced_ = now;
                   for (auto const& item : reply.items)
                   {
                       final_times_.emplace_back(
                           now, item.key.substr(keys::final_prefix.size()));
                   }
                   if (reply.more && !reply.items.empty())
                   {
                       load_finals(reply.items.back().key);
                       return;
                   }
                   parts_loaded(now);
               });
}

void owner::load_roster()
{
    out_.store(life_,
               ports::kv_read{std::string(keys::roster)},
               settings_.page_timeout,
               [this](common::time_point now, kv_reply const& reply)
               {
                   if (reply.status != kv_status::done &&
                       reply.status != kv_status::missing)
                   {
                       load_roster();
                       return;
                   }
                   common::failure reason;
                   for (auto const& item : reply.items)
                   {
                       for (auto const& each : parse_roster(item.value, reason))
                       {
                           roster_.insert(each.id);
                           fleet_.add_rostered(each);
                       }
                   }
                   if (reason.code != common::result_code::ok)
                   {
                       out_.log(severity::error,
                                "roster_unreadable",
                                {{"why", common::to_string(reason)}});
                   }
                   parts_loaded(now);
               });
}

void owner::parts_loaded(common::time_point now)
{
    if (--parts_ > 0)
    {
        return;
    }
    loaded_ = true;
    for (auto const& item : std::exchange(job_items_, {}))
    {
        take_item(now, item);
    }
    for (auto const& item : std::exchange(progress_items_, {}))
    {
        common::failure reason;
        auto const known = parse_progress(item.value, reason);
        auto* const run = known ? find_job(known->job) : nullptr;
        if (!known)
        {
            out_.log(severity::error,
                     "progress_unreadable",
                     {{"key", item.key}, {"why", common::to_string(reason)}});
        }
        if (run != nullptr)
        {
            apply(*known, *run);
        }
    }
    for (auto& [id, run] : jobs_)
    {
        if (run.phase == job_phase::active && out_of_attempts(run))
        {
            end_job(now, run, job_phase::failing);
        }
        open_steps(now, run);
        if (run.phase != job_phase::active)
        {
            finish_if_over(run);
        }
        else if (run.left == 0)
        {
            end_job(now, run, job_phase::finished);
        }
    }
    out_.log(
        severity::info,
        "state_loaded",
        {{"epoch", std::to_string(claim_.epoch())},
         {"jobs", std::to_string(jobs_.size())},
         {"roster", std::to_string(roster_.size())},
         {"took_ms", std::to_string(common::to_milliseconds(now - began_))}});
    watch();
    tick(now);
}

} // namespace fuchsia::core::pool
