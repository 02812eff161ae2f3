#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <algorithm>
#include <memory>
#include <utility>

// Loads the state that the previous owner left in the store.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

// Reads until there is an answer. A read that is unanswered for a while is sent
// again, without giving up the earlier calls: usually they were lost, but the
// page may be large and the link slow. The first answer is used. Each time the
// wait doubles, so that a slow link is not filled with repeated pages.
void owner::read_state(common::time_point now,
                       ports::kv_operation operation,
                       reply_handler on_reply)
{
    auto read = std::make_shared<state_read>();
    read->operation = std::move(operation);
    read->on_reply = std::move(on_reply);
    send_read(read);
    read->resend_after = settings_.read_resend_after;
    read->resend_at = now + read->resend_after;
    unanswered_reads_.push_back(std::move(read));
}

void owner::send_read(std::shared_ptr<state_read> const& read)
{
    ++read->pending_calls;
    out_.store(life_,
               read->operation,
               settings_.page_timeout,
               [this, read](common::time_point now, kv_reply const& reply)
               {
                   --read->pending_calls;
                   on_read(now, read, reply);
               });
}

void owner::on_read(common::time_point now,
                    std::shared_ptr<state_read> const& read,
                    kv_reply const& reply)
{
    if (read->answered)
    {
        return;
    }
    if (reply.status == kv_status::done || reply.status == kv_status::missing)
    {
        read->answered = true;
        read->on_reply(now, reply);
        return;
    }
    if (read->pending_calls == 0)
    {
        retry_later(now,
                    [this, read](common::time_point)
                    {
                        send_read(read);
                    });
    }
}

void owner::resend_reads(common::time_point now)
{
    std::erase_if(unanswered_reads_,
                  [](auto const& read)
                  {
                      return read->answered;
                  });
    for (auto const& read : unanswered_reads_)
    {
        if (now >= read->resend_at && read->pending_calls > 0)
        {
            read->resend_after *= 2;
            read->resend_at = now + read->resend_after;
            send_read(read);
        }
    }
}

// Reads all pages below `prefix` one after the other, calls `on_page` for each
// and then `on_loaded`.
void owner::load_pages(common::time_point now,
                       std::string_view prefix,
                       std::string const& after,
                       page_handler const& on_page,
                       load_completion const& on_loaded)
{
    read_state(
        now,
        ports::kv_range{std::string(prefix), after},
        [this, prefix, on_page, on_loaded](common::time_point at,
                                           kv_reply const& reply)
        {
            load_advanced_at_ = at;
            on_page(at, reply);
            if (reply.more && !reply.items.empty())
            {
                load_pages(
                    at, prefix, reply.items.back().key, on_page, on_loaded);
                return;
            }
            on_loaded(at);
        });
}

void owner::load_jobs(common::time_point now)
{
    pages_requested_at_ = now;
    load_pages(
        now,
        keys::watched_prefix,
        "",
        [this](common::time_point, kv_reply const& reply)
        {
            // The pages are not one snapshot, so the watch starts at the
            // revision of the first one.
            first_page_revision_ =
                job_items_.empty() ? reply.revision : first_page_revision_;
            job_items_.insert(
                job_items_.end(), reply.items.begin(), reply.items.end());
        },
        [this](common::time_point at)
        {
            on_jobs_loaded(at);
        });
}

void owner::on_jobs_loaded(common::time_point now)
{
    // After a compaction the jobs are already known. Those that have
    // disappeared since were ended by this owner.
    if (loaded_)
    {
        if (apply_job_pages(now))
        {
            watch(now);
        }
        return;
    }
    on_part_loaded(now);
}

// Applies the items up to the revision of the first page; the watch delivers
// the newer ones in order. A later page may hold a job that was accepted after
// the claim was lost, and no page shows that loss. Returns false if the claim
// is lost.
bool owner::apply_job_pages(common::time_point now)
{
    auto const items = std::exchange(job_items_, {});
    bool const claimed = std::any_of(items.begin(),
                                     items.end(),
                                     [this](ports::kv_item const& item)
                                     {
                                         return item.key == keys::claim &&
                                                item.revision == claim_.epoch();
                                     });
    if (!claimed)
    {
        claim_.mark_lost(now, "the loaded pages do not show it");
    }
    for (auto const& item : items)
    {
        if (claim_.held() && item.revision <= first_page_revision_)
        {
            apply_item(now, item);
        }
    }
    // Jobs on the last page do not count as known before they are applied.
    watched_revision_ = first_page_revision_;
    synced_revision_ = first_page_revision_;
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
            on_part_loaded(at);
        });
}

void owner::load_final_states(common::time_point now)
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
            on_part_loaded(at);
        });
}

void owner::load_key(common::time_point now,
                     std::string_view key,
                     value_handler const& on_value)
{
    read_state(now,
               ports::kv_read{std::string(key)},
               [this, on_value](common::time_point at, kv_reply const& reply)
               {
                   for (auto const& item : reply.items)
                   {
                       on_value(item.value);
                   }
                   on_part_loaded(at);
               });
}

void owner::load_roster(common::time_point now)
{
    load_key(now,
             keys::roster,
             [this](std::string const& text)
             {
                 common::failure reason;
                 for (auto const& w : parse_roster(text, reason))
                 {
                     roster_.workers.insert(w.id);
                     if (w.incarnation != 0)
                     {
                         roster_.incarnations[w.id] = w.incarnation;
                     }
                     fleet_.add_rostered(w);
                 }
                 roster_.silent = parse_silent_workers(text);
                 roster_.long_leases = parse_long_leases(text);
                 inherited_ = roster_;
                 if (reason.code != common::result_code::ok)
                 {
                     out_.log(severity::error,
                              "roster_unreadable",
                              {{"why", common::to_string(reason)}});
                 }
             });
}

// Without stored estimates the owner starts to learn them anew.
void owner::load_estimates(common::time_point now)
{
    load_key(
        now,
        keys::interference_estimates,
        [this](std::string const& text)
        {
            common::failure reason;
            auto const estimates = parse_interference_estimates(text, reason);
            if (!estimates)
            {
                out_.log(severity::warning,
                         "learned_unreadable",
                         {{"why", common::to_string(reason)}});
                return;
            }
            colocation_.restore(*estimates);
            out_.log(severity::info,
                     "learned_recalled",
                     {{"images", std::to_string(estimates->headrooms.size())},
                      {"pairs", std::to_string(estimates->pairs.size())}});
        });
}

void owner::on_part_loaded(common::time_point now)
{
    if (--loading_parts_ > 0)
    {
        return;
    }
    loaded_ = true;
    watch_answered_at_ = now;
    if (!apply_job_pages(now))
    {
        return;
    }
    for (auto const& item : std::exchange(progress_items_, {}))
    {
        common::failure reason;
        auto const record = parse_progress(item.value, reason);
        auto* const run = record ? find_job(record->job) : nullptr;
        if (!record)
        {
            out_.log(severity::error,
                     "progress_unreadable",
                     {{"key", item.key}, {"why", common::to_string(reason)}});
        }
        if (run != nullptr)
        {
            apply(*record, *run);
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
              {"roster", std::to_string(roster_.workers.size())},
              {"took_ms",
               std::to_string(common::to_milliseconds(now - created_at_))}});
    update_roster(now);
    watch(now);
    tick(now);
}

} // namespace fuchsia::core::pool
