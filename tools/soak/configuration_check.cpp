#include "tools/soak/configuration_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;

namespace
{

/// In trouble an incarnation's answers may cross each other more widely.
constexpr int slack_in_trouble = 8;

} // namespace

void configuration_check::take(time_point at, configuration_set const& change)
{
    versions_.push_back({at, change.queues});
}

std::size_t configuration_check::known(time_point at) const
{
    return std::count_if(versions_.begin() + 1,
                         versions_.end(),
                         [&](version const& one)
                         {
                             return one.at <= at;
                         }) +
           1;
}

std::size_t configuration_check::explains(queue_seen const& answer,
                                          std::size_t begin,
                                          std::size_t end) const
{
    std::size_t place = begin;
    while (place < end &&
           (versions_[place].queues.count(answer.queue) > 0) != answer.present)
    {
        ++place;
    }
    return place;
}

void configuration_check::judge(observed_history& seen,
                                time_point at,
                                queue_seen const& answer)
{
    time_limits const& bounds = seen.bounds;
    bool const calm = seen.fault_intervals.is_fault_free(
        answer.requested_at - bounds.configuration, at);
    duration const slack =
        bounds.rollback_slack * (calm ? 1 : slack_in_trouble);
    auto& proofs = proofs_[{answer.instance, answer.incarnation}];
    std::size_t proved = 0;
    for (proof const& one : proofs)
    {
        proved = one.at + slack < answer.requested_at ? one.place : proved;
    }
    std::size_t least = proved;
    if (calm)
    {
        time_point const due = answer.requested_at - bounds.configuration;
        least = std::max(proved, known(due - duration(1)) - 1);
    }
    // The store's answer may reach the operator after an instance has acted.
    std::size_t const end = known(at + bounds.rollback_slack);
    std::size_t const place = explains(answer, least, end);
    if (place == end)
    {
        seen.report(rule::configuration,
                    at,
                    answer.queue,
                    answer.instance + (answer.present ? " shows" : " lacks") +
                        " it as of an older configuration");
    }
    else if (proofs.empty() || proofs.back().place < place)
    {
        proofs.push_back({at, place});
    }
}

} // namespace fuchsia::tools::soak
