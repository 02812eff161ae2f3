#include "tools/soak/configuration_check.hpp"

#include <algorithm>

namespace fuchsia::tools::soak
{

using core::common::duration;
using core::common::time_point;

namespace
{

/// Factor on the rollback slack while a fault is active: answers of one
/// incarnation may then overtake each other by a longer time.
constexpr int fault_slack_factor = 8;

} // namespace

void configuration_check::record(time_point at, configuration_set const& change)
{
    versions_.push_back({at, change.queues});
}

std::size_t configuration_check::versions_set_by(time_point at) const
{
    return std::count_if(versions_.begin() + 1,
                         versions_.end(),
                         [&](version const& entry)
                         {
                             return entry.at <= at;
                         }) +
           1;
}

std::size_t configuration_check::first_matching_version(
    queue_seen const& answer, std::size_t begin, std::size_t end) const
{
    std::size_t version_index = begin;
    while (version_index < end && (versions_[version_index].queues.count(
                                       answer.queue) > 0) != answer.present)
    {
        ++version_index;
    }
    return version_index;
}

void configuration_check::check_answer(observed_history& history,
                                       time_point at,
                                       queue_seen const& answer)
{
    time_limits const& bounds = history.bounds;
    bool const fault_free = history.fault_intervals.is_fault_free(
        answer.requested_at - bounds.configuration, at);
    duration const slack =
        bounds.rollback_slack * (fault_free ? 1 : fault_slack_factor);
    auto& proofs = proofs_[{answer.instance, answer.incarnation}];
    std::size_t proven_version = 0;
    for (proof const& entry : proofs)
    {
        proven_version = entry.at + slack < answer.requested_at
                             ? entry.version_index
                             : proven_version;
    }
    std::size_t oldest_allowed = proven_version;
    if (fault_free)
    {
        time_point const due = answer.requested_at - bounds.configuration;
        oldest_allowed =
            std::max(proven_version, versions_set_by(due - duration(1)) - 1);
    }
    // An instance may apply a configuration before the operator receives the
    // store's answer to the write.
    std::size_t const end = versions_set_by(at + bounds.rollback_slack);
    std::size_t const version_index =
        first_matching_version(answer, oldest_allowed, end);
    if (version_index == end)
    {
        history.report(rule::configuration,
                       at,
                       answer.queue,
                       answer.instance +
                           (answer.present ? " shows" : " lacks") +
                           " the queue according to an outdated configuration");
    }
    else if (proofs.empty() || proofs.back().version_index < version_index)
    {
        proofs.push_back({at, version_index});
    }
}

} // namespace fuchsia::tools::soak
