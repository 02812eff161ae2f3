#include "core/pool/operator_follower.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace std::chrono_literals;
using core::common::time_point;

namespace
{

constexpr std::uint64_t revision = 7;

class pool_operator_follower : public testing::Test
{
protected:
    pool_operator_follower()
    {
        records_.operators_prefix = "operators/";
        records_.read_operator =
            [this](ports::kv_item const&, core::common::failure&)
        {
            ++parse_count;
            core::pool::configuration result;
            result.version = revision;
            return core::pool::operator_change(result);
        };
    }

    // Empties the outbox and returns the last store call in it. The follower
    // has at most one call in flight.
    ports::kv_call take_call()
    {
        ports::kv_call last_call;
        for (auto const& action : outbox_.take_actions())
        {
            if (auto const* const pending =
                    std::get_if<ports::kv_call>(&action))
            {
                last_call = *pending;
            }
        }
        return last_call;
    }

    void answer_call(ports::kv_call const& request,
                     ports::kv_status status,
                     std::uint64_t reported_revision = revision)
    {
        ports::kv_reply reply;
        reply.id = request.id;
        reply.status = status;
        reply.revision = reported_revision;
        if (std::holds_alternative<ports::kv_range>(request.operation))
        {
            reply.items.push_back(
                {"operators/config", "text", revision, revision, 0, false});
        }
        outbox_.on_kv_reply(now, reply);
    }

    void advance(core::common::duration elapsed)
    {
        now += elapsed;
        follower.tick(now);
    }

    time_point now{1h};
    std::size_t parse_count = 0;

private:
    core::pool::platform_records records_;
    core::pool::outbox outbox_;
    core::pool::revision_times times_;

protected:
    core::pool::operator_follower follower{{}, records_, outbox_, times_};
};

} // namespace

// Guards against parsing an unchanged configuration document each time all keys
// are read. With thousands of queues, parsing takes a small instance most of a
// second.
TEST_F(pool_operator_follower, unchanged_document_is_parsed_once)
{
    follower.start(now);
    answer_call(take_call(), ports::kv_status::done);
    ASSERT_TRUE(follower.loaded());
    ASSERT_EQ(parse_count, 1U);
    answer_call(take_call(), ports::kv_status::compacted);
    advance(1s);
    answer_call(take_call(), ports::kv_status::done);
    EXPECT_EQ(follower.state().current_as_of, now);
    EXPECT_EQ(parse_count, 1U);
}

// Over a slow link the configuration is already outdated when it arrives. If a
// long watch followed, the instance would refuse jobs until the answer to that
// watch.
TEST_F(pool_operator_follower, watch_after_slow_first_read_is_short)
{
    follower.start(now);
    now += 1200ms;
    answer_call(take_call(), ports::kv_status::done);
    auto const next = take_call();
    auto const* const watch = std::get_if<ports::kv_watch>(&next.operation);
    ASSERT_NE(watch, nullptr);
    EXPECT_EQ(watch->wait,
              core::pool::operator_follower_settings{}.watch_wait_after_change);
}

// If watches did not advance while operators write nothing, their revision
// would drop out of the store's history, and every instance would read all keys
// again.
TEST_F(pool_operator_follower,
       watches_without_changes_stay_within_the_store_history)
{
    // Time for which the store keeps a revision. The store's revision grows by
    // one per second in this test.
    constexpr auto history = 20s;
    follower.start(now);
    answer_call(take_call(), ports::kv_status::done);
    auto const started_at = now;
    auto const revision_at = [started_at](time_point time)
    {
        return revision + static_cast<std::uint64_t>((time - started_at) / 1s);
    };
    for (int answers = 0; answers < 100; ++answers)
    {
        auto const next = take_call();
        auto const* const watch = std::get_if<ports::kv_watch>(&next.operation);
        ASSERT_NE(watch, nullptr);
        EXPECT_LE(watch->after, revision_at(now));
        EXPECT_GE(watch->after + history / 1s, revision_at(now));
        now += watch->wait;
        answer_call(next, ports::kv_status::done, revision_at(now));
    }
}

// A stalled watch may have missed a change, so its answers without events must
// not advance the revision of the next watch within `watch_overlap`.
TEST_F(pool_operator_follower, stalled_watch_does_not_skip_changes)
{
    constexpr auto stalled_for = 8s;
    follower.start(now);
    answer_call(take_call(), ports::kv_status::done);
    auto const started_at = now;
    while (now - started_at < stalled_for)
    {
        auto const next = take_call();
        auto const* const watch = std::get_if<ports::kv_watch>(&next.operation);
        ASSERT_NE(watch, nullptr);
        EXPECT_EQ(watch->after, revision);
        now += watch->wait;
        answer_call(next, ports::kv_status::done, 2 * revision);
    }
}
