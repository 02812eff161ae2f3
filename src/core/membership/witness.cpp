#include "core/membership/witness.hpp"

#include <algorithm>

namespace fuchsia::core::membership
{

namespace
{

/// Whether the roster contains a record of `subject` newer than `version`.
bool shows_newer_record(roster const& members,
                        ports::member_identity const& subject,
                        std::uint64_t version)
{
    auto const* observed = members.find(subject.name);
    return observed != nullptr && observed->version > version;
}

} // namespace

witness::witness(common::duration fencing_delay) : fencing_delay_(fencing_delay)
{
}

// Refuses a promise to an incarnation that the newest list does not show as
// live: a consent is discarded once a newer record has been read, and that
// newer record may be the fenced one.
bool witness::promise(common::time_point now,
                      ports::member_identity const& subject,
                      roster const& members)
{
    if (consents_.count(subject) != 0 || members.is_fenced(subject))
    {
        return false;
    }
    if (promises_.size() >= max_remembered && promises_.count(subject) == 0)
    {
        return false;
    }
    promises_[subject] = now;
    return true;
}

bool witness::consent(common::time_point now,
                      ports::member_identity const& subject,
                      std::uint64_t version,
                      roster const& members)
{
    if (shows_newer_record(members, subject, version))
    {
        return false; // A fencing write at `version` would fail.
    }
    auto const promised = promises_.find(subject);
    if (promised != promises_.end() && now - promised->second < fencing_delay_)
    {
        return false;
    }
    if (consents_.size() >= max_remembered && consents_.count(subject) == 0)
    {
        return false;
    }
    auto const [it, added] = consents_.try_emplace(subject, version);
    it->second = std::max(it->second, version);
    return true;
}

void witness::on_list(common::time_point now, roster const& members)
{
    std::erase_if(consents_,
                  [&members](auto const& entry)
                  {
                      return shows_newer_record(
                          members, entry.first, entry.second);
                  });
    std::erase_if(promises_,
                  [now, this](auto const& entry)
                  {
                      return now - entry.second > fencing_delay_ * 2;
                  });
}

void witness::on_pause(common::time_point now) noexcept
{
    for (auto& [subject, promised_at] : promises_)
    {
        promised_at = now;
    }
}

} // namespace fuchsia::core::membership
