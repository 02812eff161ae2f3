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
constexpr std::size_t max_workers = 40;
constexpr int steps = 200;

// A pool whose workers have random free capacity, some of them without a view.
class random_pool
{
public:
    explicit random_pool(std::uint64_t seed) : random_(seed)
    {
        auto const count = 1 + below(max_workers);
        for (std::int64_t index = 0; index < count; ++index)
        {
            auto const id = "w" + std::to_string(index);
            auto& w = workers_[id];
            w.info.id = id;
            w.info.capacity = {8'000 * (1 + below(2)), 8'000, 0};
            randomize(w);
        }
    }

    std::vector<worker*> all()
    {
        std::vector<worker*> result;
        for (auto& [id, w] : workers_)
        {
            result.push_back(&w);
        }
        return result;
    }

    worker& any_worker()
    {
        auto const candidates = all();
        return *candidates[static_cast<std::size_t>(below(candidates.size()))];
    }

    void randomize(worker& w)
    {
        w.reserved.millicores = random_millicores();
        w.serving_cores = w.reserved.millicores / 2;
        w.serving_used = w.serving_cores / 2;
        w.best_effort_cores = random_millicores();
        w.view_known = below(4) > 0;
    }

    // Returns one of a few amounts, so that many workers are equivalent.
    std::int64_t random_millicores()
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

bool has_free(worker const& w, std::int64_t millicores)
{
    return w.info.capacity.millicores - w.reserved.millicores >= millicores;
}

bool has_idle(worker const& w, std::int64_t millicores)
{
    return !w.view_known || w.idle_cores() >= millicores;
}

std::vector<std::string> ids_of(std::vector<worker*> const& workers)
{
    std::vector<std::string> ids;
    ids.reserve(workers.size());
    for (auto const* w : workers)
    {
        ids.push_back(w->info.id);
    }
    return ids;
}

template<class Has>
std::vector<std::string>
by_linear_search(random_pool& pool, std::int64_t millicores, Has has_capacity)
{
    std::vector<std::string> ids;
    for (auto const* w : pool.all())
    {
        if (has_capacity(*w, millicores))
        {
            ids.push_back(w->info.id);
        }
    }
    return ids;
}

} // namespace

// Failure: the index leaves out a worker with capacity, lists one twice, or
// changes the order, so that another worker is chosen than by a search of all
// workers.
TEST(capacity_index, lists_the_same_workers_as_a_linear_search)
{
    for (std::uint64_t seed = 1; seed <= pools; ++seed)
    {
        random_pool pool(seed);
        capacity_index index(pool.all());
        for (int step = 0; step < steps; ++step)
        {
            auto const millicores = pool.random_millicores();
            ASSERT_EQ(ids_of(index.with_free(millicores)),
                      by_linear_search(pool, millicores, has_free))
                << "seed " << seed << ", step " << step;
            ASSERT_EQ(ids_of(index.with_idle(millicores)),
                      by_linear_search(pool, millicores, has_idle))
                << "seed " << seed << ", step " << step;
            auto& changed = pool.any_worker();
            pool.randomize(changed);
            index.mark_changed(changed);
        }
    }
}

// Failure: a full worker whose view was computed during the round is checked
// again for each further task of the round.
TEST(capacity_index, excludes_a_full_worker_once_its_view_is_known)
{
    random_pool pool(1);
    auto& full = pool.any_worker();
    full.view_known = false;
    full.best_effort_cores = full.info.capacity.millicores;
    capacity_index index({&full});
    EXPECT_EQ(index.with_idle(1'000).size(), 1U);
    full.view_known = true;
    EXPECT_TRUE(index.with_idle(1'000).empty());
}

// The index contains only usable workers; changes of other workers have no
// effect on it.
TEST(capacity_index, ignores_changes_of_workers_it_was_not_given)
{
    random_pool pool(2);
    auto& usable = pool.any_worker();
    worker other;
    other.info.id = "x";
    other.info.capacity = {8'000, 8'000, 0};
    capacity_index index({&usable});
    index.with_free(0);
    index.mark_changed(other);
    EXPECT_EQ(index.with_free(-100'000).size(), 1U);
}
