#include "entry_simulation.hpp"
#include "unit/walks/seed_count.hpp"

#include <gtest/gtest.h>

// Seeded random walks: three entries under load, with crashes, freezes, stops,
// network partitions, outages and losses. After each event the simulation
// checks that no key ran twice, no upstream ran more requests than it has
// slots, every caller got exactly one answer, the right one and in time, every
// "not run" was true, and no contract was exceeded.
using namespace fuchsia::tests::unit::requests;
using fuchsia::tests::unit::walks::seed_count;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t walks_in_ci = 300;

class walk
{
public:
    explicit walk(std::uint64_t seed)
        : random_(seed), simulation_(options(seed)),
          slow_service_time_(options(seed).settings.upstreams.max_execution -
                             100ms)
    {
        simulation_.start_all();
    }

    std::string run()
    {
        simulation_.run(8s);
        for (int step = 0; step < 150 && simulation_.violation.empty(); ++step)
        {
            send_requests();
            if (chance(120))
            {
                inject_fault();
            }
            if (chance(80))
            {
                clear_faults();
            }
            simulation_.run(random_duration(400));
        }
        return simulation_.violation;
    }

private:
    static entry_simulation_options options(std::uint64_t seed)
    {
        entry_simulation_options result;
        result.seed = seed;
        result.upstreams = 4 + seed % 9;
        result.slots = 1 + seed % 3;
        result.in_flight = 4 + static_cast<std::uint32_t>(seed % 30);
        // In every other walk requests may run longer than a takeover takes.
        result.settings.upstreams.max_execution = seed % 2 == 0 ? 10s : 3s;
        return result;
    }

    bool chance(std::uint32_t permille)
    {
        return random_() % 1000 < permille;
    }

    duration random_duration(std::uint64_t max_ms)
    {
        return std::chrono::milliseconds(random_() % max_ms + 1);
    }

    std::size_t random_entry()
    {
        return random_() % 3;
    }

    void send_requests()
    {
        auto const count = random_() % 8;
        for (std::uint64_t i = 0; i < count; ++i)
        {
            ++last_number_;
            auto const name = std::to_string(last_number_);
            auto request = chance(300)   ? unkeyed_request("u" + name)
                           : chance(300) ? get_request("q" + name)
                                         : bid_request("k" + name, 1);
            request.deadline = random_duration(2500);
            send_within(request, 20);
            if (!request.idempotency_key.empty())
            {
                resend(request);
            }
        }
    }

    // Each draw is a statement of its own, because the compiler may evaluate
    // the arguments of a call in any order.
    void send_within(fuchsia::ports::caller_request const& request,
                     std::uint64_t max_delay_ms)
    {
        duration const delay = random_duration(max_delay_ms);
        simulation_.send(random_entry(), request, delay);
    }

    // Sendings reach an entry within the bound less what is no noticed pause.
    void resend(fuchsia::ports::caller_request request)
    {
        while (chance(400))
        {
            ++request.attempt;
            send_within(request, 9000);
        }
        if (chance(100))
        {
            // The first sending arrives after the second.
            request.idempotency_key += "x";
            request.body += "x";
            request.attempt = 1;
            auto const delay = random_duration(1900);
            simulation_.send(random_entry(), request, delay);
            request.attempt = 2;
            send_within(request, 1 + delay.count() / 1000);
        }
    }

    void inject_fault()
    {
        std::size_t const entry = random_entry();
        switch (random_() % 9)
        {
        case 0:
            simulation_.kill(entry);
            break;
        case 1:
            simulation_.freeze(entry);
            break;
        case 2:
            if (simulation_.is_running(entry))
            {
                simulation_.stop(entry);
            }
            break;
        case 3:
            simulation_.cut(entry, random_entry(), true);
            break;
        case 4:
            simulation_.store.faults.down = true;
            break;
        case 5:
            simulation_.store.faults.cut.insert("10.0.0." +
                                                std::to_string(entry));
            break;
        case 6:
            simulation_.faults.lost_permille = 200;
            simulation_.faults.not_sent_permille = 200;
            break;
        case 7:
            simulation_.faults.max_service_time = slow_service_time_;
            simulation_.link.faults.duplicate_permille = 100;
            simulation_.link.faults.late_permille = 50;
            simulation_.link.faults.lose_permille = 30;
            break;
        default:
            simulation_.store.faults.lose_reply_permille = 100;
            simulation_.put_contract(4 + random_() % 30);
            break;
        }
    }

    void clear_faults()
    {
        for (std::size_t entry = 0; entry < 3; ++entry)
        {
            simulation_.unfreeze(entry);
            for (std::size_t other = 0; other < 3; ++other)
            {
                simulation_.cut(entry, other, false);
            }
            if (!simulation_.is_running(entry))
            {
                simulation_.start(entry);
            }
        }
        simulation_.store.faults = {};
        simulation_.link.faults = {};
        simulation_.faults = {};
    }

    std::mt19937_64 random_;
    entry_simulation simulation_;
    duration slow_service_time_; ///< Service time of slow upstreams.
    std::uint64_t last_number_ = 0;
};

} // namespace

TEST(entry_walk, request_invariants_hold_at_every_step)
{
    std::uint64_t const count = seed_count(walks_in_ci);
    for (std::uint64_t seed = 1; seed <= count; ++seed)
    {
        ASSERT_EQ(walk(seed).run(), "") << "seed " << seed;
    }
}
