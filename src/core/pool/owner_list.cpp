#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <utility>

// The platform's list of workers, and the roster of those that a successor must
// ask.
namespace fuchsia::core::pool
{

void owner::apply_worker_list(common::time_point now,
                              worker_changes const& changes)
{
    fleet_.take_list(changes);
    complete_roster();
    if (loaded_)
    {
        tick(now);
    }
}

// An owner that gets little processor time hears late, and would start tasks on
// workers that said long ago that they leave, in data centres that are out, of
// jobs that were cancelled. While the store is silent what was heard last has
// to do.
bool owner::state_is_current(common::time_point now) const
{
    bool const silent =
        now - claim_.confirmed_at() > settings_.workers.unconfirmed_limit;
    bool const fresh =
        now - list_.current_as_of() <= settings_.list_age_limit &&
        now - operators_.current_as_of <= settings_.configuration_age_limit &&
        now - synced_until_ <= settings_.jobs_age_limit;
    return list_.known() && (silent || fresh);
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

// A task may start only on a worker that a successor would ask.
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
