#include "core/requests/admission.hpp"
#include "core/requests/entry_lifecycle.hpp"
#include "core/requests/fair_queue.hpp"
#include "core/requests/handover.hpp"
#include "core/requests/key_memory.hpp"
#include "core/requests/refusal.hpp"
#include "core/requests/replay_guard.hpp"
#include "core/requests/retry_budget.hpp"

#include <gtest/gtest.h>
#include <map>

using namespace fuchsia;
using namespace fuchsia::core::requests;
using namespace std::chrono_literals;
using core::common::result_code;
using core::common::time_point;
using ports::request_class;

namespace
{

time_point at(core::common::duration since_start)
{
    return time_point(1h + since_start);
}

ports::caller_answer answer(std::string body)
{
    ports::caller_answer result;
    result.status = 200;
    result.body = std::move(body);
    return result;
}

constexpr std::uint32_t partition = 7;

} // namespace

TEST(key_memory, remembers_an_answer_for_its_retention_and_then_forgets_it)
{
    key_memory memory({60s, 10, 100'000, 4});
    memory.open(partition, std::nullopt);
    memory.begin(partition, "c/k", 5);
    EXPECT_EQ(memory.look_up(at(0s), partition, "c/k", 5, true).verdict,
              key_verdict::running);
    EXPECT_TRUE(memory.add_waiter("c/k", 99));
    EXPECT_EQ(memory.finish(at(1s), "c/k", answer("a")),
              std::vector<std::uint64_t>{99});
    memory.tick(at(60s));
    auto const found = memory.look_up(at(60s), partition, "c/k", 5, false);
    ASSERT_EQ(found.verdict, key_verdict::ended);
    EXPECT_EQ(found.answer->body, "a");
    memory.tick(at(61s));
    EXPECT_EQ(memory.size(), 0U);
    EXPECT_EQ(memory.bytes(), 0U);
}

// After a takeover without a handover the memory is empty, and the predecessor
// may have run any key. Until the memory reaches back for the whole retention,
// only requests confirmed as the first sending may run.
TEST(key_memory, after_a_takeover_unknown_keys_run_only_if_confirmed_as_first)
{
    key_memory memory({60s, 10, 100'000, 4});
    memory.open(partition, at(10s));
    auto const verdict_at =
        [&memory](auto since_start, bool first_sending_confirmed)
    {
        return memory
            .look_up(
                at(since_start), partition, "c/k", 5, first_sending_confirmed)
            .verdict;
    };
    EXPECT_EQ(verdict_at(69s, false), key_verdict::history_incomplete);
    EXPECT_EQ(verdict_at(69s, true), key_verdict::first_run);
    EXPECT_EQ(verdict_at(70s, false), key_verdict::first_run);
    memory.close(partition);
    EXPECT_EQ(verdict_at(70s, true), key_verdict::history_incomplete);
}

// Callers send more keys than the memory holds. A key that is forgotten early
// could run twice, so new keys are refused instead.
TEST(key_memory, full_memory_refuses_new_keys_and_keeps_the_old_ones)
{
    key_memory memory({60s, 3, 100'000, 4});
    memory.open(partition, std::nullopt);
    for (int i = 0; i < 3; ++i)
    {
        memory.begin(partition, "c/" + std::to_string(i), 5);
    }
    EXPECT_EQ(memory.look_up(at(0s), partition, "c/9", 5, true).verdict,
              key_verdict::memory_full);
    EXPECT_EQ(memory.look_up(at(0s), partition, "c/0", 5, true).verdict,
              key_verdict::running);
}

TEST(key_memory, answer_that_does_not_fit_is_remembered_as_unknown)
{
    key_memory memory({60s, 10, 2'000, 4});
    memory.open(partition, std::nullopt);
    memory.begin(partition, "c/k", 5);
    memory.finish(at(0s), "c/k", answer(std::string(5'000, 'a')));
    auto const found = memory.look_up(at(1s), partition, "c/k", 5, true);
    ASSERT_EQ(found.verdict, key_verdict::ended);
    EXPECT_EQ(found.answer->outcome, core::common::outcome::unknown);
    EXPECT_LT(memory.bytes(), 2'000U);
}

// A handover is split into several frames. If one is missing, the successor
// must treat its memory as empty; if all have arrived, in any order, as
// complete.
TEST(key_handover, is_complete_only_when_every_frame_has_arrived)
{
    key_memory old({60s, 10'000, 10'000'000, 4});
    old.open(partition, std::nullopt);
    for (int i = 0; i < 1200; ++i)
    {
        auto const key = "c/" + std::to_string(i);
        old.begin(partition, key, 5);
        if (i > 0)
        {
            old.finish(at(1s), key, answer("a"));
        }
    }
    partition_handover from;
    from.epoch = 3;
    auto const frames =
        split_key_handover(partition,
                           from,
                           old.history_length(at(2s), partition),
                           old.export_keys(at(2s), partition));
    ASSERT_EQ(frames.size(), 3U);
    ports::member_identity const sender{"entry-1", 1};

    key_import_buffer partial(10'000);
    EXPECT_FALSE(partial.on_message(at(2s), sender, frames[0]));
    EXPECT_FALSE(partial.on_message(at(2s), sender, frames[0]));
    EXPECT_FALSE(partial.on_message(at(2s), sender, frames[2]));
    EXPECT_FALSE(partial.take(partition, 4, sender));

    key_import_buffer whole(10'000);
    EXPECT_FALSE(whole.on_message(at(2s), sender, frames[2]));
    EXPECT_FALSE(whole.on_message(at(2s), sender, frames[0]));
    EXPECT_TRUE(whole.on_message(at(2s), sender, frames[1]));
    auto const taken = whole.take(partition, 4, sender);
    ASSERT_TRUE(taken);
    key_memory next({60s, 10'000, 10'000'000, 4});
    next.open(partition, taken->complete_since);
    ASSERT_TRUE(next.import_keys(at(3s), partition, taken->keys));
    EXPECT_EQ(next.running(partition), 0U);
    auto const ended = next.look_up(at(3s), partition, "c/9", 5, false);
    ASSERT_EQ(ended.verdict, key_verdict::ended);
    EXPECT_EQ(ended.answer->body, "a");
    auto const running = next.look_up(at(3s), partition, "c/0", 5, false);
    ASSERT_EQ(running.verdict, key_verdict::ended);
    EXPECT_EQ(running.answer->outcome, core::common::outcome::unknown);
    EXPECT_EQ(next.look_up(at(3s), partition, "c/new", 5, false).verdict,
              key_verdict::first_run);
}

// A handover arrives, but another entry owned the partition before this entry
// got the claim. Keys that ran there are missing from the handover.
TEST(key_handover, is_ignored_unless_it_directly_precedes_the_claim)
{
    key_import_buffer buffer(100);
    ports::key_handover message;
    message.partition = partition;
    message.epoch = 3;
    ports::member_identity const sender{"entry-1", 1};
    EXPECT_TRUE(buffer.on_message(at(0s), sender, message));
    EXPECT_FALSE(buffer.take(partition, 5, sender));
    EXPECT_TRUE(buffer.on_message(at(0s), sender, message));
    EXPECT_FALSE(buffer.take(partition, 4, {"entry-2", 2}));
    EXPECT_TRUE(buffer.on_message(at(0s), sender, message));
    EXPECT_TRUE(buffer.take(partition, 4, sender));
}

// A noisy customer fills the queue. Other customers must still get their turns,
// and batch requests must not starve.
TEST(fair_queue, customers_take_turns_and_batch_is_not_starved)
{
    fair_queue queue(1000);
    std::uint64_t id = 0;
    std::map<std::uint64_t, std::string> names;
    auto const push = [&](std::string const& customer, request_class kind)
    {
        names[++id] = customer;
        EXPECT_TRUE(queue.push({id, customer, kind, at(1s)}));
    };
    for (int i = 0; i < 100; ++i)
    {
        push("noisy", request_class::latency_critical);
    }
    for (int i = 0; i < 5; ++i)
    {
        push("quiet", request_class::latency_critical);
    }
    push("batch", request_class::batch);
    std::map<std::string, int> served;
    for (int turn = 0; turn < 16; ++turn)
    {
        ++served[names[*queue.pop()]];
    }
    EXPECT_EQ(served["quiet"], 5);
    EXPECT_EQ(served["batch"], 1);
    EXPECT_EQ(queue.size(), 90U);
}

TEST(fair_queue, serves_the_earliest_deadline_first_and_refuses_when_full)
{
    fair_queue queue(2);
    queued_request const late{1, "c", request_class::batch, at(9s)};
    queued_request const early{2, "c", request_class::batch, at(3s)};
    EXPECT_TRUE(queue.push(late));
    EXPECT_TRUE(queue.push(early));
    EXPECT_FALSE(queue.push({3, "c", request_class::batch, at(1s)}));
    EXPECT_TRUE(queue.erase(late));
    EXPECT_FALSE(queue.erase(late));
    EXPECT_EQ(queue.pop(), 2U);
    EXPECT_FALSE(queue.pop());
}

TEST(admission, refuses_requests_that_would_miss_their_deadline)
{
    struct row
    {
        std::size_t ahead;
        std::uint32_t slots;
        core::common::duration left;
        std::optional<result_code> expected;
    };
    std::vector<row> const rows{
        {0, 10, 200ms, std::nullopt},
        {9, 10, 199ms, result_code::deadline_unreachable},
        {9, 10, 200ms, std::nullopt},
        {100, 10, 1s, result_code::deadline_unreachable},
        {0, 0, 1s, result_code::no_free_slot},
    };
    for (auto const& row : rows)
    {
        EXPECT_EQ(admission_refusal(deadline_admission{},
                                    {row.ahead, row.ahead, row.slots, 100ms},
                                    row.left),
                  row.expected)
            << row.ahead;
    }
    EXPECT_EQ(admission_refusal(fixed_bound_admission{5}, {5, 5, 1, 100ms}, 1s),
              result_code::queue_full);
    EXPECT_FALSE(
        admission_refusal(fixed_bound_admission{5}, {4, 4, 1, 100ms}, 1ms));
}

// All upstreams fail. A fixed number of retries per request multiplies the
// load; the budget keeps it close to the offered load.
TEST(retry_budget, keeps_retries_below_its_share)
{
    retry_policy budget = retry_budget{};
    retry_policy fixed = fixed_retries{};
    std::uint32_t by_budget = 0;
    std::uint32_t by_fixed = 0;
    constexpr std::uint32_t requests = 10'000;
    for (std::uint32_t i = 0; i < requests; ++i)
    {
        count_first_attempt(budget);
        for (std::uint32_t attempts = 1; take_retry(budget, attempts);
             ++attempts)
        {
            ++by_budget;
        }
        for (std::uint32_t attempts = 1; take_retry(fixed, attempts);
             ++attempts)
        {
            ++by_fixed;
        }
    }
    EXPECT_LE(by_budget, requests / 10 + 50);
    EXPECT_EQ(by_fixed, 2 * requests);
}

TEST(replay_guard, accepts_each_id_of_a_sender_once)
{
    replay_guard guard;
    ports::member_identity const sender{"entry-1", 1};
    EXPECT_TRUE(guard.is_new(sender, 5));
    EXPECT_TRUE(guard.is_new(sender, 3)) << "out of order, not repeated";
    EXPECT_FALSE(guard.is_new(sender, 5));
    EXPECT_TRUE(guard.is_new({"entry-1", 2}, 5));
    for (std::uint64_t id = 10; id < 10'000; ++id)
    {
        EXPECT_TRUE(guard.is_new(sender, id));
    }
    EXPECT_FALSE(guard.is_new(sender, 4)) << "older than the window";
}

TEST(entry_lifecycle, passes_its_phases_in_order_only)
{
    entry_lifecycle lifecycle;
    using enum entry_event;
    EXPECT_FALSE(lifecycle.handle(balancer_lag_elapsed));
    std::vector<std::pair<entry_event, entry_phase>> const steps{
        {joined, entry_phase::serving},
        {stop_requested, entry_phase::stop_announced},
        {balancer_lag_elapsed, entry_phase::draining},
        {drained, entry_phase::leaving},
        {removed, entry_phase::stopped}};
    EXPECT_EQ(lifecycle.phase(), entry_phase::joining);
    for (auto const& [event, phase] : steps)
    {
        EXPECT_TRUE(lifecycle.handle(event));
        EXPECT_EQ(lifecycle.phase(), phase) << name_of(phase);
        EXPECT_FALSE(lifecycle.handle(event));
    }
    entry_lifecycle early;
    EXPECT_TRUE(early.handle(stop_requested));
    EXPECT_EQ(early.phase(), entry_phase::draining);
}

// A thousand callers are refused at the same time. With the same retry time for
// all, they would all retry at once.
TEST(refusal, spreads_the_retry_times)
{
    std::mt19937_64 random(1);
    std::map<std::int64_t, int> times;
    for (int i = 0; i < 1000; ++i)
    {
        auto const result =
            make_refusal(result_code::no_free_slot, 200ms, random);
        EXPECT_GE(result.retry_after, 150ms);
        EXPECT_LE(result.retry_after, 300ms);
        ++times[result.retry_after / 10ms];
    }
    EXPECT_GE(times.size(), 15U);
}
