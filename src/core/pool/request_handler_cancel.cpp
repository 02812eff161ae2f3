#include "core/pool/keys.hpp"
#include "core/pool/request_handler.hpp"

#include <utility>

// Cancellation of a job that has not arrived yet, is active or has ended.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

void request_handler::cancel(common::time_point now, job_request const& request)
{
    if (store_unavailable(now))
    {
        refuse(request.caller, "the store is unavailable");
        return;
    }
    out_.store(life_,
               ports::kv_read{keys::job(request.id)},
               timeout_for(now, request, settings_.read_timeout),
               [this, request](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done && !reply.items.empty())
                   {
                       cancel_existing(
                           at, request, reply.items.front().revision);
                       return;
                   }
                   if (reply.status != kv_status::missing)
                   {
                       refuse(request.caller, "the store did not answer");
                       return;
                   }
                   cancel_if_ended(at, request);
               });
}

void request_handler::cancel_if_ended(common::time_point now,
                                      job_request const& request)
{
    out_.store(life_,
               ports::kv_read{keys::final_state(request.id)},
               timeout_for(now, request, settings_.read_timeout),
               [this, request](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done)
                   {
                       answer(request.caller, ports::job_accepted{});
                   }
                   else if (reply.status == kv_status::missing)
                   {
                       cancel_ahead_of_submission(at, request);
                   }
                   else
                   {
                       refuse(request.caller, "the store did not answer");
                   }
               });
}

// The submission may still be on its way, or the store may execute it seconds
// from now. It then finds the cancellation record, and no job is created.
void request_handler::cancel_ahead_of_submission(common::time_point now,
                                                 job_request const& request)
{
    ports::kv_commit commit;
    commit.preconditions.push_back({keys::job(request.id), 0});
    commit.preconditions.push_back({keys::final_state(request.id), 0});
    commit.puts.push_back({keys::cancel(request.id), "cancelled", 0});
    out_.store(
        life_,
        std::move(commit),
        timeout_for(now, request, settings_.call_timeout),
        [this, request](common::time_point at, kv_reply const& reply)
        {
            switch (reply.status)
            {
            case kv_status::done:
                out_.log(severity::info, "cancel_ahead", {{"job", request.id}});
                answer(request.caller, ports::job_not_found{});
                return;
            case kv_status::conflict:
                // The job was created or ended after the reads.
                cancel(at, request);
                return;
            case kv_status::refused:
                refuse(request.caller, "the store refused the cancellation");
                return;
            default:
                answer_unknown_outcome(request.caller,
                                       "the store did not answer");
                return;
            }
        });
}

void request_handler::cancel_existing(common::time_point now,
                                      job_request const& request,
                                      std::uint64_t revision)
{
    ports::kv_commit commit;
    commit.preconditions.push_back({keys::job(request.id), revision});
    commit.puts.push_back({keys::cancel(request.id), "cancelled", 0});
    out_.store(
        life_,
        std::move(commit),
        timeout_for(now, request, settings_.call_timeout),
        [this, request](common::time_point, kv_reply const& reply)
        {
            out_.log(severity::info,
                     "cancel_asked",
                     {{"job", request.id},
                      {"status",
                       std::to_string(static_cast<unsigned>(reply.status))}});
            // A conflict means that the job has just ended.
            bool const accepted = reply.status == kv_status::done ||
                                  reply.status == kv_status::conflict;
            if (accepted)
            {
                answer(request.caller, ports::job_accepted{});
            }
            else if (reply.status == kv_status::refused)
            {
                refuse(request.caller, "the store refused the cancellation");
            }
            else
            {
                answer_unknown_outcome(request.caller,
                                       "the store did not answer");
            }
        });
}

} // namespace fuchsia::core::pool
