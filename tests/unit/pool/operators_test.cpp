#include "core/pool/operator_follower.hpp"

#include <gtest/gtest.h>

using namespace fuchsia;
using namespace std::chrono_literals;
using core::common::time_point;

namespace
{

constexpr std::uint64_t revision = 7;

class pool_operators : public testing::Test
{
protected:
    pool_operators()
    {
        words_.operators_prefix = "operators/";
        words_.read_operator =
            [this](ports::kv_item const&, core::common::failure&)
        {
            ++parsed;
            core::pool::configuration made;
            made.version = revision;
            return core::pool::operator_change(made);
        };
    }

    // The only call that waits for an answer.
    ports::kv_call call()
    {
        ports::kv_call found;
        for (auto const& each : out_.take_actions())
        {
            if (auto const* const made = std::get_if<ports::kv_call>(&each))
            {
                found = *made;
            }
        }
        return found;
    }

    void answer(ports::kv_call const& to,
                ports::kv_status status,
                std::uint64_t store_revision = revision)
    {
        ports::kv_reply reply;
        reply.id = to.id;
        reply.status = status;
        reply.revision = store_revision;
        if (std::holds_alternative<ports::kv_range>(to.operation))
        {
            reply.items.push_back(
                {"operators/config", "text", revision, revision, 0, false});
        }
        out_.on_kv_reply(now, reply);
    }

    void pass(core::common::duration by)
    {
        now += by;
        rules.tick(now);
    }

    time_point now{1h};
    std::size_t parsed = 0;

private:
    core::pool::platform_records words_;
    core::pool::outbox out_;
    core::pool::revision_times times_;

protected:
    core::pool::operator_follower rules{{}, words_, out_, times_};
};

} // namespace

// A document of thousands of queues was parsed at each read of all keys, which
// takes a small instance most of a second.
TEST_F(pool_operators, an_unchanged_document_is_not_parsed_again)
{
    rules.start(now);
    answer(call(), ports::kv_status::done);
    ASSERT_TRUE(rules.loaded());
    ASSERT_EQ(parsed, 1U);
    answer(call(), ports::kv_status::compacted);
    pass(1s);
    answer(call(), ports::kv_status::done);
    EXPECT_EQ(rules.state().current_as_of, now);
    EXPECT_EQ(parsed, 1U);
}

// Over a thin link the pages are old on arrival; with a long watch behind them
// the instance refused jobs until that was answered.
TEST_F(pool_operators, the_watch_behind_pages_that_took_long_is_short)
{
    rules.start(now);
    now += 1200ms;
    answer(call(), ports::kv_status::done);
    auto const next = call();
    auto const* const watch = std::get_if<ports::kv_watch>(&next.operation);
    ASSERT_NE(watch, nullptr);
    EXPECT_EQ(watch->wait,
              core::pool::operator_follower_settings{}.watch_wait_after_change);
}

// Every instance read all that operators set, each time that nothing of it had
// changed for as long as the store keeps its history.
TEST_F(pool_operators, watches_of_a_calm_pool_keep_within_the_history)
{
    constexpr auto history = 20s;
    rules.start(now);
    answer(call(), ports::kv_status::done);
    auto const began = now;
    auto const revision_at = [began](time_point when)
    {
        return revision + static_cast<std::uint64_t>((when - began) / 1s);
    };
    for (int answers = 0; answers < 100; ++answers)
    {
        auto const next = call();
        auto const* const watch = std::get_if<ports::kv_watch>(&next.operation);
        ASSERT_NE(watch, nullptr);
        EXPECT_LE(watch->after, revision_at(now));
        EXPECT_GE(watch->after + history / 1s, revision_at(now));
        now += watch->wait;
        answer(next, ports::kv_status::done, revision_at(now));
    }
}

// A watch that was deaf while a change was made must not move on past it.
TEST_F(pool_operators, a_watch_moves_on_only_behind_a_while)
{
    constexpr auto deaf = 8s;
    rules.start(now);
    answer(call(), ports::kv_status::done);
    auto const began = now;
    while (now - began < deaf)
    {
        auto const next = call();
        auto const* const watch = std::get_if<ports::kv_watch>(&next.operation);
        ASSERT_NE(watch, nullptr);
        EXPECT_EQ(watch->after, revision);
        now += watch->wait;
        answer(next, ports::kv_status::done, 2 * revision);
    }
}
