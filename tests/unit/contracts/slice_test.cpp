#include "core/contracts/slice.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <set>

using namespace fuchsia;
using namespace fuchsia::core::contracts;
using namespace std::chrono_literals;
using core::common::time_point;
using ports::request_class;

namespace
{

contract limits_of(std::uint32_t in_flight, std::uint32_t rate = 1000)
{
    contract limits;
    limits.customer = "c";
    limits.requests_in_flight = in_flight;
    limits.requests_per_second = rate;
    limits.batch_permille = 500;
    return limits;
}

ports::member_identity entry(std::size_t number)
{
    return {"entry-" + std::to_string(number), number + 1};
}

time_point at(core::common::duration since)
{
    return time_point(1h + since);
}

/// Lets the holder ask the ledger and take the answer.
void renew(time_point now,
           slice_holder& holder,
           slice_ledger& ledger,
           contract const& limits,
           std::uint32_t members = 1)
{
    if (auto const request = holder.next_request(now, limits))
    {
        if (auto const grant =
                ledger.grant(now, entry(0), *request, limits, members, 1))
        {
            holder.on_grant(now, *grant);
        }
    }
}

} // namespace

TEST(slice, admits_within_the_slice_and_not_beyond)
{
    auto const limits = limits_of(4);
    slice_holder holder({});
    slice_ledger ledger({});
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::no_slice);
    for (int turn = 0; turn < 20; ++turn)
    {
        holder.count_unmet_demand();
    }
    renew(at(0s), holder, ledger, limits);
    EXPECT_EQ(holder.admit(at(0s), request_class::batch, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(0s), request_class::batch, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(0s), request_class::batch, limits),
              slice_verdict::in_flight_limit_reached)
        << "batch may use half";
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::in_flight_limit_reached);
}

// The owner can't be reached any more. The entry goes on with its slice until
// that runs out, counted from when it asked, and then stops.
TEST(slice, expires_counted_from_when_it_was_asked_for)
{
    auto const limits = limits_of(4);
    slice_holder holder({});
    slice_ledger ledger({});
    holder.count_unmet_demand();
    auto const request = holder.next_request(at(0s), limits);
    ASSERT_TRUE(request);
    auto const grant = ledger.grant(at(1s), entry(0), *request, limits, 1, 1);
    holder.on_grant(at(1500ms), *grant);
    EXPECT_EQ(holder.admit(at(1999ms), request_class::latency_critical, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(2s), request_class::latency_critical, limits),
              slice_verdict::no_slice);
}

// A grant is delayed on its way while the entry, thinking it lost, asks again
// and tells that it uses nothing. Taken after all, the old grant would be
// counted by nobody.
TEST(slice, grant_for_an_earlier_request_is_not_taken)
{
    auto const limits = limits_of(4);
    slice_holder holder({});
    slice_ledger ledger({});
    holder.count_unmet_demand();
    auto const first = holder.next_request(at(0s), limits);
    auto const grant = ledger.grant(at(0s), entry(0), *first, limits, 1, 1);
    ASSERT_TRUE(holder.next_request(at(200ms), limits));
    holder.on_grant(at(201ms), *grant);
    EXPECT_EQ(holder.in_flight_bound(at(201ms)), 0U);
}

// A noisy customer has used up its requests a second: the rest is refused, on
// average not a request more is let through.
TEST(slice, keeps_to_the_rate)
{
    auto const limits = limits_of(1000, 100);
    slice_holder holder({});
    slice_ledger ledger({});
    std::uint32_t admitted = 0;
    for (int step = 0; step < 10'000; ++step)
    {
        auto const now = at(std::chrono::milliseconds(step));
        if (holder.admit(now, request_class::latency_critical, limits) ==
            slice_verdict::admitted)
        {
            ++admitted;
            holder.on_request_end(request_class::latency_critical);
        }
        else
        {
            holder.count_unmet_demand();
        }
        renew(now, holder, ledger, limits);
    }
    EXPECT_LE(admitted, 1010U);
    EXPECT_GE(admitted, 950U);
}

// Entries ask and return under a link that loses, delays, repeats and
// reorders, some die and the owner is replaced. What is in flight at all of
// them together must never exceed the contract, at no step.
TEST(slice, sum_over_entries_never_exceeds_the_contract)
{
    constexpr std::size_t entries = 4;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        std::mt19937_64 random(seed);
        slice_settings settings;
        settings.max_execution = 5s;
        auto const limits = limits_of(1 + random() % 40, 1'000'000);
        struct late
        {
            time_point when;
            std::size_t who;
            bool to_owner;
            std::uint32_t owner;
            ports::slice_request request;
            ports::slice_grant grant;
        };
        std::vector<late> link;
        std::vector<slice_holder> holders(entries, slice_holder(settings));
        std::vector<std::uint32_t> asked(entries, 0);
        slice_ledger ledger(settings);
        std::uint32_t owner = 0; ///< Rises with each owner.
        auto const way = [&random]
        {
            return std::chrono::milliseconds(random() % 10 == 0 ? random() % 900
                                                                : 2);
        };
        for (int step = 0; step < 2000; ++step)
        {
            auto const now = at(std::chrono::milliseconds(step * 20));
            if (random() % 400 == 0)
            {
                ++owner;
                ledger = slice_ledger(settings);
                std::vector<ports::member_identity> others;
                for (std::size_t who = 0; who < entries; ++who)
                {
                    others.push_back(entry(who));
                    holders[who].request_at_once();
                }
                ledger.take_over(now, others);
            }
            for (std::size_t who = 0; who < entries; ++who)
            {
                auto& holder = holders[who];
                for (auto turn = random() % 4; turn > 0; --turn)
                {
                    if (holder.admit(now,
                                     request_class::latency_critical,
                                     limits) != slice_verdict::admitted)
                    {
                        holder.count_unmet_demand();
                    }
                }
                if (random() % 3 == 0)
                {
                    holder.on_request_end(request_class::latency_critical);
                }
                if (auto const request = holder.next_request(now, limits))
                {
                    asked[who] = owner;
                    for (auto copies = random() % 3; copies > 0; --copies)
                    {
                        link.push_back(
                            {now + way(), who, true, owner, *request, {}});
                    }
                }
            }
            for (std::size_t index = 0; index < link.size();)
            {
                if (link[index].when > now)
                {
                    ++index;
                    continue;
                }
                auto const one = link[index];
                link.erase(link.begin() + static_cast<std::ptrdiff_t>(index));
                if (one.to_owner && one.owner == owner)
                {
                    auto const grant = ledger.grant(
                        now, entry(one.who), one.request, limits, entries, 1);
                    if (grant && random() % 10 != 0)
                    {
                        link.push_back(
                            {now + way(), one.who, false, owner, {}, *grant});
                    }
                }
                else if (!one.to_owner && one.owner == asked[one.who])
                {
                    holders[one.who].on_grant(now, one.grant);
                }
            }
            std::uint32_t sum = 0;
            for (auto const& holder : holders)
            {
                sum += holder.in_flight();
            }
            ASSERT_LE(sum, limits.requests_in_flight)
                << "seed " << seed << " step " << step;
        }
    }
}
