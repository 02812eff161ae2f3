#include "core/tasks/cell_runner.hpp"

#include "core/tasks/inbox.hpp"

#include <algorithm>
#include <utility>

// Jobs that come into the cell and leave it, as parcels in inboxes.
namespace fuchsia::core::tasks
{

void cell_runner::on_inbox(cell_context& with,
                           std::vector<stored_inbox_message> items)
{
    inbox_messages_.clear();
    for (auto& item : items)
    {
        auto name = item.message.name;
        inbox_messages_.emplace(std::move(name), std::move(item));
    }
    if (!attempts_restored_ || log_.ownership_lost())
    {
        return;
    }
    for (auto const& [name, item] : inbox_messages_)
    {
        auto const part = log_.state().jobs.find(item.message.definition.id);
        bool const known = part != log_.state().jobs.end() &&
                           part->second.accepted_messages.count(name) != 0;
        if (known || log_.state().jobs.size() >= with.settings.max_jobs)
        {
            continue;
        }
        bool const urgent = item.message.definition.urgent ||
                            item.message.definition.kind == job_kind::service;
        if (commit(with, message_accepted{item.message}, urgent))
        {
            accepting_.insert(name);
            auto const& what = item.message.definition;
            if (!with.workers.all().empty() &&
                !with.workers.ever_fits(what.declared, what.data_centre))
            {
                stop_job(with,
                         what.id,
                         common::result_code::job_never_fits,
                         "larger than any worker");
            }
        }
    }
}

// A parcel stays in the inbox until its record is in the log: were it erased
// before, a planner that died between the two would lose the job.
void cell_runner::erase_inbox(cell_context& with)
{
    for (auto const& [name, item] : inbox_messages_)
    {
        auto const part = log_.state().jobs.find(item.message.definition.id);
        bool const known = part != log_.state().jobs.end() &&
                           part->second.accepted_messages.count(name) != 0;
        if (!known || accepting_.count(name) != 0 || erasing_.count(name) != 0)
        {
            continue;
        }
        if (!with.calls.may_write(with.now))
        {
            return;
        }
        erasing_[name] =
            with.calls.send(call_owner::erase,
                            cell_,
                            ports::store_erase{item.key, item.version},
                            with.out);
    }
}

void cell_runner::send_messages(cell_context& with)
{
    for (auto const& name : ready_to_send_)
    {
        auto const found = log_.state().outgoing.find(name);
        if (found == log_.state().outgoing.end() || sending_.count(name) != 0)
        {
            continue;
        }
        if (!with.calls.may_write(with.now))
        {
            return;
        }
        sending_[name] = with.calls.send(
            call_owner::inbox_message,
            cell_,
            ports::store_write{inbox_key(found->second.target_cell, name),
                               to_json(found->second.message),
                               0},
            with.out);
    }
}

void cell_runner::on_store_reply(cell_context& with,
                                 call_tag const& tag,
                                 ports::store_reply const& reply)
{
    if (tag.owner == call_owner::log || tag.owner == call_owner::snapshot)
    {
        log_.on_store_reply(with.now, tag, reply, with.calls, with.out);
        return;
    }
    auto& calls = tag.owner == call_owner::erase ? erasing_ : sending_;
    auto const found = std::find_if(calls.begin(),
                                    calls.end(),
                                    [&tag](auto const& item)
                                    {
                                        return item.second == tag.number;
                                    });
    if (found == calls.end())
    {
        return;
    }
    auto const name = found->first;
    calls.erase(found);
    if (reply.status != ports::store_status::done &&
        reply.status != ports::store_status::conflict)
    {
        return;
    }
    if (tag.owner == call_owner::erase)
    {
        inbox_messages_.erase(name);
        return;
    }
    // A conflict: it is there already, since an answer was lost. The name is
    // this parcel's alone.
    ready_to_send_.erase(name);
    commit(with, transfer_completed{name}, false);
}

} // namespace fuchsia::core::tasks
