#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <algorithm>
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
    update_roster();
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

// Returns the ids of the workers that the stored roster should name.
std::set<std::string> owner::workers_to_store() const
{
    std::set<std::string> ids;
    for (auto const& [id, w] : fleet_.all())
    {
        if (!w.ended)
        {
            ids.insert(id);
        }
    }
    return ids;
}

// Writes the roster if it should name other workers than it does. A worker that
// was taken for ended and answers again is written again.
void owner::update_roster()
{
    auto const ids = workers_to_store();
    bool const all_rostered = std::all_of(ids.begin(),
                                          ids.end(),
                                          [this](std::string const& id)
                                          {
                                              return fleet_.find(id)->rostered;
                                          });
    if (ids != roster_ || !all_rostered)
    {
        write_roster(ids);
    }
}

// Tasks may start on a worker only once the stored roster names it, so that a
// successor will poll it. What changes during a write is written after it.
void owner::write_roster(std::set<std::string> const& ids)
{
    if (roster_being_written_ || !loaded_)
    {
        return;
    }
    roster_being_written_ = ids;
    ledger_.write(write_rank::result,
                  {{{std::string(keys::roster), to_json(fleet_), 0}},
                   {},
                   [this](common::time_point)
                   {
                       on_roster_written();
                   }});
}

void owner::on_roster_written()
{
    roster_ = *std::exchange(roster_being_written_, std::nullopt);
    for (auto& [id, w] : fleet_.all())
    {
        w.rostered = roster_.contains(id) && !w.ended;
    }
    update_roster();
}

// Whether more than half of the workers that a successor would poll have
// answered at or after `oldest`. While a write of the roster is not known to
// have taken effect, the successor may read either one.
bool owner::has_quorum(common::time_point oldest) const
{
    auto const majority = [this, oldest](std::set<std::string> const& ids)
    {
        return 2 * fleet_.answered(ids, oldest) > ids.size();
    };
    return majority(roster_) &&
           (!roster_being_written_ || majority(*roster_being_written_));
}

} // namespace fuchsia::core::pool
