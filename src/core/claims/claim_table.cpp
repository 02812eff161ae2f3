#include "core/claims/claim_table.hpp"

#include "core/common/hash.hpp"
#include "core/membership/record.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fuchsia::core::claims
{

namespace
{

std::string const* winner(std::string const& partition,
                          std::vector<std::string> const& names)
{
    if (names.empty())
    {
        return nullptr;
    }
    return &names[common::rendezvous_winner(partition, names)];
}

} // namespace

claim_table::claim_table(std::string role,
                         std::vector<std::string> partitions,
                         claim_settings settings)
    : role_(std::move(role)), prefix_(partitions_prefix(role_)),
      settings_(settings)
{
    set_partitions(std::move(partitions));
}

void claim_table::set_partitions(std::vector<std::string> partitions)
{
    partitions_ = std::move(partitions);
    std::sort(partitions_.begin(), partitions_.end());
    if (partitions_.size() > max_partitions)
    {
        partitions_.resize(max_partitions);
    }
    for (auto const& partition : partitions_)
    {
        auto const [place, added] = claims_.try_emplace(partition);
        if (added)
        {
            place->second.partition = partition;
        }
        progress_.try_emplace(partition);
    }
}

void claim_table::start(common::time_point now, ports::actions& out)
{
    drive_list(now, out);
}

void claim_table::tick(common::time_point now,
                       membership::member const& members,
                       ports::actions& out)
{
    if (self_ != members.self().id)
    {
        self_ = members.self().id;
        random_.seed(self_.incarnation);
    }
    drive_list(now, out);
    if (!known_ || !members.knows_members())
    {
        return;
    }
    auto const who = find_candidates(now, members);
    for (auto const& [partition, current] : claims_)
    {
        auto& state = progress_[partition];
        if (current.owner == self_)
        {
            drive_owned(current, state, members, who);
        }
        if (state.calling || now < state.retry)
        {
            continue;
        }
        if (state.read_back || (state.releasing && current.owner == self_))
        {
            drive_calls(now, current, state, out);
        }
        else
        {
            drive_free(now, current, state, members, who, out);
        }
    }
    drive_buried(now, members, who, out);
}

claim_table::candidates
claim_table::find_candidates(common::time_point now,
                             membership::member const& members) const
{
    candidates who;
    for (auto const& info : members.live())
    {
        bool const self = info.id == self_;
        if (info.leaving || (self && leaving_))
        {
            continue;
        }
        who.live.push_back(info.id.name);
        auto const* seen = members.records().find(info.id.name);
        if (self || (seen != nullptr &&
                     now - seen->incarnation_seen >= settings_.settle))
        {
            who.settled.push_back(info.id.name);
        }
    }
    return who;
}

void claim_table::drive_list(common::time_point now, ports::actions& out)
{
    if (list_in_flight_ || now < next_list_)
    {
        return;
    }
    list_in_flight_ = true;
    next_list_ = now + settings_.watch_gap;
    if (known_)
    {
        ++counts_.watches;
        call(now,
             {call_kind::list, now, {}, {}},
             ports::store_watch{prefix_, index_, settings_.watch_wait},
             out);
        return;
    }
    ++counts_.lists;
    call(now, {call_kind::list, now, {}, {}}, ports::store_list{prefix_}, out);
}

void claim_table::drive_calls(common::time_point now,
                              claim const& current,
                              progress const& state,
                              ports::actions& out)
{
    if (writes_ >= settings_.max_writes)
    {
        return;
    }
    if (state.read_back)
    {
        ++counts_.reads;
        call(now,
             {call_kind::read, now, current.partition, {}},
             ports::store_read{prefix_ + current.partition},
             out);
        return;
    }
    write_release(now, current, out);
}

void claim_table::drive_free(common::time_point now,
                             claim const& current,
                             progress const& state,
                             membership::member const& members,
                             candidates const& who,
                             ports::actions& out)
{
    if (writes_ >= settings_.max_writes || !may_claim(now, members) ||
        !is_free(current, state, members))
    {
        return;
    }
    auto const* wanted = winner(current.partition, who.live);
    if (wanted != nullptr && *wanted == self_.name &&
        std::binary_search(
            partitions_.begin(), partitions_.end(), current.partition))
    {
        write_claim(now, current, out);
    }
}

bool claim_table::may_claim(common::time_point now,
                            membership::member const& members) const
{
    auto const* own = members.records().find(self_.name);
    return !leaving_ && members.may_act(now) && members.proved_by_store() &&
           own != nullptr &&
           now - own->incarnation_seen >= settings_.claim_after;
}

// An owner that joined after the members were last read looks removed. So the
// members must have been read after this claim was seen: its owner had joined
// before it claimed, and if it is not among them now, it is gone for good.
bool claim_table::is_free(claim const& current,
                          progress const& state,
                          membership::member const& members) const
{
    if (current.owner.name.empty())
    {
        return true;
    }
    return current.owner != self_ && members.is_buried(current.owner) &&
           members.members_read_at() > state.seen;
}

void claim_table::drive_owned(claim const& current,
                              progress& state,
                              membership::member const& members,
                              candidates const& who)
{
    if (state.releasing)
    {
        return;
    }
    auto const* wanted = winner(current.partition, who.settled);
    if (wanted == nullptr)
    {
        wanted = winner(current.partition, who.live);
    }
    if (wanted != nullptr && *wanted == self_.name)
    {
        state.asked = false;
        state.asked_for = {};
        return;
    }
    if (wanted == nullptr && !leaving_)
    {
        return;
    }
    auto const* info = wanted == nullptr ? nullptr : members.find(*wanted);
    ports::member_identity const id =
        info == nullptr ? ports::member_identity{} : info->id;
    if (state.asked && state.asked_for == id)
    {
        return;
    }
    if (!state.asked && !leaving_ &&
        handovers_asked() >= settings_.max_handovers)
    {
        return;
    }
    state.asked = true;
    state.asked_for = id;
    claim_change change;
    change.kind = claim_change_kind::handover_asked;
    change.now = current;
    change.wished = id;
    changes_.push_back(std::move(change));
}

std::size_t claim_table::handovers_asked() const
{
    return static_cast<std::size_t>(std::count_if(progress_.begin(),
                                                  progress_.end(),
                                                  [](auto const& entry)
                                                  {
                                                      return entry.second.asked;
                                                  }));
}

// Buried records are kept while a claim names them, so that everybody sees why
// it may be taken over, and for a while longer; then one member erases them,
// and any member where that one does not.
void claim_table::drive_buried(common::time_point now,
                               membership::member const& members,
                               candidates const& who,
                               ports::actions& out)
{
    if (erasing_ || !members.may_act(now) || !members.proved_by_store())
    {
        return;
    }
    for (auto const& [name, seen] : members.records().records())
    {
        auto const age = now - seen.version_seen;
        if (!seen.value.buried || age < settings_.keep_buried ||
            names_owner(seen.value.info.id))
        {
            continue;
        }
        auto const* chosen = winner(name, who.live);
        if ((chosen != nullptr && *chosen == self_.name) ||
            age >= settings_.keep_buried * 2)
        {
            erasing_ = true;
            ++counts_.erases;
            call(now,
                 {call_kind::erase, now, {}, {}},
                 ports::store_erase{membership::members_prefix(role_) + name,
                                    seen.version},
                 out);
            return;
        }
    }
}

bool claim_table::names_owner(ports::member_identity const& id) const
{
    return std::any_of(claims_.begin(),
                       claims_.end(),
                       [&id](auto const& entry)
                       {
                           return entry.second.owner == id;
                       });
}

void claim_table::write_claim(common::time_point now,
                              claim const& current,
                              ports::actions& out)
{
    claim_record value;
    value.owner = self_;
    if (current.owner.name.empty())
    {
        value.released_by = current.released_by;
    }
    value.epoch = current.epoch + 1;
    value.write_id = random_();
    ++counts_.writes;
    call(now,
         {call_kind::claim, now, current.partition, value},
         ports::store_write{
             prefix_ + current.partition, to_json(value), current.version},
         out);
}

void claim_table::write_release(common::time_point now,
                                claim const& current,
                                ports::actions& out)
{
    claim_record value;
    value.released_by = self_;
    value.epoch = current.epoch;
    value.write_id = random_();
    ++counts_.writes;
    call(now,
         {call_kind::release, now, current.partition, value},
         ports::store_write{
             prefix_ + current.partition, to_json(value), current.version},
         out);
}

void claim_table::on_store_reply(common::time_point now,
                                 ports::store_reply const& reply,
                                 membership::member const& members,
                                 ports::actions& out)
{
    auto const place = calls_.find(reply.id.number);
    if (place == calls_.end())
    {
        return;
    }
    pending_call const answered = std::move(place->second);
    calls_.erase(place);
    self_ = members.self().id;
    switch (answered.kind)
    {
    case call_kind::list:
        on_list(now, answered, reply);
        break;
    case call_kind::read:
        on_read(now, answered, reply);
        break;
    case call_kind::claim:
    case call_kind::release:
        on_write(now, answered, reply);
        break;
    case call_kind::erase:
        erasing_ = false;
        break;
    }
    tick(now, members, out);
}

void claim_table::on_list(common::time_point now,
                          pending_call const& answered,
                          ports::store_reply const& reply)
{
    list_in_flight_ = false;
    if (reply.status != ports::store_status::done)
    {
        next_list_ = now + settings_.retry_interval;
        return;
    }
    if (reply.index < index_)
    {
        return; // An older state than was shown before.
    }
    index_ = reply.index;
    known_ = true;
    std::set<std::string> shown;
    for (auto const& entry : reply.entries)
    {
        if (entry.key.starts_with(prefix_))
        {
            shown.insert(entry.key.substr(prefix_.size()));
            take_entry(now, entry);
        }
    }
    std::vector<std::string> absent;
    for (auto const& [partition, current] : claims_)
    {
        if (current.version != 0 && current.version <= reply.index &&
            shown.count(partition) == 0 &&
            progress_[partition].seen < answered.sent)
        {
            absent.push_back(partition);
        }
    }
    for (auto const& partition : absent)
    {
        take_absent(now, partition);
    }
}

void claim_table::on_read(common::time_point now,
                          pending_call const& answered,
                          ports::store_reply const& reply)
{
    --writes_;
    auto& state = progress_[answered.partition];
    state.calling = false;
    if (reply.status != ports::store_status::done)
    {
        state.retry = now + settings_.retry_interval;
        return;
    }
    state.read_back = false;
    if (reply.entries.empty())
    {
        take_absent(now, answered.partition);
        return;
    }
    take_entry(now, reply.entries.front());
}

// After a lost answer the write may have taken effect, or may yet. A claim
// that reads back as ours is ours, and one that does not is written again from
// the version read, which the lost one can't survive. A release is repeated
// until a newer version shows that it, or a later change, stands: the member
// never takes up again what it once began to release.
void claim_table::on_write(common::time_point now,
                           pending_call const& answered,
                           ports::store_reply const& reply)
{
    --writes_;
    auto& state = progress_[answered.partition];
    state.calling = false;
    switch (reply.status)
    {
    case ports::store_status::done:
        take(now, answered.partition, answered.written, reply.index);
        break;
    case ports::store_status::unavailable:
        state.retry = now + settings_.retry_interval;
        break;
    case ports::store_status::conflict:
        state.read_back = true;
        break;
    case ports::store_status::unclear:
        state.read_back = true;
        state.retry = now + settings_.retry_interval;
        break;
    }
}

void claim_table::take_entry(common::time_point now,
                             ports::store_entry const& entry)
{
    common::failure reason;
    auto const value = parse_claim_record(entry.value, reason);
    if (value)
    {
        take(now, entry.key.substr(prefix_.size()), *value, entry.version);
    }
}

void claim_table::take(common::time_point now,
                       std::string const& partition,
                       claim_record const& value,
                       std::uint64_t version)
{
    if (claims_.size() >= max_partitions && claims_.count(partition) == 0)
    {
        return;
    }
    auto& current = claims_[partition];
    auto& state = progress_[partition];
    if (version <= current.version)
    {
        return;
    }
    claim const before = std::exchange(
        current,
        {partition, value.owner, value.epoch, version, value.released_by});
    state.seen = now;
    bool const releasing = state.releasing;
    if (value.owner != self_)
    {
        state.releasing = false;
        state.asked = false;
        state.asked_for = {};
    }
    tell_change(before, current, releasing);
}

void claim_table::take_absent(common::time_point now,
                              std::string const& partition)
{
    auto& current = claims_[partition];
    if (current.version == 0)
    {
        return;
    }
    claim const before = std::exchange(current, {});
    current.partition = partition;
    progress_[partition] = {};
    progress_[partition].seen = now;
    tell_change(before, current, false);
}

void claim_table::tell_change(claim const& before,
                              claim const& after,
                              bool releasing)
{
    if (before.owner == after.owner)
    {
        return;
    }
    claim_change change;
    change.now = after;
    change.before =
        before.owner.name.empty() ? after.released_by : before.owner;
    if (after.owner == self_)
    {
        if (releasing)
        {
            return;
        }
        change.kind = claim_change_kind::acquired;
        change.handed_over = !after.released_by.name.empty();
    }
    else if (before.owner == self_)
    {
        change.kind = claim_change_kind::lost;
    }
    changes_.push_back(std::move(change));
}

void claim_table::release(common::time_point now,
                          std::string const& partition,
                          ports::actions& out)
{
    auto const place = claims_.find(partition);
    if (place == claims_.end() || self_.name.empty() ||
        place->second.owner != self_)
    {
        return;
    }
    auto& state = progress_[partition];
    state.releasing = true;
    if (!state.calling && writes_ < settings_.max_writes &&
        now >= state.retry && !state.read_back)
    {
        write_release(now, place->second, out);
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
    if (current == nullptr || current->owner != members.self().id ||
        !members.may_act(now))
    {
        return false;
    }
    auto const state = progress_.find(partition);
    return state == progress_.end() || !state->second.releasing;
}

claim const* claim_table::find(std::string const& partition) const noexcept
{
    auto const place = claims_.find(partition);
    return place == claims_.end() ? nullptr : &place->second;
}

std::map<std::string, claim> const& claim_table::all() const noexcept
{
    return claims_;
}

std::vector<std::string>
claim_table::owned(membership::member const& members) const
{
    std::vector<std::string> names;
    for (auto const& [partition, current] : claims_)
    {
        auto const state = progress_.find(partition);
        bool const releasing =
            state != progress_.end() && state->second.releasing;
        if (current.owner == members.self().id && !releasing)
        {
            names.push_back(partition);
        }
    }
    return names;
}

std::size_t claim_table::held(membership::member const& members) const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(claims_.begin(),
                      claims_.end(),
                      [&members](auto const& entry)
                      {
                          return entry.second.owner == members.self().id;
                      }));
}

membership::member_info const*
claim_table::wished(std::string const& partition,
                    membership::member const& members) const
{
    std::vector<std::string> names;
    for (auto const& info : members.live())
    {
        if (!info.leaving)
        {
            names.push_back(info.id.name);
        }
    }
    auto const* wanted = winner(partition, names);
    return wanted == nullptr ? nullptr : members.find(*wanted);
}

bool claim_table::known() const noexcept
{
    return known_;
}

claim_counts const& claim_table::counts() const noexcept
{
    return counts_;
}

std::vector<claim_change> claim_table::take_changes()
{
    return std::exchange(changes_, {});
}

void claim_table::call(common::time_point now,
                       pending_call what,
                       ports::store_operation operation,
                       ports::actions& out)
{
    what.sent = now;
    if (what.kind != call_kind::list && what.kind != call_kind::erase)
    {
        progress_[what.partition].calling = true;
        ++writes_;
    }
    calls_.emplace(++last_call_, std::move(what));
    out.emplace_back(ports::store_call{{ports::store_user::claims, last_call_},
                                       std::move(operation)});
}

} // namespace fuchsia::core::claims
