#include "core/tasks/planner_engine.hpp"

#include <optional>
#include <variant>

// Dispatch of incoming events to the parts of the planner.
namespace fuchsia::core::tasks
{

namespace
{

// Returns the configuration revision of a promise, for the follower.
std::optional<std::uint64_t> revision_in(ports::peer_message const& message)
{
    if (auto const* request = std::get_if<ports::promise_request>(&message))
    {
        return request->config_revision;
    }
    if (auto const* reply = std::get_if<ports::promise_reply>(&message))
    {
        return reply->config_revision;
    }
    return std::nullopt;
}

} // namespace

bool planner_engine::on_store_reply(common::time_point now,
                                    ports::store_reply const& reply,
                                    ports::actions& out)
{
    switch (reply.id.requester)
    {
    case ports::store_requester::membership:
        member_.on_store_reply(now, reply, out);
        break;
    case ports::store_requester::claims:
        claims_.on_store_reply(now, reply, member_, out);
        break;
    case ports::store_requester::configuration:
        follower_.on_store_reply(now, reply, out);
        break;
    case ports::store_requester::tasks:
        break;
    case ports::store_requester::requests:
    case ports::store_requester::administration:
        return false;
    }
    auto const tag = reply.id.requester == ports::store_requester::tasks
                         ? calls_.take(reply.id)
                         : std::nullopt;
    if (!tag)
    {
        process_events(now, out);
        return true;
    }
    auto request_context = make_request_context(now, out);
    auto const cell = cells_.find(tag->name);
    switch (tag->owner)
    {
    case call_owner::log:
    case call_owner::snapshot:
    case call_owner::inbox_message:
    case call_owner::erase:
        if (cell != cells_.end())
        {
            auto context = make_cell_context(now, tag->name, out);
            cell->second->on_store_reply(context, *tag, reply);
            dirty_cells_.insert(tag->name);
        }
        break;
    case call_owner::inbox:
        if (inbox_.on_store_reply(now, *tag, reply))
        {
            for (auto& [name, runner] : cells_)
            {
                deliver_inbox(now, *runner, out);
            }
            mark_all_cells_dirty();
        }
        break;
    case call_owner::job_requests:
        job_request_handler_.on_store_reply(request_context, *tag, reply);
        break;
    case call_owner::quota:
        quotas_.on_store_reply(now, *tag, reply);
        mark_all_cells_dirty();
        break;
    case call_owner::load:
        loads_.on_store_reply(now, *tag, reply);
        break;
    case call_owner::sweep:
        if (tag->number == stop_notice_call_)
        {
            stop_notice_call_ = 0;
        }
        sweep_.on_store_reply(*tag, reply);
        break;
    }
    process_events(now, out);
    return true;
}

void planner_engine::on_peer(common::time_point now,
                             ports::peer_receive const& message,
                             ports::actions& out)
{
    auto const* from = member_.find(message.from);
    if (from != nullptr)
    {
        auto const address = from->peer_address;
        if (auto const revision = revision_in(message.message))
        {
            follower_.on_peer_revision(
                now, *revision, message.from, address, out);
        }
        follower_.on_peer(now, message, address, out);
    }
    member_.on_peer(now, message, out);
    process_events(now, out);
}

void planner_engine::on_instances(common::time_point now,
                                  ports::instance_list const& list,
                                  ports::actions& out)
{
    member_.on_instances(now, list, out);
    process_events(now, out);
}

void planner_engine::on_workers(common::time_point now,
                                ports::worker_list const& list,
                                ports::actions& out)
{
    workers_.on_list(list);
    workers_known_ = true;
    set_partitions();
    process_events(now, out);
}

void planner_engine::on_worker_report(common::time_point now,
                                      ports::worker_report const& report,
                                      ports::actions& out)
{
    if (!workers_.on_report(now, report))
    {
        return;
    }
    auto const* view = workers_.find(report.worker);
    auto const cell = cells_.find(view->info.rack);
    if (cell != cells_.end())
    {
        auto context = make_cell_context(now, cell->first, out);
        cell->second->on_report(context, report);
    }
}

void planner_engine::on_worker_reply(common::time_point now,
                                     ports::worker_reply const& reply,
                                     ports::actions& out)
{
    auto const tag = worker_calls_.take(reply.id);
    if (!tag)
    {
        return;
    }
    auto const cell = cells_.find(tag->cell);
    if (cell != cells_.end())
    {
        auto context = make_cell_context(now, tag->cell, out);
        cell->second->on_worker_reply(context, *tag, reply);
    }
}

void planner_engine::on_job_request(common::time_point now,
                                    job_request const& request,
                                    ports::actions& out)
{
    auto request_context = make_request_context(now, out);
    job_request_handler_.on_request(request_context, request);
}

} // namespace fuchsia::core::tasks
