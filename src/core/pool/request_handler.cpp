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

// One failure may be a connection that broke just then.
constexpr std::uint32_t failures_to_believe = 2;

std::optional<job_state> final_from(std::string_view text)
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
                                 operator_follower const& rules,
                                 outbox& out,
                                 revision_times& times)
    : settings_(settings), rules_(rules), out_(out), times_(times)
{
}

std::size_t request_handler::open() const noexcept
{
    return open_;
}

// A call that fails for want of a connection takes most of a second. After two
// of them in a row the next callers are not made to wait for a third. A lost
// answer says nothing of the next call.
bool request_handler::store_unavailable(common::time_point now) const noexcept
{
    auto const silent = store_silence(now);
    bool const failing =
        failures_ >= failures_to_believe && silent > settings_.failing_after;
    return failing || silent > settings_.store_unavailable_after;
}

common::duration
request_handler::store_silence(common::time_point now) const noexcept
{
    return now - out_.store_answered();
}

void request_handler::note(ports::kv_reply const& reply)
{
    if (reply.status == kv_status::refused)
    {
        ++failures_;
    }
    else if (reply.status != kv_status::unclear)
    {
        failures_ = 0;
    }
}

void request_handler::on_request(common::time_point now,
                                 pool_request const& request,
                                 owner const* owned)
{
    ++open_;
    if (!rules_.loaded())
    {
        refuse(request.caller, "no configuration was read yet");
        return;
    }
    auto const* const into =
        rules_.state().config.find(request.host, request.path);
    bool const submits = std::holds_alternative<submit_request>(request.action);
    // A job's state lies in the store, whatever has become of its queue.
    bool const of_job = into != nullptr && !submits &&
                        request.path.size() > into->prefix.size();
    if (!of_job && configuration_is_old(now))
    {
        refuse_by_old_configuration(now, request);
        return;
    }
    if (into == nullptr)
    {
        answer(request.caller, ports::queue_not_found{});
        return;
    }
    auto id = request.path.substr(into->prefix.size());
    bool const of_queue =
        id.empty() && std::holds_alternative<query_request>(request.action);
    if (!of_queue && !is_job_id(id))
    {
        answer_malformed_id(request.caller, submits);
        return;
    }
    if (auto const* const given = std::get_if<submit_request>(&request.action))
    {
        submit(now, request.caller, given->job_spec, *into, std::move(id));
    }
    else if (std::holds_alternative<cancel_request>(request.action))
    {
        cancel(now, ask_about(now, request.caller, id));
    }
    else if (of_queue)
    {
        query_queue(now, request.caller, into->name, owned);
    }
    else
    {
        query(now, ask_about(now, request.caller, id), owned);
    }
}

// Nobody can have handed such a job in.
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
    return now - rules_.state().current_as_of >
           settings_.configuration_age_limit;
}

// An instance that hears late of changes would go on saying that a queue which
// was just added is absent, and take jobs for one that is gone.
void request_handler::refuse_by_old_configuration(common::time_point now,
                                                  pool_request const& request)
{
    auto const& state = rules_.state();
    out_.log(
        severity::warning,
        "configuration_old",
        {{"path", request.path},
         {"version", std::to_string(state.config.version)},
         {"age_ms",
          std::to_string(common::to_milliseconds(now - state.current_as_of))}});
    refuse(request.caller, "what operators set was last heard too long ago");
}

// The job's key must not exist, nor the record of its end: the same id, sent
// again after its answer was lost or seconds after it was accepted, stays one
// job, whichever instance gets it. Nor must its cancelling, which may have
// overtaken it: a job that was cancelled before it came never runs.
void request_handler::submit(common::time_point now,
                             std::uint64_t caller,
                             job what,
                             queue const& into,
                             std::string id)
{
    if (store_unavailable(now))
    {
        out_.log(severity::warning,
                 "job_turned_away",
                 {{"job", id},
                  {"store_silent_ms",
                   std::to_string(common::to_milliseconds(store_silence(now)))},
                  {"failures", std::to_string(failures_)}});
        refuse(caller, "the store is away");
        return;
    }
    what.id = id;
    what.queue = into.name;
    what.accepted_unix_ms = out_.unix_ms(now);
    ports::kv_commit commit;
    commit.preconditions.push_back({keys::job(id), 0});
    commit.preconditions.push_back({keys::final_state(id), 0});
    commit.preconditions.push_back({keys::cancel(id), 0});
    commit.puts.push_back({keys::job(id), to_json(what), 0});
    out_.store(
        life_,
        std::move(commit),
        settings_.call_timeout,
        [this, caller, id, now](common::time_point at, kv_reply const& reply)
        {
            auto const took = std::to_string(common::to_milliseconds(at - now));
            note(reply);
            times_.note(now, reply.revision);
            out_.push(ports::duration_sample{ports::duration_metric::accept,
                                             at - now});
            auto const silent =
                std::to_string(common::to_milliseconds(store_silence(at)));
            switch (reply.status)
            {
            case kv_status::done:
                out_.log(severity::info,
                         "job_accepted",
                         {{"job", id},
                          {"revision", std::to_string(reply.revision)},
                          {"took_ms", took}});
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
                          {"took_ms", took},
                          {"store_silent_ms", silent}});
                refuse(caller, "the store did not take the job");
                return;
            default:
                out_.log(severity::warning,
                         "job_unclear",
                         {{"job", id},
                          {"took_ms", took},
                          {"store_silent_ms", silent}});
                unknown(caller, "the store did not answer");
                return;
            }
        });
}

request_handler::job_question request_handler::ask_about(
    common::time_point now, std::uint64_t caller, std::string const& id) const
{
    return {caller, id, now + settings_.answer_limit};
}

// A call may take a connection first, which is not in its limit.
common::duration request_handler::time_for(common::time_point now,
                                           job_question const& asked,
                                           common::duration limit) const
{
    return std::clamp(asked.until - now, settings_.least_timeout, limit);
}

void request_handler::query(common::time_point now,
                            job_question const& asked,
                            owner const* owned)
{
    auto const known = finals_.find(asked.id);
    if (known != finals_.end())
    {
        answer(asked.caller, ports::job_status{known->second});
        return;
    }
    auto const state = owned != nullptr && owned->loaded()
                           ? owned->state_of(asked.id)
                           : std::nullopt;
    if (state)
    {
        answer(asked.caller, ports::job_status{*state});
        return;
    }
    if (store_unavailable(now))
    {
        refuse(asked.caller, "the store is away");
        return;
    }
    query_old_final(now, asked);
}

// Submitters ask most often when the last task has ended, and an end is never
// taken back: a copy that is seconds behind may say that there is one, at a
// tenth of the price. That it knows none says nothing.
void request_handler::query_old_final(common::time_point now,
                                      job_question const& asked)
{
    out_.store(life_,
               ports::kv_read{keys::final_state(asked.id), true},
               time_for(now, asked, settings_.old_read_timeout),
               [this, asked](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done && !reply.items.empty())
                   {
                       answer_final(asked, reply.items.front());
                       return;
                   }
                   query_job(at, asked);
               });
}

// The job's key before that of its end: a job that ends between the two reads
// is then found by the second, and none is taken for unknown.
void request_handler::query_job(common::time_point now,
                                job_question const& asked)
{
    out_.store(life_,
               ports::kv_read{keys::job(asked.id)},
               time_for(now, asked, settings_.read_timeout),
               [this, asked](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done)
                   {
                       answer(asked.caller,
                              ports::job_status{job_state::active});
                   }
                   else if (reply.status == kv_status::missing)
                   {
                       query_final(at, asked);
                   }
                   else
                   {
                       refuse(asked.caller, "the store did not answer");
                   }
               });
}

void request_handler::query_final(common::time_point now,
                                  job_question const& asked)
{
    out_.store(life_,
               ports::kv_read{keys::final_state(asked.id)},
               time_for(now, asked, settings_.read_timeout),
               [this, asked](common::time_point, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done && !reply.items.empty())
                   {
                       answer_final(asked, reply.items.front());
                   }
                   else if (reply.status == kv_status::missing)
                   {
                       answer(asked.caller, ports::job_not_found{});
                   }
                   else
                   {
                       refuse(asked.caller, "the store did not answer");
                   }
               });
}

void request_handler::answer_final(job_question const& asked,
                                   ports::kv_item const& item)
{
    auto const state = final_from(item.value);
    if (!state)
    {
        out_.log(severity::error, "final_unreadable", {{"job", asked.id}});
        refuse(asked.caller, "the record of the job's end can't be read");
        return;
    }
    remember(asked.id, *state);
    answer(asked.caller, ports::job_status{*state});
}

void request_handler::answer(std::uint64_t caller, ports::job_answer what)
{
    --open_;
    out_.reply(caller, std::move(what));
}

void request_handler::refuse(std::uint64_t caller, std::string why)
{
    answer(caller,
           ports::job_refused{
               {result_code::store_unavailable, "store", std::move(why)},
               settings_.retry_after});
}

void request_handler::unknown(std::uint64_t caller, std::string why)
{
    answer(caller,
           ports::job_outcome_unknown{
               {result_code::store_unclear, "store", std::move(why)}});
}

void request_handler::remember(std::string const& id, job_state state)
{
    if (!finals_.emplace(id, state).second)
    {
        return;
    }
    final_order_.push_back(id);
    if (final_order_.size() > settings_.max_final_states)
    {
        finals_.erase(final_order_.front());
        final_order_.pop_front();
    }
}

} // namespace fuchsia::core::pool
