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

void job_request_handler::answer(job_request_context& context,
                                 pending_request const& pending,
                                 std::uint16_t status,
                                 std::string body)
{
    if (pending.kind == request_kind::stop)
    {
        return;
    }
    ports::caller_reply out;
    out.caller = pending.caller;
    out.answer.status = status;
    out.answer.headers.push_back({"Content-Type", "application/json"});
    out.answer.body = std::move(body);
    context.out.emplace_back(std::move(out));
}

void job_request_handler::on_request(job_request_context& context,
                                     job_request const& request)
{
    std::string_view target = request.target;
    auto const query_start = target.find('?');
    std::string_view const query = query_start == std::string_view::npos
                                       ? ""
                                       : target.substr(query_start + 1);
    target = target.substr(0, query_start);
    bool const all = target == jobs_path;
    std::string_view id =
        all ? "" : target.substr(std::min(target.size(), jobs_path.size() + 1));
    if (!all && (id.empty() || id.find('/') != std::string_view::npos))
    {
        context.out.emplace_back(refuse(
            request.caller,
            {result_code::unknown_path, request.target, "no such path"}));
        return;
    }
    pending_request next;
    next.caller = request.caller;
    next.id = id;
    if (all && request.method == "POST")
    {
        submit(context, request);
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
        context.out.emplace_back(
            refuse(request.caller,
                   {result_code::bad_method, request.target, request.method}));
        return;
    }
    begin(context, std::move(next));
}

void job_request_handler::publish_stop(job_request_context& context,
                                       job_stopped const& stopped)
{
    pending_request next;
    next.kind = request_kind::stop;
    next.current_step = step::publishing_stop;
    next.id = stopped.job;
    next.notice = {"", 0, stopped.job, stopped.code, stopped.why};
    begin(context, std::move(next));
}

std::optional<common::failure>
job_request_handler::refusal(job_request_context& context,
                             job const& definition) const
{
    if (!context.accepting)
    {
        return common::failure{
            result_code::draining, "", "this planner is stopping"};
    }
    if (context.inbox_message_count >= settings_.max_inbox_messages)
    {
        return common::failure{
            result_code::queue_full, "inbox", "too many jobs wait"};
    }
    if (context.config.withdrawn.count(definition.customer) != 0)
    {
        return common::failure{result_code::contract_withdrawn,
                               "job.customer",
                               definition.customer};
    }
    auto const contract = context.config.contracts.find(definition.customer);
    if (contract == context.config.contracts.end())
    {
        return common::failure{
            result_code::unknown_customer, "job.customer", definition.customer};
    }
    if (!contract->second.capacity.covers(definition.declared))
    {
        return common::failure{result_code::over_contract_resources,
                               "job",
                               "one task exceeds the contract"};
    }
    if (!context.workers.all().empty() &&
        !context.workers.ever_fits(definition.declared, definition.data_centre))
    {
        return common::failure{
            result_code::job_never_fits, "job", "larger than any worker"};
    }
    return std::nullopt;
}

void job_request_handler::submit(job_request_context& context,
                                 job_request const& request)
{
    common::failure reason;
    auto definition = parse_job(request.body, reason);
    if (!definition)
    {
        context.out.emplace_back(refuse(request.caller, reason));
        return;
    }
    if (auto const reason_to_refuse = refusal(context, *definition))
    {
        context.out.emplace_back(refuse(request.caller, *reason_to_refuse));
        return;
    }
    auto cell =
        context.loads.choose_cell({definition->declared,
                                   definition->data_centre,
                                   "",
                                   false,
                                   context.config.data_centres_out_of_service},
                                  context.workers);
    if (!cell)
    {
        // The requested data centre is out of service: the job waits in one of
        // its cells until it is back.
        cell = context.loads.choose_cell(
            {definition->declared, definition->data_centre, "", false, {}},
            context.workers);
    }
    if (!cell)
    {
        context.out.emplace_back(refuse(
            request.caller,
            {result_code::worker_unreachable, "", "no worker is known yet"}));
        return;
    }
    auto const reserved_tasks = std::min<std::uint32_t>(definition->tasks, 64);
    for (std::uint32_t count = 0; count < reserved_tasks; ++count)
    {
        context.loads.reserve(*cell, definition->declared);
    }
    pending_request next;
    next.caller = request.caller;
    next.kind = request_kind::submit;
    next.current_step = step::registering;
    next.id = definition->id;
    next.submitted = std::move(*definition);
    next.cell = *cell;
    begin(context, std::move(next));
}

void job_request_handler::begin(job_request_context& context,
                                pending_request next)
{
    if (pending_requests_.size() >= settings_.max_requests &&
        next.kind != request_kind::stop)
    {
        context.out.emplace_back(
            refuse(next.caller,
                   {result_code::queue_full, "", "too many requests wait"}));
        return;
    }
    next.started_at = context.now;
    next.writer = writer_ + std::to_string(++last_request_number_);
    auto& stored = pending_requests_[last_request_number_];
    stored = std::move(next);
    send(context, stored);
}

void job_request_handler::send(job_request_context& context,
                               pending_request& pending)
{
    bool const writes = pending.current_step == step::registering ||
                        pending.current_step == step::delivering ||
                        pending.current_step == step::publishing_stop;
    if (writes && !context.calls.may_write(context.now))
    {
        pending.next_retry_at = context.now;
        return;
    }
    ports::store_operation operation;
    switch (pending.current_step)
    {
    case step::registering:
        operation = ports::store_write{
            job_registration_key(pending.id),
            to_json(job_registration{
                pending.writer, pending.cell, pending.submitted}),
            0};
        break;
    case step::reading_job:
        operation = ports::store_read{job_registration_key(pending.id)};
        break;
    case step::listing_inbox:
        operation = ports::store_list{"inbox/"};
        break;
    case step::listing_tasks:
        operation = ports::store_list{"tasks/"};
        break;
    case step::delivering:
        operation = ports::store_write{
            inbox_key(pending.cell, pending.id),
            to_json(make_submission_message(pending.submitted)),
            0};
        break;
    case step::publishing_stop:
        operation = ports::store_write{
            stop_key(pending.id), to_json(pending.notice), 0};
        break;
    }
    pending.call = context.calls.send(call_owner::job_requests,
                                      pending.id,
                                      std::move(operation),
                                      context.out);
}

void job_request_handler::tick(job_request_context& context)
{
    for (auto item = pending_requests_.begin();
         item != pending_requests_.end();)
    {
        auto& pending = item->second;
        if (pending.call == 0 &&
            context.now - pending.started_at >= settings_.request_timeout &&
            pending.kind != request_kind::stop)
        {
            auto const code = pending.write_may_have_applied
                                  ? result_code::store_unclear
                                  : result_code::store_unavailable;
            context.out.emplace_back(
                refuse(pending.caller,
                       {code, pending.id, "the store does not answer"}));
            item = pending_requests_.erase(item);
            continue;
        }
        if (pending.call == 0 && context.now >= pending.next_retry_at)
        {
            send(context, pending);
        }
        ++item;
    }
}

} // namespace fuchsia::core::tasks
