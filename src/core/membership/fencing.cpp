#include "core/membership/fencing.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

/// Each rank in the hash order waits this much longer than the one before.
constexpr common::duration rank_delay_step = std::chrono::milliseconds(400);
/// Ranks beyond this wait no longer: nobody depends on many others.
constexpr std::size_t max_delayed_rank = 6;

/// Consent is asked for again after the first of these, and ever more rarely
/// up to the last: a member that lost only the store goes on for long by the
/// promises of those that are asked.
constexpr common::duration min_query_interval = std::chrono::milliseconds(500);
constexpr common::duration max_query_interval = std::chrono::seconds(4);

/// A burial whose write failed or was unclear is tried again after this.
constexpr common::duration write_retry_interval =
    std::chrono::milliseconds(500);

/// A record that has stood still for `bury` is read this often for this long,
/// so that all learn of its burial at once; then at the regular interval.
constexpr common::duration watch_interval = std::chrono::milliseconds(500);
constexpr common::duration watch_duration = std::chrono::seconds(10);

} // namespace

fencing::fencing(settings const& settings, safety_rules rules)
    : settings_(settings), rules_(rules)
{
}

fencing_actions fencing::next(common::time_point now,
                              ports::member_identity const& observer,
                              bool joined,
                              roster const& members,
                              platform_list const& platform,
                              witness& own_witness,
                              std::mt19937_64& random)
{
    fencing_actions actions;
    drop_outdated(members);
    for (auto const& [name, observed] : members.records())
    {
        auto const& id = observed.value.info.id;
        bool const predecessor = name == observer.name && id != observer;
        if (id == observer || (!joined && !predecessor) ||
            !is_unchanged(observed, members))
        {
            continue;
        }
        auto const wait = predecessor ? common::duration{}
                                      : rank_delay(observer, id, members);
        if (now - observed.version_seen < settings_.fencing_delay + wait)
        {
            if (rules_.require_unchanged_version)
            {
                continue;
            }
        }
        if (candidates_.size() == max_candidates &&
            candidates_.count(name) == 0)
        {
            continue;
        }
        auto& target = candidates_[name];
        if (target.version != observed.version)
        {
            target = {};
            target.subject = id;
            target.version = observed.version;
        }
        request_consent(now,
                        target,
                        observed.value,
                        observer,
                        members,
                        own_witness,
                        actions);
        if (!target.writing && now >= target.next_write &&
            may_fence(now, target, observed.value, members, platform))
        {
            target.writing = true;
            actions.writes.push_back(
                {id,
                 {members_prefix(observed.value.info.role) + name,
                  to_json(make_fenced(observed.value, random())),
                  observed.version}});
        }
    }
    return actions;
}

// What is no longer as it was when pursued ends here; a write under way is
// waited for, so that its answer finds its candidate.
void fencing::drop_outdated(roster const& members)
{
    std::erase_if(candidates_,
                  [&members](auto const& entry)
                  {
                      auto const* observed = members.find(entry.first);
                      return !entry.second.writing &&
                             (observed == nullptr || observed->value.fenced ||
                              observed->version != entry.second.version);
                  });
}

// A beat that was applied before the first list was sent before it, so its
// proof ends within `bury` of that list; one that was applied after it changed
// the version. The first list's answer came in at `version_seen`.
bool fencing::is_unchanged(observed_record const& observed,
                           roster const& members) const
{
    if (!observed.readable || observed.value.fenced)
    {
        return false;
    }
    return !rules_.require_unchanged_version ||
           members.list_sent() - observed.version_seen >=
               settings_.fencing_delay;
}

common::duration fencing::rank_delay(ports::member_identity const& observer,
                                     ports::member_identity const& subject,
                                     roster const& members) const
{
    std::uint64_t const seed = subject.incarnation;
    std::uint64_t const own_weight = common::hash_of(observer.name, seed);
    auto const& live = members.live();
    auto const rank = std::count_if(
        live.begin(),
        live.end(),
        [&](member_info const& other)
        {
            return other.id != subject &&
                   common::hash_of(other.id.name, seed) > own_weight;
        });
    return rank_delay_step * std::min<std::int64_t>(rank, max_delayed_rank);
}

void fencing::request_consent(common::time_point now,
                              candidate& target,
                              record const& value,
                              ports::member_identity const& observer,
                              roster const& members,
                              witness& own_witness,
                              fencing_actions& actions) const
{
    if (now < target.next_query)
    {
        return;
    }
    target.query_interval = std::clamp(
        target.query_interval * 2, min_query_interval, max_query_interval);
    target.next_query = now + target.query_interval;
    for (auto const& id : value.witnesses)
    {
        if (target.consents.count(id) != 0)
        {
            continue;
        }
        if (id != observer)
        {
            actions.consent_queries.push_back(
                {id, target.subject, target.version});
        }
        else if (own_witness.consent(
                     now, target.subject, target.version, members))
        {
            target.consents.insert(id);
        }
    }
}

bool fencing::may_fence(common::time_point now,
                        candidate const& target,
                        record const& value,
                        roster const& members,
                        platform_list const& platform) const
{
    if (!rules_.require_consent || value.witnesses.empty())
    {
        return true; // Without witnesses only the store gives proofs.
    }
    auto const consenting = std::count_if(
        value.witnesses.begin(),
        value.witnesses.end(),
        [&](ports::member_identity const& id)
        {
            return target.consents.count(id) != 0 ||
                   can_no_longer_promise(now, id, members, platform);
        });
    return static_cast<std::size_t>(consenting) > value.witnesses.size() / 2;
}

// A witness that is gone gave its last promise before it went, so `bury` after
// its going was seen its promises are over. That its record stands still or is
// buried is no proof that it is gone: it may have lost only the store, and go
// on promising. Nor is a record that was removed: an operator may be wrong.
bool fencing::can_no_longer_promise(common::time_point now,
                                    ports::member_identity const& witness,
                                    roster const& members,
                                    platform_list const& platform) const
{
    if (!settings_.platform_list_replaces_consent)
    {
        return false;
    }
    auto const* observed = members.find(witness.name);
    if (observed == nullptr)
    {
        return platform.dropped_for(
            witness.name, common::time_point::min(), settings_.fencing_delay);
    }
    if (!observed->readable)
    {
        return false;
    }
    if (observed->value.info.id != witness)
    {
        return now - observed->incarnation_seen >= settings_.fencing_delay;
    }
    if (observed->value.successor != 0 &&
        now - observed->successor_seen >= settings_.fencing_delay)
    {
        return true;
    }
    // Whoever still beats runs, whatever a list says that lags.
    bool const sends_heartbeats =
        now - observed->version_seen < settings_.fencing_delay;
    return !sends_heartbeats && platform.dropped_for(witness.name,
                                                     observed->incarnation_seen,
                                                     settings_.fencing_delay);
}

void fencing::on_consent(ports::member_identity const& witness,
                         ports::member_identity const& subject,
                         std::uint64_t version)
{
    auto const it = candidates_.find(subject.name);
    if (it != candidates_.end() && it->second.subject == subject &&
        it->second.version == version)
    {
        it->second.consents.insert(witness);
    }
}

// A record that did not change since an earlier list is read again just when
// it will have stood still for `bury`: lists may then be rare in calm times.
common::time_point fencing::next_read_at(common::time_point now,
                                         ports::member_identity const& observer,
                                         roster const& members) const
{
    auto next = common::time_point::max();
    for (auto const& [name, observed] : members.records())
    {
        if (!observed.readable || observed.value.fenced ||
            observed.value.info.id == observer)
        {
            continue;
        }
        auto const due = observed.version_seen + settings_.fencing_delay;
        if (due > members.list_sent())
        {
            next = std::min(next, due);
        }
        else if (now < due + watch_duration)
        {
            next = std::min(next, now + watch_interval);
        }
    }
    return next;
}

void fencing::on_write_reply(common::time_point now,
                             ports::member_identity const& subject)
{
    auto const it = candidates_.find(subject.name);
    if (it != candidates_.end())
    {
        it->second.writing = false;
        it->second.next_write = now + write_retry_interval;
    }
}

} // namespace fuchsia::core::membership
