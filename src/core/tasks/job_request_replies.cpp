#include "core/tasks/job_request_handler.hpp"

#include "core/common/json.hpp"
#include "core/tasks/job_registration.hpp"

// Replies of the store to pending job requests.
namespace fuchsia::core::tasks
{

namespace json = boost::json;
using common::result_code;

namespace
{

std::string cancelled_body(std::string const& id)
{
    return json::serialize(json::object{{"job", id}, {"cancelled", true}});
}

std::string accepted_body(std::string const& id)
{
    return json::serialize(json::object{{"job", id}, {"accepted", true}});
}

} // namespace

void job_request_handler::on_store_reply(job_request_context& context,
                                         call_tag const& tag,
                                         ports::store_reply const& reply)
{
    auto item = pending_requests_.begin();
    while (item != pending_requests_.end() && item->second.call != tag.number)
    {
        ++item;
    }
    if (item == pending_requests_.end())
    {
        return;
    }
    auto& pending = item->second;
    pending.call = 0;
    pending.next_retry_at = context.now;
    if (reply.status == ports::store_status::unavailable ||
        reply.status == ports::store_status::unclear)
    {
        // A write is retried unchanged: if the first one took effect, the
        // second conflicts, and reading the key back shows who wrote it.
        pending.write_may_have_applied =
            pending.write_may_have_applied ||
            reply.status == ports::store_status::unclear;
        pending.next_retry_at = context.now + settings_.retry_interval;
        return;
    }
    bool in_progress = false;
    switch (pending.current_step)
    {
    case step::registering:
        in_progress = on_registered(pending, reply);
        break;
    case step::reading_job:
        in_progress = on_job_read(context, pending, reply);
        break;
    case step::listing_inbox:
    case step::listing_tasks:
        in_progress = on_listed(context, pending, reply);
        break;
    case step::delivering:
        in_progress = on_delivered(context, pending, reply);
        break;
    case step::publishing_stop:
        in_progress = on_stop_published(context, pending, reply);
        break;
    }
    if (!in_progress)
    {
        pending_requests_.erase(item);
        return;
    }
    send(context, pending);
}

bool job_request_handler::on_registered(pending_request& pending,
                                        ports::store_reply const& reply)
{
    bool const done = reply.status == ports::store_status::done;
    pending.write_may_have_applied = pending.write_may_have_applied || done;
    pending.current_step = done ? step::delivering : step::reading_job;
    return true;
}

bool job_request_handler::on_job_read(job_request_context& context,
                                      pending_request& pending,
                                      ports::store_reply const& reply)
{
    if (reply.entries.empty())
    {
        if (pending.kind == request_kind::submit)
        {
            pending.current_step = step::registering;
            return true;
        }
        context.out.emplace_back(
            refuse(pending.caller,
                   {result_code::not_found, pending.id, "no such job"}));
        return false;
    }
    if (pending.kind == request_kind::cancel)
    {
        pending.current_step = step::publishing_stop;
        return true;
    }
    common::failure reason;
    auto const found = parse_registration(reply.entries.front().value, reason);
    if (!found || found->definition != pending.submitted)
    {
        context.out.emplace_back(
            refuse(pending.caller,
                   {result_code::already_exists,
                    pending.id,
                    "a job with this id and other content"}));
        return false;
    }
    pending.cell = found->cell;
    // The registration of this request is delivered next. For a repeated
    // submission the lists show whether it was delivered already.
    pending.current_step = found->writer == pending.writer
                               ? step::delivering
                               : step::listing_inbox;
    return true;
}

bool job_request_handler::on_listed(job_request_context& context,
                                    pending_request& pending,
                                    ports::store_reply const& reply)
{
    if (pending.current_step == step::listing_inbox)
    {
        pending.inboxes = reply.entries;
        pending.current_step = step::listing_tasks;
        return true;
    }
    auto const jobs =
        build_job_views(pending.inboxes, reply.entries, context.config);
    auto const found = jobs.find(pending.id);
    switch (pending.kind)
    {
    case request_kind::submit:
        if (found == jobs.end())
        {
            // The planner that registered the job died before delivering it.
            pending.current_step = step::delivering;
            return true;
        }
        answer(context, pending, 200, accepted_body(pending.id));
        return false;
    case request_kind::show:
        if (found == jobs.end())
        {
            context.out.emplace_back(
                refuse(pending.caller,
                       {result_code::not_found, pending.id, "no such job"}));
            return false;
        }
        answer(context, pending, 200, to_json(found->second, true));
        return false;
    case request_kind::list:
        answer(context, pending, 200, to_json(jobs, pending.state));
        return false;
    case request_kind::cancel:
    case request_kind::stop:
        return false;
    }
    return false;
}

bool job_request_handler::on_delivered(job_request_context& context,
                                       pending_request& pending,
                                       ports::store_reply const&)
{
    // Either the write is done, or it conflicts because the message is in the
    // inbox already.
    answer(context, pending, 200, accepted_body(pending.id));
    return false;
}

bool job_request_handler::on_stop_published(job_request_context& context,
                                            pending_request& pending,
                                            ports::store_reply const&)
{
    answer(context, pending, 200, cancelled_body(pending.id));
    return false;
}

} // namespace fuchsia::core::tasks
