#include "core/tasks/job_desk.hpp"

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

void job_desk::on_store_reply(desk_context& with,
                              call_tag const& tag,
                              ports::store_reply const& reply)
{
    auto item = errands_.begin();
    while (item != errands_.end() && item->second.call != tag.number)
    {
        ++item;
    }
    if (item == errands_.end())
    {
        return;
    }
    auto& of = item->second;
    of.call = 0;
    of.next_try = with.now;
    if (reply.status == ports::store_status::unavailable ||
        reply.status == ports::store_status::unclear)
    {
        // A write is sent again as it was: where the first took effect the
        // second conflicts, and reading back shows whose the key is.
        of.wrote = of.wrote || reply.status == ports::store_status::unclear;
        of.next_try = with.now + settings_.retry_interval;
        return;
    }
    bool goes_on = false;
    switch (of.at)
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
    case step::posting:
        goes_on = on_posted(with, of, reply);
        break;
    }
    if (!goes_on)
    {
        errands_.erase(item);
        return;
    }
    send(with, of);
}

bool job_desk::on_registered(errand& of, ports::store_reply const& reply)
{
    bool const done = reply.status == ports::store_status::done;
    of.wrote = of.wrote || done;
    of.at = done ? step::delivering : step::reading_job;
    return true;
}

bool job_desk::on_job_read(desk_context& with,
                           errand& of,
                           ports::store_reply const& reply)
{
    if (reply.entries.empty())
    {
        if (of.what == purpose::submit)
        {
            of.at = step::registering;
            return true;
        }
        with.out.emplace_back(
            refuse(of.caller, {result_code::not_found, of.id, "no such job"}));
        return false;
    }
    if (of.what == purpose::cancel)
    {
        of.at = step::posting;
        return true;
    }
    common::failure reason;
    auto const found = parse_registration(reply.entries.front().value, reason);
    if (!found || found->what != of.submitted)
    {
        with.out.emplace_back(refuse(of.caller,
                                     {result_code::already_exists,
                                      of.id,
                                      "a job with this id and other content"}));
        return false;
    }
    of.cell = found->cell;
    // Our own registration, or a repeated submission: is it delivered?
    of.at = found->writer == of.writer ? step::delivering : step::listing_inbox;
    return true;
}

bool job_desk::on_listed(desk_context& with,
                         errand& of,
                         ports::store_reply const& reply)
{
    if (of.at == step::listing_inbox)
    {
        of.inboxes = reply.entries;
        of.at = step::listing_tasks;
        return true;
    }
    auto const jobs = view_of(of.inboxes, reply.entries, with.config);
    auto const found = jobs.find(of.id);
    switch (of.what)
    {
    case purpose::submit:
        if (found == jobs.end())
        {
            // Whoever registered it died before it was delivered.
            of.at = step::delivering;
            return true;
        }
        answer(with, of, 200, accepted_body(of.id));
        return false;
    case purpose::show:
        if (found == jobs.end())
        {
            with.out.emplace_back(refuse(
                of.caller, {result_code::not_found, of.id, "no such job"}));
            return false;
        }
        answer(with, of, 200, to_json(found->second, true));
        return false;
    case purpose::list:
        answer(with, of, 200, to_json(jobs, of.state));
        return false;
    case purpose::cancel:
    case purpose::stop:
        return false;
    }
    return false;
}

bool job_desk::on_delivered(desk_context& with,
                            errand& of,
                            ports::store_reply const&)
{
    // Done, or a conflict: it lies there already.
    answer(with, of, 200, accepted_body(of.id));
    return false;
}

bool job_desk::on_posted(desk_context& with,
                         errand& of,
                         ports::store_reply const&)
{
    answer(with, of, 200, cancelled_body(of.id));
    return false;
}

} // namespace fuchsia::core::tasks
