#include "entry_simulation.hpp"

#include <gtest/gtest.h>

// Failure cases of request handling: retries, crashes, freezes, lost answers,
// overload and changes of contracts.
using namespace fuchsia::tests::unit::requests;
using namespace std::chrono_literals;
using fuchsia::core::common::outcome;
using fuchsia::core::common::result_code;

namespace
{

class entry_cases : public testing::Test
{
protected:
    void start_simulation(entry_simulation_options options = {})
    {
        simulation_ = std::make_unique<entry_simulation>(options);
        simulation_->start_all();
        ASSERT_TRUE(simulation_->run_until_stable());
    }

    void TearDown() override
    {
        EXPECT_EQ(simulation_->violation, "");
    }

    entry_simulation& simulation()
    {
        return *simulation_;
    }

    void await_answer(std::uint64_t id)
    {
        EXPECT_TRUE(simulation().run_until(
            [this, id]
            {
                return simulation().answered(id);
            },
            10s))
            << "sending " << id;
    }

    /// Returns an entry that does not own the key and must forward it.
    std::size_t non_owner_of(std::string const& key)
    {
        return simulation().other_than(simulation().owner_of(key));
    }

    void kill_owner_and_await_takeover(std::string const& key)
    {
        auto const owner = simulation().owner_of(key);
        simulation().kill(owner);
        EXPECT_TRUE(simulation().run_until(
            [this, &key]
            {
                return simulation().owner_of(key) < 3;
            },
            30s));
    }

private:
    std::unique_ptr<entry_simulation> simulation_;
};

} // namespace

// A caller retries its bid through another entry while the first sending still
// runs. The bid must run once, and both connections must get its answer.
TEST_F(entry_cases, retry_during_the_first_run_gets_its_answer)
{
    start_simulation();
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 500ms;
    auto const first =
        simulation().send(simulation().owner_of("a"), bid_request("a", 1));
    auto const second =
        simulation().send(non_owner_of("a"), bid_request("a", 2), 100ms);
    await_answer(first);
    await_answer(second);
    EXPECT_EQ(simulation().sending(first).answer.outcome, outcome::ran);
    EXPECT_EQ(simulation().sending(second).answer.outcome, outcome::ran);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
}

// The answer is lost between entry and caller, and the caller retries the bid
// later. The retry must get the stored answer, and the bid must not run twice.
TEST_F(entry_cases, retry_after_the_first_ended_gets_the_same_answer)
{
    start_simulation();
    auto const first =
        simulation().send(non_owner_of("a"), bid_request("a", 1));
    await_answer(first);
    for (std::size_t entry = 0; entry < 3; ++entry)
    {
        auto const retry = simulation().send(entry, bid_request("a", 2));
        await_answer(retry);
        EXPECT_EQ(simulation().sending(retry).answer.outcome, outcome::ran);
        EXPECT_EQ(simulation().sending(retry).answer.body, "body of a");
    }
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
}

// The entry that ran the bid crashes, and its key memory is lost. A retry must
// neither run the bid again nor be answered "not run".
TEST_F(entry_cases, retry_after_an_owner_crash_gets_unknown_outcome)
{
    start_simulation();
    auto const first =
        simulation().send(simulation().owner_of("a"), bid_request("a", 1));
    await_answer(first);
    kill_owner_and_await_takeover("a");
    auto const retry =
        simulation().send(simulation().owner_of("a"), bid_request("a", 2));
    auto const forwarded =
        simulation().send(non_owner_of("a"), bid_request("a", 2));
    await_answer(retry);
    await_answer(forwarded);
    EXPECT_EQ(simulation().sending(retry).answer.code,
              result_code::key_memory_lost);
    EXPECT_EQ(simulation().sending(retry).answer.outcome, outcome::unknown);
    EXPECT_EQ(simulation().sending(forwarded).answer.outcome, outcome::unknown);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
}

// The owner crashes while it runs a bid that another entry forwarded. The
// caller must be answered "unknown" at once and not only at its deadline.
TEST_F(entry_cases, owner_crash_during_a_run_is_answered_before_the_deadline)
{
    start_simulation();
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 1s;
    auto request = bid_request("a", 1);
    request.deadline = 60s;
    auto const owner = simulation().owner_of("a");
    auto const sent =
        simulation().send(simulation().other_than(owner), request);
    simulation().run(200ms);
    simulation().kill(owner);
    await_answer(sent);
    EXPECT_EQ(simulation().sending(sent).answer.code, result_code::owner_lost);
    EXPECT_EQ(simulation().sending(sent).answer.outcome, outcome::unknown);
}

// The first sending is delayed in the network, and the second one arrives and
// completes before it. The first must then get the answer of the second.
TEST_F(entry_cases, first_sending_overtaken_by_the_second_runs_once)
{
    start_simulation();
    auto const first =
        simulation().send(non_owner_of("a"), bid_request("a", 1), 1500ms);
    auto const second =
        simulation().send(simulation().owner_of("a"), bid_request("a", 2));
    await_answer(second);
    await_answer(first);
    EXPECT_EQ(simulation().sending(first).answer.outcome, outcome::ran);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
}

// The second sending arrives before the first, the owner that ran it crashes,
// and then the first sending arrives. The successor must not run it because of
// its attempt number 1.
TEST_F(entry_cases, overtaken_first_sending_does_not_run_after_a_takeover)
{
    start_simulation();
    auto const second =
        simulation().send(simulation().owner_of("a"), bid_request("a", 2));
    await_answer(second);
    kill_owner_and_await_takeover("a");
    auto const owner = simulation().owner_of("a");
    auto const first = simulation().send(owner, bid_request("a", 1));
    auto const forwarded =
        simulation().send(simulation().other_than(owner), bid_request("a", 1));
    await_answer(first);
    await_answer(forwarded);
    EXPECT_EQ(simulation().sending(first).answer.outcome, outcome::unknown);
    EXPECT_EQ(simulation().sending(forwarded).answer.outcome, outcome::unknown);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
}

// After a takeover new bids must not wait until the key memory covers its whole
// retention period again: a first sending from after the takeover must run.
TEST_F(entry_cases, first_sendings_run_again_soon_after_a_takeover)
{
    start_simulation();
    kill_owner_and_await_takeover("a");
    simulation().run(4s);
    auto const sent =
        simulation().send(simulation().owner_of("a"), bid_request("a", 1));
    auto const forwarded =
        simulation().send(non_owner_of("b"), bid_request("b", 1));
    await_answer(sent);
    await_answer(forwarded);
    EXPECT_EQ(simulation().sending(sent).answer.outcome, outcome::ran);
    EXPECT_EQ(simulation().sending(forwarded).answer.outcome, outcome::ran);
}

// An entry is frozen with a first sending in its socket buffer. The second
// sending runs elsewhere, and its owner crashes. The frozen entry then
// continues and reads the first sending, which must not run.
TEST_F(entry_cases, first_sending_read_after_a_freeze_does_not_run)
{
    start_simulation();
    auto const owner = simulation().owner_of("a");
    auto const frozen = simulation().other_than(owner);
    simulation().freeze(frozen);
    auto const first = simulation().send(frozen, bid_request("a", 1));
    auto const second = simulation().send(owner, bid_request("a", 2));
    await_answer(second);
    simulation().kill(owner);
    simulation().run(15s);
    simulation().unfreeze(frozen);
    simulation().run(15s);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
    EXPECT_NE(simulation().sending(first).answer.outcome, outcome::ran);
}

// A key is reused with another body. The second request must not get the answer
// to the first, and must not run.
TEST_F(entry_cases, reused_key_with_another_body_is_refused)
{
    start_simulation();
    await_answer(simulation().send(0, bid_request("a", 1)));
    auto other = bid_request("a", 1);
    other.body = "another body";
    auto const sent = simulation().send(1, other);
    await_answer(sent);
    EXPECT_EQ(simulation().sending(sent).answer.code, result_code::bad_header);
    EXPECT_EQ(simulation().run_count("another body"), 0U);
}

// An upstream answers after the caller's deadline. The caller must be answered
// "unknown" at its deadline, the slot must stay taken until the late answer
// arrives, and no other caller may get that answer.
TEST_F(entry_cases, late_answer_holds_its_slot_and_reaches_no_caller)
{
    entry_simulation_options options;
    options.upstreams = 3;
    options.slots = 1;
    start_simulation(options);
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 2s;
    std::vector<std::uint64_t> late_ids;
    for (int i = 0; i < 3; ++i)
    {
        auto request = unkeyed_request("late " + std::to_string(i));
        request.deadline = 300ms;
        late_ids.push_back(simulation().send(0, request));
    }
    simulation().run(600ms);
    for (auto const id : late_ids)
    {
        EXPECT_TRUE(simulation().answered(id));
        EXPECT_NE(simulation().sending(id).answer.outcome, outcome::ran);
    }
    EXPECT_GT(simulation().running(), 0U);
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 20ms;
    std::vector<std::uint64_t> next;
    for (int i = 0; i < 6; ++i)
    {
        auto request = unkeyed_request("next " + std::to_string(i));
        request.deadline = 5s;
        next.push_back(simulation().send(0, request));
    }
    for (auto const id : next)
    {
        await_answer(id);
    }
}

// An entry crashes with requests on all slots of its upstreams. The requests
// still run when its successor takes over, which must not use those slots.
TEST_F(entry_cases, successor_does_not_overfill_slots_in_use_at_a_takeover)
{
    entry_simulation_options options;
    options.upstreams = 6;
    options.slots = 1;
    options.in_flight = 1000;
    // Requests may run longer than a takeover takes.
    options.settings.upstreams.max_execution = 15s;
    start_simulation(options);
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 12s;
    for (int i = 0; i < 12; ++i)
    {
        auto request = unkeyed_request("left " + std::to_string(i));
        request.deadline = 20s;
        simulation().send(i % 3, request);
    }
    simulation().run(100ms);
    simulation().kill(2);
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 100ms;
    for (int i = 0; i < 400; ++i)
    {
        auto request = unkeyed_request("next " + std::to_string(i));
        request.deadline = 500ms;
        simulation().send(i % 2, request, i * 30ms);
    }
    simulation().run(15s);
}

// A contract is lowered while entries hold slices of the old one. Within
// seconds all entries together must not exceed the new limit.
TEST_F(entry_cases, lowered_contract_is_enforced_by_all_entries_within_seconds)
{
    entry_simulation_options options;
    options.upstreams = 30;
    start_simulation(options);
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 200ms;
    auto const load = [this](std::string const& name)
    {
        for (int i = 0; i < 600; ++i)
        {
            simulation().send(
                i % 3, unkeyed_request(name + std::to_string(i)), i * 10ms);
        }
    };
    load("before ");
    simulation().run(2s);
    EXPECT_GT(simulation().in_flight(), 12U);
    simulation().put_contract(6);
    load("after ");
    simulation().run(4s);
    EXPECT_LE(simulation().in_flight(), 6U);
    EXPECT_GT(simulation().in_flight(), 0U);
    simulation().run(5s);
}

// An entry is stopped as planned under load, behind a load balancer that goes
// on sending to it for a while. No request may be lost, and the successors must
// know the keys that the entry owned.
TEST_F(entry_cases, planned_stop_completes_all_requests_and_keeps_all_keys)
{
    start_simulation();
    std::vector<std::string> keys;
    for (int i = 0; i < 40; ++i)
    {
        keys.push_back("k" + std::to_string(i));
        await_answer(simulation().send(i % 3, bid_request(keys.back(), 1)));
    }
    std::vector<std::uint64_t> sent_during_stop;
    for (int i = 0; i < 100; ++i)
    {
        // The balancer learns of the stop within its lag of 500 ms.
        std::size_t const entry = i < 20 ? 2 : i % 2;
        sent_during_stop.push_back(simulation().send(
            entry, bid_request("d" + std::to_string(i), 1), i * 20ms));
    }
    simulation().stop(2);
    EXPECT_TRUE(simulation().run_until(
        [this]
        {
            return simulation().has_stopped(2);
        },
        30s));
    simulation().run(3s);
    for (auto const id : sent_during_stop)
    {
        ASSERT_TRUE(simulation().answered(id));
        EXPECT_EQ(simulation().sending(id).answer.outcome, outcome::ran)
            << static_cast<unsigned>(simulation().sending(id).answer.code);
    }
    for (auto const& key : keys)
    {
        auto const retry =
            simulation().send(key.size() % 2, bid_request(key, 2));
        await_answer(retry);
        EXPECT_EQ(simulation().sending(retry).answer.outcome, outcome::ran)
            << key;
    }
}

// More requests wait than can be answered in time. The others must be refused
// at once, with different retry times so that they do not all return together.
TEST_F(entry_cases, full_queue_refuses_at_once_with_spread_retry_times)
{
    entry_simulation_options options;
    options.upstreams = 3;
    options.slots = 1;
    options.in_flight = 100'000;
    start_simulation(options);
    simulation().faults.min_service_time =
        simulation().faults.max_service_time = 500ms;
    for (int i = 0; i < 30; ++i)
    {
        await_answer(
            simulation().send(0, unkeyed_request("warm " + std::to_string(i))));
    }
    constexpr std::size_t offered = 60;
    std::vector<std::uint64_t> sent;
    sent.reserve(offered);
    for (std::size_t i = 0; i < offered; ++i)
    {
        sent.push_back(
            simulation().send(0, unkeyed_request("load " + std::to_string(i))));
    }
    simulation().run(400ms);
    std::set<std::int64_t> waits;
    for (auto const id : sent)
    {
        if (!simulation().answered(id))
        {
            continue;
        }
        EXPECT_EQ(simulation().sending(id).answer.outcome, outcome::not_run);
        waits.insert(simulation().sending(id).answer.retry_after.count());
    }
    EXPECT_GT(waits.size(), 20U);
    simulation().run(3s);
}

// An entry loses the connections to the store and to its peers, and with them
// its proof of membership. It must send no work and refuse requests at once.
TEST_F(entry_cases, entry_without_membership_proof_refuses_at_once)
{
    start_simulation();
    simulation().store.faults.cut.insert("10.0.0.0");
    for (std::size_t other = 1; other < 3; ++other)
    {
        simulation().cut(0, other, true);
        simulation().cut(other, 0, true);
    }
    simulation().run(4s);
    auto const refused = simulation().send(0, unkeyed_request("cut off"));
    simulation().run(1ms);
    ASSERT_TRUE(simulation().answered(refused));
    EXPECT_EQ(simulation().sending(refused).answer.code, result_code::no_proof);
    EXPECT_EQ(simulation().sending(refused).answer.outcome, outcome::not_run);
}

// The store is down for a minute. Requests must be answered meanwhile, on the
// promises of the members' witnesses.
TEST_F(entry_cases, requests_are_answered_while_the_store_is_down)
{
    start_simulation();
    simulation().store.faults.down = true;
    std::uint32_t ran = 0;
    for (int i = 0; i < 60; ++i)
    {
        simulation().run(1s);
        auto const unkeyed =
            simulation().send(i % 3, unkeyed_request(std::to_string(i)));
        auto const keyed = simulation().send(
            i % 3, bid_request("down " + std::to_string(i), 1));
        await_answer(unkeyed);
        await_answer(keyed);
        ran += simulation().sending(unkeyed).answer.outcome == outcome::ran ? 1
                                                                            : 0;
        ran +=
            simulation().sending(keyed).answer.outcome == outcome::ran ? 1 : 0;
    }
    EXPECT_EQ(ran, 120U);
}

// An upstream closes the connection without an answer. An idempotent query must
// be retried on another upstream, but a bid must not.
TEST_F(entry_cases, lost_answer_is_retried_only_for_idempotent_requests)
{
    start_simulation();
    simulation().faults.lost_permille = 1000;
    auto const lost_bid = simulation().send(0, bid_request("a", 1));
    await_answer(lost_bid);
    EXPECT_EQ(simulation().sending(lost_bid).answer.outcome, outcome::unknown);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
    auto const lost_query = simulation().send(0, get_request("q"));
    await_answer(lost_query);
    EXPECT_EQ(simulation().sending(lost_query).answer.outcome,
              outcome::unknown);
    EXPECT_GT(simulation().run_count("q"), 1U);
    simulation().faults.lost_permille = 0;
    auto const retry = simulation().send(1, bid_request("a", 2));
    await_answer(retry);
    EXPECT_EQ(simulation().sending(retry).answer.outcome, outcome::unknown);
    EXPECT_EQ(simulation().run_count("body of a"), 1U);
}

// An upstream that is full or starting refuses a request and states that it did
// not run it. If that refusal were passed on as the answer, a bid would be lost
// although another upstream could run it.
TEST_F(entry_cases, request_refused_by_upstreams_is_retried_or_reported_not_run)
{
    start_simulation();
    simulation().faults.refused_permille = 300;
    std::uint32_t ran = 0;
    for (int i = 0; i < 40; ++i)
    {
        auto const id =
            simulation().send(0, bid_request("r" + std::to_string(i), 1));
        await_answer(id);
        ran += simulation().sending(id).answer.outcome == outcome::ran ? 1 : 0;
    }
    EXPECT_GE(ran, 30U);
    simulation().faults.refused_permille = 1000;
    auto const refused = simulation().send(0, bid_request("never", 1));
    await_answer(refused);
    EXPECT_EQ(simulation().sending(refused).answer.outcome, outcome::not_run);
    EXPECT_EQ(simulation().run_count("body of never"), 0U);
}

// The queue is longer than can be served in time. Service in deadline order
// would send requests that are about to expire: each would use a slot for an
// answer that comes too late, and its caller would get "unknown" instead of
// "not run".
TEST_F(entry_cases, overload_uses_no_slots_for_requests_that_would_be_late)
{
    entry_simulation_options options;
    options.upstreams = 3;
    options.slots = 2;
    options.in_flight = 100'000;
    start_simulation(options);
    simulation().faults.min_service_time = 10ms;
    simulation().faults.max_service_time = 190ms;
    std::vector<std::uint64_t> sent;
    for (int i = 0; i < 600; ++i)
    {
        auto request = get_request("load " + std::to_string(i));
        request.deadline = 300ms;
        sent.push_back(simulation().send(i % 3, request, i * 5ms));
    }
    simulation().run(10s);
    std::uint32_t unknown = 0;
    for (auto const id : sent)
    {
        unknown +=
            simulation().sending(id).answer.outcome == outcome::unknown ? 1 : 0;
    }
    EXPECT_LE(unknown, sent.size() / 20);
}

// For minutes after an owner crash, callers retry their keys and are answered
// "unknown", but none of these sendings runs. If each counted as running, they
// would use up the contract, and the customer's other requests would be refused
// although many slots are free.
TEST_F(entry_cases,
       retries_with_unknown_outcome_after_a_takeover_use_no_contract)
{
    start_simulation();
    auto const owner = simulation().owner_of("a");
    simulation().kill(owner);
    simulation().run(15s);
    auto const reader = simulation().other_than(owner);
    std::uint32_t unknown = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const id =
            simulation().send(reader, bid_request("u" + std::to_string(i), 2));
        await_answer(id);
        unknown +=
            simulation().sending(id).answer.outcome == outcome::unknown ? 1 : 0;
    }
    EXPECT_GT(unknown, 10U);
    EXPECT_EQ(simulation().in_flight(), 0U);
}
