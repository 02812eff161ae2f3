#include "core/pool/lost_workers.hpp"

#include <gtest/gtest.h>

// Tells a lost rack from workers that crash one by one.
using namespace fuchsia::core::pool;
using namespace std::chrono_literals;
namespace common = fuchsia::core::common;

namespace
{

constexpr common::time_point start{1h};

class rack
{
public:
    /// Creates a rack of workers that have answered at `start`.
    explicit rack(int size) : workers_(fleet_settings{})
    {
        for (int number = 0; number < size; ++number)
        {
            worker_changes changes;
            fuchsia::ports::pool_worker info;
            info.id = name(number);
            info.service = "s";
            info.rack = "r1";
            changes.present.push_back(info);
            workers_.take_list(changes);
            auto& added = at(number);
            added.adopted = true;
            added.adopted_at = start;
        }
    }

    worker& at(int number)
    {
        return *workers_.find(name(number));
    }

    void lose(int number, common::duration after, bool may_have_crashed)
    {
        auto& lost = at(number);
        lost.silent = true;
        lost.contact_lost_at = start + after;
        lost.may_have_crashed = may_have_crashed;
    }

    void forget(int number)
    {
        lost_.note_gone(start + 10s, at(number));
        workers_.erase(name(number));
    }

    bool lost_with_rack(int number)
    {
        return lost_.lost_with_rack(workers_, at(number));
    }

private:
    static std::string name(int number)
    {
        return "w" + std::to_string(number);
    }

    fleet workers_;
    lost_workers lost_;
};

} // namespace

// Guards against tasks that are blamed although the whole rack was lost.
TEST(pool_lost_workers, a_rack_without_survivors_was_lost_as_a_whole)
{
    rack workers(4);
    workers.lose(0, 20s, true);
    workers.lose(1, 21s, true);
    workers.lose(2, 19s, false);
    EXPECT_FALSE(workers.lost_with_rack(0)); // One still answers.
    workers.lose(3, 20s, true);
    EXPECT_TRUE(workers.lost_with_rack(0));
    workers.forget(2);
    EXPECT_TRUE(workers.lost_with_rack(0));
}

// Guards against tasks that crash all workers of a rack and pass for its loss.
TEST(pool_lost_workers, a_rack_of_crashed_workers_was_not_lost_as_a_whole)
{
    rack workers(3);
    for (int number = 0; number < 3; ++number)
    {
        workers.lose(number, 20s, true);
    }
    EXPECT_FALSE(workers.lost_with_rack(0));
}

// Guards against a rack that counts as lost because its workers went one after
// the other, or since it has hardly any.
TEST(pool_lost_workers, losses_at_other_times_and_small_racks_prove_nothing)
{
    rack workers(3);
    workers.lose(0, 20s, true);
    workers.lose(1, 20s, false);
    workers.lose(2, 30s, false);
    EXPECT_FALSE(workers.lost_with_rack(0));

    rack small(2);
    small.lose(0, 20s, true);
    small.lose(1, 20s, false);
    EXPECT_FALSE(small.lost_with_rack(0));
}
