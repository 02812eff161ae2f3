#include "core/tasks/job_desk.hpp"

#include "core/common/json.hpp"
#include "core/tasks/job_registration.hpp"

#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;
using common::result_code;

constexpr std::string_view jobs_path = "/v1/jobs";

std::string state_filter(std::string_view query)
{
    constexpr std::string_view key = "state=";
    return query.starts_with(key) ? std::string(query.substr(key.size()))
                                  : std::string();
}

} // namespace

ports::caller_reply refuse(std::uint64_t caller, common::failure reason)
{
    auto const& row = common::row_of(reason.code);
    ports::caller_reply out;
    out.caller = caller;
    out.answer.status = row.http_status;
    out.answer.code = reason.code;
    out.answer.outcome = common::outcome::not_run;
    out.answer.headers.push_back({"Content-Type", "application/json"});
    out.answer.body = json::serialize(
        json::object{{"code", static_cast<std::uint16_t>(reason.code)},
                     {"name", row.name},
                     {"where", reason.where},
                     {"why", reason.why}});
    return out;
}

job_desk::job_desk(std::uint64_t incarnation, job_desk_settings settings)
    : writer_(std::to_string(incarnation) + ":"), settings_(settings)
{
}

void job_desk::answer(desk_context& with,
                      errand const& of,
                      std::uint16_t status,
                      std::string body)
{
    if (of.what == purpose::stop)
    {
        return;
    }
    ports::caller_reply out;
    out.caller = of.caller;
    out.answer.status = status;
    out.answer.headers.push_back({"Content-Type", "application/json"});
    out.answer.body = std::move(body);
    with.out.emplace_back(std::move(out));
}

void job_desk::on_request(desk_context& with, job_request const& request)
{
    std::string_view target = request.target;
    auto const mark = target.find('?');
    std::string_view const query =
        mark == std::string_view::npos ? "" : target.substr(mark + 1);
    target = target.substr(0, mark);
    bool const all = target == jobs_path;
    std::string_view id =
        all ? "" : target.substr(std::min(target.size(), jobs_path.size() + 1));
    if (!all && (id.empty() || id.find('/') != std::string_view::npos))
    {
        with.out.emplace_back(refuse(
            request.caller,
            {result_code::unknown_path, request.target, "no such path"}));
        return;
    }
    errand next;
    next.caller = request.caller;
    next.id = id;
    if (all && request.method == "POST")
    {
        submit(with, request);
        return;
    }
    if (request.method == "GET")
    {
        next.what = all ? purpose::list : purpose::show;
        next.at = step::listing_inbox;
        next.state = state_filter(query);
    }
    else if (!all && request.method == "DELETE")
    {
        next.what = purpose::cancel;
        next.at = step::reading_job;
        next.notice = {"", 0, next.id, result_code::job_cancelled, ""};
    }
    else
    {
        with.out.emplace_back(
            refuse(request.caller,
                   {result_code::bad_method, request.target, request.method}));
        return;
    }
    begin(with, std::move(next));
}

void job_desk::post_stop(desk_context& with, job_stopped const& what)
{
    errand next;
    next.what = purpose::stop;
    next.at = step::posting;
    next.id = what.job;
    next.notice = {"", 0, what.job, what.code, what.why};
    begin(with, std::move(next));
}

std::optional<common::failure> job_desk::refusal(desk_context& with,
                                                 job const& wanted) const
{
    if (!with.taking)
    {
        return common::failure{
            result_code::draining, "", "this planner is stopping"};
    }
    if (with.inbox_size >= settings_.max_inbox)
    {
        return common::failure{
            result_code::queue_full, "inbox", "too many jobs wait"};
    }
    if (with.config.withdrawn.count(wanted.customer) != 0)
    {
        return common::failure{
            result_code::contract_withdrawn, "job.customer", wanted.customer};
    }
    auto const contract = with.config.contracts.find(wanted.customer);
    if (contract == with.config.contracts.end())
    {
        return common::failure{
            result_code::unknown_customer, "job.customer", wanted.customer};
    }
    if (!contract->second.capacity.covers(wanted.declared))
    {
        return common::failure{result_code::over_contract_resources,
                               "job",
                               "one task exceeds the contract"};
    }
    if (!with.workers.all().empty() &&
        !with.workers.ever_fits(wanted.declared, wanted.data_centre))
    {
        return common::failure{
            result_code::job_never_fits, "job", "larger than any worker"};
    }
    return std::nullopt;
}

void job_desk::submit(desk_context& with, job_request const& request)
{
    common::failure reason;
    auto wanted = parse_job(request.body, reason);
    if (!wanted)
    {
        with.out.emplace_back(refuse(request.caller, reason));
        return;
    }
    if (auto const why = refusal(with, *wanted))
    {
        with.out.emplace_back(refuse(request.caller, *why));
        return;
    }
    auto cell = with.loads.choose({wanted->declared,
                                   wanted->data_centre,
                                   "",
                                   false,
                                   with.config.data_centres_out_of_service},
                                  with.workers);
    if (!cell)
    {
        // Its data centre is out: it waits there until that comes back.
        cell = with.loads.choose(
            {wanted->declared, wanted->data_centre, "", false, {}},
            with.workers);
    }
    if (!cell)
    {
        with.out.emplace_back(refuse(
            request.caller,
            {result_code::worker_unreachable, "", "no worker is known yet"}));
        return;
    }
    auto const sent = std::min<std::uint32_t>(wanted->tasks, 64);
    for (std::uint32_t count = 0; count < sent; ++count)
    {
        with.loads.reserve(*cell, wanted->declared);
    }
    errand next;
    next.caller = request.caller;
    next.what = purpose::submit;
    next.at = step::registering;
    next.id = wanted->id;
    next.submitted = std::move(*wanted);
    next.cell = *cell;
    begin(with, std::move(next));
}

void job_desk::begin(desk_context& with, errand next)
{
    if (errands_.size() >= settings_.max_requests && next.what != purpose::stop)
    {
        with.out.emplace_back(
            refuse(next.caller,
                   {result_code::queue_full, "", "too many requests wait"}));
        return;
    }
    next.began = with.now;
    next.writer = writer_ + std::to_string(++last_errand_);
    auto& stored = errands_[last_errand_];
    stored = std::move(next);
    send(with, stored);
}

void job_desk::send(desk_context& with, errand& of)
{
    bool const writes = of.at == step::registering ||
                        of.at == step::delivering || of.at == step::posting;
    if (writes && !with.calls.may_write(with.now))
    {
        of.next_try = with.now;
        return;
    }
    ports::store_operation operation;
    switch (of.at)
    {
    case step::registering:
        operation = ports::store_write{
            registry_key(of.id),
            to_json(registration{of.writer, of.cell, of.submitted}),
            0};
        break;
    case step::reading_job:
        operation = ports::store_read{registry_key(of.id)};
        break;
    case step::listing_inbox:
        operation = ports::store_list{"inbox/"};
        break;
    case step::listing_tasks:
        operation = ports::store_list{"tasks/"};
        break;
    case step::delivering:
        operation =
            ports::store_write{inbox_key(of.cell, of.id),
                               to_json(make_submission_message(of.submitted)),
                               0};
        break;
    case step::posting:
        operation = ports::store_write{stop_key(of.id), to_json(of.notice), 0};
        break;
    }
    of.call = with.calls.send(
        call_owner::desk, of.id, std::move(operation), with.out);
}

void job_desk::tick(desk_context& with)
{
    for (auto item = errands_.begin(); item != errands_.end();)
    {
        auto& of = item->second;
        if (of.call == 0 && with.now - of.began >= settings_.give_up_after &&
            of.what != purpose::stop)
        {
            auto const code = of.wrote ? result_code::store_unclear
                                       : result_code::store_unavailable;
            with.out.emplace_back(
                refuse(of.caller, {code, of.id, "the store does not answer"}));
            item = errands_.erase(item);
            continue;
        }
        if (of.call == 0 && with.now >= of.next_try)
        {
            send(with, of);
        }
        ++item;
    }
}

} // namespace fuchsia::core::tasks
