#include "tools/soak/recovery_check.hpp"

namespace fuchsia::tools::soak
{

using core::common::time_point;

namespace
{

/// Minimum number of calls for a significant share.
constexpr std::size_t minimum_calls = 12;
/// At least one in this many calls must be served.
constexpr std::size_t minimum_served_divisor = 4;

struct tally
{
    std::size_t calls = 0;
    std::size_t served = 0;

    void add(bool good)
    {
        ++calls;
        served += good ? 1 : 0;
    }
    bool good() const
    {
        return served * minimum_served_divisor >= calls;
    }
};

bool is_answer(call_outcome how)
{
    return how == call_outcome::done || how == call_outcome::not_found;
}

} // namespace

void recovery_check::record(time_point at, submit_sent const& call)
{
    pending_submissions_[call.job].push_back(at);
}

void recovery_check::record(time_point at, submit_ended const& call)
{
    auto const entry = pending_submissions_.find(call.job);
    if (entry == pending_submissions_.end())
    {
        return;
    }
    auto& sent = entry->second;
    submissions_.push_back(
        {sent.front(), at, call.outcome == call_outcome::done});
    sent.erase(sent.begin());
    if (sent.empty())
    {
        pending_submissions_.erase(entry);
    }
}

void recovery_check::record(time_point at, status_query_ended const& call)
{
    queries_.push_back({call.requested_at, at, is_answer(call.outcome)});
}

void recovery_check::record(time_point at, waiting_query_ended const& call)
{
    queries_.push_back({call.requested_at, at, is_answer(call.outcome)});
}

void recovery_check::finish(observed_history& history, time_point now) const
{
    check_calls(history, now, submissions_, "submissions");
    check_calls(history, now, queries_, "questions");
}

void recovery_check::check_calls(observed_history& history,
                                 time_point now,
                                 std::vector<call> const& calls,
                                 char const* kind)
{
    auto const& spans = history.fault_intervals.intervals();
    if (spans.empty() || !spans.back().to)
    {
        return;
    }
    time_point const due = *spans.back().to + history.bounds.recovery;
    tally before;
    tally after;
    for (call const& current : calls)
    {
        if (current.ended < spans.back().from)
        {
            before.add(current.served);
        }
        if (current.sent > due)
        {
            after.add(current.served);
        }
    }
    bool const worked_before = before.calls >= minimum_calls && before.good();
    if (worked_before && after.calls >= minimum_calls && !after.good())
    {
        history.report(rule::recovery,
                       now,
                       kind,
                       std::to_string(after.served) + " of " +
                           std::to_string(after.calls) +
                           " calls served after the last fault");
    }
}

} // namespace fuchsia::tools::soak
