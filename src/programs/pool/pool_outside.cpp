#include "programs/pool/pool_program.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

// Calls of the store, workers and the policy, and their answers.
namespace fuchsia::programs::pool
{

using core::common::clock;

namespace
{

ports::order_reply held_back(ports::pool_order const& order)
{
    ports::order_reply made;
    made.id = order.id;
    made.status = ports::order_status::not_attempted;
    return made;
}

} // namespace

// On the outside's thread. An order that waited here for longer than its answer
// may take rests on what was known too long ago.
void pool_program::send_outside(outside_call& call)
{
    auto const waited = clock::now() - call.asked;
    if (auto* const order = std::get_if<ports::pool_order>(&call.what))
    {
        if (waited > order->timeout)
        {
            replies_.try_push(outside_reply{held_back(*order)});
            return;
        }
        workers_->send(std::move(*order));
    }
    else if (auto* const ask = std::get_if<ports::policy_request>(&call.what))
    {
        advice_->send(*ask);
    }
}

void pool_program::take_reply(outside_reply& reply)
{
    auto const now = clock::now();
    if (auto const* const order = std::get_if<ports::order_reply>(&reply))
    {
        measures_.ended(now, *order);
        engine_.on_order_reply(now, *order);
    }
    else if (auto const* const advice =
                 std::get_if<ports::policy_reply>(&reply))
    {
        engine_.on_policy_reply(now, *advice);
    }
    perform();
}

void pool_program::take_reply(ports::kv_reply const& reply)
{
    auto const now = clock::now();
    measures_.ended(now, reply);
    engine_.on_kv_reply(now, reply);
    perform();
}

template<class Reply>
void pool_program::take_reply_soon(Reply reply)
{
    boost::asio::post(decisions_.io(),
                      [this, reply = std::move(reply)]() mutable
                      {
                          take_reply(reply);
                      });
}

void pool_program::refuse(ports::kv_call const& call)
{
    ports::kv_reply made;
    made.id = call.id;
    made.status = ports::kv_status::refused;
    take_reply_soon(std::move(made));
}

// Nothing went out, and whoever waits for the answer is told so.
void pool_program::refuse(outside_operation const& call)
{
    outside_reply reply;
    if (auto const* const order = std::get_if<ports::pool_order>(&call))
    {
        reply = held_back(*order);
    }
    else if (auto const* const ask = std::get_if<ports::policy_request>(&call))
    {
        ports::policy_reply made;
        made.id = ask->id;
        reply = std::move(made);
    }
    take_reply_soon(std::move(reply));
}

} // namespace fuchsia::programs::pool
