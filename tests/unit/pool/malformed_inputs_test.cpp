#include "unit/pool/pool_simulation.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

// Malformed input from submitters, the store and workers.
namespace fuchsia::tests::unit::pool
{

namespace
{

template<class Answer>
bool is_answered_with(pool_simulation& simulation, std::uint64_t request)
{
    simulation.run_until(
        [&simulation, request]
        {
            return simulation.answer(request).has_value();
        });
    auto const answer = simulation.answer(request);
    return answer && std::holds_alternative<Answer>(*answer);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string entry_with(std::string const& address, std::string const& seq)
{
    return R"({"service":"s","address":")" + address +
           R"(","zone":"a","version":"v1","slots":8,"state":"ready",)"
           R"("coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768},)"
           R"("labels":["k","r1-3"],"seq":)" +
           seq + "}";
}

// Entries as another program may write them among those of the workers. The
// simulation has the platform's parser read them.
std::vector<std::string> odd_worker_entries()
{
    std::vector<std::string> result{nested(33),
                                    nested(100'000),
                                    "\xff",
                                    entry_with("10.0.0.9:0", "1"),
                                    entry_with("10.0.0.9:65536", "1"),
                                    entry_with("nowhere", "1"),
                                    entry_with("0.0.0.0:8080", "1")};
    for (auto const& number : {"1e999",
                               "9223372036854775808",
                               "18446744073709551616",
                               "-1",
                               "1.5",
                               "\"1\""})
    {
        result.push_back(entry_with("10.0.0.9:8080", number));
    }
    result.push_back(entry_with("10.0.0.9:8080", nested(1000)));
    return result;
}

// Returns the number of lines that tell of an ignored entry.
std::size_t ignored_lines(pool_simulation const& simulation)
{
    auto const& lines = simulation.log();
    return static_cast<std::size_t>(
        std::count_if(lines.begin(),
                      lines.end(),
                      [](logged_line const& line)
                      {
                          return line.what.event == "worker_entry_ignored";
                      }));
}

bool completes(pool_simulation& simulation,
               std::string const& id,
               core::pool::job const& submitted_job)
{
    auto const submitter = other_than(*simulation.owner());
    simulation.submit(submitter, id, submitted_job);
    return simulation.run_until(
        [&simulation, &id, submitter]
        {
            return simulation.state(submitter, id) ==
                   ports::job_state::completed;
        });
}

} // namespace

// Guards against an owner that ends, or no longer follows the list of workers,
// after another program has left an odd entry in it, and against a log line for
// each time that the entry is written again.
TEST(pool_malformed_inputs, odd_worker_entries_end_no_owner)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const first_owner = simulation.owner();
    auto const key = "workers/" + simulation.worker(0).info().id;
    auto const good_entry = simulation.store().find(key)->value;
    auto every_worker = simple_job(
        static_cast<std::uint32_t>(simulation.worker_count()), 100ms);
    every_worker.steps[0].gang = true;
    every_worker.steps[0].max_per_worker = 1;
    std::size_t number = 0;
    for (auto const& odd : odd_worker_entries())
    {
        auto const id = "job" + std::to_string(number++);
        auto const lines_before = ignored_lines(simulation);
        for (int heartbeat = 0; heartbeat < 5; ++heartbeat)
        {
            simulation.store().put("workers/odd", odd);
            simulation.store().put(key, odd);
            simulation.run(500ms);
        }
        EXPECT_TRUE(completes(simulation, id + "a", simple_job(2, 100ms)))
            << odd.substr(0, 200);
        EXPECT_LE(ignored_lines(simulation), lines_before + 2)
            << odd.substr(0, 200);
        simulation.store().put(key, good_entry);
        EXPECT_TRUE(completes(simulation, id + "b", every_worker))
            << odd.substr(0, 200);
    }
    EXPECT_GT(ignored_lines(simulation), 0U);
    EXPECT_EQ(simulation.owner(), first_owner);
    // The next owner reads the whole list with an odd entry in it.
    simulation.kill(*simulation.owner());
    ASSERT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.working_owner().has_value();
        }));
    auto const next_owner = *simulation.working_owner();
    simulation.submit(next_owner, "last", every_worker);
    EXPECT_TRUE(simulation.run_until(
        [&simulation, next_owner]
        {
            return simulation.state(next_owner, "last") ==
                   ports::job_state::completed;
        }));
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against jobs that are accepted and never run: an id with a "/" would
// write below another job's keys, and one with a "." would give its tasks names
// that can't be parsed.
TEST(pool_malformed_inputs, invalid_job_ids_are_refused)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const job = simple_job(1, 100ms);
    for (auto const& id : {std::string(),
                           std::string("a/cancel"),
                           std::string("a.b"),
                           std::string("a&staleOk=1"),
                           std::string("a b"),
                           std::string("a%2e"),
                           std::string("\xff"),
                           std::string(65, 'a')})
    {
        EXPECT_TRUE(is_answered_with<ports::job_invalid>(
            simulation, simulation.submit(0, id, job)))
            << id;
        EXPECT_TRUE(is_answered_with<ports::job_not_found>(
            simulation, simulation.cancel(0, id)))
            << id;
    }
    EXPECT_TRUE(is_answered_with<ports::job_not_found>(
        simulation, simulation.query(0, "a/cancel")));
    EXPECT_TRUE(is_answered_with<ports::job_accepted>(
        simulation, simulation.submit(0, std::string(64, 'a'), job)));
}

// Guards against a job that never ran and is reported as "completed" because
// its final state can't be parsed.
TEST(pool_malformed_inputs, an_unreadable_final_state_is_not_reported)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    std::size_t number = 0;
    for (auto const* value : {"", "complete", "{}", "\xff", "queued", "active"})
    {
        auto const id = "odd" + std::to_string(number++);
        simulation.store().put("final/" + id, value);
        EXPECT_TRUE(is_answered_with<ports::job_refused>(
            simulation, simulation.query(0, id)))
            << value;
    }
    simulation.store().put("final/good", "failed");
    EXPECT_EQ(simulation.state(0, "good"), ports::job_state::failed);
}

// Guards against records of another program or version that end every instance
// which reads them, one after the other.
TEST(pool_malformed_inputs, malformed_records_end_no_owner)
{
    pool_simulation simulation;
    for (auto const* value :
         {"", "null", "[]", "{}", "{\"id\":7}", "\xff\xfe", "1e999"})
    {
        for (auto const* key : {"pool/job/odd",
                                "pool/job/",
                                "pool/job/cancel",
                                "pool/job//cancel",
                                "pool/job/none/cancel",
                                "pool/odd",
                                "progress/odd",
                                "progress/",
                                "final/",
                                "roster",
                                "backlog",
                                "learned",
                                "ledger",
                                "workers/odd",
                                "workers/"})
        {
            simulation.store().put(key, value);
        }
        ASSERT_TRUE(run_until_owned(simulation)) << value;
        auto const id =
            "job" + std::to_string(simulation.now().time_since_epoch() /
                                   core::common::duration(1));
        auto const submitter = other_than(*simulation.owner());
        simulation.submit(submitter, id, simple_job(2, 100ms));
        EXPECT_TRUE(simulation.run_until(
            [&simulation, &id, submitter]
            {
                return simulation.state(submitter, id) ==
                       ports::job_state::completed;
            }))
            << value;
        // The next owner loads all these records.
        auto const owner = *simulation.owner();
        simulation.kill(owner);
        simulation.run(3s);
        simulation.start(owner);
        simulation.run(1s);
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a job that is in the owner's table twice: once by its key and
// once by the id in its record.
TEST(pool_malformed_inputs, a_record_under_the_key_of_another_job_is_not_run)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto other = simple_job(2, 100ms);
    other.id = "two";
    other.queue = "q";
    simulation.store().put("pool/job/one", to_json(other));
    simulation.submit(0, "three", simple_job(2, 100ms));
    EXPECT_TRUE(simulation.run_until(
        [&simulation]
        {
            return simulation.state(0, "three") == ports::job_state::completed;
        }));
    simulation.kill(*simulation.owner());
    simulation.run(5s);
    EXPECT_TRUE(simulation.owner());
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_EQ(simulation.running_count({"two", 0, 0, 0}), 0U);
}

// Guards against accepted jobs that do not complete after some seconds of
// answers that are duplicated, late, garbled or sent to the wrong call.
TEST(pool_malformed_inputs, jobs_complete_after_malformed_answers)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        pool_simulation simulation;
        ASSERT_TRUE(run_until_owned(simulation));
        std::mt19937_64 random(seed);
        auto const one_in = [&random](std::uint64_t count)
        {
            return random() % count == 0;
        };
        simulation.store_answer = [&](ports::kv_reply& reply)
        {
            if (one_in(8))
            {
                // The result of decoding a garbled answer.
                reply = {reply.id, ports::kv_status::unclear, {}, false, 0, 0};
            }
            if (one_in(8) && !reply.items.empty())
            {
                auto const item = reply.items[random() % reply.items.size()];
                reply.items.push_back(item);
            }
            return one_in(4);
        };
        simulation.worker_answer = [&](ports::order_reply& reply)
        {
            if (one_in(6))
            {
                reply = {reply.id, ports::order_status::unclear, 0, 0, {}, {}};
            }
            if (one_in(4) && !reply.running.empty())
            {
                reply.running.push_back(reply.running.front());
            }
            if (one_in(4) && !reply.ended.empty())
            {
                auto const row = reply.ended.front();
                reply.ended.insert(reply.ended.begin(), row);
                std::swap(reply.ended.front(), reply.ended.back());
            }
            if (one_in(4))
            {
                // An attempt of an unknown job and one of a task that its job
                // does not have.
                reply.running.push_back({{{"none", 7, 8, 9}, 1}, "c", 3, 1});
                reply.running.push_back(
                    {{{"job0", 4'000'000'000, 0, 1}, 1'000'000'000}, "", 0, 0});
            }
            if (one_in(4) && !reply.ended.empty())
            {
                auto row = reply.ended.back();
                row.attempt_id = {{"job0", 0, 9, 9}, 3};
                row.kind = ports::end_kind::failed;
                reply.ended.push_back(row);
            }
            reply.incarnation = one_in(8) ? 0 : reply.incarnation;
            return one_in(4);
        };
        for (std::size_t number = 0; number < 6; ++number)
        {
            simulation.submit(
                number % 3, "job" + std::to_string(number), chained_job(300ms));
            simulation.run(700ms);
        }
        simulation.run(4s);
        simulation.store_answer = {};
        simulation.worker_answer = {};
        for (std::size_t number = 0; number < 6; ++number)
        {
            auto const id = "job" + std::to_string(number);
            if (!simulation.store().find("pool/job/" + id) &&
                !simulation.store().find("final/" + id))
            {
                continue; // The submitter got no acceptance.
            }
            EXPECT_TRUE(simulation.run_until(
                [&simulation, &id]
                {
                    return simulation.state(0, id) ==
                           ports::job_state::completed;
                },
                60s))
                << "seed " << seed << " " << id;
        }
        EXPECT_EQ(simulation.violation(), "") << "seed " << seed;
    }
}

} // namespace fuchsia::tests::unit::pool
