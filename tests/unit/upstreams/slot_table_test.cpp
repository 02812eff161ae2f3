#include "core/upstreams/slot_table.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace fuchsia::core::upstreams;
using namespace std::chrono_literals;
using core::common::time_point;
using enum ports::exchange_status;

namespace
{

time_point at(core::common::duration since_start)
{
    return time_point(1h + since_start);
}

ports::upstream_instance upstream(std::string const& id)
{
    ports::upstream_instance instance;
    instance.id = id;
    instance.slots = 2;
    instance.connections = 60;
    instance.data_centre = "kochi-a";
    return instance;
}

/// Table with one upstream of two slots, whose partition the entry owns.
class slot_table_test : public testing::Test
{
protected:
    slot_table_test()
    {
        slot_table_settings settings;
        settings.max_execution = 10s;
        settings.report_slack = 0ms;
        table_ = std::make_unique<slot_table>(settings, 1);
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

    void list(core::common::duration since_start,
              ports::upstream_instance const& instance = upstream("u"))
    {
        ports::instance_list instances;
        instances.upstreams = {instance};
        instances.received = at(since_start);
        table().on_instances(at(since_start), instances);
    }

    bool take(core::common::duration since_start, std::uint64_t exchange)
    {
        return table()
            .take_slot(at(since_start), exchange, std::nullopt)
            .has_value();
    }

    void end(core::common::duration since_start,
             std::uint64_t exchange,
             ports::exchange_status status)
    {
        ports::upstream_end exchange_end;
        exchange_end.exchange = exchange;
        exchange_end.status = status;
        exchange_end.http_status = 200;
        table().on_exchange_end(at(since_start), exchange_end);
    }

private:
    std::unique_ptr<slot_table> table_;
};

} // namespace

TEST_F(slot_table_test, complete_answer_frees_its_slot)
{
    EXPECT_TRUE(take(1s, 1));
    EXPECT_TRUE(take(1s, 2));
    EXPECT_FALSE(take(1s, 3));
    end(2s, 1, answered);
    EXPECT_TRUE(take(2s, 3));
}

// An exchange ends in one of several ways while another request waits for its
// slot. If the slot is freed too early, the upstream is overloaded.
TEST_F(slot_table_test, slot_is_freed_only_when_its_request_has_certainly_ended)
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
            EXPECT_EQ(table().in_use("u"), 1U)
                << "its connection is still open";
            end(now, exchange, drained);
        }
    }
}

// An upstream is frozen with unread requests in its connections, and the
// platform reports it idle. If this freed its slots, it would start more
// requests than it has slots when it resumes.
TEST_F(slot_table_test, report_frees_no_slot_whose_connection_is_open)
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

// A predecessor was killed while its requests still run on the upstream. Using
// their slots would overload the upstream.
TEST_F(slot_table_test, slots_stay_taken_after_a_takeover)
{
    table().release(partition());
    table().acquire(at(1s), partition(), false);
    EXPECT_EQ(table().free_slots(), 0U);
    auto busy = upstream("u");
    busy.slots_in_use = 1;
    busy.report_age = 2s;
    list(2s, busy);
    EXPECT_EQ(table().free_slots(), 0U)
        << "the report was made before the takeover";
    busy.report_age = 500ms;
    list(2s, busy);
    EXPECT_EQ(table().free_slots(), 1U) << "one request still runs";
    table().tick(at(11s));
    EXPECT_EQ(table().free_slots(), 2U) << "the bound max_execution has passed";
}

// The platform's list shows a new upstream to the predecessor first. Requests
// may run on it even if this entry learns of it only after the takeover.
TEST_F(slot_table_test,
       upstream_listed_after_a_takeover_starts_without_free_slots)
{
    slot_table_settings settings;
    settings.max_execution = 10s;
    slot_table fresh(settings, 1);
    fresh.acquire(at(1s), partition(), false);
    ports::instance_list instances;
    instances.upstreams = {upstream("u")};
    instances.received = at(2s);
    fresh.on_instances(at(2s), instances);
    EXPECT_EQ(fresh.free_slots(), 0U);
    fresh.tick(at(11s));
    EXPECT_GT(fresh.free_slots(), 0U);
}

TEST_F(slot_table_test,
       leaving_out_of_service_unowned_and_unlisted_upstreams_get_no_work)
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
    EXPECT_EQ(table().in_use("u"), 1U) << "the running request continues";
    table().release(partition());
    EXPECT_FALSE(take(3s, 4));
    table().acquire(at(4s), partition(), true);
    table().on_instances(at(4s), {});
    EXPECT_FALSE(take(4s, 5)) << "the list no longer contains it";
}

// An upstream starts to fail. It must soon get only single probes, and be
// filled step by step when it answers again.
TEST_F(slot_table_test, failing_upstream_loses_usable_slots_and_regains_them)
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

// One upstream fails every request immediately. Its answers are the fastest,
// but it must not attract the requests.
TEST(upstream_choice, fast_failures_do_not_attract_requests)
{
    upstream_load const good{1, 8, 50'000, 0};
    upstream_load const failing{0, 8, 1'000, 0.9};
    upstream_load const slow{0, 8, 500'000, 0};
    EXPECT_LT(cost_of(good), cost_of(slow));
    std::vector<upstream_load> const loads{good, failing};
    EXPECT_LT(cost_of({0, 8, 50'000, 0}), cost_of({4, 8, 50'000, 0}));
    EXPECT_GT(cost_of(failing), cost_of({0, 8, 1'000, 0}) * 10);
}

TEST(upstream_choice, avoids_the_previous_upstream_if_there_is_another)
{
    std::mt19937_64 random(1);
    std::vector<upstream_load> const loads(2, upstream_load{0, 8, 1000, 0});
    std::vector<std::uint32_t> const both{0, 1};
    std::vector<std::uint32_t> const single{1};
    for (choice_policy policy :
         {choice_policy(weighted_two_choices{}), choice_policy(round_robin{})})
    {
        for (int turn = 0; turn < 50; ++turn)
        {
            EXPECT_EQ(*choose_upstream(policy, both, loads, 1, random), 0U);
        }
        EXPECT_EQ(*choose_upstream(policy, single, loads, 1, random), 0U);
        EXPECT_FALSE(choose_upstream(policy, {}, loads, 1, random));
    }
}
