#include "core/tasks/cell_runner.hpp"

#include "core/tasks/inbox.hpp"

#include <algorithm>
#include <utility>

// Transfer of jobs into and out of the cell by inbox messages.
namespace fuchsia::core::tasks
{

void cell_runner::on_inbox(cell_context& context,
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
        bool const already_accepted =
            part != log_.state().jobs.end() &&
            part->second.accepted_messages.count(name) != 0;
        if (already_accepted ||
            log_.state().jobs.size() >= context.settings.max_jobs)
        {
            continue;
        }
        bool const urgent = item.message.definition.urgent ||
                            item.message.definition.kind == job_kind::service;
        if (commit(context, message_accepted{item.message}, urgent))
        {
            messages_being_accepted_.insert(name);
            auto const& definition = item.message.definition;
            if (!context.workers.all().empty() &&
                !context.workers.ever_fits(definition.declared,
                                           definition.data_centre))
            {
                stop_job(context,
                         definition.id,
                         common::result_code::job_never_fits,
                         "larger than any worker");
            }
        }
    }
}

// Erases accepted messages. A message stays in the inbox until its record is in
// the log: if it were erased before, a planner that fails in between would lose
// the job.
void cell_runner::erase_inbox(cell_context& context)
{
    for (auto const& [name, item] : inbox_messages_)
    {
        auto const part = log_.state().jobs.find(item.message.definition.id);
        bool const already_accepted =
            part != log_.state().jobs.end() &&
            part->second.accepted_messages.count(name) != 0;
        if (!already_accepted || messages_being_accepted_.count(name) != 0 ||
            inbox_erase_calls_.count(name) != 0)
        {
            continue;
        }
        if (!context.calls.may_write(context.now))
        {
            return;
        }
        inbox_erase_calls_[name] =
            context.calls.send(call_owner::erase,
                               cell_,
                               ports::store_erase{item.key, item.version},
                               context.out);
    }
}

void cell_runner::send_messages(cell_context& context)
{
    for (auto const& name : ready_to_send_)
    {
        auto const found = log_.state().outgoing.find(name);
        if (found == log_.state().outgoing.end() ||
            inbox_write_calls_.count(name) != 0)
        {
            continue;
        }
        if (!context.calls.may_write(context.now))
        {
            return;
        }
        inbox_write_calls_[name] = context.calls.send(
            call_owner::inbox_message,
            cell_,
            ports::store_write{inbox_key(found->second.target_cell, name),
                               to_json(found->second.message),
                               0},
            context.out);
    }
}

void cell_runner::on_store_reply(cell_context& context,
                                 call_tag const& tag,
                                 ports::store_reply const& reply)
{
    if (tag.owner == call_owner::log || tag.owner == call_owner::snapshot)
    {
        log_.on_store_reply(
            context.now, tag, reply, context.calls, context.out);
        return;
    }
    auto& calls = tag.owner == call_owner::erase ? inbox_erase_calls_
                                                 : inbox_write_calls_;
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
    // A conflict shows that an earlier write of this message took effect and
    // its reply was lost: no other message has this name.
    ready_to_send_.erase(name);
    commit(context, transfer_completed{name}, false);
}

} // namespace fuchsia::core::tasks
