#include "programs/pool/pool_program.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

// Calls to the store, workers and the policy, and their replies.
namespace fuchsia::programs::pool
{

using core::common::clock;

namespace
{

ports::order_reply not_attempted_reply(ports::pool_order const& order)
{
    ports::order_reply reply;
    reply.id = order.id;
    reply.status = ports::order_status::not_attempted;
    return reply;
}

} // namespace

// Runs on the thread of remote calls. An order that was queued for longer than
// its time-out is not sent, because it is based on stale state.
void pool_program::send_remote(remote_call& call)
{
    auto const waited = clock::now() - call.requested_at;
    if (auto* const order = std::get_if<ports::pool_order>(&call.operation))
    {
        if (waited > order->timeout)
        {
            replies_.try_push(remote_reply{not_attempted_reply(*order)});
            return;
        }
        workers_->send(std::move(*order));
    }
    else if (auto* const policy =
                 std::get_if<ports::policy_request>(&call.operation))
    {
        policy_->send(*policy);
    }
    else if (std::holds_alternative<ports::release_workers>(call.operation))
    {
        workers_->release();
    }
}

void pool_program::on_reply(remote_reply& reply)
{
    auto const now = clock::now();
    if (auto const* const order = std::get_if<ports::order_reply>(&reply))
    {
        measurements_.on_call_end(now, *order);
        engine_.on_order_reply(now, *order);
    }
    else if (auto const* const policy =
                 std::get_if<ports::policy_reply>(&reply))
    {
        engine_.on_policy_reply(now, *policy);
    }
    perform();
}

void pool_program::on_reply(ports::kv_reply const& reply)
{
    auto const now = clock::now();
    measurements_.on_call_end(now, reply);
    engine_.on_kv_reply(now, reply);
    perform();
}

template<class Reply>
void pool_program::post_reply(Reply reply)
{
    boost::asio::post(decisions_.io(),
                      [this, reply = std::move(reply)]() mutable
                      {
                          on_reply(reply);
                      });
}

void pool_program::refuse(ports::kv_call const& call)
{
    ports::kv_reply reply;
    reply.id = call.id;
    reply.status = ports::kv_status::refused;
    post_reply(std::move(reply));
}

// Reports to the engine that the call was not sent.
void pool_program::refuse(remote_operation const& call)
{
    remote_reply reply;
    if (auto const* const order = std::get_if<ports::pool_order>(&call))
    {
        reply = not_attempted_reply(*order);
    }
    else if (auto const* const policy =
                 std::get_if<ports::policy_request>(&call))
    {
        ports::policy_reply answer;
        answer.id = policy->id;
        reply = std::move(answer);
    }
    post_reply(std::move(reply));
}

} // namespace fuchsia::programs::pool
