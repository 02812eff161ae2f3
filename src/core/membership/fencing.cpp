#include "core/membership/fencing.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::membership
{

namespace
{

/// Each rank in the hash order waits this much longer than the one before.
constexpr common::duration rank_step = std::chrono::milliseconds(400);
/// Ranks beyond this wait no longer: nobody depends on many others.
constexpr std::size_t last_rank = 6;

/// Consent is asked for again after the first of these, and ever more rarely
/// up to the last: a member that lost only the store goes on for long by the
/// promises of those that are asked.
constexpr common::duration first_question = std::chrono::milliseconds(500);
constexpr common::duration last_question = std::chrono::seconds(4);

/// A burial whose write failed or was unclear is tried again after this.
constexpr common::duration write_retry = std::chrono::milliseconds(500);

/// A record that has stood still for `bury` is read this often for this long,
/// so that all learn of its burial at once; then at the regular interval.
constexpr common::duration watch_interval = std::chrono::milliseconds(500);
constexpr common::duration watch_length = std::chrono::seconds(10);

} // namespace

fencing::fencing(settings const& settings, safety_rules parts)
    : settings_(settings), parts_(parts)
{
}

fencing_actions fencing::next(common::time_point now,
                              ports::member_identity const& observer,
                              bool joined,
                              roster const& members,
                              platform_list const& platform,
                              witness& own,
                              std::mt19937_64& random)
{
    fencing_actions steps;
    drop_settled(members);
    for (auto const& [name, seen] : members.records())
    {
        auto const& id = seen.value.info.id;
        bool const predecessor = name == observer.name && id != observer;
        if (id == observer || (!joined && !predecessor) ||
            !is_unchanged(seen, members))
        {
            continue;
        }
        auto const wait = predecessor ? common::duration{}
                                      : rank_delay(observer, id, members);
        if (now - seen.version_seen < settings_.fencing_delay + wait)
        {
            if (parts_.require_unchanged_version)
            {
                continue;
            }
        }
        if (candidates_.size() == max_candidates &&
            candidates_.count(name) == 0)
        {
            continue;
        }
        auto& subject = candidates_[name];
        if (subject.version != seen.version)
        {
            subject = {};
            subject.subject = id;
            subject.version = seen.version;
        }
        ask(now, subject, seen.value, observer, members, own, steps);
        if (!subject.writing && now >= subject.next_write &&
            may_fence(now, subject, seen.value, members, platform))
        {
            subject.writing = true;
            steps.writes.push_back(
                {id,
                 {members_prefix(seen.value.info.role) + name,
                  to_json(make_fenced(seen.value, random())),
                  seen.version}});
        }
    }
    return steps;
}

// What is no longer as it was when pursued ends here; a write under way is
// waited for, so that its answer finds its candidate.
void fencing::drop_settled(roster const& members)
{
    std::erase_if(candidates_,
                  [&members](auto const& entry)
                  {
                      auto const* seen = members.find(entry.first);
                      return !entry.second.writing &&
                             (seen == nullptr || seen->value.fenced ||
                              seen->version != entry.second.version);
                  });
}

// A beat that was applied before the first list was sent before it, so its
// proof ends within `bury` of that list; one that was applied after it changed
// the version. The first list's answer came in at `version_seen`.
bool fencing::is_unchanged(seen_record const& seen, roster const& members) const
{
    if (!seen.readable || seen.value.fenced)
    {
        return false;
    }
    return !parts_.require_unchanged_version ||
           members.list_sent() - seen.version_seen >= settings_.fencing_delay;
}

common::duration fencing::rank_delay(ports::member_identity const& observer,
                                     ports::member_identity const& subject,
                                     roster const& members) const
{
    std::uint64_t const seed = subject.incarnation;
    std::uint64_t const mine = common::hash_of(observer.name, seed);
    auto const& live = members.live();
    auto const rank =
        std::count_if(live.begin(),
                      live.end(),
                      [&](member_info const& other)
                      {
                          return other.id != subject &&
                                 common::hash_of(other.id.name, seed) > mine;
                      });
    return rank_step * std::min<std::int64_t>(rank, last_rank);
}

void fencing::ask(common::time_point now,
                  candidate& subject,
                  record const& value,
                  ports::member_identity const& observer,
                  roster const& members,
                  witness& own,
                  fencing_actions& steps) const
{
    if (now < subject.next_question)
    {
        return;
    }
    subject.question_interval = std::clamp(
        subject.question_interval * 2, first_question, last_question);
    subject.next_question = now + subject.question_interval;
    for (auto const& id : value.witnesses)
    {
        if (subject.consents.count(id) != 0)
        {
            continue;
        }
        if (id != observer)
        {
            steps.questions.push_back({id, subject.subject, subject.version});
        }
        else if (own.consent(now, subject.subject, subject.version, members))
        {
            subject.consents.insert(id);
        }
    }
}

bool fencing::may_fence(common::time_point now,
                        candidate const& subject,
                        record const& value,
                        roster const& members,
                        platform_list const& platform) const
{
    if (!parts_.require_consent || value.witnesses.empty())
    {
        return true; // Without witnesses only the store gives proofs.
    }
    auto const agreed =
        std::count_if(value.witnesses.begin(),
                      value.witnesses.end(),
                      [&](ports::member_identity const& id)
                      {
                          return subject.consents.count(id) != 0 ||
                                 is_gone(now, id, members, platform);
                      });
    return static_cast<std::size_t>(agreed) > value.witnesses.size() / 2;
}

// A witness that is gone gave its last promise before it went, so `bury` after
// its going was seen its promises are over. That its record stands still or is
// buried is no proof that it is gone: it may have lost only the store, and go
// on promising. Nor is a record that was removed: an operator may be wrong.
bool fencing::is_gone(common::time_point now,
                      ports::member_identity const& witness,
                      roster const& members,
                      platform_list const& platform) const
{
    if (!settings_.platform_list_replaces_consent)
    {
        return false;
    }
    auto const* seen = members.find(witness.name);
    if (seen == nullptr)
    {
        return platform.dropped_for(
            witness.name, common::time_point::min(), settings_.fencing_delay);
    }
    if (!seen->readable)
    {
        return false;
    }
    if (seen->value.info.id != witness)
    {
        return now - seen->incarnation_seen >= settings_.fencing_delay;
    }
    if (seen->value.successor != 0 &&
        now - seen->successor_seen >= settings_.fencing_delay)
    {
        return true;
    }
    // Whoever still beats runs, whatever a list says that lags.
    bool const beats = now - seen->version_seen < settings_.fencing_delay;
    return !beats && platform.dropped_for(witness.name,
                                          seen->incarnation_seen,
                                          settings_.fencing_delay);
}

void fencing::on_consent(ports::member_identity const& witness,
                         ports::member_identity const& subject,
                         std::uint64_t version)
{
    auto const place = candidates_.find(subject.name);
    if (place != candidates_.end() && place->second.subject == subject &&
        place->second.version == version)
    {
        place->second.consents.insert(witness);
    }
}

// A record that did not change since an earlier list is read again just when
// it will have stood still for `bury`: lists may then be rare in calm times.
common::time_point fencing::next_read_at(common::time_point now,
                                         ports::member_identity const& observer,
                                         roster const& members) const
{
    auto next = common::time_point::max();
    for (auto const& [name, seen] : members.records())
    {
        if (!seen.readable || seen.value.fenced ||
            seen.value.info.id == observer)
        {
            continue;
        }
        auto const due = seen.version_seen + settings_.fencing_delay;
        if (due > members.list_sent())
        {
            next = std::min(next, due);
        }
        else if (now < due + watch_length)
        {
            next = std::min(next, now + watch_interval);
        }
    }
    return next;
}

void fencing::on_write_reply(common::time_point now,
                             ports::member_identity const& subject)
{
    auto const place = candidates_.find(subject.name);
    if (place != candidates_.end())
    {
        place->second.writing = false;
        place->second.next_write = now + write_retry;
    }
}

} // namespace fuchsia::core::membership
