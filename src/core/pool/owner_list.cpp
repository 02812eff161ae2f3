#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <utility>

// Follows the platform's list of workers and maintains the roster: the stored
// list of the workers that a successor must poll.
namespace fuchsia::core::pool
{

void owner::apply_worker_list(common::time_point now,
                              worker_changes const& changes)
{
    std::vector<ports::pool_worker> added;
    for (auto const& info : changes.present)
    {
        if (fleet_.find(info.id) == nullptr)
        {
            added.push_back(info);
        }
    }
    fleet_.take_list(changes);
    for (auto const& info : added)
    {
        settle_blame_at(now, info);
    }
    complete_roster();
    if (loaded_)
    {
        tick(now);
    }
}

// Whether the state is recent enough to start tasks by. An owner that is short
// of processor time receives updates late. It would start tasks on workers that
// announced their leaving long ago, in data centres that are out of service, or
// of jobs that were cancelled. While the store does not answer, the last known
// state is used.
bool owner::state_is_current(common::time_point now) const
{
    bool const silent =
        now - claim_.confirmed_at() > settings_.workers.unconfirmed_limit;
    bool const fresh =
        now - list_.current_as_of() <= settings_.list_age_limit &&
        now - operators_.current_as_of <= settings_.configuration_age_limit &&
        now - synced_until_ <= settings_.jobs_age_limit;
    return list_.loaded() && (silent || fresh);
}

void owner::complete_roster()
{
    bool missing = false;
    for (auto const& [id, w] : fleet_.all())
    {
        missing = missing || !roster_.contains(id);
    }
    if (missing)
    {
        write_roster();
    }
}

// Tasks may start on a worker only once the stored roster names it, so that a
// successor will poll it.
void owner::write_roster()
{
    if (roster_write_pending_ || !loaded_)
    {
        return;
    }
    roster_write_pending_ = true;
    std::set<std::string> ids;
    for (auto const& [id, w] : fleet_.all())
    {
        ids.insert(id);
    }
    ledger_.write(write_rank::result,
                  {{{std::string(keys::roster), to_json(fleet_), 0}},
                   {},
                   [this, ids](common::time_point)
                   {
                       roster_write_pending_ = false;
                       roster_ = ids;
                       for (auto const& id : ids)
                       {
                           if (auto* const w = fleet_.find(id))
                           {
                               w->rostered = true;
                           }
                       }
                   }});
}

} // namespace fuchsia::core::pool
