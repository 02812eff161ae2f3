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
        added.ends = now + settings_.max_execution;
        added.rate_until = now + lease();
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
    drop_ended(now);
    ports::slice_grant answer;
    answer.round = request.round;
    answer.customer = request.customer;
    answer.config_revision = revision;
    auto& own = shares_[member];
    if (request.round <= own.round)
    {
        return std::nullopt;
    }
    own.round = request.round;
    own.reported = true;
    own.ends.reset();
    own.asked = now;
    own.wanted = request.wanted;
    own.wanted_rate = request.wanted_rate;

    std::uint32_t const cap = cap_of(limits.requests_in_flight, members);
    std::uint32_t const used = others_slots(member, cap);
    std::uint32_t const left =
        limits.requests_in_flight - std::min(limits.requests_in_flight, used);
    std::uint32_t const fair =
        fair_part(now, limits.requests_in_flight, own.wanted, &share::wanted);
    answer.in_flight = std::min({cap, left, fair});
    own.bound = std::max(request.in_use, answer.in_flight);

    std::uint32_t const rate_cap = cap_of(limits.requests_per_second, members);
    std::uint32_t const rate_used = others_rate(now, member, rate_cap);
    std::uint32_t const rate_left =
        limits.requests_per_second -
        std::min(limits.requests_per_second, rate_used);
    std::uint32_t const rate_fair = fair_part(
        now, limits.requests_per_second, own.wanted_rate, &share::wanted_rate);
    answer.rate = std::min({rate_cap, rate_left, rate_fair});
    if (now >= own.old_rate_until || own.rate >= own.old_rate)
    {
        own.old_rate = own.rate;
        own.old_rate_until = own.rate_until;
    }
    own.rate = answer.rate;
    own.rate_until = now + lease();

    answer.valid_us = static_cast<std::uint64_t>(settings_.lifetime.count());
    last_cap_ = cap;
    return answer;
}

void slice_ledger::on_member_fenced(common::time_point now,
                                    ports::member_identity const& member)
{
    auto const found = shares_.find(member);
    if (found != shares_.end() && !found->second.ends)
    {
        found->second.ends = now + settings_.max_execution;
        found->second.wanted = 0;
        found->second.wanted_rate = 0;
    }
}

std::uint32_t
slice_ledger::granted_in_flight(common::time_point now) const noexcept
{
    std::uint32_t sum = 0;
    for (auto const& [member, one] : shares_)
    {
        bool const ended = one.ends && *one.ends <= now;
        sum += ended ? 0 : (one.reported ? one.bound : last_cap_);
    }
    return sum;
}

// A single entry may need the whole contract where there are few of them.
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

void slice_ledger::drop_ended(common::time_point now)
{
    std::erase_if(shares_,
                  [now](auto const& one)
                  {
                      return one.second.ends && *one.second.ends <= now;
                  });
}

common::duration slice_ledger::lease() const noexcept
{
    return settings_.lifetime * (permille + settings_.drift_permille) /
           permille;
}

// Where more is wanted than there is, each gets in proportion to its wish.
std::uint32_t
slice_ledger::fair_part(common::time_point now,
                        std::uint32_t limit,
                        std::uint32_t wanted,
                        std::uint32_t share::*member) const noexcept
{
    std::uint64_t total = 0;
    for (auto const& [name, one] : shares_)
    {
        bool const recent = now - one.asked < 2 * settings_.lifetime;
        total += recent ? one.*member : 0;
    }
    if (total <= limit || wanted == 0)
    {
        return wanted;
    }
    auto const part =
        static_cast<std::uint32_t>(std::uint64_t{limit} * wanted / total);
    return std::max(part, std::uint32_t{1});
}

std::uint32_t slice_ledger::others_slots(ports::member_identity const& but,
                                         std::uint32_t cap) const noexcept
{
    std::uint32_t sum = 0;
    for (auto const& [name, one] : shares_)
    {
        sum += name == but ? 0 : (one.reported ? one.bound : cap);
    }
    return sum;
}

std::uint32_t slice_ledger::others_rate(common::time_point now,
                                        ports::member_identity const& but,
                                        std::uint32_t cap) const noexcept
{
    std::uint32_t sum = 0;
    for (auto const& [name, one] : shares_)
    {
        if (name == but)
        {
            continue;
        }
        std::uint32_t const current =
            now < one.rate_until ? (one.reported ? one.rate : cap) : 0;
        std::uint32_t const old = now < one.old_rate_until ? one.old_rate : 0;
        sum += std::max(current, old);
    }
    return sum;
}

} // namespace fuchsia::core::contracts
