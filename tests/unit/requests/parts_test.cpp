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

time_point at(core::common::duration since)
{
    return time_point(1h + since);
}

ports::caller_answer answer(std::string body)
{
    ports::caller_answer made;
    made.status = 200;
    made.body = std::move(body);
    return made;
}

constexpr std::uint32_t partition = 7;

} // namespace

TEST(key_memory, remembers_for_the_whole_time_and_then_forgets)
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

// The predecessor died with its memory. Until the own memory reaches back far
// enough, only what is vouched for may run.
TEST(key_memory, after_a_takeover_unknown_keys_are_not_fresh)
{
    key_memory memory({60s, 10, 100'000, 4});
    memory.open(partition, at(10s));
    auto const look = [&memory](auto when, bool vouched)
    {
        return memory.look_up(at(when), partition, "c/k", 5, vouched).verdict;
    };
    EXPECT_EQ(look(69s, false), key_verdict::history_incomplete);
    EXPECT_EQ(look(69s, true), key_verdict::first_run);
    EXPECT_EQ(look(70s, false), key_verdict::first_run);
    memory.close(partition);
    EXPECT_EQ(look(70s, true), key_verdict::history_incomplete);
}

// Callers send more keys than there is room for. A key forgotten early could
// run again; so new ones are refused.
TEST(key_memory, full_memory_refuses_new_keys_and_keeps_the_old)
{
    key_memory memory({60s, 3, 100'000, 4});
    memory.open(partition, std::nullopt);
    for (int number = 0; number < 3; ++number)
    {
        memory.begin(partition, "c/" + std::to_string(number), 5);
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

// A handover is cut in several frames. With one of them missing the successor
// must count its memory as empty, and with all of them in any order as whole.
TEST(key_handover, counts_only_when_every_frame_came)
{
    key_memory old({60s, 10'000, 10'000'000, 4});
    old.open(partition, std::nullopt);
    for (int number = 0; number < 1200; ++number)
    {
        auto const key = "c/" + std::to_string(number);
        old.begin(partition, key, 5);
        if (number > 0)
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

// A handover arrives, but somebody else owned the partition before the claim
// came. What ran there is not in it.
TEST(key_handover, of_an_earlier_claim_does_not_count)
{
    key_import_buffer book(100);
    ports::key_handover message;
    message.partition = partition;
    message.epoch = 3;
    ports::member_identity const sender{"entry-1", 1};
    EXPECT_TRUE(book.on_message(at(0s), sender, message));
    EXPECT_FALSE(book.take(partition, 5, sender));
    EXPECT_TRUE(book.on_message(at(0s), sender, message));
    EXPECT_FALSE(book.take(partition, 4, {"entry-2", 2}));
    EXPECT_TRUE(book.on_message(at(0s), sender, message));
    EXPECT_TRUE(book.take(partition, 4, sender));
}

// A noisy customer fills the queue. Others get their turns all the same, and
// batch requests are not starved.
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
    for (int number = 0; number < 100; ++number)
    {
        push("noisy", request_class::latency_critical);
    }
    for (int number = 0; number < 5; ++number)
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

TEST(fair_queue, earliest_deadline_goes_first_and_the_bound_holds)
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

TEST(admission, refuses_what_would_be_late)
{
    struct row
    {
        std::size_t ahead;
        std::uint32_t slots;
        core::common::duration left;
        std::optional<result_code> refused;
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
                  row.refused)
            << row.ahead;
    }
    EXPECT_EQ(admission_refusal(fixed_bound_admission{5}, {5, 5, 1, 100ms}, 1s),
              result_code::queue_full);
    EXPECT_FALSE(
        admission_refusal(fixed_bound_admission{5}, {4, 4, 1, 100ms}, 1ms));
}

// All upstreams fail. A fixed number of retries multiplies the load, the
// budget keeps it near what callers offered.
TEST(retry_budget, keeps_amplification_below_its_share)
{
    retry_policy budget = retry_budget{};
    retry_policy fixed = fixed_retries{};
    std::uint32_t by_budget = 0;
    std::uint32_t by_fixed = 0;
    constexpr std::uint32_t requests = 10'000;
    for (std::uint32_t number = 0; number < requests; ++number)
    {
        count_first_attempt(budget);
        for (std::uint32_t tries = 1; take_retry(budget, tries); ++tries)
        {
            ++by_budget;
        }
        for (std::uint32_t tries = 1; take_retry(fixed, tries); ++tries)
        {
            ++by_fixed;
        }
    }
    EXPECT_LE(by_budget, requests / 10 + 50);
    EXPECT_EQ(by_fixed, 2 * requests);
}

TEST(replay_guard, takes_each_id_of_a_sender_once)
{
    replay_guard guard;
    ports::member_identity const sender{"entry-1", 1};
    EXPECT_TRUE(guard.is_new(sender, 5));
    EXPECT_TRUE(guard.is_new(sender, 3)) << "overtaken, not repeated";
    EXPECT_FALSE(guard.is_new(sender, 5));
    EXPECT_TRUE(guard.is_new({"entry-1", 2}, 5));
    for (std::uint64_t id = 10; id < 10'000; ++id)
    {
        EXPECT_TRUE(guard.is_new(sender, id));
    }
    EXPECT_FALSE(guard.is_new(sender, 4)) << "older than the window";
}

TEST(life_cycle, goes_through_its_phases_in_order_only)
{
    entry_lifecycle life;
    using enum entry_event;
    EXPECT_FALSE(life.handle(balancer_lag_elapsed));
    std::vector<std::pair<entry_event, entry_phase>> const steps{
        {joined, entry_phase::serving},
        {stop_requested, entry_phase::stop_announced},
        {balancer_lag_elapsed, entry_phase::draining},
        {drained, entry_phase::leaving},
        {removed, entry_phase::stopped}};
    EXPECT_EQ(life.phase(), entry_phase::joining);
    for (auto const& [event, phase] : steps)
    {
        EXPECT_TRUE(life.handle(event));
        EXPECT_EQ(life.phase(), phase) << name_of(phase);
        EXPECT_FALSE(life.handle(event));
    }
    entry_lifecycle early;
    EXPECT_TRUE(early.handle(stop_requested));
    EXPECT_EQ(early.phase(), entry_phase::draining);
}

// A thousand callers are refused in one moment. Told the same time, they would
// all come back together.
TEST(refusal, spreads_the_time_to_come_back)
{
    std::mt19937_64 random(1);
    std::map<std::int64_t, int> times;
    for (int number = 0; number < 1000; ++number)
    {
        auto const refused =
            make_refusal(result_code::no_free_slot, 200ms, random);
        EXPECT_GE(refused.retry_after, 150ms);
        EXPECT_LE(refused.retry_after, 300ms);
        ++times[refused.retry_after / 10ms];
    }
    EXPECT_GE(times.size(), 15U);
}
