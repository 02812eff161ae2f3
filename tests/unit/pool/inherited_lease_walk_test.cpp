#include "pool_simulation.hpp"

#include "unit/walks/seed_count.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <random>
#include <string>

// Workers that restart under their ids and are cut off for seconds, while long
// tasks run, orders get late or lost and owners are killed. The clocks of the
// first incarnations are far ahead of those of the later ones.
using namespace fuchsia::tests::unit::pool;
using fuchsia::tests::unit::walks::seed_count;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::uint64_t default_seeds = 150;
constexpr std::size_t instances = 3;
constexpr std::size_t workers = 5;
constexpr int actions = 30;
/// Age of the first incarnations, longer than the longest lease.
constexpr duration age_of_first = 20s;
constexpr std::uint64_t max_pause_ms = 1500;  // Between two actions.
constexpr std::uint64_t max_cut_ms = 12'000;  // More than the longest lease.
constexpr std::uint64_t max_fault_share = 30; // Percent of the orders.

class restart_and_cut_walk
{
public:
    explicit restart_and_cut_walk(std::uint64_t seed) : random_(seed)
    {
        simulation_.worker_fault = [this](std::size_t,
                                          std::size_t worker,
                                          ports::pool_operation const&)
        {
            return effect_at(worker);
        };
        simulation_.run(age_of_first);
    }

    /// Returns the first violation of an invariant by what ran; empty if there
    /// is none.
    std::string const& run()
    {
        for (int action = 0; action < actions; ++action)
        {
            act();
            simulation_.run(random_ms(max_pause_ms));
        }
        simulation_.run(std::chrono::milliseconds(max_cut_ms));
        return simulation_.violation();
    }

private:
    std::uint64_t draw(std::uint64_t limit)
    {
        return random_() % limit;
    }

    duration random_ms(std::uint64_t limit_ms)
    {
        return std::chrono::milliseconds(draw(limit_ms));
    }

    void act()
    {
        switch (draw(8))
        {
        case 0:
        case 1:
            submit();
            return;
        case 2:
        case 3:
            simulation_.restart_worker(draw(workers));
            return;
        case 4:
        case 5:
            cut_until_[draw(workers)] =
                simulation_.now() + random_ms(max_cut_ms);
            return;
        case 6:
            fault_share_ = draw(2) == 0 ? 0 : draw(max_fault_share);
            return;
        default:
            replace_owner();
        }
    }

    // Up to ten tasks of 0.3 to 20 s.
    void submit()
    {
        constexpr std::array<duration, 4> lengths{300ms, 4s, 9s, 20s};
        auto const count = 1 + static_cast<std::uint32_t>(draw(10));
        simulation_.submit(draw(instances),
                           "job" + std::to_string(++jobs_),
                           simple_job(count, lengths[draw(lengths.size())]));
    }

    void replace_owner()
    {
        if (auto const owner = simulation_.claim_holder())
        {
            simulation_.kill(*owner);
            simulation_.start(*owner);
        }
    }

    fault_effect effect_at(std::size_t worker)
    {
        constexpr std::array<fault_effect, 4> effects{
            fault_effect::answer_lost,
            fault_effect::request_lost,
            fault_effect::refused,
            fault_effect::delayed};
        if (simulation_.now() < cut_until_[worker])
        {
            return fault_effect::request_lost;
        }
        return draw(100) < fault_share_ ? effects[draw(effects.size())]
                                        : fault_effect::carried_out;
    }

    std::mt19937_64 random_;
    pool_simulation simulation_{instances, workers};
    std::array<time_point, workers> cut_until_{};
    std::uint64_t fault_share_ = 0;
    std::uint64_t jobs_ = 0;
};

} // namespace

// Guards against tasks that run twice because an owner, or its successor, knows
// less of a restarted worker's lease than the worker itself.
TEST(pool_inherited_lease_walk, no_task_runs_twice)
{
    for (std::uint64_t seed = 0; seed < seed_count(default_seeds); ++seed)
    {
        restart_and_cut_walk walk(seed);
        EXPECT_EQ(walk.run(), "") << "seed " << seed;
    }
}
