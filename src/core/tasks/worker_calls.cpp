#include "core/tasks/worker_calls.hpp"

#include <utility>

namespace fuchsia::core::tasks
{

std::uint64_t worker_calls::send(worker_call_tag tag,
                                 ports::worker_operation operation,
                                 ports::actions& out)
{
    std::uint64_t const number = ++last_number_;
    out.push_back(ports::worker_call{number, tag.worker, std::move(operation)});
    tag.number = number;
    in_flight_.emplace(number, std::move(tag));
    return number;
}

std::optional<worker_call_tag> worker_calls::take(std::uint64_t number)
{
    auto const found = in_flight_.find(number);
    if (found == in_flight_.end())
    {
        return std::nullopt;
    }
    auto tag = std::move(found->second);
    in_flight_.erase(found);
    return tag;
}

} // namespace fuchsia::core::tasks
