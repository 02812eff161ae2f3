#include "walk.hpp"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::walks;

TEST(trial, walks)
{
    auto const env = [](char const* name, int fallback)
    {
        auto const* t = std::getenv(name);
        return t ? std::atoi(t) : fallback;
    };
    int const count = env("N", 200), first = env("FIRST", 1),
              mutation = env("MUT", 0);
    int bad = 0, stuck = 0;
    std::uint64_t burials = 0, witnessed = 0, pauses = 0;
    for (int seed = first; seed < first + count; ++seed)
    {
        walk_options options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.must_recover = mutation == 0;
        options.parts.consent = mutation != 1;
        options.parts.unchanged_version = mutation != 2;
        options.parts.proof_from_send = mutation != 3;
        options.parts.both_lists = mutation != 4;
        auto const result = run_walk(options);
        burials += result.burial_writes > 0;
        witnessed += result.acted_by_witnesses > 0;
        pauses += result.pauses > 0;
        if (!result.violation.empty())
        {
            ++bad;
            std::printf("seed %d: %s\n", seed, result.violation.c_str());
        }
        else if (mutation == 0 && !result.recovered)
        {
            ++stuck;
            std::printf("seed %d stuck\n", seed);
        }
    }
    std::printf(
        "walks %d bad %d stuck %d with burials %lu witnesses %lu pauses %lu\n",
        count,
        bad,
        stuck,
        burials,
        witnessed,
        pauses);
}
