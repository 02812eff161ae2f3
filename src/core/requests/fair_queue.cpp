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
    auto& line = line_of(request.kind);
    auto& customer = line.customers[request.customer];
    if (customer.waiting.empty())
    {
        // Turns that were not used while nothing waited are not saved up.
        customer.turns = std::max(customer.turns, line.newest_turn);
        line.order.insert({customer.turns, request.customer});
    }
    customer.waiting.insert({request.expires, request.id});
    ++line.size;
    return true;
}

std::optional<std::uint64_t> fair_queue::pop()
{
    auto& urgent = line_of(ports::request_class::latency_critical);
    auto& batch = line_of(ports::request_class::batch);
    if (urgent.size == 0 || batch.size == 0)
    {
        return pop_from(urgent.size == 0 ? batch : urgent);
    }
    turn_ = (turn_ + 1) % batch_turn_interval;
    return pop_from(turn_ == 0 ? batch : urgent);
}

bool fair_queue::erase(queued_request const& request)
{
    auto& line = line_of(request.kind);
    auto const found = line.customers.find(request.customer);
    if (found == line.customers.end() ||
        found->second.waiting.erase({request.expires, request.id}) == 0)
    {
        return false;
    }
    --line.size;
    if (found->second.waiting.empty())
    {
        line.order.erase({found->second.turns, request.customer});
        line.customers.erase(found);
    }
    return true;
}

std::size_t fair_queue::size() const noexcept
{
    return classes_[0].size + classes_[1].size;
}

std::size_t fair_queue::ahead_of(ports::request_class kind) const noexcept
{
    std::size_t const urgent = classes_[0].size;
    std::size_t const batch = classes_[1].size;
    return kind == ports::request_class::latency_critical
               ? urgent + std::min(batch, urgent / batch_turn_interval)
               : batch + std::min(urgent, batch * batch_turn_interval);
}

fair_queue::class_line& fair_queue::line_of(ports::request_class kind) noexcept
{
    return classes_[static_cast<std::size_t>(kind)];
}

std::optional<std::uint64_t> fair_queue::pop_from(class_line& line)
{
    if (line.order.empty())
    {
        return std::nullopt;
    }
    auto const name = line.order.begin()->second;
    line.order.erase(line.order.begin());
    auto const found = line.customers.find(name);
    auto& customer = found->second;
    line.newest_turn = customer.turns;
    std::uint64_t const id = customer.waiting.begin()->second;
    customer.waiting.erase(customer.waiting.begin());
    --line.size;
    ++customer.turns;
    if (customer.waiting.empty())
    {
        // The next push starts it at the newest turn, as it does newcomers.
        line.customers.erase(found);
    }
    else
    {
        line.order.insert({customer.turns, name});
    }
    return id;
}

} // namespace fuchsia::core::requests
