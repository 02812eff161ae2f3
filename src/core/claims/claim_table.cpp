#include "core/claims/claim_table.hpp"

#include "core/membership/record.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::claims
{

claim_table::claim_table(std::string role,
                         std::vector<std::string> partitions,
                         claim_settings settings)
    : role_(std::move(role)), prefix_(partitions_prefix(role_)),
      settings_(settings), view_(prefix_)
{
    set_partitions(std::move(partitions));
}

void claim_table::set_partitions(std::vector<std::string> partitions)
{
    partitions_ = std::move(partitions);
    std::sort(partitions_.begin(), partitions_.end());
    if (partitions_.size() > claim_view::max_partitions)
    {
        partitions_.resize(claim_view::max_partitions);
    }
    for (auto const& partition : partitions_)
    {
        view_.add(partition);
    }
}

void claim_table::start(common::time_point now, ports::actions& out)
{
    poll_list(now, out);
}

void claim_table::tick(common::time_point now,
                       membership::member const& members,
                       ports::actions& out)
{
    set_self(members.self().id);
    poll_list(now, out);
    if (!view_.is_loaded() || !members.has_member_list())
    {
        return;
    }
    auto const candidates =
        find_owner_candidates(now, members, leaving_, settings_.stable_after);
    live_assignment_.update(partitions_, candidates.live);
    stable_assignment_.update(partitions_, candidates.stable);
    for (auto const& [partition, current] : view_.all())
    {
        auto& state = progress_[partition];
        update_owned(now, current, state, members);
        if (state.call_in_flight || now < state.retry_at ||
            writes_in_flight_ >= settings_.max_writes)
        {
            continue;
        }
        if (state.needs_read_back ||
            (current.owner == self_ && !is_ours(partition)))
        {
            resolve_unclear_write(current, state, out);
        }
        else
        {
            claim_if_free(now, current, members, out);
        }
    }
    erase_fenced_record(now, members, candidates, out);
}

void claim_table::set_self(ports::member_identity const& self)
{
    if (self_ != self)
    {
        self_ = self;
        view_.set_self(self);
        random_.seed(self.incarnation);
    }
}

void claim_table::resolve_unclear_write(claim const& current,
                                        progress const& state,
                                        ports::actions& out)
{
    if (state.needs_read_back)
    {
        ++counts_.reads;
        send_call({call_kind::read, current.partition, {}},
                  ports::store_read{prefix_ + current.partition},
                  out);
        return;
    }
    write_release(current, out);
}

void claim_table::claim_if_free(common::time_point now,
                                claim const& current,
                                membership::member const& members,
                                ports::actions& out)
{
    if (!may_claim(now, members) || !is_free(current, members))
    {
        return;
    }
    if (is_reserved_for_another(current, members))
    {
        return;
    }
    auto const* assigned = live_assignment_.assigned_owner(current.partition);
    bool const assigned_to_self =
        current.handed_to == self_ ||
        (assigned != nullptr && *assigned == self_.name);
    if (assigned_to_self && std::binary_search(partitions_.begin(),
                                               partitions_.end(),
                                               current.partition))
    {
        write_claim(current, out);
    }
}

// The releasing owner hands its remembered request keys to the member that it
// releases the partition for. A member that joined in the meantime and wins the
// hash would own the partition without these keys, and the retry of a request
// that has already run would run again.
bool claim_table::is_reserved_for_another(
    claim const& current, membership::member const& members) const
{
    auto const& id = current.handed_to;
    if (!current.owner.name.empty() || id.name.empty() || id == self_)
    {
        return false;
    }
    auto const* info = members.find(id);
    return info != nullptr && !info->leaving;
}

bool claim_table::may_claim(common::time_point now,
                            membership::member const& members) const
{
    auto const* own_record = members.records().find(self_.name);
    return !leaving_ && members.may_act(now) && members.proved_by_store() &&
           own_record != nullptr &&
           now - own_record->incarnation_seen >= settings_.claim_delay;
}

// An owner that joined after the member list was last read looks removed, and a
// stale read from a lagging replica may return such an older list at any time.
// So the list must have been read at an index that covers the claim's version:
// the owner joined before it claimed, and if that list lacks the owner, the
// owner has been removed for good.
bool claim_table::is_free(claim const& current,
                          membership::member const& members) const
{
    if (current.owner.name.empty())
    {
        return true;
    }
    return current.owner != self_ && members.is_fenced(current.owner) &&
           members.records().index() >= current.version;
}

// A new claim is kept for `stable_after`, even if the hash assigns another
// member: the previous owner may have released it because it is leaving, which
// only the next member list shows. Handing the partition back at once would
// leave the callers of its keys without an owner.
void claim_table::update_owned(common::time_point now,
                               claim const& current,
                               progress& state,
                               membership::member const& members)
{
    if (current.owner != self_)
    {
        state.handover_requested = false;
        state.requested_successor = {};
    }
    if (!is_ours(current.partition))
    {
        return;
    }
    if (state.epoch != current.epoch)
    {
        state.epoch = current.epoch;
        state.owned_since = now;
    }
    if (!leaving_ && now - state.owned_since < settings_.stable_after)
    {
        return;
    }
    auto const* assigned = stable_assignment_.assigned_owner(current.partition);
    if (assigned == nullptr)
    {
        assigned = live_assignment_.assigned_owner(current.partition);
    }
    if (assigned != nullptr && *assigned == self_.name)
    {
        state.handover_requested = false;
        state.requested_successor = {};
        return;
    }
    if (assigned == nullptr && !leaving_)
    {
        return;
    }
    auto const* info = assigned == nullptr ? nullptr : members.find(*assigned);
    ports::member_identity const id =
        info == nullptr ? ports::member_identity{} : info->id;
    if (state.handover_requested && state.requested_successor == id)
    {
        return;
    }
    if (!state.handover_requested && !leaving_ &&
        handovers_requested() >= settings_.max_handovers)
    {
        return;
    }
    state.handover_requested = true;
    state.requested_successor = id;
    claim_change change;
    change.kind = claim_change_kind::handover_requested;
    change.current = current;
    change.assigned_to = id;
    view_.record_change(std::move(change));
}

std::size_t claim_table::handovers_requested() const
{
    return static_cast<std::size_t>(
        std::count_if(progress_.begin(),
                      progress_.end(),
                      [](auto const& entry)
                      {
                          return entry.second.handover_requested;
                      }));
}

// The record of a fenced member is kept while a claim names that member, so
// that all others can see why the claim may be taken over, and for at least
// `fenced_record_retention`. Then the member assigned by rendezvous hashing
// erases it; after twice that time any member does.
void claim_table::erase_fenced_record(common::time_point now,
                                      membership::member const& members,
                                      owner_candidates const& candidates,
                                      ports::actions& out)
{
    if (erase_in_flight_ || !members.may_act(now) || !members.proved_by_store())
    {
        return;
    }
    for (auto const& [name, record] : members.records().records())
    {
        auto const age = now - record.version_seen;
        if (!record.value.fenced || age < settings_.fenced_record_retention ||
            view_.names_owner(record.value.info.id))
        {
            continue;
        }
        auto const* assigned_eraser = rendezvous_owner(name, candidates.live);
        if ((assigned_eraser != nullptr && *assigned_eraser == self_.name) ||
            age >= settings_.fenced_record_retention * 2)
        {
            erase_in_flight_ = true;
            ++counts_.erases;
            send_call(
                {call_kind::erase, {}, {}},
                ports::store_erase{membership::members_prefix(role_) + name,
                                   record.version},
                out);
            return;
        }
    }
}

void claim_table::release(common::time_point now,
                          std::string const& partition,
                          ports::actions& out)
{
    auto const* current = find(partition);
    if (current == nullptr || !is_ours(partition))
    {
        return;
    }
    view_.begin_release(partition);
    auto const& state = progress_[partition];
    if (!state.call_in_flight && !state.needs_read_back &&
        now >= state.retry_at && writes_in_flight_ < settings_.max_writes)
    {
        write_release(*current, out);
    }
}

void claim_table::begin_leaving() noexcept
{
    leaving_ = true;
}

bool claim_table::owns(common::time_point now,
                       std::string const& partition,
                       membership::member const& members) const noexcept
{
    auto const* current = find(partition);
    return current != nullptr && current->owner == members.self().id &&
           !view_.is_releasing(partition) && members.may_act(now);
}

bool claim_table::is_ours(std::string const& partition) const
{
    auto const* current = find(partition);
    return current != nullptr && !self_.name.empty() &&
           current->owner == self_ && !view_.is_releasing(partition);
}

claim const* claim_table::find(std::string const& partition) const noexcept
{
    return view_.find(partition);
}

std::map<std::string, claim> const& claim_table::all() const noexcept
{
    return view_.all();
}

std::vector<std::string>
claim_table::owned(membership::member const& members) const
{
    std::vector<std::string> names;
    for (auto const& [partition, current] : view_.all())
    {
        if (current.owner == members.self().id &&
            !view_.is_releasing(partition))
        {
            names.push_back(partition);
        }
    }
    return names;
}

std::size_t
claim_table::held_count(membership::member const& members) const noexcept
{
    auto const& claims = view_.all();
    return static_cast<std::size_t>(
        std::count_if(claims.begin(),
                      claims.end(),
                      [&members](auto const& entry)
                      {
                          return entry.second.owner == members.self().id;
                      }));
}

bool claim_table::is_loaded() const noexcept
{
    return view_.is_loaded();
}

claim_counts const& claim_table::counts() const noexcept
{
    return counts_;
}

std::vector<claim_change> claim_table::take_changes()
{
    return view_.take_changes();
}

} // namespace fuchsia::core::claims
