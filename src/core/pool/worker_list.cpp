#include "core/pool/worker_list.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

worker_list::worker_list(worker_list_settings settings,
                         platform_records const& records,
                         outbox& out,
                         handler on_changes)
    : settings_(settings), platform_records_(records), out_(out),
      on_changes_(std::move(on_changes))
{
}

bool worker_list::loaded() const noexcept
{
    return loaded_;
}

common::time_point worker_list::current_as_of() const noexcept
{
    return current_as_of_;
}

void worker_list::note(common::time_point sent_at, std::uint64_t revision)
{
    times_.note(sent_at, revision);
}

void worker_list::tick(common::time_point now)
{
    if (call_pending_ || now < next_call_at_)
    {
        return;
    }
    call_sent_at_ = now;
    call_pending_ = true;
    if (reading_pages_)
    {
        read_page();
    }
    else
    {
        watch();
    }
}

void worker_list::read_page()
{
    if (next_page_after_.empty())
    {
        loaded_pages_ = {true, {}, {}};
        pages_requested_at_ = call_sent_at_;
    }
    out_.store(
        life_,
        ports::kv_range{platform_records_.workers_prefix, next_page_after_},
        settings_.call_timeout,
        [this](common::time_point at, kv_reply const& reply)
        {
            call_pending_ = false;
            on_page(at, reply);
        });
}

// The pages are not a snapshot, so the watch continues from the revision of the
// first page.
void worker_list::on_page(common::time_point now, kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        next_call_at_ = now + settings_.retry_interval;
        return;
    }
    first_page_revision_ =
        next_page_after_.empty() ? reply.revision : first_page_revision_;
    for (auto const& item : reply.items)
    {
        apply_item(item, loaded_pages_);
    }
    if (reply.more && !reply.items.empty())
    {
        next_page_after_ = reply.items.back().key;
        tick(now);
        return;
    }
    next_page_after_.clear();
    reading_pages_ = false;
    loaded_ = true;
    watched_revision_ = first_page_revision_;
    current_as_of_ = pages_requested_at_;
    next_call_at_ = pages_requested_at_ + settings_.interval;
    on_changes_(now, std::exchange(loaded_pages_, {}));
}

void worker_list::watch()
{
    out_.store(life_,
               ports::kv_watch{platform_records_.workers_prefix,
                               watched_revision_,
                               settings_.interval},
               settings_.interval + settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   call_pending_ = false;
                   on_watch(at, reply);
               });
}

// An answer without events can't be distinguished from the answer of a stalled
// watch, so it changes neither `current_as_of_` nor the revision of the next
// watch.
void worker_list::on_watch(common::time_point now, kv_reply const& reply)
{
    next_call_at_ = std::max(now, call_sent_at_ + settings_.interval);
    if (reply.status == kv_status::compacted)
    {
        reading_pages_ = true;
        next_call_at_ = now;
        return;
    }
    if (reply.status != kv_status::done)
    {
        next_call_at_ = now + settings_.retry_interval;
        return;
    }
    if (reply.items.empty())
    {
        reading_pages_ = now - current_as_of_ > settings_.stalled_after;
        return;
    }
    worker_changes answer_changes;
    for (auto const& item : reply.items)
    {
        watched_revision_ = std::max(watched_revision_, item.revision);
        apply_item(item, answer_changes);
    }
    if (reply.items.size() < settings_.full_answer_items)
    {
        current_as_of_ = call_sent_at_;
    }
    else
    {
        // The answer may be incomplete, but it contains every change up to its
        // last revision.
        current_as_of_ = std::max(
            current_as_of_,
            times_.complete_until(watched_revision_).value_or(current_as_of_));
        next_call_at_ = now;
    }
    on_changes_(now, answer_changes);
}

// An entry that can't be parsed removes its worker, even if the previous entry
// could be parsed.
void worker_list::apply_item(ports::kv_item const& item,
                             worker_changes& changes)
{
    auto const id = item.key.substr(platform_records_.workers_prefix.size());
    common::failure reason;
    auto parsed = item.erased ? std::nullopt
                              : platform_records_.read_worker(item, reason);
    if (parsed)
    {
        std::erase(changes.removed, id);
        changes.present.push_back(std::move(*parsed));
        return;
    }
    note_ignored(item, reason);
    std::erase_if(changes.present,
                  [&id](ports::pool_worker const& other)
                  {
                      return other.id == id;
                  });
    changes.removed.push_back(id);
}

// An entry may be written again with every heartbeat, so it is logged once for
// each cause.
void worker_list::note_ignored(ports::kv_item const& item,
                               common::failure const& reason)
{
    if (item.erased)
    {
        seen_failures_.forget(item.key);
        return;
    }
    if (seen_failures_.is_new(item.key, reason))
    {
        out_.log(severity::warning,
                 "worker_entry_ignored",
                 {{"key", item.key}, {"why", common::to_string(reason)}});
    }
}

} // namespace fuchsia::core::pool
