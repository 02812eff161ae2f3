#include "core/pool/keys.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/roster.hpp"

#include <algorithm>
#include <utility>

// Follows the platform's list of workers and maintains the roster: the stored
// list of the workers that a successor must poll.
namespace fuchsia::core::pool
{

namespace
{

constexpr common::duration roster_update_interval =
    std::chrono::milliseconds(500);

} // namespace

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
    for (auto const& info : changes.present)
    {
        note_incarnation(now, *fleet_.find(info.id), info.incarnation);
    }
    update_roster(now);
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

// Returns what the stored roster should name. Until the takeover is complete an
// earlier owner may still rely on the answers of those workers that were not
// silent when it wrote the roster. Workers that are added meanwhile count as
// silent, and only those that have answered this owner, which they then obey,
// can become silent.
roster_ids owner::roster_to_store(common::time_point now) const
{
    roster_ids result;
    for (auto const& [id, w] : fleet_.all())
    {
        if (w.ended)
        {
            continue;
        }
        result.workers.insert(id);
        if (auto const incarnation = incarnation_to_store(w, now))
        {
            result.incarnations.emplace(id, incarnation);
        }
        auto const left = w.adopted ? fleet_.long_lease_left(w, now)
                                    : inherited_long_lease_left(w, now);
        if (left > common::duration{})
        {
            result.long_leases.emplace(
                id, std::chrono::ceil<std::chrono::seconds>(left));
        }
        bool const silent = w.adopted ? w.silence_noted : w.silent;
        bool const counted =
            roster_.workers.contains(id) && !roster_.silent.contains(id);
        bool const silent_in_takeover = !counted || (w.adopted && silent);
        if (takeover_complete_ ? silent : silent_in_takeover)
        {
            result.silent.insert(id);
        }
    }
    return result;
}

// Returns the incarnation by whose clock leases of the worker were computed.
// During a takeover that is the one which an earlier owner relied on, until the
// worker answers. A worker that restarted unseen and runs nothing has no lease
// of its earlier incarnation any more.
std::uint64_t owner::incarnation_to_store(worker const& target,
                                          common::time_point now) const
{
    bool const inherited =
        !takeover_complete_ && inherited_.workers.contains(target.info.id);
    if (!target.adopted)
    {
        return inherited ? inherited_.incarnation_of(target.info.id)
                         : target.info.incarnation;
    }
    bool const restarted_long_ago =
        target.may_have_restarted() && target.runs.empty() &&
        fleet_.long_lease_left(target, now) == common::duration{};
    return restarted_long_ago ? target.suspected_incarnation
                              : target.incarnation;
}

// Whether the stored roster tells a successor what it has to know before a task
// starts on the worker.
bool owner::rostered_as_it_is(worker const& target,
                              common::time_point now) const
{
    auto const& id = target.info.id;
    return !target.ended && roster_.workers.contains(id) &&
           (!target.adopted ||
            roster_.incarnation_of(id) == incarnation_to_store(target, now));
}

// Writes the roster if it should differ from the stored one. A worker that was
// taken for ended and answers again is written again.
void owner::update_roster(common::time_point now)
{
    auto const ids = roster_to_store(now);
    bool const all_rostered = std::all_of(ids.workers.begin(),
                                          ids.workers.end(),
                                          [this](std::string const& id)
                                          {
                                              return fleet_.find(id)->rostered;
                                          });
    if (ids != roster_ || !all_rostered)
    {
        write_roster(ids);
    }
}

// Records which workers have fallen silent, answer again or have restarted.
void owner::update_roster_if_due(common::time_point now)
{
    if (now >= next_roster_update_)
    {
        next_roster_update_ = now + roster_update_interval;
        update_roster(now);
    }
}

// Tasks may start on a worker only once the stored roster names it, so that a
// successor will poll it. What changes during a write is written after it.
void owner::write_roster(roster_ids const& ids)
{
    if (roster_being_written_ || !loaded_)
    {
        return;
    }
    roster_being_written_ = ids;
    ledger_.write(write_rank::result,
                  {{{std::string(keys::roster), to_json(fleet_, ids), 0}},
                   {},
                   [this](common::time_point at)
                   {
                       on_roster_written(at);
                   }});
}

void owner::on_roster_written(common::time_point now)
{
    roster_ = *std::exchange(roster_being_written_, std::nullopt);
    for (auto& [id, w] : fleet_.all())
    {
        w.rostered = rostered_as_it_is(w, now);
    }
    update_roster(now);
}

// Whether more than half of the workers that a successor would poll have
// answered at or after `oldest`, and more than half of those that were not
// silent when the roster was written: a successor relies on either majority. An
// incarnation that is newer than the last confirmation of the claim does not
// count, since it has lost the fencing token that a successor may have raised.
// While a write of the roster is not known to have taken effect, the successor
// may read either roster.
bool owner::has_quorum(common::time_point oldest) const
{
    auto const confirmed_at = claim_.confirmed_at();
    auto const majorities = [this, oldest, confirmed_at](roster_ids const& ids)
    {
        return fleet_.majority_answered(ids.workers, oldest, confirmed_at) &&
               fleet_.majority_answered(ids.answering(), oldest, confirmed_at);
    };
    return majorities(roster_) &&
           (!roster_being_written_ || majorities(*roster_being_written_));
}

} // namespace fuchsia::core::pool
