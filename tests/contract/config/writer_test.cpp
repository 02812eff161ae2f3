#include "core/config/change_writer.hpp"

#include "contract/config/memory_store.hpp"
#include "core/config/follower.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>

using namespace fuchsia;
using namespace std::chrono_literals;
using core::common::result_code;
using core::config::change;
using core::config::change_writer;
using core::config::index_document;
using core::config::put_contract;
using core::config::set_data_centre;
using core::config::withdraw_contract;
using fault = fuchsia::tests::memory_store::fault;

namespace
{

core::contracts::contract contract_of(std::string customer,
                                      std::uint32_t in_flight)
{
    core::contracts::contract value;
    value.customer = std::move(customer);
    value.requests_in_flight = in_flight;
    value.latency_target = 250ms;
    value.batch_latency_target = 10s;
    return value;
}

/// Change writers that share one store. The test decides whose call is answered
/// next and with which fault.
struct writer_bench
{
    struct writer_run
    {
        change_writer subject;
        std::deque<ports::store_call> calls;
    };

    tests::memory_store store;
    std::deque<writer_run> writers;
    std::uint64_t next_call = 1;
    core::common::time_point now{100s};

    writer_run& begin(change requested,
                      std::optional<std::uint64_t> if_revision = std::nullopt,
                      std::uint64_t known_revision = 0)
    {
        core::config::change_request request;
        request.requested_change = std::move(requested);
        request.if_revision = if_revision;
        request.write_id = "w" + std::to_string(writers.size());
        request.known_revision = known_revision;
        writers.push_back({change_writer({}, std::move(request)), {}});
        auto& started = writers.back();
        ports::actions out;
        started.subject.start(now, next_call, out);
        collect_calls(started, out);
        return started;
    }

    /// Answers one call of the writer; if it has none in flight, lets its pause
    /// pass.
    void step(writer_run& writer, fault injected = fault::none)
    {
        ports::actions out;
        if (writer.calls.empty())
        {
            now += 200ms;
            writer.subject.tick(now, next_call, out);
        }
        else
        {
            auto const call = writer.calls.front();
            writer.calls.pop_front();
            auto const reply = store.answer(call, injected);
            writer.subject.on_store_reply(now, reply, next_call, out);
        }
        collect_calls(writer, out);
    }

    core::config::change_result run(writer_run& writer)
    {
        for (int count = 0; count < 500 && !writer.subject.finished(); ++count)
        {
            step(writer);
        }
        EXPECT_TRUE(writer.subject.finished());
        return *writer.subject.result();
    }

    core::config::change_result
    change_to(change requested,
              std::optional<std::uint64_t> if_revision = std::nullopt)
    {
        return run(begin(std::move(requested), if_revision));
    }

    index_document index() const
    {
        core::common::failure reason;
        auto const text = store.value(std::string(core::config::index_key));
        auto const parsed = core::config::parse_index(text, reason);
        EXPECT_TRUE(parsed) << to_string(reason);
        return parsed.value_or(index_document{});
    }

    /// Returns the in-flight limit of the contract that the index refers to;
    /// empty if the contract is withdrawn or absent.
    std::optional<std::uint32_t> limit_of(std::string const& customer) const
    {
        auto const current_index = index();
        auto const found = current_index.contracts.find(customer);
        if (found == current_index.contracts.end() || found->second.withdrawn)
        {
            return std::nullopt;
        }
        core::common::failure reason;
        auto const key =
            core::config::document_key(customer, found->second.document);
        auto const parsed =
            core::contracts::parse_contract(store.value(key), reason);
        EXPECT_TRUE(parsed) << key << " " << to_string(reason);
        return parsed ? std::optional(parsed->requests_in_flight)
                      : std::nullopt;
    }

private:
    static void collect_calls(writer_run& writer, ports::actions const& out)
    {
        for (auto const& action : out)
        {
            writer.calls.push_back(std::get<ports::store_call>(action));
        }
    }
};

} // namespace

TEST(config_writer, changes_increment_the_revision_and_can_be_read)
{
    writer_bench bench;
    EXPECT_EQ(bench.change_to(put_contract{contract_of("mill", 9)}).revision,
              1U);
    EXPECT_EQ(bench.change_to(put_contract{contract_of("shop", 3)}).revision,
              2U);
    EXPECT_EQ(bench.change_to(set_data_centre{"kochi-a", true}).revision, 3U);
    EXPECT_EQ(bench.change_to(withdraw_contract{"shop"}).revision, 4U);

    EXPECT_EQ(bench.limit_of("mill"), 9U);
    EXPECT_EQ(bench.limit_of("shop"), std::nullopt);
    EXPECT_TRUE(bench.index().contracts.at("shop").withdrawn);
    EXPECT_TRUE(bench.index().data_centres.at("kochi-a").out_of_service);
    EXPECT_EQ(bench.change_to(set_data_centre{"kochi-a", false}).revision, 5U);
    EXPECT_FALSE(bench.index().data_centres.at("kochi-a").out_of_service);
}

TEST(config_writer, withdrawal_of_an_absent_contract_is_rejected)
{
    writer_bench bench;
    EXPECT_EQ(bench.change_to(withdraw_contract{"mill"}).reason.code,
              result_code::not_found);
    bench.change_to(put_contract{contract_of("mill", 9)});
    bench.change_to(withdraw_contract{"mill"});
    EXPECT_EQ(bench.change_to(withdraw_contract{"mill"}).reason.code,
              result_code::not_found);
}

struct if_revision_case
{
    char const* name;
    change requested;
    std::uint64_t if_revision;
    result_code expected_code;
};

TEST(config_writer, if_revision_conflicts_only_with_later_changes_of_its_target)
{
    // Revision 1 put mill, 2 put shop, 3 took kochi-a out of service.
    std::vector<if_revision_case> const cases{
        {"mill unchanged since 1",
         put_contract{contract_of("mill", 1)},
         1,
         result_code::ok},
        {"shop changed at 2",
         put_contract{contract_of("shop", 1)},
         1,
         result_code::conflict},
        {"kochi-a changed at 3",
         set_data_centre{"kochi-a", false},
         2,
         result_code::conflict},
        {"new contract",
         put_contract{contract_of("new", 1)},
         0,
         result_code::ok},
        {"if_revision above the newest",
         put_contract{contract_of("mill", 1)},
         9,
         result_code::conflict},
    };
    for (auto const& test_case : cases)
    {
        writer_bench bench;
        bench.change_to(put_contract{contract_of("mill", 9)});
        bench.change_to(put_contract{contract_of("shop", 3)});
        bench.change_to(set_data_centre{"kochi-a", true});
        auto const result =
            bench.change_to(test_case.requested, test_case.if_revision);
        EXPECT_EQ(result.reason.code, test_case.expected_code)
            << test_case.name;
        EXPECT_EQ(result.revision,
                  test_case.expected_code == result_code::ok ? 4U : 3U);
    }
}

// Guards against a lost update: two operators lower the same contract at the
// same time through different planners. One of them must get a conflict; if
// both were accepted, the customer could exceed the limit that one of them has
// set.
TEST(config_writer, one_of_two_concurrent_changes_of_a_contract_conflicts)
{
    // Every number of calls of the first writer that precede the second
    // writer's change is a different race.
    for (int first_steps = 0; first_steps <= 3; ++first_steps)
    {
        writer_bench bench;
        bench.change_to(put_contract{contract_of("mill", 100)});
        auto& first = bench.begin(put_contract{contract_of("mill", 10)});
        auto& second = bench.begin(put_contract{contract_of("mill", 20)});
        bench.step(second);
        for (int count = 0; count < first_steps; ++count)
        {
            bench.step(first);
        }
        auto const second_result = bench.run(second);
        auto const first_result = bench.run(first);

        EXPECT_EQ(bench.index().revision, 2U + (first_steps == 0 ? 1U : 0U));
        if (first_steps == 0)
        {
            // The first writer had read nothing yet, so it simply came second.
            EXPECT_TRUE(first_result.accepted() && second_result.accepted());
            EXPECT_EQ(bench.limit_of("mill"), 10U);
            continue;
        }
        EXPECT_NE(first_result.accepted(), second_result.accepted())
            << first_steps;
        auto const& loser =
            first_result.accepted() ? second_result : first_result;
        EXPECT_EQ(loser.reason.code, result_code::conflict);
        EXPECT_EQ(loser.revision, 2U) << "the newer revision";
        EXPECT_EQ(bench.limit_of("mill"), first_result.accepted() ? 10U : 20U);
    }
}

TEST(config_writer, concurrent_changes_of_different_targets_are_all_accepted)
{
    writer_bench bench;
    auto& mill = bench.begin(put_contract{contract_of("mill", 10)});
    auto& shop = bench.begin(put_contract{contract_of("shop", 20)});
    auto& out = bench.begin(set_data_centre{"kochi-a", true});
    for (int count = 0; count < 2; ++count)
    {
        bench.step(mill);
        bench.step(shop);
        bench.step(out);
    }
    std::set<std::uint64_t> revisions;
    for (auto* writer : {&mill, &shop, &out})
    {
        auto const result = bench.run(*writer);
        EXPECT_TRUE(result.accepted()) << to_string(result.reason);
        revisions.insert(result.revision);
    }
    EXPECT_EQ(revisions, (std::set<std::uint64_t>{1, 2, 3}));
    EXPECT_EQ(bench.limit_of("mill"), 10U);
    EXPECT_EQ(bench.limit_of("shop"), 20U);
    EXPECT_TRUE(bench.index().data_centres.at("kochi-a").out_of_service);
}

struct writer_fault_case
{
    char const* name;
    int call_index; ///< First faulty call: 0 read, 1 document, 2 swap.
    fault injected;
    int times;
    result_code expected_code;
    bool takes_effect; ///< Whether the index contains the change in the end.
};

class config_writer_faults : public testing::TestWithParam<writer_fault_case>
{
};

// Guards against a false result: the store fails in the middle of a change, or
// applies it and loses the reply. An operator who reads "nothing was changed"
// tries again or gives up, and both are wrong if the change took effect.
TEST_P(config_writer_faults, give_a_result_that_matches_the_store)
{
    auto const& test_case = GetParam();
    writer_bench bench;
    bench.change_to(put_contract{contract_of("mill", 100)});
    auto& subject = bench.begin(put_contract{contract_of("mill", 10)});
    for (int count = 0; count < test_case.call_index; ++count)
    {
        bench.step(subject);
    }
    for (int count = 0; count < test_case.times && !subject.subject.result();
         ++count)
    {
        bench.step(subject, test_case.injected);
    }
    auto const result = bench.run(subject);

    EXPECT_EQ(result.reason.code, test_case.expected_code)
        << to_string(result.reason);
    EXPECT_EQ(bench.limit_of("mill"), test_case.takes_effect ? 10U : 100U);
    EXPECT_EQ(bench.index().revision, test_case.takes_effect ? 2U : 1U);
}

constexpr int forever = 1000;

INSTANTIATE_TEST_SUITE_P(
    all,
    config_writer_faults,
    testing::Values(
        writer_fault_case{"read_down_a_while",
                          0,
                          fault::unavailable,
                          5,
                          result_code::ok,
                          true},
        writer_fault_case{"read_down",
                          0,
                          fault::unavailable,
                          forever,
                          result_code::store_unavailable,
                          false},
        writer_fault_case{"read_malformed",
                          0,
                          fault::malformed_value,
                          1,
                          result_code::malformed_json,
                          false},
        writer_fault_case{"document_down",
                          1,
                          fault::unavailable,
                          forever,
                          result_code::store_unavailable,
                          false},
        writer_fault_case{"document_answer_lost",
                          1,
                          fault::lost_after,
                          1,
                          result_code::ok,
                          true},
        writer_fault_case{"document_answers_all_lost",
                          1,
                          fault::lost_after,
                          forever,
                          result_code::store_unavailable,
                          false},
        writer_fault_case{
            "swap_not_sent", 2, fault::unavailable, 1, result_code::ok, true},
        writer_fault_case{"swap_never_sent",
                          2,
                          fault::unavailable,
                          forever,
                          result_code::store_unavailable,
                          false},
        writer_fault_case{"swap_lost_before",
                          2,
                          fault::lost_before,
                          1,
                          result_code::ok,
                          true},
        writer_fault_case{
            "swap_lost_after", 2, fault::lost_after, 1, result_code::ok, true},
        writer_fault_case{"silent_after_swap_lost_before",
                          2,
                          fault::lost_before,
                          forever,
                          result_code::store_unclear,
                          false},
        writer_fault_case{"silent_after_swap_lost_after",
                          2,
                          fault::lost_after,
                          forever,
                          result_code::store_unclear,
                          true}),
    [](auto const& info)
    {
        return std::string(info.param.name);
    });

// Guards against a false conflict: the swap took effect, its reply was lost,
// and other contracts were changed before the writer read the index again. The
// writer's revision is no longer the newest, but it is still the writer's own.
TEST(config_writer, lost_reply_is_resolved_after_later_changes)
{
    writer_bench bench;
    auto& subject = bench.begin(put_contract{contract_of("mill", 10)});
    bench.step(subject);
    bench.step(subject);
    bench.step(subject, fault::lost_after);
    for (int count = 0; count < 5; ++count)
    {
        bench.change_to(put_contract{contract_of("shop", 1)});
    }
    auto const result = bench.run(subject);
    EXPECT_TRUE(result.accepted()) << to_string(result.reason);
    EXPECT_EQ(result.revision, 1U);
}

// Guards against a false success: the swap was lost before it took effect, and
// another writer's change got the revision that it was meant to have.
TEST(config_writer, revision_of_another_writer_is_not_taken_for_the_lost_swap)
{
    writer_bench bench;
    auto& first_writer = bench.begin(set_data_centre{"kochi-a", false});
    auto& second_writer = bench.begin(set_data_centre{"thrissur-b", true});
    for (auto* writer : {&first_writer, &second_writer})
    {
        bench.step(*writer);
        bench.step(*writer, fault::lost_before);
    }
    bench.change_to(set_data_centre{"kochi-a", true});

    EXPECT_EQ(bench.run(first_writer).reason.code, result_code::conflict);
    EXPECT_EQ(bench.run(second_writer).revision, 2U);
    EXPECT_TRUE(bench.index().data_centres.at("kochi-a").out_of_service);
}

TEST(config_writer, lost_reply_stays_unclear_after_too_many_later_changes)
{
    writer_bench bench;
    auto& subject = bench.begin(set_data_centre{"kochi-a", true});
    bench.step(subject);
    bench.step(subject, fault::lost_after);
    for (std::size_t count = 0; count <= core::config::max_recent_writes;
         ++count)
    {
        bench.change_to(set_data_centre{"thrissur-b", true});
    }
    EXPECT_EQ(bench.run(subject).reason.code, result_code::store_unclear);
    EXPECT_EQ(bench.index().recent_writes.size(),
              core::config::max_recent_writes);
}

// Guards against a change based on a stale read: a lagging replica returns an
// index older than the revision that this process has applied. A change based
// on it could only fail, or hide the changes in between.
TEST(config_writer, stale_index_is_read_again)
{
    writer_bench bench;
    bench.change_to(put_contract{contract_of("mill", 100)});
    bench.store.take_snapshot();
    bench.change_to(put_contract{contract_of("mill", 50)});
    auto& subject =
        bench.begin(put_contract{contract_of("mill", 10)}, std::nullopt, 2);
    bench.step(subject, fault::stale);
    EXPECT_EQ(bench.run(subject).revision, 3U);
}

TEST(config_writer, unreferenced_documents_are_erased)
{
    writer_bench bench;
    // A writer that crashed between its document and its swap leaves an
    // unreferenced document.
    auto& crashed = bench.begin(put_contract{contract_of("mill", 1)});
    bench.step(crashed);
    bench.step(crashed);
    for (std::uint32_t limit = 1; limit < 30; ++limit)
    {
        bench.change_to(put_contract{contract_of("mill", limit)});
    }
    EXPECT_EQ(bench.store.keys("config/contract/mill/").size(), 2U)
        << "the current document and the previous one";
    EXPECT_EQ(bench.limit_of("mill"), 29U);
}

TEST(config_writer, follower_applies_the_written_changes)
{
    writer_bench bench;
    core::config::configuration expected;
    std::vector<change> const changes{
        put_contract{contract_of("mill", 9)},
        set_data_centre{"kochi-a", true},
        put_contract{contract_of("shop", 3)},
        withdraw_contract{"mill"},
        set_data_centre{"kochi-a", false},
        put_contract{contract_of("mill", 4)},
    };
    for (auto const& current : changes)
    {
        auto const result = bench.change_to(current);
        auto const next =
            core::config::apply_change(expected, current, result.revision);
        ASSERT_TRUE(next);
        expected = *next;
    }
    core::config::configuration_follower follower{{}};
    ports::actions out;
    follower.start(bench.now, out);
    for (int round = 0; round < 10; ++round)
    {
        for (auto const& action : std::exchange(out, {}))
        {
            auto const* call = std::get_if<ports::store_call>(&action);
            if (call != nullptr && call->operation.index() != 4)
            {
                follower.on_store_reply(
                    bench.now, bench.store.answer(*call), out);
            }
        }
    }
    EXPECT_EQ(follower.current(), expected);
    EXPECT_FALSE(core::config::apply_change(expected, changes[0], 9));
}

// Guards against lost updates and false results: concurrent changes of two
// contracts and a data centre on a store that fails at random. In every order
// each revision has one writer, each accepted change is in the history exactly
// once, and a change with any other result but `store_unclear` is never in it.
TEST(config_writer,
     results_of_random_races_on_a_failing_store_match_the_history)
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        std::mt19937_64 random(seed);
        writer_bench bench;
        bench.change_to(put_contract{contract_of("mill", 100)});
        std::map<std::uint64_t, std::string> history;
        std::vector<change> const requested_changes{
            put_contract{contract_of("mill", 1)},
            put_contract{contract_of("mill", 2)},
            withdraw_contract{"mill"},
            put_contract{contract_of("shop", 3)},
            set_data_centre{"kochi-a", true},
            set_data_centre{"kochi-a", false},
        };
        std::vector<writer_bench::writer_run*> racing_writers;
        racing_writers.reserve(requested_changes.size());
        for (auto const& planned_change : requested_changes)
        {
            racing_writers.push_back(&bench.begin(planned_change));
        }
        auto const all_finished = [&racing_writers]
        {
            return std::all_of(racing_writers.begin(),
                               racing_writers.end(),
                               [](auto const* writer)
                               {
                                   return writer->subject.finished();
                               });
        };
        for (int count = 0; count < 2000 && !all_finished(); ++count)
        {
            auto& writer = *racing_writers[random() % racing_writers.size()];
            fault injected = fault::none;
            if (random() % 4 == 0)
            {
                injected = static_cast<fault>(random() % 4);
            }
            if (!writer.subject.finished())
            {
                bench.step(writer, injected);
            }
            for (auto const& [revision, id] : bench.index().recent_writes)
            {
                auto const [position, added] = history.emplace(revision, id);
                ASSERT_EQ(position->second, id) << "seed " << seed;
            }
        }
        for (auto* writer : racing_writers)
        {
            auto const result = bench.run(*writer);
            auto const& id = writer->subject.request().write_id;
            auto const written = std::count_if(history.begin(),
                                               history.end(),
                                               [&id](auto const& pair)
                                               {
                                                   return pair.second == id;
                                               });
            auto const code = result.reason.code;
            if (code == result_code::ok)
            {
                EXPECT_EQ(written, 1) << "seed " << seed;
                EXPECT_EQ(history[result.revision], id) << "seed " << seed;
            }
            else if (code != result_code::store_unclear)
            {
                EXPECT_EQ(written, 0)
                    << "seed " << seed << " " << to_string(result.reason);
            }
        }
        auto const mill = bench.index().contracts.at("mill");
        auto const limit = bench.limit_of("mill");
        auto const last =
            std::find_if(bench.writers.begin(),
                         bench.writers.end(),
                         [&](auto const& writer)
                         {
                             return writer.subject.request().write_id ==
                                    history[mill.revision];
                         });
        auto const* put = last == bench.writers.end()
                              ? nullptr
                              : std::get_if<put_contract>(
                                    &last->subject.request().requested_change);
        EXPECT_EQ(limit,
                  put == nullptr ? std::nullopt
                                 : std::optional(put->value.requests_in_flight))
            << "document of another change, seed " << seed;
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
    }
}
