#include "core/tasks/job_request_handler.hpp"

#include "core/common/json.hpp"
#include "core/tasks/job_registration.hpp"

// What the store answers to errands.
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

void job_request_handler::on_store_reply(job_request_context& with,
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
    auto& of = item->second;
    of.call = 0;
    of.next_retry_at = with.now;
    if (reply.status == ports::store_status::unavailable ||
        reply.status == ports::store_status::unclear)
    {
        // A write is sent again as it was: where the first took effect the
        // second conflicts, and reading back shows whose the key is.
        of.write_may_have_applied =
            of.write_may_have_applied ||
            reply.status == ports::store_status::unclear;
        of.next_retry_at = with.now + settings_.retry_interval;
        return;
    }
    bool goes_on = false;
    switch (of.current_step)
    {
    case step::registering:
        goes_on = on_registered(of, reply);
        break;
    case step::reading_job:
        goes_on = on_job_read(with, of, reply);
        break;
    case step::listing_inbox:
    case step::listing_tasks:
        goes_on = on_listed(with, of, reply);
        break;
    case step::delivering:
        goes_on = on_delivered(with, of, reply);
        break;
    case step::publishing_stop:
        goes_on = on_stop_published(with, of, reply);
        break;
    }
    if (!goes_on)
    {
        pending_requests_.erase(item);
        return;
    }
    send(with, of);
}

bool job_request_handler::on_registered(pending_request& of,
                                        ports::store_reply const& reply)
{
    bool const done = reply.status == ports::store_status::done;
    of.write_may_have_applied = of.write_may_have_applied || done;
    of.current_step = done ? step::delivering : step::reading_job;
    return true;
}

bool job_request_handler::on_job_read(job_request_context& with,
                                      pending_request& of,
                                      ports::store_reply const& reply)
{
    if (reply.entries.empty())
    {
        if (of.kind == request_kind::submit)
        {
            of.current_step = step::registering;
            return true;
        }
        with.out.emplace_back(
            refuse(of.caller, {result_code::not_found, of.id, "no such job"}));
        return false;
    }
    if (of.kind == request_kind::cancel)
    {
        of.current_step = step::publishing_stop;
        return true;
    }
    common::failure reason;
    auto const found = parse_registration(reply.entries.front().value, reason);
    if (!found || found->definition != of.submitted)
    {
        with.out.emplace_back(refuse(of.caller,
                                     {result_code::already_exists,
                                      of.id,
                                      "a job with this id and other content"}));
        return false;
    }
    of.cell = found->cell;
    // Our own registration, or a repeated submission: is it delivered?
    of.current_step =
        found->writer == of.writer ? step::delivering : step::listing_inbox;
    return true;
}

bool job_request_handler::on_listed(job_request_context& with,
                                    pending_request& of,
                                    ports::store_reply const& reply)
{
    if (of.current_step == step::listing_inbox)
    {
        of.inboxes = reply.entries;
        of.current_step = step::listing_tasks;
        return true;
    }
    auto const jobs = build_job_views(of.inboxes, reply.entries, with.config);
    auto const found = jobs.find(of.id);
    switch (of.kind)
    {
    case request_kind::submit:
        if (found == jobs.end())
        {
            // Whoever registered it died before it was delivered.
            of.current_step = step::delivering;
            return true;
        }
        answer(with, of, 200, accepted_body(of.id));
        return false;
    case request_kind::show:
        if (found == jobs.end())
        {
            with.out.emplace_back(refuse(
                of.caller, {result_code::not_found, of.id, "no such job"}));
            return false;
        }
        answer(with, of, 200, to_json(found->second, true));
        return false;
    case request_kind::list:
        answer(with, of, 200, to_json(jobs, of.state));
        return false;
    case request_kind::cancel:
    case request_kind::stop:
        return false;
    }
    return false;
}

bool job_request_handler::on_delivered(job_request_context& with,
                                       pending_request& of,
                                       ports::store_reply const&)
{
    // Done, or a conflict: it lies there already.
    answer(with, of, 200, accepted_body(of.id));
    return false;
}

bool job_request_handler::on_stop_published(job_request_context& with,
                                            pending_request& of,
                                            ports::store_reply const&)
{
    answer(with, of, 200, cancelled_body(of.id));
    return false;
}

} // namespace fuchsia::core::tasks
