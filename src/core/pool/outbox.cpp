#include "core/pool/outbox.hpp"

#include <utility>

namespace fuchsia::core::pool
{

void outbox::store(lifetime_token const& requester,
                   ports::kv_operation operation,
                   common::duration timeout,
                   kv_handler handle)
{
    auto const id = ++next_id_;
    kv_calls_.emplace(id,
                      pending_call<kv_handler>{requester, std::move(handle)});
    actions_.emplace_back(ports::kv_call{id, std::move(operation), timeout});
}

void outbox::order(lifetime_token const& requester,
                   ports::pool_order order,
                   order_handler handle)
{
    order.id = ++next_id_;
    orders_.emplace(order.id,
                    pending_call<order_handler>{requester, std::move(handle)});
    actions_.emplace_back(std::move(order));
}

void outbox::request_policy(lifetime_token const& requester,
                            ports::policy_request call,
                            policy_handler handle)
{
    call.id = ++next_id_;
    policy_calls_.emplace(
        call.id, pending_call<policy_handler>{requester, std::move(handle)});
    actions_.emplace_back(std::move(call));
}

void outbox::reply(std::uint64_t caller, ports::job_answer answer)
{
    actions_.emplace_back(ports::job_reply{caller, std::move(answer)});
}

void outbox::log(ports::severity level,
                 std::string event,
                 std::vector<ports::header> fields)
{
    actions_.emplace_back(
        ports::log_event{level, std::move(event), std::move(fields)});
}

void outbox::push(ports::pool_action action)
{
    actions_.push_back(std::move(action));
}

namespace
{

template<class Table, class Reply>
void deliver_reply(Table& table, common::time_point now, Reply const& reply)
{
    auto const found = table.find(reply.id);
    if (found == table.end())
    {
        return;
    }
    auto const entry = std::move(found->second);
    table.erase(found);
    if (auto const alive = entry.requester.lock())
    {
        entry.handle(now, reply);
    }
}

} // namespace

void outbox::on_kv_reply(common::time_point now, ports::kv_reply const& reply)
{
    bool const answered = reply.status != ports::kv_status::refused &&
                          reply.status != ports::kv_status::unclear;
    store_answered_ = answered ? now : store_answered_;
    deliver_reply(kv_calls_, now, reply);
}

common::time_point outbox::store_answered() const noexcept
{
    return store_answered_;
}

void outbox::on_order_reply(common::time_point now,
                            ports::order_reply const& reply)
{
    deliver_reply(orders_, now, reply);
}

void outbox::on_policy_reply(common::time_point now,
                             ports::policy_reply const& reply)
{
    deliver_reply(policy_calls_, now, reply);
}

ports::pool_actions outbox::take_actions()
{
    return std::exchange(actions_, {});
}

std::int64_t outbox::unix_ms(common::time_point now) const noexcept
{
    return common::to_milliseconds(now.time_since_epoch()) + unix_offset_ms_;
}

void outbox::set_unix_offset(std::int64_t offset_ms) noexcept
{
    unix_offset_ms_ = offset_ms;
}

} // namespace fuchsia::core::pool
