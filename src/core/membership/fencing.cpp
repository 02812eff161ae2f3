#include "core/membership/fencing.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

/// Additional wait of each rank in the hash order of the observers.
constexpr common::duration rank_delay_step = std::chrono::milliseconds(400);
/// Rank from which on the additional wait no longer grows, so that the time of
/// a takeover does not grow with the number of members.
constexpr std::size_t max_delayed_rank = 6;

/// Minimum and maximum interval between consent requests. The interval doubles
/// with each request: a member that has lost only its connection to the store
/// can run for a long time on promises, and its witnesses would receive these
/// requests all that time.
constexpr common::duration min_query_interval = std::chrono::milliseconds(500);
constexpr common::duration max_query_interval = std::chrono::seconds(4);

/// Time from the reply to a fencing write that failed or whose outcome is
/// unknown until the write is retried.
constexpr common::duration write_retry_interval =
    std::chrono::milliseconds(500);

/// Interval at which the records are read, for `watch_duration`, once a record
/// has been unchanged for `fencing_delay`, so that all members learn of the
/// fencing soon. After `watch_duration` the regular list interval applies.
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

// Drops candidates whose record was fenced or removed or has changed. A
// candidate with a fencing write in flight is kept until the reply to the write
// has arrived.
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

// Returns whether two lists from the store show the record at the same version,
// the second list sent at least `fencing_delay` after the reply to the first
// arrived (`version_seen`). A heartbeat that was applied before the first list
// was read was also sent before, so the proof from this heartbeat ends within
// `fencing_delay` of the first list. A heartbeat that was applied after the
// first list would have changed the version. Without
// `require_unchanged_version`, every readable record that is not fenced counts
// as unchanged.
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
        return true; // Without witnesses all proofs come from the store.
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

// Returns whether a witness is known to have terminated so long ago that its
// promises have expired. A terminated witness gave its last promise before it
// terminated, so its promises have expired `fencing_delay` after its
// termination was observed. An unchanged or fenced record does not show that
// the witness has terminated: the witness may have lost only its connection to
// the store and still give promises. A removed record does not show a
// termination either, because an operator may have removed the record by
// mistake.
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
    // A member that still sends heartbeats is running, even if a lagging
    // platform list does not contain it.
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

// Schedules the next read for the time at which a record will have been
// unchanged for `fencing_delay`, so that the interval between regular lists can
// be long. Once a record has been unchanged for that time, the next read is due
// after `watch_interval`, for `watch_duration`.
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
