#include "entry_simulation.hpp"

#include <gtest/gtest.h>

// Named cases of requests that simple designs get wrong.
using namespace fuchsia::tests::unit::requests;
using namespace std::chrono_literals;
using fuchsia::core::common::outcome;
using fuchsia::core::common::result_code;

namespace
{

class entry_cases : public testing::Test
{
protected:
    void begin(entry_simulation_options options = {})
    {
        world_ = std::make_unique<entry_simulation>(options);
        world_->start_all();
        ASSERT_TRUE(world_->run_until_stable());
    }

    void TearDown() override
    {
        EXPECT_EQ(world_->violation, "");
    }

    entry_simulation& world()
    {
        return *world_;
    }

    void wait_for(std::uint64_t id)
    {
        EXPECT_TRUE(world().run_until(
            [this, id]
            {
                return world().answered(id);
            },
            10s))
            << "sending " << id;
    }

    /// An entry that must forward the key, and its owner.
    std::size_t far_from(std::string const& key)
    {
        return world().other_than(world().owner_of(key));
    }

    void kill_owner_and_wait(std::string const& key)
    {
        auto const owner = world().owner_of(key);
        world().kill(owner);
        EXPECT_TRUE(world().run_until(
            [this, &key]
            {
                return world().owner_of(key) < 3;
            },
            30s));
    }

private:
    std::unique_ptr<entry_simulation> world_;
};

} // namespace

// A caller loses patience and sends its bid again through another entry while
// the first sending still runs. Both connections get the one answer.
TEST_F(entry_cases, retry_while_the_first_runs_waits_for_its_answer)
{
    begin();
    world().faults.fastest = world().faults.slowest = 500ms;
    auto const first = world().send(world().owner_of("a"), bid_request("a", 1));
    auto const second = world().send(far_from("a"), bid_request("a", 2), 100ms);
    wait_for(first);
    wait_for(second);
    EXPECT_EQ(world().at(first).answer.outcome, outcome::ran);
    EXPECT_EQ(world().at(second).answer.outcome, outcome::ran);
    EXPECT_EQ(world().run_count("body of a"), 1U);
}

// The answer is lost on its way to the caller, who sends the bid again later.
// The remembered answer comes back, and the bid is not recorded twice.
TEST_F(entry_cases, retry_after_the_first_ended_gets_the_same_answer)
{
    begin();
    auto const first = world().send(far_from("a"), bid_request("a", 1));
    wait_for(first);
    for (std::size_t entry = 0; entry < 3; ++entry)
    {
        auto const again = world().send(entry, bid_request("a", 2));
        wait_for(again);
        EXPECT_EQ(world().at(again).answer.outcome, outcome::ran);
        EXPECT_EQ(world().at(again).answer.body, "body of a");
    }
    EXPECT_EQ(world().run_count("body of a"), 1U);
}

// The entry that ran the bid is killed and its memory is gone. A retry must
// neither run again nor be told that nothing happened.
TEST_F(entry_cases, retry_after_the_owner_was_killed_is_told_unknown)
{
    begin();
    auto const first = world().send(world().owner_of("a"), bid_request("a", 1));
    wait_for(first);
    kill_owner_and_wait("a");
    auto const again = world().send(world().owner_of("a"), bid_request("a", 2));
    auto const through = world().send(far_from("a"), bid_request("a", 2));
    wait_for(again);
    wait_for(through);
    EXPECT_EQ(world().at(again).answer.code, result_code::key_memory_lost);
    EXPECT_EQ(world().at(again).answer.outcome, outcome::unknown);
    EXPECT_EQ(world().at(through).answer.outcome, outcome::unknown);
    EXPECT_EQ(world().run_count("body of a"), 1U);
}

// The owner is killed while it runs the bid of another entry's caller. That
// caller is told at once, and not at its deadline.
TEST_F(entry_cases,
       caller_of_a_killed_owner_is_told_unknown_before_its_deadline)
{
    begin();
    world().faults.fastest = world().faults.slowest = 1s;
    auto request = bid_request("a", 1);
    request.deadline = 60s;
    auto const owner = world().owner_of("a");
    auto const sent = world().send(world().other_than(owner), request);
    world().run(200ms);
    world().kill(owner);
    wait_for(sent);
    EXPECT_EQ(world().at(sent).answer.code, result_code::owner_lost);
    EXPECT_EQ(world().at(sent).answer.outcome, outcome::unknown);
}

// The first sending is held up in the network; the second overtakes it and
// ends. The first then finds the answer of the second.
TEST_F(entry_cases, first_sending_overtaken_by_the_second_runs_once)
{
    begin();
    auto const first = world().send(far_from("a"), bid_request("a", 1), 1500ms);
    auto const second =
        world().send(world().owner_of("a"), bid_request("a", 2));
    wait_for(second);
    wait_for(first);
    EXPECT_EQ(world().at(first).answer.outcome, outcome::ran);
    EXPECT_EQ(world().run_count("body of a"), 1U);
}

// The first sending is overtaken by the second, the owner that ran the second
// is killed, and only then does the first arrive. That it says "first" must
// not make the successor run it.
TEST_F(entry_cases, overtaken_first_sending_does_not_run_after_a_takeover)
{
    begin();
    auto const second =
        world().send(world().owner_of("a"), bid_request("a", 2));
    wait_for(second);
    kill_owner_and_wait("a");
    auto const owner = world().owner_of("a");
    auto const first = world().send(owner, bid_request("a", 1));
    auto const through =
        world().send(world().other_than(owner), bid_request("a", 1));
    wait_for(first);
    wait_for(through);
    EXPECT_EQ(world().at(first).answer.outcome, outcome::unknown);
    EXPECT_EQ(world().at(through).answer.outcome, outcome::unknown);
    EXPECT_EQ(world().run_count("body of a"), 1U);
}

// After a takeover new bids must not wait until the whole memory is rebuilt: a
// first sending that was sent after the takeover runs.
TEST_F(entry_cases, first_sendings_run_again_soon_after_a_takeover)
{
    begin();
    kill_owner_and_wait("a");
    world().run(4s);
    auto const sent = world().send(world().owner_of("a"), bid_request("a", 1));
    auto const through = world().send(far_from("b"), bid_request("b", 1));
    wait_for(sent);
    wait_for(through);
    EXPECT_EQ(world().at(sent).answer.outcome, outcome::ran);
    EXPECT_EQ(world().at(through).answer.outcome, outcome::ran);
}

// An entry is frozen with a first sending in its buffers; the caller's second
// runs elsewhere and its owner dies. The frozen entry wakes and reads the
// first one.
TEST_F(entry_cases, first_sending_read_after_a_freeze_does_not_run)
{
    begin();
    auto const owner = world().owner_of("a");
    auto const frozen = world().other_than(owner);
    world().freeze(frozen);
    auto const first = world().send(frozen, bid_request("a", 1));
    auto const second = world().send(owner, bid_request("a", 2));
    wait_for(second);
    world().kill(owner);
    world().run(15s);
    world().unfreeze(frozen);
    world().run(15s);
    EXPECT_EQ(world().run_count("body of a"), 1U);
    EXPECT_NE(world().at(first).answer.outcome, outcome::ran);
}

// The same key comes with another body. Nobody gets an answer to what another
// asked.
TEST_F(entry_cases, key_of_another_request_gets_no_foreign_answer)
{
    begin();
    wait_for(world().send(0, bid_request("a", 1)));
    auto other = bid_request("a", 1);
    other.body = "another body";
    auto const sent = world().send(1, other);
    wait_for(sent);
    EXPECT_EQ(world().at(sent).answer.code, result_code::bad_header);
    EXPECT_EQ(world().run_count("another body"), 0U);
}

// The upstream answers after the caller's deadline. The caller was told
// "unknown" at its deadline, its slot stays taken until the answer came, and
// nobody else gets that answer.
TEST_F(entry_cases, late_answer_keeps_its_slot_and_reaches_nobody)
{
    entry_simulation_options options;
    options.upstreams = 3;
    options.slots = 1;
    begin(options);
    world().faults.fastest = world().faults.slowest = 2s;
    std::vector<std::uint64_t> late;
    for (int at = 0; at < 3; ++at)
    {
        auto request = unkeyed_request("late " + std::to_string(at));
        request.deadline = 300ms;
        late.push_back(world().send(0, request));
    }
    world().run(600ms);
    for (auto const id : late)
    {
        EXPECT_TRUE(world().answered(id));
        EXPECT_NE(world().at(id).answer.outcome, outcome::ran);
    }
    EXPECT_GT(world().running(), 0U);
    world().faults.fastest = world().faults.slowest = 20ms;
    std::vector<std::uint64_t> next;
    for (int at = 0; at < 6; ++at)
    {
        auto request = unkeyed_request("next " + std::to_string(at));
        request.deadline = 5s;
        next.push_back(world().send(0, request));
    }
    for (auto const id : next)
    {
        wait_for(id);
    }
}

// An entry is killed with requests on all slots of its upstreams. They run on
// when its successor takes over; it must not fill those slots again.
TEST_F(entry_cases,
       successor_does_not_overfill_what_its_predecessor_left_running)
{
    entry_simulation_options options;
    options.upstreams = 6;
    options.slots = 1;
    options.in_flight = 1000;
    // They run for longer than a takeover takes.
    options.settings.upstreams.max_execution = 15s;
    begin(options);
    world().faults.fastest = world().faults.slowest = 12s;
    for (int at = 0; at < 12; ++at)
    {
        auto request = unkeyed_request("left " + std::to_string(at));
        request.deadline = 20s;
        world().send(at % 3, request);
    }
    world().run(100ms);
    world().kill(2);
    world().faults.fastest = world().faults.slowest = 100ms;
    for (int at = 0; at < 400; ++at)
    {
        auto request = unkeyed_request("next " + std::to_string(at));
        request.deadline = 500ms;
        world().send(at % 2, request, at * 30ms);
    }
    world().run(15s);
}

// A contract is lowered while entries hold slices of the old one. Within
// seconds all entries together keep to the new one.
TEST_F(entry_cases, lowered_contract_holds_everywhere_within_seconds)
{
    entry_simulation_options options;
    options.upstreams = 30;
    begin(options);
    world().faults.fastest = world().faults.slowest = 200ms;
    auto const load = [this](std::string const& name)
    {
        for (int at = 0; at < 600; ++at)
        {
            world().send(
                at % 3, unkeyed_request(name + std::to_string(at)), at * 10ms);
        }
    };
    load("before ");
    world().run(2s);
    EXPECT_GT(world().in_flight(), 12U);
    world().put_contract(6);
    load("after ");
    world().run(4s);
    EXPECT_LE(world().in_flight(), 6U);
    EXPECT_GT(world().in_flight(), 0U);
    world().run(5s);
}

// An entry is stopped as planned under load, behind a balancer that goes on
// sending to it for a while. No request is cut off, and the keys it owned are
// still known.
TEST_F(entry_cases, planned_stop_cuts_no_request_and_forgets_no_key)
{
    begin();
    std::vector<std::string> keys;
    for (int at = 0; at < 40; ++at)
    {
        keys.push_back("k" + std::to_string(at));
        wait_for(world().send(at % 3, bid_request(keys.back(), 1)));
    }
    std::vector<std::uint64_t> during;
    for (int at = 0; at < 100; ++at)
    {
        // The balancer learns of the stop within its lag of 500 ms.
        std::size_t const entry = at < 20 ? 2 : at % 2;
        during.push_back(world().send(
            entry, bid_request("d" + std::to_string(at), 1), at * 20ms));
    }
    world().stop(2);
    EXPECT_TRUE(world().run_until(
        [this]
        {
            return world().has_stopped(2);
        },
        30s));
    world().run(3s);
    for (auto const id : during)
    {
        ASSERT_TRUE(world().answered(id));
        EXPECT_EQ(world().at(id).answer.outcome, outcome::ran)
            << static_cast<unsigned>(world().at(id).answer.code);
    }
    for (auto const& key : keys)
    {
        auto const again = world().send(key.size() % 2, bid_request(key, 2));
        wait_for(again);
        EXPECT_EQ(world().at(again).answer.outcome, outcome::ran) << key;
    }
}

// More requests wait than could be answered in time. Those beyond are refused
// at once, and told different times to come back.
TEST_F(entry_cases, full_queue_refuses_at_once_and_spreads_returns)
{
    entry_simulation_options options;
    options.upstreams = 3;
    options.slots = 1;
    options.in_flight = 100'000;
    begin(options);
    world().faults.fastest = world().faults.slowest = 500ms;
    for (int at = 0; at < 30; ++at)
    {
        wait_for(
            world().send(0, unkeyed_request("warm " + std::to_string(at))));
    }
    constexpr std::size_t offered = 60;
    std::vector<std::uint64_t> sent;
    sent.reserve(offered);
    for (std::size_t at = 0; at < offered; ++at)
    {
        sent.push_back(
            world().send(0, unkeyed_request("load " + std::to_string(at))));
    }
    world().run(400ms);
    std::set<std::int64_t> waits;
    for (auto const id : sent)
    {
        if (!world().answered(id))
        {
            continue;
        }
        EXPECT_EQ(world().at(id).answer.outcome, outcome::not_run);
        waits.insert(world().at(id).answer.retry_after.count());
    }
    EXPECT_GT(waits.size(), 20U);
    world().run(3s);
}

// An entry loses both the store and its peers. It stops giving out work and
// refuses at once, and starts again when they come back.
TEST_F(entry_cases, entry_without_proof_refuses_at_once)
{
    begin();
    world().store.faults.cut.insert("10.0.0.0");
    for (std::size_t other = 1; other < 3; ++other)
    {
        world().cut(0, other, true);
        world().cut(other, 0, true);
    }
    world().run(4s);
    auto const refused = world().send(0, unkeyed_request("cut off"));
    world().run(1ms);
    ASSERT_TRUE(world().answered(refused));
    EXPECT_EQ(world().at(refused).answer.code, result_code::no_proof);
    EXPECT_EQ(world().at(refused).answer.outcome, outcome::not_run);
}

// The platform's store is down for a minute. Requests go on being answered on
// the promises of the members' witnesses.
TEST_F(entry_cases, requests_go_on_while_the_store_is_down)
{
    begin();
    world().store.faults.down = true;
    std::uint32_t ran = 0;
    for (int at = 0; at < 60; ++at)
    {
        world().run(1s);
        auto const plain =
            world().send(at % 3, unkeyed_request(std::to_string(at)));
        auto const keyed =
            world().send(at % 3, bid_request("down " + std::to_string(at), 1));
        wait_for(plain);
        wait_for(keyed);
        ran += world().at(plain).answer.outcome == outcome::ran ? 1 : 0;
        ran += world().at(keyed).answer.outcome == outcome::ran ? 1 : 0;
    }
    EXPECT_EQ(ran, 120U);
}

// An idempotent query's upstream closes the connection without an answer. It
// is asked again elsewhere; a bid in the same place is not.
TEST_F(entry_cases, lost_answer_is_asked_for_again_only_where_that_is_safe)
{
    begin();
    world().faults.lost_permille = 1000;
    auto const lost_bid = world().send(0, bid_request("a", 1));
    wait_for(lost_bid);
    EXPECT_EQ(world().at(lost_bid).answer.outcome, outcome::unknown);
    EXPECT_EQ(world().run_count("body of a"), 1U);
    auto const lost_query = world().send(0, get_request("q"));
    wait_for(lost_query);
    EXPECT_EQ(world().at(lost_query).answer.outcome, outcome::unknown);
    EXPECT_GT(world().run_count("q"), 1U);
    world().faults.lost_permille = 0;
    auto const again = world().send(1, bid_request("a", 2));
    wait_for(again);
    EXPECT_EQ(world().at(again).answer.outcome, outcome::unknown);
    EXPECT_EQ(world().run_count("body of a"), 1U);
}

// An upstream that is full or starting refuses and says that it did not run the
// request. Told as an answer, a bid would be lost though another upstream could
// have taken it.
TEST_F(entry_cases, what_an_upstream_refuses_goes_elsewhere_or_has_not_run)
{
    begin();
    world().faults.refused_permille = 300;
    std::uint32_t ran = 0;
    for (int at = 0; at < 40; ++at)
    {
        auto const id =
            world().send(0, bid_request("r" + std::to_string(at), 1));
        wait_for(id);
        ran += world().at(id).answer.outcome == outcome::ran ? 1 : 0;
    }
    EXPECT_GE(ran, 30U);
    world().faults.refused_permille = 1000;
    auto const refused = world().send(0, bid_request("never", 1));
    wait_for(refused);
    EXPECT_EQ(world().at(refused).answer.outcome, outcome::not_run);
    EXPECT_EQ(world().run_count("body of never"), 0U);
}

// The queue has grown beyond what can be served in time. Serving by deadline
// sends what is about to expire: its slot is spent on an answer that nobody
// waits for, and the caller is told "unknown" instead of "not run".
TEST_F(entry_cases, overload_wastes_no_slot_on_what_is_too_late)
{
    entry_simulation_options options;
    options.upstreams = 3;
    options.slots = 2;
    options.in_flight = 100'000;
    begin(options);
    world().faults.fastest = 10ms;
    world().faults.slowest = 190ms;
    std::vector<std::uint64_t> sent;
    for (int at = 0; at < 600; ++at)
    {
        auto request = get_request("load " + std::to_string(at));
        request.deadline = 300ms;
        sent.push_back(world().send(at % 3, request, at * 5ms));
    }
    world().run(10s);
    std::uint32_t unknown = 0;
    for (auto const id : sent)
    {
        unknown += world().at(id).answer.outcome == outcome::unknown ? 1 : 0;
    }
    EXPECT_LE(unknown, sent.size() / 20);
}

// After an owner's death its callers send their keys again, and are told
// "unknown", for minutes. None of these sendings runs. If each were charged as
// if it did, they would use up the contract, and the customer's other requests
// would be refused by a system with plenty of free slots.
TEST_F(entry_cases, retries_told_unknown_after_a_takeover_use_up_no_contract)
{
    begin();
    auto const owner = world().owner_of("a");
    world().kill(owner);
    world().run(15s);
    auto const reader = world().other_than(owner);
    std::uint32_t unknown = 0;
    for (int at = 0; at < 100; ++at)
    {
        auto const id =
            world().send(reader, bid_request("u" + std::to_string(at), 2));
        wait_for(id);
        unknown += world().at(id).answer.outcome == outcome::unknown ? 1 : 0;
    }
    EXPECT_GT(unknown, 10U);
    EXPECT_EQ(world().in_flight(), 0U);
}
