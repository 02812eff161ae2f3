#include "core/pool/request_handler.hpp"

#include "core/pool/keys.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

using common::result_code;
using ports::job_state;
using ports::kv_reply;
using ports::kv_status;
using ports::severity;

namespace
{

// A single failure may be due to a connection that has just broken.
constexpr std::uint32_t min_failed_commits = 2;

std::optional<job_state> parse_final_state(std::string_view text)
{
    if (text == "completed")
    {
        return job_state::completed;
    }
    if (text == "failed")
    {
        return job_state::failed;
    }
    return text == "cancelled" ? std::optional(job_state::cancelled)
                               : std::nullopt;
}

} // namespace

request_handler::request_handler(request_handler_settings settings,
                                 operator_follower const& operators,
                                 outbox& out,
                                 revision_times& times)
    : settings_(settings), operators_(operators), out_(out),
      revision_times_(times)
{
}

std::size_t request_handler::open() const noexcept
{
    return open_requests_;
}

// A call that fails because there is no connection takes most of a second.
// After two consecutive failures, further callers are refused at once instead
// of waiting for a third. A lost answer does not count as a failure: it does
// not show whether the next call will succeed.
bool request_handler::store_unavailable(common::time_point now) const noexcept
{
    auto const silence = store_silence(now);
    bool const failing = failed_commits_ >= min_failed_commits &&
                         silence > settings_.failing_after;
    return failing || silence > settings_.store_unavailable_after;
}

common::duration
request_handler::store_silence(common::time_point now) const noexcept
{
    return now - out_.store_answered();
}

void request_handler::count_failure(ports::kv_reply const& reply)
{
    if (reply.status == kv_status::refused)
    {
        ++failed_commits_;
    }
    else if (reply.status != kv_status::unclear)
    {
        failed_commits_ = 0;
    }
}

void request_handler::on_request(common::time_point now,
                                 pool_request const& request,
                                 owner const* owned)
{
    ++open_requests_;
    if (!operators_.loaded())
    {
        refuse(request.caller, "no configuration has been read yet");
        return;
    }
    auto const* const target_queue =
        operators_.state().config.find(request.host, request.path);
    bool const submits = std::holds_alternative<submit_request>(request.action);
    // The state of a job is in the store even if its queue has been changed or
    // removed, so queries and cancellations of a job don't need a current
    // configuration.
    bool const concerns_job = target_queue != nullptr && !submits &&
                              request.path.size() > target_queue->prefix.size();
    if (!concerns_job && configuration_is_old(now))
    {
        refuse_for_old_configuration(now, request);
        return;
    }
    if (target_queue == nullptr)
    {
        answer(request.caller, ports::queue_not_found{});
        return;
    }
    auto id = request.path.substr(target_queue->prefix.size());
    bool const concerns_queue =
        id.empty() && std::holds_alternative<query_request>(request.action);
    if (!concerns_queue && !is_job_id(id))
    {
        answer_malformed_id(request.caller, submits);
        return;
    }
    if (auto const* const submission =
            std::get_if<submit_request>(&request.action))
    {
        submit(now,
               request.caller,
               submission->job_spec,
               *target_queue,
               std::move(id));
    }
    else if (std::holds_alternative<cancel_request>(request.action))
    {
        cancel(now, make_job_request(now, request.caller, id));
    }
    else if (concerns_queue)
    {
        query_queue(now, request.caller, target_queue->name, owned);
    }
    else
    {
        query(now, make_job_request(now, request.caller, id), owned);
    }
}

// A job with a malformed id cannot have been submitted, so it is reported as
// not found.
void request_handler::answer_malformed_id(std::uint64_t caller, bool submits)
{
    if (!submits)
    {
        answer(caller, ports::job_not_found{});
        return;
    }
    answer(caller,
           ports::job_invalid{{result_code::malformed_job,
                               "job.id",
                               "1 to 64 letters, digits, - and _"}});
}

bool request_handler::configuration_is_old(
    common::time_point now) const noexcept
{
    return now - operators_.state().current_as_of >
           settings_.configuration_age_limit;
}

// An instance that receives configuration changes late would still report a
// newly added queue as not found, and accept jobs for a removed queue.
void request_handler::refuse_for_old_configuration(common::time_point now,
                                                   pool_request const& request)
{
    auto const& state = operators_.state();
    out_.log(
        severity::warning,
        "configuration_old",
        {{"path", request.path},
         {"version", std::to_string(state.config.version)},
         {"age_ms",
          std::to_string(common::to_milliseconds(now - state.current_as_of))}});
    refuse(request.caller, "the operator configuration is out of date");
}

// Submission is idempotent: the commit requires that neither the job's key nor
// its final state exists. An id that is submitted again, because its answer was
// lost or seconds after it was accepted, stays one job, whichever instance
// receives it. The commit also requires that no cancellation exists, because a
// cancellation may overtake the submission: a job that was cancelled before it
// arrived never runs.
void request_handler::submit(common::time_point now,
                             std::uint64_t caller,
                             job submitted,
                             queue const& target_queue,
                             std::string id)
{
    if (store_unavailable(now))
    {
        out_.log(severity::warning,
                 "job_turned_away",
                 {{"job", id},
                  {"store_silent_ms",
                   std::to_string(common::to_milliseconds(store_silence(now)))},
                  {"failures", std::to_string(failed_commits_)}});
        refuse(caller, "the store is unavailable");
        return;
    }
    submitted.id = id;
    submitted.queue = target_queue.name;
    submitted.accepted_unix_ms = out_.unix_ms(now);
    ports::kv_commit commit;
    commit.preconditions.push_back({keys::job(id), 0});
    commit.preconditions.push_back({keys::final_state(id), 0});
    commit.preconditions.push_back({keys::cancel(id), 0});
    commit.puts.push_back({keys::job(id), to_json(submitted), 0});
    out_.store(
        life_,
        std::move(commit),
        settings_.call_timeout,
        [this, caller, id, now](common::time_point at, kv_reply const& reply)
        {
            auto const elapsed_ms =
                std::to_string(common::to_milliseconds(at - now));
            count_failure(reply);
            revision_times_.note(now, reply.revision);
            out_.push(ports::duration_sample{ports::duration_metric::accept,
                                             at - now});
            auto const silent_ms =
                std::to_string(common::to_milliseconds(store_silence(at)));
            switch (reply.status)
            {
            case kv_status::done:
                out_.log(severity::info,
                         "job_accepted",
                         {{"job", id},
                          {"revision", std::to_string(reply.revision)},
                          {"took_ms", elapsed_ms}});
                answer(caller, ports::job_accepted{});
                return;
            case kv_status::conflict:
                out_.log(severity::info, "job_known", {{"job", id}});
                answer(caller, ports::job_accepted{});
                return;
            case kv_status::refused:
                out_.log(severity::warning,
                         "job_refused",
                         {{"job", id},
                          {"took_ms", elapsed_ms},
                          {"store_silent_ms", silent_ms}});
                refuse(caller, "the store refused the job");
                return;
            default:
                out_.log(severity::warning,
                         "job_unclear",
                         {{"job", id},
                          {"took_ms", elapsed_ms},
                          {"store_silent_ms", silent_ms}});
                answer_unknown_outcome(caller, "the store did not answer");
                return;
            }
        });
}

request_handler::job_request request_handler::make_job_request(
    common::time_point now, std::uint64_t caller, std::string const& id) const
{
    return {caller, id, now + settings_.answer_limit};
}

// The result does not include the time to open a connection, which a call may
// need first.
common::duration request_handler::timeout_for(common::time_point now,
                                              job_request const& request,
                                              common::duration limit) const
{
    return std::clamp(request.deadline - now, settings_.min_timeout, limit);
}

void request_handler::query(common::time_point now,
                            job_request const& request,
                            owner const* owned)
{
    auto const cached = final_states_.find(request.id);
    if (cached != final_states_.end())
    {
        answer(request.caller, ports::job_status{cached->second});
        return;
    }
    auto const state = owned != nullptr && owned->loaded()
                           ? owned->state_of(request.id)
                           : std::nullopt;
    if (state)
    {
        answer(request.caller, ports::job_status{*state});
        return;
    }
    if (store_unavailable(now))
    {
        refuse(request.caller, "the store is unavailable");
        return;
    }
    query_stale_final(now, request);
}

// Most queries come after the last task has ended, and a final state never
// changes. A stale read therefore gives a correct final state at a tenth of the
// cost, even from a replica that is seconds behind. If the stale read finds
// none, the job may still have ended.
void request_handler::query_stale_final(common::time_point now,
                                        job_request const& request)
{
    out_.store(life_,
               ports::kv_read{keys::final_state(request.id), true},
               timeout_for(now, request, settings_.stale_read_timeout),
               [this, request](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done && !reply.items.empty())
                   {
                       answer_final(request, reply.items.front());
                       return;
                   }
                   query_job(at, request);
               });
}

// Reads the job's key before its final state: a job that ends between the two
// reads is found by the second read instead of being reported as not found.
void request_handler::query_job(common::time_point now,
                                job_request const& request)
{
    out_.store(life_,
               ports::kv_read{keys::job(request.id)},
               timeout_for(now, request, settings_.read_timeout),
               [this, request](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done)
                   {
                       answer(request.caller,
                              ports::job_status{job_state::active});
                   }
                   else if (reply.status == kv_status::missing)
                   {
                       query_final(at, request);
                   }
                   else
                   {
                       refuse(request.caller, "the store did not answer");
                   }
               });
}

void request_handler::query_final(common::time_point now,
                                  job_request const& request)
{
    out_.store(life_,
               ports::kv_read{keys::final_state(request.id)},
               timeout_for(now, request, settings_.read_timeout),
               [this, request](common::time_point, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done && !reply.items.empty())
                   {
                       answer_final(request, reply.items.front());
                   }
                   else if (reply.status == kv_status::missing)
                   {
                       answer(request.caller, ports::job_not_found{});
                   }
                   else
                   {
                       refuse(request.caller, "the store did not answer");
                   }
               });
}

void request_handler::answer_final(job_request const& request,
                                   ports::kv_item const& item)
{
    auto const state = parse_final_state(item.value);
    if (!state)
    {
        out_.log(severity::error, "final_unreadable", {{"job", request.id}});
        refuse(request.caller, "the final state of the job can't be parsed");
        return;
    }
    cache_final_state(request.id, *state);
    answer(request.caller, ports::job_status{*state});
}

void request_handler::answer(std::uint64_t caller, ports::job_answer job_answer)
{
    --open_requests_;
    out_.reply(caller, std::move(job_answer));
}

void request_handler::refuse(std::uint64_t caller, std::string reason)
{
    answer(caller,
           ports::job_refused{
               {result_code::store_unavailable, "store", std::move(reason)},
               settings_.retry_after});
}

void request_handler::answer_unknown_outcome(std::uint64_t caller,
                                             std::string reason)
{
    answer(caller,
           ports::job_outcome_unknown{
               {result_code::store_unclear, "store", std::move(reason)}});
}

void request_handler::cache_final_state(std::string const& id, job_state state)
{
    if (!final_states_.emplace(id, state).second)
    {
        return;
    }
    final_state_order_.push_back(id);
    if (final_state_order_.size() > settings_.max_final_states)
    {
        final_states_.erase(final_state_order_.front());
        final_state_order_.pop_front();
    }
}

} // namespace fuchsia::core::pool
