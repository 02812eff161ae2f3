#include "core/tasks/job_request_handler.hpp"

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

job_request_handler::job_request_handler(std::uint64_t incarnation,
                                         job_request_handler_settings settings)
    : writer_(std::to_string(incarnation) + ":"), settings_(settings)
{
}

void job_request_handler::answer(job_request_context& with,
                                 pending_request const& of,
                                 std::uint16_t status,
                                 std::string body)
{
    if (of.kind == request_kind::stop)
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

void job_request_handler::on_request(job_request_context& with,
                                     job_request const& request)
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
    pending_request next;
    next.caller = request.caller;
    next.id = id;
    if (all && request.method == "POST")
    {
        submit(with, request);
        return;
    }
    if (request.method == "GET")
    {
        next.kind = all ? request_kind::list : request_kind::show;
        next.current_step = step::listing_inbox;
        next.state = state_filter(query);
    }
    else if (!all && request.method == "DELETE")
    {
        next.kind = request_kind::cancel;
        next.current_step = step::reading_job;
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

void job_request_handler::publish_stop(job_request_context& with,
                                       job_stopped const& what)
{
    pending_request next;
    next.kind = request_kind::stop;
    next.current_step = step::publishing_stop;
    next.id = what.job;
    next.notice = {"", 0, what.job, what.code, what.why};
    begin(with, std::move(next));
}

std::optional<common::failure>
job_request_handler::refusal(job_request_context& with, job const& wanted) const
{
    if (!with.accepting)
    {
        return common::failure{
            result_code::draining, "", "this planner is stopping"};
    }
    if (with.inbox_message_count >= settings_.max_inbox_messages)
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

void job_request_handler::submit(job_request_context& with,
                                 job_request const& request)
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
    auto cell =
        with.loads.choose_cell({wanted->declared,
                                wanted->data_centre,
                                "",
                                false,
                                with.config.data_centres_out_of_service},
                               with.workers);
    if (!cell)
    {
        // Its data centre is out: it waits there until that comes back.
        cell = with.loads.choose_cell(
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
    pending_request next;
    next.caller = request.caller;
    next.kind = request_kind::submit;
    next.current_step = step::registering;
    next.id = wanted->id;
    next.submitted = std::move(*wanted);
    next.cell = *cell;
    begin(with, std::move(next));
}

void job_request_handler::begin(job_request_context& with, pending_request next)
{
    if (pending_requests_.size() >= settings_.max_requests &&
        next.kind != request_kind::stop)
    {
        with.out.emplace_back(
            refuse(next.caller,
                   {result_code::queue_full, "", "too many requests wait"}));
        return;
    }
    next.started_at = with.now;
    next.writer = writer_ + std::to_string(++last_request_number_);
    auto& stored = pending_requests_[last_request_number_];
    stored = std::move(next);
    send(with, stored);
}

void job_request_handler::send(job_request_context& with, pending_request& of)
{
    bool const writes = of.current_step == step::registering ||
                        of.current_step == step::delivering ||
                        of.current_step == step::publishing_stop;
    if (writes && !with.calls.may_write(with.now))
    {
        of.next_retry_at = with.now;
        return;
    }
    ports::store_operation operation;
    switch (of.current_step)
    {
    case step::registering:
        operation = ports::store_write{
            job_registration_key(of.id),
            to_json(job_registration{of.writer, of.cell, of.submitted}),
            0};
        break;
    case step::reading_job:
        operation = ports::store_read{job_registration_key(of.id)};
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
    case step::publishing_stop:
        operation = ports::store_write{stop_key(of.id), to_json(of.notice), 0};
        break;
    }
    of.call = with.calls.send(
        call_owner::job_requests, of.id, std::move(operation), with.out);
}

void job_request_handler::tick(job_request_context& with)
{
    for (auto item = pending_requests_.begin();
         item != pending_requests_.end();)
    {
        auto& of = item->second;
        if (of.call == 0 &&
            with.now - of.started_at >= settings_.request_timeout &&
            of.kind != request_kind::stop)
        {
            auto const code = of.write_may_have_applied
                                  ? result_code::store_unclear
                                  : result_code::store_unavailable;
            with.out.emplace_back(
                refuse(of.caller, {code, of.id, "the store does not answer"}));
            item = pending_requests_.erase(item);
            continue;
        }
        if (of.call == 0 && with.now >= of.next_retry_at)
        {
            send(with, of);
        }
        ++item;
    }
}

} // namespace fuchsia::core::tasks
