#include "core/config/follower.hpp"

#include "contract/config/memory_store.hpp"

#include <gtest/gtest.h>
#include <map>
#include <optional>

using namespace fuchsia;
using namespace std::chrono_literals;
using core::config::configuration;
using core::config::configuration_follower;
using core::config::index_document;
using fault = fuchsia::tests::memory_store::fault;

namespace
{

core::common::time_point at(core::common::duration since_start)
{
    return core::common::time_point(100s + since_start);
}

core::contracts::contract contract_of(std::string customer,
                                      std::uint32_t in_flight)
{
    core::contracts::contract value;
    value.customer = std::move(customer);
    value.capacity.millicores = 1000;
    value.requests_in_flight = in_flight;
    value.latency_target = 250ms;
    value.batch_latency_target = 10s;
    return value;
}

/// One follower with an in-memory store. Watches are answered only by
/// `release_watches`; `run` answers all other calls in order.
struct follower_bench
{
    tests::memory_store store;
    configuration_follower subject{core::config::follower_settings{}};
    ports::actions out;
    std::vector<ports::store_call> watches;
    std::vector<ports::peer_send> sent;
    std::vector<ports::log_event> logs;
    core::common::duration now{};

    /// Writes the index and the documents as a change writer does.
    void publish(std::uint64_t revision,
                 std::vector<core::contracts::contract> const& contracts,
                 std::vector<std::string> const& out_of_service = {})
    {
        index_document index;
        index.revision = revision;
        for (auto const& name : out_of_service)
        {
            index.data_centres[name] = {revision, true};
        }
        for (auto const& contract : contracts)
        {
            // An unchanged contract keeps the document of its first revision.
            auto& first = first_revisions[to_json(contract)];
            first = first == 0 ? revision : first;
            auto const name = core::config::document_name(first, "test");
            index.contracts[contract.customer] = {first, false, name};
            store.put(core::config::document_key(contract.customer, name),
                      to_json(contract));
        }
        store.put(std::string(core::config::index_key), to_json(index));
    }

    void start()
    {
        subject.start(at(now), out);
    }

    /// Answers the calls in flight and those sent in response.
    void run(fault injected = fault::none)
    {
        for (int round = 0; round < 50 && !out.empty(); ++round)
        {
            auto const batch = std::exchange(out, {});
            for (auto const& action : batch)
            {
                handle_action(action, injected);
            }
        }
        ASSERT_TRUE(out.empty()) << "calls did not end after 50 rounds";
    }

    void pass(core::common::duration by, fault injected = fault::none)
    {
        now += by;
        subject.tick(at(now), out);
        run(injected);
    }

    void release_watches(fault injected = fault::none)
    {
        for (auto const& watch : std::exchange(watches, {}))
        {
            subject.on_store_reply(at(now), store.answer(watch, injected), out);
        }
        run(injected);
    }

    std::map<std::string, std::uint64_t> first_revisions;

private:
    void handle_action(ports::action const& action, fault injected)
    {
        if (auto const* call = std::get_if<ports::store_call>(&action))
        {
            if (std::holds_alternative<ports::store_watch>(call->operation))
            {
                watches.push_back(*call);
                return;
            }
            subject.on_store_reply(at(now), store.answer(*call, injected), out);
        }
        else if (auto const* message = std::get_if<ports::peer_send>(&action))
        {
            sent.push_back(*message);
        }
        else if (auto const* event = std::get_if<ports::log_event>(&action))
        {
            logs.push_back(*event);
        }
    }
};

ports::member_identity const peer{"planner-b-1", 7};
ports::endpoint const peer_address{"127.0.0.1", 23001};

ports::peer_receive offer(configuration const& value)
{
    return {peer, ports::config_offer{value.revision, to_json(value)}};
}

configuration configuration_at(std::uint64_t revision, std::uint32_t in_flight)
{
    configuration value;
    value.revision = revision;
    value.contracts["mill"] = contract_of("mill", in_flight);
    value.contract_revisions["mill"] = revision;
    return value;
}

} // namespace

TEST(config_follower, start_reads_the_complete_configuration)
{
    follower_bench bench;
    bench.publish(4, {contract_of("mill", 9), contract_of("shop", 3)}, {"a"});
    bench.start();
    bench.run();

    auto const& current = bench.subject.current();
    EXPECT_EQ(current.revision, 4U);
    EXPECT_EQ(current.contracts.at("mill").requests_in_flight, 9U);
    EXPECT_EQ(current.contracts.at("shop").requests_in_flight, 3U);
    EXPECT_EQ(current.data_centres_out_of_service.count("a"), 1U);
    EXPECT_EQ(bench.subject.confirmed_at(), at(0s));
}

TEST(config_follower, empty_store_gives_a_confirmed_revision_0)
{
    follower_bench bench;
    bench.start();
    bench.pass(500ms);

    EXPECT_EQ(bench.subject.current(), configuration{});
    EXPECT_EQ(bench.subject.confirmed_at(), at(500ms));
}

TEST(config_follower, start_with_many_contracts_takes_three_calls)
{
    follower_bench bench;
    std::vector<core::contracts::contract> contracts;
    contracts.reserve(41);
    for (int number = 0; number < 41; ++number)
    {
        contracts.push_back(contract_of("team-" + std::to_string(number), 1));
    }
    bench.publish(41, contracts);
    bench.start();
    bench.run();

    EXPECT_EQ(bench.subject.current().contracts.size(), 41U);
    EXPECT_EQ(bench.store.calls + bench.watches.size(), 3U);
}

TEST(config_follower, change_seen_by_a_watch_reads_only_changed_documents)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9), contract_of("shop", 3)});
    bench.start();
    bench.run();
    auto const before = bench.store.calls;

    bench.publish(2, {contract_of("mill", 5), contract_of("shop", 3)});
    bench.now = 200ms;
    bench.release_watches();

    EXPECT_EQ(bench.subject.current().revision, 2U);
    EXPECT_EQ(bench.subject.current().contracts.at("mill").requests_in_flight,
              5U);
    EXPECT_EQ(bench.store.calls - before, 2U) << "the watch and one document";
}

TEST(config_follower, ten_seconds_without_a_change_take_21_calls)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9)});
    bench.start();
    bench.run();
    auto const before = bench.store.calls;
    for (int step = 0; step < 100; ++step)
    {
        bench.pass(100ms);
    }
    bench.release_watches();

    EXPECT_EQ(bench.store.calls - before, 21U);
    EXPECT_EQ(bench.subject.confirmed_at(), at(10s));
}

// Guards against a stale configuration that counts as confirmed: a watch ends
// after ten seconds without a change, but a change in its last second may have
// been missed because its wake-up was lost. A task could then start in a data
// centre that has been out of service for more than a few seconds.
TEST(config_follower, watch_confirms_only_the_time_at_which_it_was_sent)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9)});
    bench.start();
    bench.run();
    bench.pass(10s, fault::unavailable);
    bench.release_watches();

    EXPECT_EQ(bench.subject.confirmed_at(), at(0s));
}

struct read_fault_case
{
    char const* name;
    fault injected;
    bool expect_log;
};

class config_follower_faults : public testing::TestWithParam<read_fault_case>
{
};

// Guards against partial or reverted changes: the store fails, returns
// malformed values or answers from a lagging replica while operators lower
// contracts. The change may be applied late, but only completely, and the
// current configuration must never be replaced by an older one.
TEST_P(config_follower_faults, keep_the_configuration_until_reads_are_complete)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9), contract_of("shop", 3)});
    bench.store.take_snapshot();
    bench.publish(2, {contract_of("mill", 8), contract_of("shop", 2)});
    bench.start();
    bench.run();
    auto const confirmed = bench.subject.confirmed_at();
    auto const before_fault = bench.subject.current();

    bench.publish(3, {contract_of("mill", 7), contract_of("shop", 1)});
    for (int step = 0; step < 20; ++step)
    {
        bench.pass(100ms, GetParam().injected);
        bench.release_watches(GetParam().injected);
        EXPECT_EQ(bench.subject.current(), before_fault);
    }
    EXPECT_EQ(bench.subject.confirmed_at(), confirmed);
    EXPECT_EQ(!bench.logs.empty() &&
                  bench.logs.back().event == "configuration_refused",
              GetParam().expect_log);

    bench.pass(500ms);
    bench.pass(500ms);
    EXPECT_EQ(bench.subject.current().revision, 3U);
    EXPECT_EQ(bench.subject.current().contracts.at("shop").requests_in_flight,
              1U);
}

INSTANTIATE_TEST_SUITE_P(
    all,
    config_follower_faults,
    testing::Values(read_fault_case{"unavailable", fault::unavailable, false},
                    read_fault_case{"lost", fault::lost_before, false},
                    read_fault_case{"stale", fault::stale, false},
                    read_fault_case{"malformed", fault::malformed_value, true}),
    [](auto const& info)
    {
        return std::string(info.param.name);
    });

// Guards against a change applied in part: a document that the index refers to
// is missing or is another customer's, and the other contract of the change
// must not be applied alone.
TEST(config_follower, missing_document_delays_the_complete_change)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9), contract_of("shop", 3)});
    bench.start();
    bench.run();
    bench.publish(2, {contract_of("mill", 8), contract_of("shop", 2)});
    auto const key = core::config::document_key("shop", "2-test");
    auto const text = bench.store.value(key);

    bench.store.erase(key);
    bench.pass(500ms);
    EXPECT_EQ(bench.subject.current().revision, 1U);
    bench.store.put(key, to_json(contract_of("mill", 1)));
    bench.pass(500ms);
    EXPECT_EQ(bench.subject.current().revision, 1U)
        << "contract of another customer";

    bench.store.put(key, text);
    bench.pass(500ms);
    EXPECT_EQ(bench.subject.current().revision, 2U);
}

TEST(config_follower, newer_index_replaces_a_fetch_in_progress)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9)});
    bench.start();
    bench.run();
    bench.publish(2, {contract_of("mill", 8)});
    bench.store.erase(core::config::document_key("mill", "2-test"));
    bench.pass(500ms);
    bench.publish(3, {contract_of("mill", 7)});
    bench.pass(500ms);

    EXPECT_EQ(bench.subject.current().revision, 3U);
}

// Guards against an outdated configuration during a long store outage: an
// instance that missed the last change before it gets the change from a peer.
TEST(config_follower, peer_supplies_a_change_while_the_store_is_unavailable)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9)});
    bench.start();
    bench.run();
    auto const confirmed = bench.subject.confirmed_at();
    bench.pass(1s, fault::unavailable);
    bench.subject.on_peer_revision(at(1s), 2, peer, peer_address, bench.out);
    bench.subject.on_peer_revision(at(1s), 2, peer, peer_address, bench.out);
    bench.run(fault::unavailable);

    ASSERT_EQ(bench.sent.size(), 1U) << "one request at a time";
    EXPECT_EQ(bench.sent[0].to, peer);
    EXPECT_EQ(std::get<ports::config_request>(bench.sent[0].message).revision,
              1U);
    bench.subject.on_peer(
        at(1s), offer(configuration_at(2, 4)), peer_address, bench.out);
    EXPECT_EQ(bench.subject.current(), configuration_at(2, 4));
    EXPECT_EQ(bench.subject.confirmed_at(), confirmed);
}

struct offer_case
{
    char const* name;
    std::uint64_t offered_revision; ///< Revision in the offer itself.
    std::string document;
};

TEST(config_follower, invalid_and_older_offers_are_ignored)
{
    std::string oversized = to_json(configuration_at(9, 4));
    oversized.insert(1, core::config::max_configuration_bytes, ' ');
    std::string inconsistent = to_json(configuration_at(9, 4));
    inconsistent.replace(inconsistent.find("\"mill\":9"), 8, "\"hill\":9");
    std::vector<offer_case> const cases{
        {"older", 4, to_json(configuration_at(4, 4))},
        {"the same", 5, to_json(configuration_at(5, 4))},
        {"revision differs", 9, to_json(configuration_at(8, 4))},
        {"no json", 9, "{\"revision\":9"},
        {"no object", 9, "[]"},
        {"too large", 9, oversized},
        {"other customers", 9, inconsistent},
    };
    follower_bench bench;
    bench.publish(5, {contract_of("mill", 9)});
    bench.start();
    bench.run();
    auto const before_fault = bench.subject.current();
    for (auto const& test_case : cases)
    {
        bench.subject.on_peer(at(1s),
                              {peer,
                               ports::config_offer{test_case.offered_revision,
                                                   test_case.document}},
                              peer_address,
                              bench.out);
        EXPECT_EQ(bench.subject.current(), before_fault) << test_case.name;
    }
}

TEST(config_follower, offers_the_configuration_only_to_an_older_peer)
{
    follower_bench bench;
    bench.publish(5, {contract_of("mill", 9)}, {"kochi-a"});
    bench.start();
    bench.run();
    for (std::uint64_t revision : {4U, 5U, 6U})
    {
        bench.subject.on_peer(at(1s),
                              {peer, ports::config_request{revision}},
                              peer_address,
                              bench.out);
    }
    bench.run();

    ASSERT_EQ(bench.sent.size(), 1U);
    auto const& sent = std::get<ports::config_offer>(bench.sent[0].message);
    core::common::failure reason;
    auto const read = core::config::parse_configuration(sent.document, reason);
    ASSERT_TRUE(read) << to_string(reason);
    EXPECT_EQ(*read, bench.subject.current());
}

TEST(config_follower, adopted_configuration_applies_at_once_if_newer)
{
    follower_bench bench;
    bench.publish(1, {contract_of("mill", 9)});
    bench.start();
    bench.run();
    bench.subject.adopt(configuration_at(2, 4), bench.out);
    EXPECT_EQ(bench.subject.current().revision, 2U);
    bench.subject.adopt(configuration_at(1, 9), bench.out);
    EXPECT_EQ(bench.subject.current().revision, 2U);
}
