#include "core/tasks/store_calls.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

// Values of the label `for` of the metric `fuchsia_task_store_calls`. Some
// differ from the enumerators, since the label values must not change.
constexpr std::array<std::string_view, call_owner_count> owner_names{"log",
                                                                     "snapshot",
                                                                     "inbox",
                                                                     "parcel",
                                                                     "desk",
                                                                     "quota",
                                                                     "load",
                                                                     "erase",
                                                                     "sweep"};

} // namespace

std::string_view name_of(call_owner value) noexcept
{
    return owner_names[static_cast<std::size_t>(value)];
}

store_calls::store_calls(store_call_settings settings)
    : settings_(settings), tokens_(settings.write_burst)
{
}

bool store_calls::may_write(common::time_point now)
{
    double const seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(settings_.write_burst,
                       tokens_ + seconds * settings_.writes_per_second);
    refilled_at_ = now;
    if (tokens_ < 1)
    {
        return false;
    }
    tokens_ -= 1;
    return true;
}

std::uint64_t store_calls::send(call_owner owner,
                                std::string name,
                                ports::store_operation operation,
                                ports::actions& out)
{
    std::uint64_t const number = ++last_number_;
    in_flight_calls_[number] = {owner, std::move(name), number};
    ++counts_[static_cast<std::size_t>(owner)];
    out.push_back(ports::store_call{{ports::store_requester::tasks, number},
                                    std::move(operation)});
    return number;
}

std::optional<call_tag> store_calls::take(ports::call_id id)
{
    auto const found = in_flight_calls_.find(id.number);
    if (found == in_flight_calls_.end())
    {
        return std::nullopt;
    }
    auto tag = std::move(found->second);
    in_flight_calls_.erase(found);
    return tag;
}

std::uint64_t store_calls::count(call_owner owner) const noexcept
{
    return counts_[static_cast<std::size_t>(owner)];
}

std::size_t store_calls::in_flight() const noexcept
{
    return in_flight_calls_.size();
}

} // namespace fuchsia::core::tasks
