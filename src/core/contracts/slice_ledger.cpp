#include "core/contracts/slice.hpp"

#include <algorithm>

namespace fuchsia::core::contracts
{

namespace
{
constexpr std::uint64_t permille = 1000;
}

slice_ledger::slice_ledger(slice_settings settings) : settings_(settings)
{
}

void slice_ledger::take_over(common::time_point now,
                             std::vector<ports::member_identity> const& others)
{
    shares_.clear();
    for (auto const& other : others)
    {
        auto& added = shares_[other];
        added.expires_at = now + settings_.max_execution;
        added.rate_until = now + lease_duration();
    }
}

std::optional<ports::slice_grant>
slice_ledger::grant(common::time_point now,
                    ports::member_identity const& member,
                    ports::slice_request const& request,
                    contract const& limits,
                    std::uint32_t members,
                    std::uint64_t revision)
{
    remove_expired(now);
    ports::slice_grant reply;
    reply.round = request.round;
    reply.customer = request.customer;
    reply.config_revision = revision;
    auto& own = shares_[member];
    if (request.round <= own.round)
    {
        return std::nullopt;
    }
    own.round = request.round;
    own.reported = true;
    own.expires_at.reset();
    own.requested_at = now;
    own.wanted = request.wanted;
    own.wanted_rate = request.wanted_rate;

    std::uint32_t const cap = cap_of(limits.requests_in_flight, members);
    std::uint32_t const used = slots_of_others(member, cap);
    std::uint32_t const remaining =
        limits.requests_in_flight - std::min(limits.requests_in_flight, used);
    std::uint32_t const fair =
        fair_share(now, limits.requests_in_flight, own.wanted, &share::wanted);
    reply.in_flight = std::min({cap, remaining, fair});
    own.bound = std::max(request.in_use, reply.in_flight);

    std::uint32_t const rate_cap = cap_of(limits.requests_per_second, members);
    std::uint32_t const rate_used = rate_of_others(now, member, rate_cap);
    std::uint32_t const rate_remaining =
        limits.requests_per_second -
        std::min(limits.requests_per_second, rate_used);
    std::uint32_t const rate_fair = fair_share(
        now, limits.requests_per_second, own.wanted_rate, &share::wanted_rate);
    reply.rate = std::min({rate_cap, rate_remaining, rate_fair});
    if (now >= own.previous_rate_until || own.rate >= own.previous_rate)
    {
        own.previous_rate = own.rate;
        own.previous_rate_until = own.rate_until;
    }
    own.rate = reply.rate;
    own.rate_until = now + lease_duration();

    reply.valid_us = static_cast<std::uint64_t>(settings_.lifetime.count());
    last_cap_ = cap;
    return reply;
}

void slice_ledger::on_member_fenced(common::time_point now,
                                    ports::member_identity const& member)
{
    auto const it = shares_.find(member);
    if (it != shares_.end() && !it->second.expires_at)
    {
        it->second.expires_at = now + settings_.max_execution;
        it->second.wanted = 0;
        it->second.wanted_rate = 0;
    }
}

std::uint32_t
slice_ledger::granted_in_flight(common::time_point now) const noexcept
{
    std::uint32_t sum = 0;
    for (auto const& [member, entry_share] : shares_)
    {
        bool const ended =
            entry_share.expires_at && *entry_share.expires_at <= now;
        sum +=
            ended ? 0 : (entry_share.reported ? entry_share.bound : last_cap_);
    }
    return sum;
}

// With few entries, one entry may need more than `max_share_permille`, up to
// the whole contract.
std::uint32_t slice_ledger::cap_of(std::uint32_t limit,
                                   std::uint32_t members) const noexcept
{
    std::uint64_t const by_share =
        (std::uint64_t{limit} * settings_.max_share_permille + permille - 1) /
        permille;
    std::uint32_t const count = std::max(members, std::uint32_t{1});
    std::uint64_t const by_count = (std::uint64_t{limit} + count - 1) / count;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(limit, std::max(by_share, by_count)));
}

void slice_ledger::remove_expired(common::time_point now)
{
    std::erase_if(shares_,
                  [now](auto const& entry_share)
                  {
                      return entry_share.second.expires_at &&
                             *entry_share.second.expires_at <= now;
                  });
}

common::duration slice_ledger::lease_duration() const noexcept
{
    return settings_.lifetime * (permille + settings_.drift_permille) /
           permille;
}

// If the demands exceed the limit, each entry gets a part in proportion to its
// demand.
std::uint32_t
slice_ledger::fair_share(common::time_point now,
                         std::uint32_t limit,
                         std::uint32_t wanted,
                         std::uint32_t share::*demand) const noexcept
{
    std::uint64_t total = 0;
    for (auto const& [name, entry_share] : shares_)
    {
        bool const recent =
            now - entry_share.requested_at < 2 * settings_.lifetime;
        total += recent ? entry_share.*demand : 0;
    }
    if (total <= limit || wanted == 0)
    {
        return wanted;
    }
    auto const proportional =
        static_cast<std::uint32_t>(std::uint64_t{limit} * wanted / total);
    return std::max(proportional, std::uint32_t{1});
}

std::uint32_t
slice_ledger::slots_of_others(ports::member_identity const& excluded,
                              std::uint32_t cap) const noexcept
{
    std::uint32_t sum = 0;
    for (auto const& [name, entry_share] : shares_)
    {
        sum += name == excluded
                   ? 0
                   : (entry_share.reported ? entry_share.bound : cap);
    }
    return sum;
}

std::uint32_t
slice_ledger::rate_of_others(common::time_point now,
                             ports::member_identity const& excluded,
                             std::uint32_t cap) const noexcept
{
    std::uint32_t sum = 0;
    for (auto const& [name, entry_share] : shares_)
    {
        if (name == excluded)
        {
            continue;
        }
        std::uint32_t const current =
            now < entry_share.rate_until
                ? (entry_share.reported ? entry_share.rate : cap)
                : 0;
        std::uint32_t const old = now < entry_share.previous_rate_until
                                      ? entry_share.previous_rate
                                      : 0;
        sum += std::max(current, old);
    }
    return sum;
}

} // namespace fuchsia::core::contracts
