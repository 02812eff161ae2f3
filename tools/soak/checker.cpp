#include "tools/soak/checker.hpp"

#include <type_traits>

namespace fuchsia::tools::soak
{

using core::common::time_point;

namespace
{

template<class Event>
constexpr bool is_answer = std::is_same_v<Event, status_query_ended> ||
                           std::is_same_v<Event, waiting_query_ended> ||
                           std::is_same_v<Event, queue_seen>;

template<class Event>
constexpr bool is_submission =
    std::is_same_v<Event, submit_sent> || std::is_same_v<Event, submit_ended>;

template<class Event>
constexpr bool is_call =
    is_submission<Event> || std::is_same_v<Event, status_query_ended> ||
    std::is_same_v<Event, waiting_query_ended>;

} // namespace

checker::checker(time_limits bounds) : books_(bounds)
{
}

void checker::observe(observation const& seen)
{
    judge_until(seen.at - books_.bounds.acknowledge);
    auto const visitor = [&](auto const& event)
    {
        using kind = std::decay_t<decltype(event)>;
        if constexpr (is_call<kind>)
        {
            recovery_.take(seen.at, event);
        }
        if constexpr (is_answer<kind>)
        {
            unjudged_.push_back(seen);
        }
        else if constexpr (is_submission<kind> ||
                           std::is_same_v<kind, cancel_ended>)
        {
            jobs_check::take(books_, seen.at, event);
        }
        else if constexpr (std::is_same_v<kind, configuration_set>)
        {
            configurations_.take(seen.at, event);
        }
        else if constexpr (std::is_same_v<kind, fault_state_set>)
        {
            books_.fault_intervals.set(seen.at, event);
        }
        else if constexpr (std::is_same_v<kind, traffic_ended>)
        {
            books_.traffic_end = seen.at;
        }
        else
        {
            runs_.take(books_, seen.at, event);
        }
    };
    std::visit(visitor, seen.event_data);
}

void checker::judge(observation const& answer)
{
    auto const visitor = [&](auto const& event)
    {
        using kind = std::decay_t<decltype(event)>;
        if constexpr (std::is_same_v<kind, queue_seen>)
        {
            configurations_.judge(books_, answer.at, event);
        }
        else if constexpr (is_answer<kind>)
        {
            jobs_check::judge(books_, answer.at, event);
        }
    };
    std::visit(visitor, answer.event_data);
}

void checker::judge_until(time_point limit)
{
    while (!unjudged_.empty() && unjudged_.front().at < limit)
    {
        judge(unjudged_.front());
        unjudged_.pop_front();
    }
}

std::vector<violation> checker::finish(time_point now)
{
    judge_until(time_point::max());
    runs_.finish(books_, now);
    jobs_check::finish(books_, now);
    recovery_.finish(books_, now);
    return books_.violations;
}

std::vector<violation> const& checker::violations() const
{
    return books_.violations;
}

} // namespace fuchsia::tools::soak
