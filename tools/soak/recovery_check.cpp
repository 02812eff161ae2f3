#include "tools/soak/recovery_check.hpp"

namespace fuchsia::tools::soak
{

using core::common::time_point;

namespace
{

/// Fewer calls than these say nothing.
constexpr std::size_t enough_calls = 12;
/// At least one call of this many has to be served.
constexpr std::size_t one_served_of = 4;

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
        return served * one_served_of >= calls;
    }
};

bool answered(call_outcome how)
{
    return how == call_outcome::done || how == call_outcome::not_found;
}

} // namespace

void recovery_check::take(time_point at, submit_sent const& call)
{
    under_way_[call.job].push_back(at);
}

void recovery_check::take(time_point at, submit_ended const& call)
{
    auto const entry = under_way_.find(call.job);
    if (entry == under_way_.end())
    {
        return;
    }
    auto& sent = entry->second;
    submissions_.push_back(
        {sent.front(), at, call.outcome == call_outcome::done});
    sent.erase(sent.begin());
    if (sent.empty())
    {
        under_way_.erase(entry);
    }
}

void recovery_check::take(time_point at, status_query_ended const& call)
{
    questions_.push_back({call.requested_at, at, answered(call.outcome)});
}

void recovery_check::take(time_point at, waiting_query_ended const& call)
{
    questions_.push_back({call.requested_at, at, answered(call.outcome)});
}

void recovery_check::finish(observed_history& seen, time_point now) const
{
    judge(seen, now, submissions_, "submissions");
    judge(seen, now, questions_, "questions");
}

void recovery_check::judge(observed_history& seen,
                           time_point now,
                           std::vector<call> const& calls,
                           char const* kind)
{
    auto const& spans = seen.fault_intervals.intervals();
    if (spans.empty() || !spans.back().to)
    {
        return;
    }
    time_point const due = *spans.back().to + seen.bounds.recovery;
    tally before;
    tally after;
    for (call const& one : calls)
    {
        if (one.ended < spans.back().from)
        {
            before.add(one.served);
        }
        if (one.sent > due)
        {
            after.add(one.served);
        }
    }
    bool const worked = before.calls >= enough_calls && before.good();
    if (worked && after.calls >= enough_calls && !after.good())
    {
        seen.report(rule::recovery,
                    now,
                    kind,
                    std::to_string(after.served) + " of " +
                        std::to_string(after.calls) + " served");
    }
}

} // namespace fuchsia::tools::soak
