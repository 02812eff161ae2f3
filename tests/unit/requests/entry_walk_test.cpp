#include "entry_simulation.hpp"

#include <cstdlib>
#include <gtest/gtest.h>

// Seeded random walks: three entries under load, with kills, freezes, stops,
// cuts, outages and losses. After each event the world checks that no key ran
// twice, no upstream was overfilled, every caller got one answer, its own and
// in time, no "not run" was false, and no contract was exceeded.
using namespace fuchsia::tests::unit::requests;
using namespace std::chrono_literals;

namespace
{

/// FUCHSIA_WALKS asks for more walks than CI runs.
std::uint64_t walk_count()
{
    constexpr std::uint64_t in_ci = 300;
    auto const* wanted = std::getenv("FUCHSIA_WALKS");
    return wanted == nullptr ? in_ci : std::strtoull(wanted, nullptr, 10);
}

class walk
{
public:
    explicit walk(std::uint64_t seed)
        : random_(seed), world_(options(seed)),
          slowest_(options(seed).settings.upstreams.max_execution - 100ms)
    {
        world_.start_all();
    }

    std::string run()
    {
        world_.run(8s);
        for (int step = 0; step < 150 && world_.violation.empty(); ++step)
        {
            load();
            if (chance(120))
            {
                disturb();
            }
            if (chance(80))
            {
                mend();
            }
            world_.run(milliseconds(400));
        }
        return world_.violation;
    }

private:
    static entry_simulation_options options(std::uint64_t seed)
    {
        entry_simulation_options chosen;
        chosen.seed = seed;
        chosen.upstreams = 4 + seed % 9;
        chosen.slots = 1 + seed % 3;
        chosen.in_flight = 4 + static_cast<std::uint32_t>(seed % 30);
        // Every other walk has requests that outlast a takeover.
        chosen.settings.upstreams.max_execution = seed % 2 == 0 ? 10s : 3s;
        return chosen;
    }

    bool chance(std::uint32_t permille)
    {
        return random_() % 1000 < permille;
    }

    duration milliseconds(std::uint64_t most)
    {
        return std::chrono::milliseconds(random_() % most + 1);
    }

    std::size_t any()
    {
        return random_() % 3;
    }

    void load()
    {
        auto const count = random_() % 8;
        for (std::uint64_t at = 0; at < count; ++at)
        {
            ++number_;
            auto const name = std::to_string(number_);
            auto request = chance(300)   ? unkeyed_request("u" + name)
                           : chance(300) ? get_request("q" + name)
                                         : bid_request("k" + name, 1);
            request.deadline = milliseconds(2500);
            world_.send(any(), request, milliseconds(20));
            if (!request.idempotency_key.empty())
            {
                resend(request);
            }
        }
    }

    // Sendings reach an entry within the bound less what is no noticed pause.
    void resend(fuchsia::ports::caller_request request)
    {
        while (chance(400))
        {
            ++request.attempt;
            world_.send(any(), request, milliseconds(9000));
        }
        if (chance(100))
        {
            // Its first sending comes last.
            request.idempotency_key += "x";
            request.body += "x";
            request.attempt = 1;
            auto const held_up = milliseconds(1900);
            world_.send(any(), request, held_up);
            request.attempt = 2;
            world_.send(
                any(), request, milliseconds(1 + held_up.count() / 1000));
        }
    }

    void disturb()
    {
        std::size_t const entry = any();
        switch (random_() % 9)
        {
        case 0:
            world_.kill(entry);
            break;
        case 1:
            world_.freeze(entry);
            break;
        case 2:
            if (world_.is_running(entry))
            {
                world_.stop(entry);
            }
            break;
        case 3:
            world_.cut(entry, any(), true);
            break;
        case 4:
            world_.store.faults.down = true;
            break;
        case 5:
            world_.store.faults.cut.insert("10.0.0." + std::to_string(entry));
            break;
        case 6:
            world_.faults.lost_permille = 200;
            world_.faults.not_sent_permille = 200;
            break;
        case 7:
            world_.faults.slowest = slowest_;
            world_.link.faults.duplicate_permille = 100;
            world_.link.faults.late_permille = 50;
            world_.link.faults.lose_permille = 30;
            break;
        default:
            world_.store.faults.lose_reply_permille = 100;
            world_.put_contract(4 + random_() % 30);
            break;
        }
    }

    void mend()
    {
        for (std::size_t entry = 0; entry < 3; ++entry)
        {
            world_.unfreeze(entry);
            for (std::size_t other = 0; other < 3; ++other)
            {
                world_.cut(entry, other, false);
            }
            if (!world_.is_running(entry))
            {
                world_.start(entry);
            }
        }
        world_.store.faults = {};
        world_.link.faults = {};
        world_.faults = {};
    }

    std::mt19937_64 random_;
    entry_simulation world_;
    duration slowest_; ///< Execution time when upstreams are slow.
    std::uint64_t number_ = 0;
};

} // namespace

TEST(entry_walk, what_must_hold_for_requests_holds_at_every_step)
{
    std::uint64_t const count = walk_count();
    for (std::uint64_t seed = 1; seed <= count; ++seed)
    {
        ASSERT_EQ(walk(seed).run(), "") << "seed " << seed;
    }
}
