#include "core/pool/lost_workers.hpp"

namespace fuchsia::core::pool
{

namespace
{

// Workers of a rack that fall silent within this time of each other were lost
// together. Idle workers are polled every 1.6 s.
constexpr common::duration lost_together = std::chrono::seconds(3);
// Minimum number of other workers in a rack that must be lost with a worker for
// the loss of the rack to be the cause.
constexpr std::size_t min_lost_others = 2;

bool within(common::time_point lhs,
            common::time_point rhs,
            common::duration limit)
{
    return lhs - rhs <= limit && rhs - lhs <= limit;
}

// Whether `other` was in the rack of `target` when that was lost.
bool was_neighbour(worker const& other, worker const& target)
{
    bool const same_rack = other.info.id != target.info.id && other.adopted &&
                           other.info.rack == target.info.rack &&
                           other.info.service == target.info.service;
    bool const was_there = other.adopted_at <= target.contact_lost_at ||
                           other.contact_lost_at != common::time_point{};
    return same_rack && was_there;
}

bool was_lost_with(worker const& other, worker const& target)
{
    bool const lost = other.silent || other.adopted_at > target.contact_lost_at;
    return lost &&
           within(other.contact_lost_at, target.contact_lost_at, lost_together);
}

} // namespace

void lost_workers::note_gone(common::time_point now, worker const& target)
{
    std::erase_if(gone_,
                  [now](gone_worker const& entry)
                  {
                      return now - entry.contact_lost_at > 10 * lost_together;
                  });
    if (target.silent)
    {
        gone_.push_back({target.info.service,
                         target.info.rack,
                         target.contact_lost_at,
                         target.may_have_crashed});
    }
}

bool lost_workers::lost_with_rack(fleet const& workers,
                                  worker const& target) const
{
    std::size_t lost = 0;
    bool without_cause = false;
    for (auto const& [id, other] : workers.all())
    {
        if (!was_neighbour(other, target))
        {
            continue;
        }
        if (!was_lost_with(other, target))
        {
            return false;
        }
        ++lost;
        without_cause |= !other.may_have_crashed;
    }
    for (auto const& gone : gone_)
    {
        bool const together =
            gone.rack == target.info.rack &&
            gone.service == target.info.service &&
            within(gone.contact_lost_at, target.contact_lost_at, lost_together);
        lost += together ? 1 : 0;
        without_cause |= together && !gone.may_have_crashed;
    }
    return lost >= min_lost_others && without_cause;
}

} // namespace fuchsia::core::pool
