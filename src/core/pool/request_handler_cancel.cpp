#include "core/pool/keys.hpp"
#include "core/pool/request_handler.hpp"

#include <utility>

// A job's cancelling: before the job comes, while it is there, after its end.
namespace fuchsia::core::pool
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

void request_handler::cancel(common::time_point now, job_question const& asked)
{
    if (store_unavailable(now))
    {
        refuse(asked.caller, "the store is away");
        return;
    }
    out_.store(life_,
               ports::kv_read{keys::job(asked.id)},
               time_for(now, asked, settings_.read_timeout),
               [this, asked](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done && !reply.items.empty())
                   {
                       cancel_known(at, asked, reply.items.front().revision);
                       return;
                   }
                   if (reply.status != kv_status::missing)
                   {
                       refuse(asked.caller, "the store did not answer");
                       return;
                   }
                   cancel_ended(at, asked);
               });
}

void request_handler::cancel_ended(common::time_point now,
                                   job_question const& asked)
{
    out_.store(life_,
               ports::kv_read{keys::final_state(asked.id)},
               time_for(now, asked, settings_.read_timeout),
               [this, asked](common::time_point at, kv_reply const& reply)
               {
                   if (reply.status == kv_status::done)
                   {
                       answer(asked.caller, ports::job_accepted{});
                   }
                   else if (reply.status == kv_status::missing)
                   {
                       cancel_unknown(at, asked);
                   }
                   else
                   {
                       refuse(asked.caller, "the store did not answer");
                   }
               });
}

// Its submission may still be on the way, or be carried out by the store
// seconds from now: it finds the cancelling there and makes no job.
void request_handler::cancel_unknown(common::time_point now,
                                     job_question const& asked)
{
    ports::kv_commit commit;
    commit.preconditions.push_back({keys::job(asked.id), 0});
    commit.preconditions.push_back({keys::final_state(asked.id), 0});
    commit.puts.push_back({keys::cancel(asked.id), "cancelled", 0});
    out_.store(
        life_,
        std::move(commit),
        time_for(now, asked, settings_.call_timeout),
        [this, asked](common::time_point at, kv_reply const& reply)
        {
            switch (reply.status)
            {
            case kv_status::done:
                out_.log(severity::info, "cancel_ahead", {{"job", asked.id}});
                answer(asked.caller, ports::job_not_found{});
                return;
            case kv_status::conflict:
                // The job came just now.
                cancel(at, asked);
                return;
            case kv_status::refused:
                refuse(asked.caller, "the store did not take the cancelling");
                return;
            default:
                unknown(asked.caller, "the store did not answer");
                return;
            }
        });
}

void request_handler::cancel_known(common::time_point now,
                                   job_question const& asked,
                                   std::uint64_t revision)
{
    ports::kv_commit commit;
    commit.preconditions.push_back({keys::job(asked.id), revision});
    commit.puts.push_back({keys::cancel(asked.id), "cancelled", 0});
    out_.store(
        life_,
        std::move(commit),
        time_for(now, asked, settings_.call_timeout),
        [this, asked](common::time_point, kv_reply const& reply)
        {
            out_.log(severity::info,
                     "cancel_asked",
                     {{"job", asked.id},
                      {"status",
                       std::to_string(static_cast<unsigned>(reply.status))}});
            // A conflict: it ended just now.
            bool const taken = reply.status == kv_status::done ||
                               reply.status == kv_status::conflict;
            if (taken)
            {
                answer(asked.caller, ports::job_accepted{});
            }
            else if (reply.status == kv_status::refused)
            {
                refuse(asked.caller, "the store did not take the cancelling");
            }
            else
            {
                unknown(asked.caller, "the store did not answer");
            }
        });
}

} // namespace fuchsia::core::pool
