#include "programs/pool/pool_program.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

// Calls of the store, workers and the policy, and their answers.
namespace fuchsia::programs::pool
{

using core::common::clock;

// On the outside's thread.
void pool_program::send_outside(outside_call& call)
{
    if (auto* const kv = std::get_if<ports::kv_call>(&call))
    {
        store_->send(std::move(*kv));
    }
    else if (auto* const order = std::get_if<ports::pool_order>(&call))
    {
        workers_->send(std::move(*order));
    }
    else if (auto* const ask = std::get_if<ports::advice_call>(&call))
    {
        advice_->send(*ask);
    }
}

void pool_program::take_reply(outside_reply& reply)
{
    auto const now = clock::now();
    if (auto const* const kv = std::get_if<ports::kv_reply>(&reply))
    {
        measures_.ended(now, *kv);
        engine_.on_kv_reply(now, *kv);
    }
    else if (auto const* const order = std::get_if<ports::order_reply>(&reply))
    {
        measures_.ended(now, *order);
        engine_.on_order_reply(now, *order);
    }
    else if (auto const* const advice =
                 std::get_if<ports::advice_reply>(&reply))
    {
        engine_.on_advice_reply(now, *advice);
    }
    perform();
}

// Nothing went out, and whoever waits for the answer is told so.
void pool_program::refuse(outside_call const& call)
{
    outside_reply reply;
    if (auto const* const kv = std::get_if<ports::kv_call>(&call))
    {
        ports::kv_reply made;
        made.id = kv->id;
        made.status = ports::kv_status::refused;
        reply = std::move(made);
    }
    else if (auto const* const order = std::get_if<ports::pool_order>(&call))
    {
        ports::order_reply made;
        made.id = order->id;
        made.status = ports::order_status::not_sent;
        reply = std::move(made);
    }
    else if (auto const* const ask = std::get_if<ports::advice_call>(&call))
    {
        ports::advice_reply made;
        made.id = ask->id;
        reply = std::move(made);
    }
    boost::asio::post(decisions_.io(),
                      [this, reply]() mutable
                      {
                          take_reply(reply);
                      });
}

} // namespace fuchsia::programs::pool
