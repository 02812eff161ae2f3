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

/// Writers over one store; the test decides whose call is answered next and
/// how.
struct writer_bench
{
    struct one
    {
        change_writer subject;
        std::deque<ports::store_call> calls;
    };

    tests::memory_store store;
    std::deque<one> writers;
    std::uint64_t next_call = 1;
    core::common::time_point now{100s};

    one& begin(change what,
               std::optional<std::uint64_t> if_revision = std::nullopt,
               std::uint64_t known = 0)
    {
        core::config::change_request request;
        request.requested_change = std::move(what);
        request.if_revision = if_revision;
        request.write_id = "w" + std::to_string(writers.size());
        request.known_revision = known;
        writers.push_back({change_writer({}, std::move(request)), {}});
        auto& made = writers.back();
        ports::actions out;
        made.subject.start(now, next_call, out);
        take(made, out);
        return made;
    }

    /// Answers one call of `who`; without one, lets its pause pass.
    void step(one& who, fault how = fault::none)
    {
        ports::actions out;
        if (who.calls.empty())
        {
            now += 200ms;
            who.subject.tick(now, next_call, out);
        }
        else
        {
            auto const call = who.calls.front();
            who.calls.pop_front();
            auto const reply = store.answer(call, how);
            who.subject.on_store_reply(now, reply, next_call, out);
        }
        take(who, out);
    }

    core::config::change_result run(one& who)
    {
        for (int count = 0; count < 500 && !who.subject.finished(); ++count)
        {
            step(who);
        }
        EXPECT_TRUE(who.subject.finished());
        return *who.subject.result();
    }

    core::config::change_result
    change_to(change what,
              std::optional<std::uint64_t> if_revision = std::nullopt)
    {
        return run(begin(std::move(what), if_revision));
    }

    index_document index() const
    {
        core::common::failure reason;
        auto const text = store.value(std::string(core::config::index_key));
        auto const parsed = core::config::parse_index(text, reason);
        EXPECT_TRUE(parsed) << to_string(reason);
        return parsed.value_or(index_document{});
    }

    /// In-flight limit of the contract that the index points to; nothing
    /// where the contract is withdrawn or absent.
    std::optional<std::uint32_t> limit_of(std::string const& customer) const
    {
        auto const now_index = index();
        auto const found = now_index.contracts.find(customer);
        if (found == now_index.contracts.end() || found->second.withdrawn)
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
    static void take(one& who, ports::actions const& out)
    {
        for (auto const& action : out)
        {
            who.calls.push_back(std::get<ports::store_call>(action));
        }
    }
};

} // namespace

TEST(config_writer, changes_count_the_revision_up_and_can_be_read)
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

TEST(config_writer, withdrawing_what_does_not_stand_is_refused)
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
    change what;
    std::uint64_t if_revision;
    result_code wanted;
};

TEST(config_writer, if_revision_conflicts_only_with_later_changes_of_the_same)
{
    // Revision 1: mill, 2: shop, 3: kochi-a out.
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
        {"a new one", put_contract{contract_of("new", 1)}, 0, result_code::ok},
        {"a revision to come",
         put_contract{contract_of("mill", 1)},
         9,
         result_code::conflict},
    };
    for (auto const& each : cases)
    {
        writer_bench bench;
        bench.change_to(put_contract{contract_of("mill", 9)});
        bench.change_to(put_contract{contract_of("shop", 3)});
        bench.change_to(set_data_centre{"kochi-a", true});
        auto const result = bench.change_to(each.what, each.if_revision);
        EXPECT_EQ(result.reason.code, each.wanted) << each.name;
        EXPECT_EQ(result.revision, each.wanted == result_code::ok ? 4U : 3U);
    }
}

// Two operators lower the same contract at the same moment through different
// planners. One of them must be told that somebody else was first; that both
// believe in their own figure would let the customer exceed one of them.
TEST(config_writer, of_two_racing_on_one_contract_one_gets_a_conflict)
{
    // Each position of a cut through the two writers' calls is a race.
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
        auto const late = bench.run(second);
        auto const early = bench.run(first);

        EXPECT_EQ(bench.index().revision, 2U + (first_steps == 0 ? 1U : 0U));
        if (first_steps == 0)
        {
            // The first had read nothing yet: it simply came second.
            EXPECT_TRUE(early.accepted() && late.accepted());
            EXPECT_EQ(bench.limit_of("mill"), 10U);
            continue;
        }
        EXPECT_NE(early.accepted(), late.accepted()) << first_steps;
        auto const& loser = early.accepted() ? late : early;
        EXPECT_EQ(loser.reason.code, result_code::conflict);
        EXPECT_EQ(loser.revision, 2U) << "the newer revision";
        EXPECT_EQ(bench.limit_of("mill"), early.accepted() ? 10U : 20U);
    }
}

TEST(config_writer, races_about_different_things_are_all_accepted)
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
    for (auto* who : {&mill, &shop, &out})
    {
        auto const result = bench.run(*who);
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
    int at; ///< Which call: 0 read, 1 document, 2 swap.
    fault how;
    int times;
    result_code wanted;
    bool changed; ///< Whether the index has the change in the end.
};

class config_writer_faults : public testing::TestWithParam<writer_fault_case>
{
};

// The store fails in the middle of a change, or makes it and loses the answer.
// An operator who is told "nothing was changed" will try again or leave it;
// either is wrong when the change stands after all.
TEST_P(config_writer_faults, tell_the_truth)
{
    auto const& each = GetParam();
    writer_bench bench;
    bench.change_to(put_contract{contract_of("mill", 100)});
    auto& subject = bench.begin(put_contract{contract_of("mill", 10)});
    for (int count = 0; count < each.at; ++count)
    {
        bench.step(subject);
    }
    for (int count = 0; count < each.times && !subject.subject.result();
         ++count)
    {
        bench.step(subject, each.how);
    }
    auto const result = bench.run(subject);

    EXPECT_EQ(result.reason.code, each.wanted) << to_string(result.reason);
    EXPECT_EQ(bench.limit_of("mill"), each.changed ? 10U : 100U);
    EXPECT_EQ(bench.index().revision, each.changed ? 2U : 1U);
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

// The swap took effect, its answer was lost, and before the writer could read
// back another operator changed another contract. The index no longer shows
// the writer's revision as its newest, and the change still counts as its own.
TEST(config_writer, a_lost_answer_is_settled_behind_later_changes)
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

// As above, but the swap was lost on its way and another took its revision.
TEST(config_writer, a_swap_lost_on_its_way_is_not_taken_for_anothers)
{
    writer_bench bench;
    auto& same = bench.begin(set_data_centre{"kochi-a", false});
    auto& other = bench.begin(set_data_centre{"thrissur-b", true});
    for (auto* who : {&same, &other})
    {
        bench.step(*who);
        bench.step(*who, fault::lost_before);
    }
    bench.change_to(set_data_centre{"kochi-a", true});

    EXPECT_EQ(bench.run(same).reason.code, result_code::conflict);
    EXPECT_EQ(bench.run(other).revision, 2U);
    EXPECT_TRUE(bench.index().data_centres.at("kochi-a").out_of_service);
}

TEST(config_writer, too_many_later_changes_leave_it_unclear)
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

// A lagging replica shows an index older than what this process has applied.
// A change made from it could only fail, or hide what came between.
TEST(config_writer, a_stale_index_is_read_again)
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

TEST(config_writer, documents_that_nothing_points_to_are_erased)
{
    writer_bench bench;
    // A writer that died between its document and its swap leaves one behind.
    auto& dead = bench.begin(put_contract{contract_of("mill", 1)});
    bench.step(dead);
    bench.step(dead);
    for (std::uint32_t limit = 1; limit < 30; ++limit)
    {
        bench.change_to(put_contract{contract_of("mill", limit)});
    }
    EXPECT_EQ(bench.store.keys("config/contract/mill/").size(), 2U)
        << "the present one and the one before";
    EXPECT_EQ(bench.limit_of("mill"), 29U);
}

TEST(config_writer, what_it_writes_is_what_a_follower_applies)
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
    for (auto const& each : changes)
    {
        auto const result = bench.change_to(each);
        auto const next =
            core::config::apply_change(expected, each, result.revision);
        ASSERT_TRUE(next);
        expected = *next;
    }
    core::config::configuration_follower reader{{}};
    ports::actions out;
    reader.start(bench.now, out);
    for (int round = 0; round < 10; ++round)
    {
        for (auto const& action : std::exchange(out, {}))
        {
            auto const* call = std::get_if<ports::store_call>(&action);
            if (call != nullptr && call->operation.index() != 4)
            {
                reader.on_store_reply(
                    bench.now, bench.store.answer(*call), out);
            }
        }
    }
    EXPECT_EQ(reader.current(), expected);
    EXPECT_FALSE(core::config::apply_change(expected, changes[0], 9));
}

// Four operators change two contracts and a data centre at once, over a store
// that fails at random. Whatever the order: each revision has one writer, each
// "accepted" is in the history once, each "conflict" and "not run" never.
TEST(config_writer, random_races_over_a_failing_store_tell_the_truth)
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        std::mt19937_64 random(seed);
        writer_bench bench;
        bench.change_to(put_contract{contract_of("mill", 100)});
        std::map<std::uint64_t, std::string> history;
        std::vector<change> const wishes{
            put_contract{contract_of("mill", 1)},
            put_contract{contract_of("mill", 2)},
            withdraw_contract{"mill"},
            put_contract{contract_of("shop", 3)},
            set_data_centre{"kochi-a", true},
            set_data_centre{"kochi-a", false},
        };
        std::vector<writer_bench::one*> racing;
        racing.reserve(wishes.size());
        for (auto const& wish : wishes)
        {
            racing.push_back(&bench.begin(wish));
        }
        auto const all_finished = [&racing]
        {
            return std::all_of(racing.begin(),
                               racing.end(),
                               [](auto const* who)
                               {
                                   return who->subject.finished();
                               });
        };
        for (int count = 0; count < 2000 && !all_finished(); ++count)
        {
            auto& who = *racing[random() % racing.size()];
            fault how = fault::none;
            if (random() % 4 == 0)
            {
                how = static_cast<fault>(random() % 4);
            }
            if (!who.subject.finished())
            {
                bench.step(who, how);
            }
            for (auto const& [revision, id] : bench.index().recent_writes)
            {
                auto const [place, added] = history.emplace(revision, id);
                ASSERT_EQ(place->second, id) << "seed " << seed;
            }
        }
        for (auto* who : racing)
        {
            auto const result = bench.run(*who);
            auto const& id = who->subject.request().write_id;
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
        auto const last = std::find_if(
            bench.writers.begin(),
            bench.writers.end(),
            [&](auto const& who)
            {
                return who.subject.request().write_id == history[mill.revision];
            });
        auto const* put = last == bench.writers.end()
                              ? nullptr
                              : std::get_if<put_contract>(
                                    &last->subject.request().requested_change);
        EXPECT_EQ(limit,
                  put == nullptr ? std::nullopt
                                 : std::optional(put->value.requests_in_flight))
            << "another's document, seed " << seed;
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
    }
}
