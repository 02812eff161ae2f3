#include "core/upstreams/slot_table.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace fuchsia::core::upstreams;
using namespace std::chrono_literals;
using core::common::time_point;
using enum ports::exchange_status;

namespace
{

time_point at(core::common::duration since)
{
    return time_point(1h + since);
}

ports::upstream_instance upstream(std::string const& id)
{
    ports::upstream_instance one;
    one.id = id;
    one.slots = 2;
    one.connections = 60;
    one.data_centre = "kochi-a";
    return one;
}

/// A table with one upstream of two slots, whose partition it owns.
class slot_table_test : public testing::Test
{
protected:
    slot_table_test()
    {
        slot_table_settings chosen;
        chosen.max_execution = 10s;
        chosen.report_slack = 0ms;
        table_ = std::make_unique<slot_table>(chosen, 1);
        table().acquire(at(0s), partition(), true);
        list(0s);
    }

    static std::uint32_t partition()
    {
        return core::common::partition_of("u");
    }

    slot_table& table()
    {
        return *table_;
    }

    void list(core::common::duration when,
              ports::upstream_instance const& one = upstream("u"))
    {
        ports::instance_list all;
        all.upstreams = {one};
        all.received = at(when);
        table().on_instances(at(when), all);
    }

    bool take(core::common::duration when, std::uint64_t exchange)
    {
        return table().take_slot(at(when), exchange, std::nullopt).has_value();
    }

    void end(core::common::duration when,
             std::uint64_t exchange,
             ports::exchange_status status)
    {
        ports::upstream_end ended;
        ended.exchange = exchange;
        ended.status = status;
        ended.http_status = 200;
        table().on_exchange_end(at(when), ended);
    }

private:
    std::unique_ptr<slot_table> table_;
};

} // namespace

TEST_F(slot_table_test, whole_answer_frees_its_slot)
{
    EXPECT_TRUE(take(1s, 1));
    EXPECT_TRUE(take(1s, 2));
    EXPECT_FALSE(take(1s, 3));
    end(2s, 1, answered);
    EXPECT_TRUE(take(2s, 3));
}

// A request ends in some way and a further one waits for its slot. Freed too
// early, the upstream gets more work than it holds.
TEST_F(slot_table_test, slot_is_free_only_once_its_end_is_certain)
{
    struct row
    {
        std::vector<ports::exchange_status> ends;
        bool free;
    };
    std::vector<row> const rows{
        {{answered}, true},
        {{not_sent}, true},
        {{timed_out}, false},
        {{timed_out, drained}, true},
        {{timed_out, lost}, false},
        {{lost}, false},
        {{too_large}, false},
    };
    std::uint64_t exchange = 10;
    core::common::duration now = 1s;
    for (auto const& row : rows)
    {
        table().tick(at(now));
        ASSERT_EQ(table().in_use("u"), 0U);
        ASSERT_TRUE(take(now, ++exchange));
        for (auto const status : row.ends)
        {
            end(now + 1s, exchange, status);
        }
        EXPECT_EQ(table().in_use("u"), row.free ? 0U : 1U);
        table().tick(at(now + 9s));
        EXPECT_EQ(table().in_use("u"), row.free ? 0U : 1U);
        now += 11s;
        if (row.ends.back() == timed_out)
        {
            table().tick(at(now));
            EXPECT_EQ(table().in_use("u"), 1U) << "its connection stands";
            end(now, exchange, drained);
        }
    }
}

// An upstream is frozen with requests unread in its connections. The platform
// reports it idle; were its slots taken for free, it would begin more than it
// holds when it wakes.
TEST_F(slot_table_test, report_frees_no_slot_whose_connection_stands)
{
    ASSERT_TRUE(take(1s, 1));
    end(2s, 1, timed_out);
    auto idle = upstream("u");
    idle.slots_in_use = 0;
    list(8s, idle);
    EXPECT_EQ(table().in_use("u"), 1U);
    end(9s, 1, lost);
    list(15s, idle);
    EXPECT_EQ(table().in_use("u"), 0U);
}

// A predecessor was killed with its requests still running here.
TEST_F(slot_table_test, slots_stay_closed_after_a_takeover)
{
    table().release(partition());
    table().acquire(at(1s), partition(), false);
    EXPECT_EQ(table().free_slots(), 0U);
    auto busy = upstream("u");
    busy.slots_in_use = 1;
    busy.report_age = 2s;
    list(2s, busy);
    EXPECT_EQ(table().free_slots(), 0U) << "the report is of before";
    busy.report_age = 500ms;
    list(2s, busy);
    EXPECT_EQ(table().free_slots(), 1U) << "one still runs";
    table().tick(at(11s));
    EXPECT_EQ(table().free_slots(), 2U) << "the bound has passed";
}

// The platform's list showed the upstream to the predecessor first. Learning
// of it only after the takeover does not mean that nothing runs there.
TEST_F(slot_table_test, upstream_learned_of_after_a_takeover_is_closed_too)
{
    slot_table_settings chosen;
    chosen.max_execution = 10s;
    slot_table fresh(chosen, 1);
    fresh.acquire(at(1s), partition(), false);
    ports::instance_list all;
    all.upstreams = {upstream("u")};
    all.received = at(2s);
    fresh.on_instances(at(2s), all);
    EXPECT_EQ(fresh.free_slots(), 0U);
    fresh.tick(at(11s));
    EXPECT_GT(fresh.free_slots(), 0U);
}

TEST_F(slot_table_test, gives_no_new_work_to_what_leaves_is_out_or_not_ours)
{
    auto leaving = upstream("u");
    leaving.state = ports::instance_state::leaving;
    list(1s, leaving);
    EXPECT_FALSE(take(1s, 1));
    list(2s);
    EXPECT_TRUE(take(2s, 2));
    table().set_data_centres_out_of_service({"kochi-a"});
    EXPECT_FALSE(take(2s, 3));
    table().set_data_centres_out_of_service({});
    EXPECT_EQ(table().in_use("u"), 1U) << "what runs goes on";
    table().release(partition());
    EXPECT_FALSE(take(3s, 4));
    table().acquire(at(4s), partition(), true);
    table().on_instances(at(4s), {});
    EXPECT_FALSE(take(4s, 5)) << "the list does not name it any more";
}

// An upstream begins to fail. It soon gets single probes only, and is filled
// step by step once it answers again.
TEST_F(slot_table_test, failing_upstream_shrinks_and_grows_again)
{
    std::uint64_t exchange = 0;
    for (int turn = 0; turn < 3; ++turn)
    {
        ASSERT_TRUE(take(1s, ++exchange));
        end(1s, exchange, not_sent);
    }
    EXPECT_EQ(table().usable_slots(), 1U);
    for (int turn = 0; turn < 20; ++turn)
    {
        ASSERT_TRUE(take(2s, ++exchange));
        end(2s, exchange, answered);
    }
    EXPECT_EQ(table().usable_slots(), 2U);
}

// One upstream fails everything at once. Its answers are the fastest, but it
// must not draw the requests.
TEST(upstream_choice, fast_failures_do_not_attract)
{
    upstream_load const good{1, 8, 50'000, 0};
    upstream_load const failing{0, 8, 1'000, 0.9};
    upstream_load const slow{0, 8, 500'000, 0};
    EXPECT_LT(cost_of(good), cost_of(slow));
    std::vector<upstream_load> const loads{good, failing};
    EXPECT_LT(cost_of({0, 8, 50'000, 0}), cost_of({4, 8, 50'000, 0}));
    EXPECT_GT(cost_of(failing), cost_of({0, 8, 1'000, 0}) * 10);
}

TEST(upstream_choice, avoids_the_upstream_of_the_last_try_where_it_can)
{
    std::mt19937_64 random(1);
    std::vector<upstream_load> const loads(2, upstream_load{0, 8, 1000, 0});
    std::vector<std::uint32_t> const both{0, 1};
    std::vector<std::uint32_t> const one{1};
    for (choice_policy policy :
         {choice_policy(weighted_two_choices{}), choice_policy(round_robin{})})
    {
        for (int turn = 0; turn < 50; ++turn)
        {
            EXPECT_EQ(*choose_upstream(policy, both, loads, 1, random), 0U);
        }
        EXPECT_EQ(*choose_upstream(policy, one, loads, 1, random), 0U);
        EXPECT_FALSE(choose_upstream(policy, {}, loads, 1, random));
    }
}
