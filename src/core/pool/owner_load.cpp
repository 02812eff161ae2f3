#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <algorithm>
#include <memory>
#include <utility>

// Reads the state that the last owner left in the store.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

// Sent once more where no answer has come for a while: mostly the first call
// was lost, but its page may be large and the link slow. The first answer of
// both counts.
void owner::read_state(common::time_point now,
                       ports::kv_operation what,
                       reply_taker take)
{
    auto each = std::make_shared<state_read>();
    each->what = std::move(what);
    each->take = std::move(take);
    send_read(each);
    second_reads_.emplace_back(now + settings_.second_read_after, each);
}

void owner::send_read(std::shared_ptr<state_read> const& each)
{
    ++each->open;
    out_.store(life_,
               each->what,
               settings_.page_timeout,
               [this, each](common::time_point now, kv_reply const& reply)
               {
                   --each->open;
                   on_read(now, each, reply);
               });
}

void owner::on_read(common::time_point now,
                    std::shared_ptr<state_read> const& each,
                    kv_reply const& reply)
{
    if (each->over)
    {
        return;
    }
    if (reply.status == kv_status::done || reply.status == kv_status::missing)
    {
        each->over = true;
        each->take(now, reply);
        return;
    }
    if (each->open == 0)
    {
        retry_later(now,
                    [this, each](common::time_point)
                    {
                        send_read(each);
                    });
    }
}

void owner::resend_reads(common::time_point now)
{
    while (!second_reads_.empty() && second_reads_.front().first <= now)
    {
        auto const each = std::move(second_reads_.front().second);
        second_reads_.pop_front();
        if (!each->over && each->open > 0)
        {
            send_read(each);
        }
    }
}

// All pages below `prefix`, one after the other, each to `take`; then `done`.
void owner::load_pages(common::time_point now,
                       std::string_view prefix,
                       std::string const& after,
                       page_taker const& take,
                       load_end const& done)
{
    read_state(
        now,
        ports::kv_range{std::string(prefix), after},
        [this, prefix, take, done](common::time_point at, kv_reply const& reply)
        {
            load_advanced_at_ = at;
            take(at, reply);
            if (reply.more && !reply.items.empty())
            {
                load_pages(at, prefix, reply.items.back().key, take, done);
                return;
            }
            done(at);
        });
}

void owner::load_jobs(common::time_point now)
{
    pages_requested_at_ = now;
    load_pages(
        now,
        keys::owned_prefix,
        "",
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
        claim_.mark_lost("key gone from the first page");
    }
    for (auto const& item : items)
    {
        if (claim_.held() && item.revision <= page_revision_)
        {
            apply_item(now, item);
        }
    }
    // Jobs of the last page count as heard no sooner than they were taken.
    watched_revision_ = page_revision_;
    synced_revision_ = page_revision_;
    synced_until_ = pages_requested_at_;
    return claim_.held();
}

void owner::load_progress(common::time_point now)
{
    load_pages(
        now,
        keys::progress_prefix,
        "",
        [this](common::time_point, kv_reply const& reply)
        {
            progress_items_.insert(
                progress_items_.end(), reply.items.begin(), reply.items.end());
        },
        [this](common::time_point at)
        {
            parts_loaded(at);
        });
}

void owner::load_finals(common::time_point now)
{
    load_pages(
        now,
        keys::final_prefix,
        "",
        [this](common::time_point at, kv_reply const& reply)
        {
            for (auto const& item : reply.items)
            {
                final_times_.emplace_back(
                    at, item.key.substr(keys::final_prefix.size()));
            }
        },
        [this](common::time_point at)
        {
            parts_loaded(at);
        });
}

void owner::load_key(common::time_point now,
                     std::string_view key,
                     value_taker const& take)
{
    read_state(now,
               ports::kv_read{std::string(key)},
               [this, take](common::time_point at, kv_reply const& reply)
               {
                   for (auto const& item : reply.items)
                   {
                       take(item.value);
                   }
                   parts_loaded(at);
               });
}

void owner::load_roster(common::time_point now)
{
    load_key(now,
             keys::roster,
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
void owner::load_estimates(common::time_point now)
{
    load_key(now,
             keys::interference_estimates,
             [this](std::string const& text)
             {
                 common::failure reason;
                 auto const known = parse_interference_estimates(text, reason);
                 if (!known)
                 {
                     out_.log(severity::warning,
                              "learned_unreadable",
                              {{"why", common::to_string(reason)}});
                     return;
                 }
                 colocation_.restore(*known);
                 out_.log(severity::info,
                          "learned_recalled",
                          {{"images", std::to_string(known->headrooms.size())},
                           {"pairs", std::to_string(known->pairs.size())}});
             });
}

void owner::parts_loaded(common::time_point now)
{
    if (--loading_parts_ > 0)
    {
        return;
    }
    loaded_ = true;
    watch_answered_at_ = now;
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
            fail_exhausted_job(now, run);
        }
        open_steps(now, run);
        if (run.phase != job_phase::active)
        {
            finish_if_over(run);
        }
        else if (run.tasks_left == 0)
        {
            end_job(now, run, job_phase::finished);
        }
    }
    out_.log(severity::info,
             "state_loaded",
             {{"epoch", std::to_string(claim_.epoch())},
              {"jobs", std::to_string(jobs_.size())},
              {"roster", std::to_string(roster_.size())},
              {"took_ms",
               std::to_string(common::to_milliseconds(now - created_at_))}});
    complete_roster();
    watch(now);
    tick(now);
}

} // namespace fuchsia::core::pool
