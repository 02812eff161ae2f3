#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <algorithm>
#include <utility>

// Reads the state that the last owner left in the store.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

// All pages below `prefix`, one after the other, each to `take`; then `done`. A
// page that did not come is asked for again, from then on with more patience:
// mostly it was lost, but it may be large and the link slow.
void owner::load_pages(page_place const& from,
                       page_taker const& take,
                       load_end const& done)
{
    out_.store(
        life_,
        ports::kv_range{std::string(from.prefix), from.after},
        from.timeout,
        [this, from, take, done](common::time_point now, kv_reply const& reply)
        {
            auto next = from;
            if (reply.status != kv_status::done)
            {
                next.timeout = settings_.page_timeout;
                again_soon(now,
                           [this, next, take, done](common::time_point)
                           {
                               load_pages(next, take, done);
                           });
                return;
            }
            advanced_ = now;
            take(now, reply);
            if (reply.more && !reply.items.empty())
            {
                next.after = reply.items.back().key;
                load_pages(next, take, done);
                return;
            }
            done(now);
        });
}

void owner::load_jobs(common::time_point now)
{
    pages_asked_ = now;
    load_pages(
        {keys::owned_prefix, "", settings_.first_page_timeout},
        [this](common::time_point, kv_reply const& reply)
        {
            // Pages are no snapshot: events since the first one are taken
            // again.
            page_revision_ =
                job_items_.empty() ? reply.revision : page_revision_;
            job_items_.insert(
                job_items_.end(), reply.items.begin(), reply.items.end());
        },
        [this](common::time_point at)
        {
            jobs_loaded(at);
        });
}

void owner::jobs_loaded(common::time_point now)
{
    // After a compaction jobs are already known here; what is gone meanwhile
    // was ended by ourselves.
    if (loaded_)
    {
        if (take_pages(now))
        {
            watch(now);
        }
        return;
    }
    parts_loaded(now);
}

// What is newer than the first page comes with the watch, in its sequence: on a
// later page stands a job that was accepted after the claim was lost, and no
// page tells of that. False where the claim is gone.
bool owner::take_pages(common::time_point now)
{
    auto const items = std::exchange(job_items_, {});
    bool const claimed = std::any_of(items.begin(),
                                     items.end(),
                                     [](ports::kv_item const& each)
                                     {
                                         return each.key == keys::claim;
                                     });
    if (!claimed)
    {
        claim_.lose("key gone from the first page");
    }
    for (auto const& item : items)
    {
        if (claim_.held() && item.revision <= page_revision_)
        {
            take_item(now, item);
        }
    }
    // Jobs of the last page count as heard no sooner than they were taken.
    watched_ = page_revision_;
    heard_revision_ = page_revision_;
    heard_ = pages_asked_;
    return claim_.held();
}

void owner::load_progress()
{
    load_pages(
        {keys::progress_prefix, "", settings_.first_page_timeout},
        [this](common::time_point, kv_reply const& reply)
        {
            progress_items_.insert(
                progress_items_.end(), reply.items.begin(), reply.items.end());
        },
        [this](common::time_point now)
        {
            parts_loaded(now);
        });
}

void owner::load_finals()
{
    load_pages(
        {keys::final_prefix, "", settings_.first_page_timeout},
        [this](common::time_point now, kv_reply const& reply)
        {
            for (auto const& item : reply.items)
            {
                final_times_.emplace_back(
                    now, item.key.substr(keys::final_prefix.size()));
            }
        },
        [this](common::time_point now)
        {
            parts_loaded(now);
        });
}

// One key; a read that got no answer is asked again, like a page.
void owner::load_key(std::string_view key,
                     common::duration timeout,
                     value_taker const& take)
{
    out_.store(life_,
               ports::kv_read{std::string(key)},
               timeout,
               [this, key, take](common::time_point now, kv_reply const& reply)
               {
                   if (reply.status != kv_status::done &&
                       reply.status != kv_status::missing)
                   {
                       again_soon(now,
                                  [this, key, take](common::time_point)
                                  {
                                      load_key(
                                          key, settings_.page_timeout, take);
                                  });
                       return;
                   }
                   for (auto const& item : reply.items)
                   {
                       take(item.value);
                   }
                   parts_loaded(now);
               });
}

void owner::load_roster()
{
    load_key(keys::roster,
             settings_.first_page_timeout,
             [this](std::string const& text)
             {
                 common::failure reason;
                 for (auto const& each : parse_roster(text, reason))
                 {
                     roster_.insert(each.id);
                     fleet_.add_rostered(each);
                 }
                 if (reason.code != common::result_code::ok)
                 {
                     out_.log(severity::error,
                              "roster_unreadable",
                              {{"why", common::to_string(reason)}});
                 }
             });
}

// Without it the owner learns anew.
void owner::load_learned()
{
    load_key(keys::learned,
             settings_.first_page_timeout,
             [this](std::string const& text)
             {
                 common::failure reason;
                 auto const known = parse_learned(text, reason);
                 if (!known)
                 {
                     out_.log(severity::warning,
                              "learned_unreadable",
                              {{"why", common::to_string(reason)}});
                     return;
                 }
                 colocation_.recall(*known);
                 out_.log(severity::info,
                          "learned_recalled",
                          {{"images", std::to_string(known->headrooms.size())},
                           {"pairs", std::to_string(known->pairs.size())}});
             });
}

void owner::parts_loaded(common::time_point now)
{
    if (--parts_ > 0)
    {
        return;
    }
    loaded_ = true;
    answered_ = now;
    if (!take_pages(now))
    {
        return;
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
            end_failed(now, run);
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
    complete_roster();
    watch(now);
    tick(now);
}

} // namespace fuchsia::core::pool
