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

time_point at(core::common::duration since_start)
{
    return time_point(1h + since_start);
}

/// Passes a due request from the holder to the ledger and the grant back.
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

TEST(slice, admits_requests_only_within_the_slice)
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
        << "batch requests may use half of the slice";
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::admitted);
    EXPECT_EQ(holder.admit(at(0s), request_class::latency_critical, limits),
              slice_verdict::in_flight_limit_reached);
}

// The owner becomes unreachable. The entry must use its slice only until its
// lifetime has passed, counted from the request for it and not from the grant.
TEST(slice, lifetime_is_counted_from_the_request)
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

// A grant is delayed, so the entry repeats its request and reports that it uses
// nothing. If the entry then accepted the old grant, the owner would not count
// it.
TEST(slice, grant_for_an_earlier_request_is_ignored)
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

// A noisy customer exceeds its requests per second. On average, no more
// requests than the contract allows may be admitted.
TEST(slice, admits_no_more_than_the_rate_of_the_contract)
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

// Entries request and return slices over a link that loses, delays, duplicates
// and reorders messages, while the owner is replaced. The requests in flight at
// all entries together must not exceed the contract at any step.
TEST(slice, sum_over_entries_never_exceeds_the_contract)
{
    constexpr std::size_t entries = 4;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        std::mt19937_64 random(seed);
        slice_settings settings;
        settings.max_execution = 5s;
        auto const limits = limits_of(1 + random() % 40, 1'000'000);
        struct message
        {
            time_point arrives_at;
            std::size_t entry_index;
            bool to_owner;
            std::uint32_t owner;
            ports::slice_request request;
            ports::slice_grant grant;
        };
        std::vector<message> messages;
        std::vector<slice_holder> holders(entries, slice_holder(settings));
        std::vector<std::uint32_t> last_requested_owner(entries, 0);
        slice_ledger ledger(settings);
        std::uint32_t owner = 0; ///< Increases with each new owner.
        auto const delay = [&random]
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
                for (std::size_t entry_index = 0; entry_index < entries;
                     ++entry_index)
                {
                    others.push_back(entry(entry_index));
                    holders[entry_index].request_at_once();
                }
                ledger.take_over(now, others);
            }
            for (std::size_t entry_index = 0; entry_index < entries;
                 ++entry_index)
            {
                auto& holder = holders[entry_index];
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
                    last_requested_owner[entry_index] = owner;
                    for (auto copies = random() % 3; copies > 0; --copies)
                    {
                        messages.push_back({now + delay(),
                                            entry_index,
                                            true,
                                            owner,
                                            *request,
                                            {}});
                    }
                }
            }
            for (std::size_t index = 0; index < messages.size();)
            {
                if (messages[index].arrives_at > now)
                {
                    ++index;
                    continue;
                }
                auto const delivered = messages[index];
                messages.erase(messages.begin() +
                               static_cast<std::ptrdiff_t>(index));
                if (delivered.to_owner && delivered.owner == owner)
                {
                    auto const grant =
                        ledger.grant(now,
                                     entry(delivered.entry_index),
                                     delivered.request,
                                     limits,
                                     entries,
                                     1);
                    if (grant && random() % 10 != 0)
                    {
                        messages.push_back({now + delay(),
                                            delivered.entry_index,
                                            false,
                                            owner,
                                            {},
                                            *grant});
                    }
                }
                else if (!delivered.to_owner &&
                         delivered.owner ==
                             last_requested_owner[delivered.entry_index])
                {
                    holders[delivered.entry_index].on_grant(now,
                                                            delivered.grant);
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
