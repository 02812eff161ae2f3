#include "pool_simulation.hpp"

#include <utility>

// The store of the simulation, and the faults on the way to it.
namespace fuchsia::tests::unit::pool
{

void pool_simulation::call_store(std::size_t number, ports::kv_call const& call)
{
    auto const effect = store_fault ? store_fault(number, call.operation)
                                    : fault_effect::carried_out;
    auto const incarnation = instances_[number].incarnation;
    auto const reply_with =
        [this, number, incarnation, id = call.id](ports::kv_status status)
    {
        if (instances_[number].incarnation == incarnation)
        {
            ports::kv_reply reply;
            reply.id = id;
            reply.status = status;
            deliver(number,
                    [this, reply](core::pool::engine& engine)
                    {
                        engine.on_kv_reply(now(), reply);
                    });
        }
    };
    if (effect == fault_effect::refused)
    {
        clock_.after(2 * store_latency_,
                     [reply_with]
                     {
                         reply_with(ports::kv_status::refused);
                     });
        return;
    }
    if (effect == fault_effect::watch_stalled)
    {
        auto const wait = std::get<ports::kv_watch>(call.operation).wait;
        clock_.after(wait,
                     [this, number, incarnation, id = call.id]
                     {
                         if (instances_[number].incarnation != incarnation)
                         {
                             return;
                         }
                         ports::kv_reply reply;
                         reply.id = id;
                         reply.status = ports::kv_status::done;
                         reply.revision = store_.revision();
                         deliver(number,
                                 [this, reply](core::pool::engine& engine)
                                 {
                                     engine.on_kv_reply(now(), reply);
                                 });
                     });
        return;
    }
    bool const commits =
        std::holds_alternative<ports::kv_commit>(call.operation);
    auto const one_way =
        store_latency_ +
        (commits ? instances_[number].commit_delay : duration{});
    // An answer that arrives after the timeout of the call is dropped.
    bool const answered = (effect == fault_effect::carried_out &&
                           call.timeout > one_way + store_latency_) ||
                          (effect == fault_effect::delayed &&
                           call.timeout > late_delay_ + store_latency_);
    if (!answered)
    {
        clock_.after(call.timeout,
                     [reply_with]
                     {
                         reply_with(ports::kv_status::unclear);
                     });
    }
    if (effect == fault_effect::request_lost)
    {
        return;
    }
    bool const delayed = effect == fault_effect::executed_late ||
                         effect == fault_effect::delayed;
    clock_.after(delayed ? late_delay_ : one_way,
                 [this, number, incarnation, call, answered]
                 {
                     apply_store(number, incarnation, call, answered);
                 });
}

void pool_simulation::apply_store(std::size_t number,
                                  std::uint64_t incarnation,
                                  ports::kv_call const& call,
                                  bool answered)
{
    auto reply = store_.answer(now(), call.operation);
    answer_watches();
    if (!answered)
    {
        return;
    }
    if (!reply)
    {
        auto const wait = std::get<ports::kv_watch>(call.operation).wait;
        watches_.push_back({number, incarnation, call, now() + wait});
        clock_.after(wait,
                     [this]
                     {
                         answer_watches();
                     });
        return;
    }
    reply->id = call.id;
    clock_.after(store_latency_,
                 [this, number, incarnation, reply = *reply]
                 {
                     if (instances_[number].incarnation == incarnation)
                     {
                         deliver_reply(number, reply);
                     }
                 });
}

void pool_simulation::answer_watches()
{
    auto const waiting = std::exchange(watches_, {});
    for (auto const& watch : waiting)
    {
        auto reply = store_.answer(now(), watch.call.operation);
        if (!reply && now() < watch.until)
        {
            watches_.push_back(watch);
            continue;
        }
        auto watch_reply = reply.value_or(ports::kv_reply{});
        if (!reply)
        {
            watch_reply.status = ports::kv_status::done;
            watch_reply.revision = store_.revision();
        }
        watch_reply.id = watch.call.id;
        clock_.after(store_latency_,
                     [this, watch, watch_reply]
                     {
                         if (instances_[watch.instance].incarnation ==
                             watch.incarnation)
                         {
                             deliver_reply(watch.instance, watch_reply);
                         }
                     });
    }
}

} // namespace fuchsia::tests::unit::pool
