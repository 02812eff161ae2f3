#include "core/requests/fair_queue.hpp"

#include <algorithm>

namespace fuchsia::core::requests
{

fair_queue::fair_queue(std::size_t bound) : bound_(bound)
{
}

bool fair_queue::push(queued_request const& request)
{
    if (size() >= bound_)
    {
        return false;
    }
    auto& queue = queue_of(request.kind);
    auto& customer = queue.customers[request.customer];
    if (customer.by_deadline.empty())
    {
        // A customer does not save up turns while it has no requests.
        customer.virtual_time =
            std::max(customer.virtual_time, queue.current_virtual_time);
        queue.by_virtual_time.insert({customer.virtual_time, request.customer});
    }
    customer.by_deadline.insert({request.expires, request.id});
    ++queue.size;
    return true;
}

std::optional<std::uint64_t> fair_queue::pop()
{
    auto& critical = queue_of(ports::request_class::latency_critical);
    auto& batch = queue_of(ports::request_class::batch);
    if (critical.size == 0 || batch.size == 0)
    {
        return pop_from(critical.size == 0 ? batch : critical);
    }
    batch_turn_counter_ = (batch_turn_counter_ + 1) % batch_turn_interval;
    return pop_from(batch_turn_counter_ == 0 ? batch : critical);
}

bool fair_queue::erase(queued_request const& request)
{
    auto& queue = queue_of(request.kind);
    auto const it = queue.customers.find(request.customer);
    if (it == queue.customers.end() ||
        it->second.by_deadline.erase({request.expires, request.id}) == 0)
    {
        return false;
    }
    --queue.size;
    if (it->second.by_deadline.empty())
    {
        queue.by_virtual_time.erase(
            {it->second.virtual_time, request.customer});
        queue.customers.erase(it);
    }
    return true;
}

std::size_t fair_queue::size() const noexcept
{
    return classes_[0].size + classes_[1].size;
}

std::size_t fair_queue::ahead_of(ports::request_class kind) const noexcept
{
    std::size_t const critical = classes_[0].size;
    std::size_t const batch = classes_[1].size;
    return kind == ports::request_class::latency_critical
               ? critical + std::min(batch, critical / batch_turn_interval)
               : batch + std::min(critical, batch * batch_turn_interval);
}

fair_queue::class_queue&
fair_queue::queue_of(ports::request_class kind) noexcept
{
    return classes_[static_cast<std::size_t>(kind)];
}

std::optional<std::uint64_t> fair_queue::pop_from(class_queue& queue)
{
    if (queue.by_virtual_time.empty())
    {
        return std::nullopt;
    }
    auto const customer_name = queue.by_virtual_time.begin()->second;
    queue.by_virtual_time.erase(queue.by_virtual_time.begin());
    auto const it = queue.customers.find(customer_name);
    auto& customer = it->second;
    queue.current_virtual_time = customer.virtual_time;
    std::uint64_t const id = customer.by_deadline.begin()->second;
    customer.by_deadline.erase(customer.by_deadline.begin());
    --queue.size;
    ++customer.virtual_time;
    if (customer.by_deadline.empty())
    {
        // The next push gives the customer the current virtual time, as it does
        // for a new customer.
        queue.customers.erase(it);
    }
    else
    {
        queue.by_virtual_time.insert({customer.virtual_time, customer_name});
    }
    return id;
}

} // namespace fuchsia::core::requests
