#include "core/pool/worker_list.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

worker_list::worker_list(worker_list_settings settings,
                         platform_records const& words,
                         outbox& out,
                         handler handle)
    : settings_(settings), platform_records_(words), out_(out),
      handle_(std::move(handle))
{
}

bool worker_list::known() const noexcept
{
    return known_;
}

common::time_point worker_list::current_as_of() const noexcept
{
    return current_as_of_;
}

void worker_list::note(common::time_point asked, std::uint64_t revision)
{
    times_.note(asked, revision);
}

void worker_list::tick(common::time_point now)
{
    if (busy_ || now < next_)
    {
        return;
    }
    asked_ = now;
    busy_ = true;
    if (reading_)
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
    if (after_.empty())
    {
        pages_ = {true, {}, {}};
        pages_asked_ = asked_;
    }
    out_.store(life_,
               ports::kv_range{platform_records_.workers_prefix, after_},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   busy_ = false;
                   on_page(at, reply);
               });
}

// Pages are no snapshot: events since the first one are taken again.
void worker_list::on_page(common::time_point now, kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        next_ = now + settings_.retry;
        return;
    }
    page_revision_ = after_.empty() ? reply.revision : page_revision_;
    for (auto const& item : reply.items)
    {
        take(item, pages_);
    }
    if (reply.more && !reply.items.empty())
    {
        after_ = reply.items.back().key;
        tick(now);
        return;
    }
    after_.clear();
    reading_ = false;
    known_ = true;
    watched_ = page_revision_;
    current_as_of_ = pages_asked_;
    next_ = pages_asked_ + settings_.interval;
    handle_(now, std::exchange(pages_, {}));
}

void worker_list::watch()
{
    out_.store(life_,
               ports::kv_watch{platform_records_.workers_prefix,
                               watched_,
                               settings_.interval},
               settings_.interval + settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   busy_ = false;
                   on_watch(at, reply);
               });
}

// An answer without events vouches for nothing, nor does it move the place from
// which the next watch goes on: a deaf watch looks just like it.
void worker_list::on_watch(common::time_point now, kv_reply const& reply)
{
    next_ = std::max(now, asked_ + settings_.interval);
    if (reply.status == kv_status::compacted)
    {
        reading_ = true;
        next_ = now;
        return;
    }
    if (reply.status != kv_status::done)
    {
        next_ = now + settings_.retry;
        return;
    }
    if (reply.items.empty())
    {
        reading_ = now - current_as_of_ > settings_.stalled_after;
        return;
    }
    worker_changes seen;
    for (auto const& item : reply.items)
    {
        watched_ = std::max(watched_, item.revision);
        take(item, seen);
    }
    if (reply.items.size() < settings_.full_answer)
    {
        current_as_of_ = asked_;
    }
    else
    {
        // Cut short or not, it holds all that was written up to its last
        // revision.
        current_as_of_ =
            std::max(current_as_of_,
                     times_.complete_until(watched_).value_or(current_as_of_));
        next_ = now;
    }
    handle_(now, seen);
}

// What can't be read names no worker to use, whatever stood there before.
void worker_list::take(ports::kv_item const& item, worker_changes& into)
{
    auto const id = item.key.substr(platform_records_.workers_prefix.size());
    common::failure reason;
    auto each = item.erased ? std::nullopt
                            : platform_records_.read_worker(item, reason);
    if (each)
    {
        std::erase(into.removed, id);
        into.present.push_back(std::move(*each));
        return;
    }
    if (!item.erased)
    {
        out_.log(severity::warning,
                 "worker_entry_ignored",
                 {{"key", item.key}, {"why", common::to_string(reason)}});
    }
    std::erase_if(into.present,
                  [&id](ports::pool_worker const& other)
                  {
                      return other.id == id;
                  });
    into.removed.push_back(id);
}

} // namespace fuchsia::core::pool
