#include "core/pool/capacity_index.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace fuchsia::core::pool;

namespace
{

constexpr std::size_t pools = 60;
constexpr std::size_t most_workers = 40;
constexpr int steps = 200;

// A pool whose workers have random room, some of them without a view.
class random_pool
{
public:
    explicit random_pool(std::uint64_t seed) : random_(seed)
    {
        auto const count = 1 + below(most_workers);
        for (std::int64_t number = 0; number < count; ++number)
        {
            auto const id = "w" + std::to_string(number);
            auto& each = workers_[id];
            each.info.id = id;
            each.info.capacity = {8'000 * (1 + below(2)), 8'000, 0};
            change(each);
        }
    }

    std::vector<worker*> all()
    {
        std::vector<worker*> made;
        for (auto& [id, each] : workers_)
        {
            made.push_back(&each);
        }
        return made;
    }

    worker& any()
    {
        auto const found = all();
        return *found[static_cast<std::size_t>(below(found.size()))];
    }

    void change(worker& of)
    {
        of.reserved.millicores = amount();
        of.serving_cores = of.reserved.millicores / 2;
        of.serving_used = of.serving_cores / 2;
        of.best_effort_cores = amount();
        of.view_known = below(4) > 0;
    }

    // Few amounts, so that many workers are alike.
    std::int64_t amount()
    {
        return 1'000 * below(6);
    }

    std::int64_t below(std::uint64_t bound)
    {
        return static_cast<std::int64_t>(random_() % bound);
    }

private:
    std::mt19937_64 random_;
    std::map<std::string, worker> workers_;
};

bool has_free(worker const& of, std::int64_t millicores)
{
    return of.info.capacity.millicores - of.reserved.millicores >= millicores;
}

bool has_idle(worker const& of, std::int64_t millicores)
{
    return !of.view_known || of.idle_cores() >= millicores;
}

std::vector<std::string> ids_of(std::vector<worker*> const& from)
{
    std::vector<std::string> made;
    made.reserve(from.size());
    for (auto const* each : from)
    {
        made.push_back(each->info.id);
    }
    return made;
}

template<class Has>
std::vector<std::string>
by_walk(random_pool& pool, std::int64_t millicores, Has has)
{
    std::vector<std::string> made;
    for (auto const* each : pool.all())
    {
        if (has(*each, millicores))
        {
            made.push_back(each->info.id);
        }
    }
    return made;
}

} // namespace

// A worker with room that the index leaves out, one that it names twice, or
// another sequence: not the worker is chosen that looking at all would choose.
TEST(room_index, names_the_workers_that_a_walk_finds)
{
    for (std::uint64_t seed = 1; seed <= pools; ++seed)
    {
        random_pool pool(seed);
        capacity_index index(pool.all());
        for (int step = 0; step < steps; ++step)
        {
            auto const wanted = pool.amount();
            ASSERT_EQ(ids_of(index.with_free(wanted)),
                      by_walk(pool, wanted, has_free))
                << "seed " << seed << ", step " << step;
            ASSERT_EQ(ids_of(index.with_idle(wanted)),
                      by_walk(pool, wanted, has_idle))
                << "seed " << seed << ", step " << step;
            auto& changed = pool.any();
            pool.change(changed);
            index.mark_changed(changed);
        }
    }
}

// A worker that got its view while it was looked at: it would be looked at for
// each further task of the round.
TEST(room_index, leaves_out_a_full_worker_once_its_view_is_known)
{
    random_pool pool(1);
    auto& full = pool.any();
    full.view_known = false;
    full.best_effort_cores = full.info.capacity.millicores;
    capacity_index index({&full});
    EXPECT_EQ(index.with_idle(1'000).size(), 1U);
    full.view_known = true;
    EXPECT_TRUE(index.with_idle(1'000).empty());
}

// A worker that may not be used is none of the index's.
TEST(room_index, does_not_take_in_what_it_was_not_given)
{
    random_pool pool(2);
    auto& used = pool.any();
    worker other;
    other.info.id = "x";
    other.info.capacity = {8'000, 8'000, 0};
    capacity_index index({&used});
    index.with_free(0);
    index.mark_changed(other);
    EXPECT_EQ(index.with_free(-100'000).size(), 1U);
}
