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

template<class Event>
constexpr bool changes_room =
    std::is_same_v<Event, run_ended> || std::is_same_v<Event, worker_crashed> ||
    std::is_same_v<Event, capacity_set> ||
    std::is_same_v<Event, worker_draining> ||
    std::is_same_v<Event, data_centre_set>;

} // namespace

checker::checker(time_limits bounds) : history_(bounds)
{
}

void checker::observe(observation const& observed)
{
    check_answers_until(observed.at - history_.bounds.acknowledge);
    history_.fault_intervals.observe(observed.at);
    check_work_until(observed.at);
    auto const visitor = [&](auto const& event)
    {
        using kind = std::decay_t<decltype(event)>;
        if constexpr (is_call<kind>)
        {
            recovery_.record(observed.at, event);
        }
        if constexpr (changes_room<kind> || std::is_same_v<kind, submit_sent>)
        {
            lasting_.record(event);
        }
        if constexpr (std::is_same_v<kind, run_started>)
        {
            lasting_.record(history_, event);
        }
        if constexpr (is_answer<kind>)
        {
            pending_answers_.push_back(observed);
        }
        else if constexpr (is_submission<kind> ||
                           std::is_same_v<kind, cancel_ended>)
        {
            jobs_check::record(history_, observed.at, event);
        }
        else if constexpr (std::is_same_v<kind, configuration_set>)
        {
            configurations_.record(observed.at, event);
        }
        else if constexpr (std::is_same_v<kind, fault_state_set>)
        {
            history_.fault_intervals.set(observed.at, event);
        }
        else if constexpr (std::is_same_v<kind, working_owner_seen>)
        {
            owner_.record(observed.at, event);
        }
        else if constexpr (std::is_same_v<kind, stop_begun>)
        {
            stopping_ = true;
        }
        else if constexpr (std::is_same_v<kind, traffic_ended>)
        {
            history_.traffic_end = observed.at;
        }
        else
        {
            runs_.record(history_, observed.at, event);
        }
    };
    std::visit(visitor, observed.event_data);
}

void checker::check_answer(observation const& answer)
{
    auto const visitor = [&](auto const& event)
    {
        using kind = std::decay_t<decltype(event)>;
        if constexpr (std::is_same_v<kind, queue_seen>)
        {
            configurations_.check_answer(history_, answer.at, event);
        }
        else if constexpr (is_answer<kind>)
        {
            jobs_check::check_answer(history_, answer.at, event);
        }
    };
    std::visit(visitor, answer.event_data);
}

void checker::check_answers_until(time_point limit)
{
    while (!pending_answers_.empty() && pending_answers_.front().at < limit)
    {
        check_answer(pending_answers_.front());
        pending_answers_.pop_front();
    }
}

void checker::check_work_until(time_point at)
{
    if (!stopping_)
    {
        lasting_.check_until(history_, at);
        owner_.check_until(history_, at);
    }
}

std::vector<violation> checker::finish(time_point now)
{
    check_answers_until(time_point::max());
    check_work_until(now);
    runs_.finish(history_, now);
    jobs_check::finish(history_, now);
    recovery_.finish(history_, now);
    return history_.violations;
}

std::vector<violation> const& checker::violations() const
{
    return history_.violations;
}

} // namespace fuchsia::tools::soak
