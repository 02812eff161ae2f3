#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <utility>

// The platform's list of workers, and the roster of those that a successor must
// ask.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

void owner::read_list(common::time_point now)
{
    listing_ = true;
    next_list_ = now + settings_.list_interval;
    // Pages that stand since long ago would age the whole list.
    if (list_.empty() || now - list_asked_ > settings_.call_timeout)
    {
        list_.clear();
        list_asked_ = now;
    }
    out_.store(life_,
               ports::kv_range{words_.workers_prefix,
                               list_.empty()
                                   ? ""
                                   : words_.workers_prefix + list_.back().id},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_list(at, reply);
               });
}

void owner::on_list(common::time_point now, kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        listing_ = false;
        return;
    }
    for (auto const& item : reply.items)
    {
        common::failure reason;
        auto each = words_.read_worker(item, reason);
        if (!each)
        {
            out_.log(severity::warning,
                     "worker_entry_ignored",
                     {{"key", item.key}, {"why", common::to_string(reason)}});
            continue;
        }
        list_.push_back(std::move(*each));
    }
    if (reply.more && !list_.empty())
    {
        read_list(now);
        return;
    }
    listing_ = false;
    take_list(now);
}

void owner::take_list(common::time_point now)
{
    fleet_.take_list(list_);
    list_.clear();
    listed_ = list_asked_;
    list_known_ = true;
    bool missing = false;
    for (auto const& [id, each] : fleet_.all())
    {
        missing = missing || !roster_.contains(id);
    }
    if (missing)
    {
        write_roster();
    }
    if (loaded_)
    {
        tick(now);
    }
}

// An owner that gets little processor time reads the list late, and would start
// tasks on workers that said long ago that they leave. While the store is
// silent the last list has to do.
bool owner::list_is_fresh(common::time_point now) const
{
    bool const silent =
        now - claim_.confirmed() > settings_.workers.alone_limit;
    return list_known_ && (silent || now - listed_ <= settings_.list_age_limit);
}

// A task may start only on a worker that a successor would ask.
void owner::write_roster()
{
    if (roster_writing_ || !loaded_)
    {
        return;
    }
    roster_writing_ = true;
    std::set<std::string> names;
    for (auto const& [id, each] : fleet_.all())
    {
        names.insert(id);
    }
    ledger_.write(write_rank::result,
                  {{{std::string(keys::roster), to_json(fleet_), 0}},
                   {},
                   [this, names](common::time_point)
                   {
                       roster_writing_ = false;
                       roster_ = names;
                       for (auto const& id : names)
                       {
                           if (auto* const each = fleet_.find(id))
                           {
                               each->rostered = true;
                           }
                       }
                   }});
}

} // namespace fuchsia::core::pool
