#include "pool_simulation.hpp"

#include <algorithm>
#include <gtest/gtest.h>

// Tests of an instance that can't read the records of operators while the store
// answers its other calls.
using namespace fuchsia::tests::unit::pool;
namespace ports = fuchsia::ports;

namespace
{

constexpr std::string_view operators_prefix = "operators/";
// Time limit of an answer: callers wait for 3 s, of which a new connection may
// take 0.7 s.
constexpr auto answer_limit = 2300ms;

bool concerns_operators(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return (range != nullptr && range->prefix == operators_prefix) ||
           (watch != nullptr && watch->prefix == operators_prefix);
}

// Makes the store drop all reads and watches of operators' keys that come from
// the instance `affected`.
void cut_off_operators(pool_simulation& simulation, std::size_t affected)
{
    simulation.store_fault =
        [affected](std::size_t instance, ports::kv_operation const& call)
    {
        return instance == affected && concerns_operators(call)
                   ? fault_effect::request_lost
                   : fault_effect::carried_out;
    };
}

std::vector<logged_line> log_lines(pool_simulation const& simulation,
                                   std::size_t instance,
                                   std::string_view event)
{
    std::vector<logged_line> matching;
    std::copy_if(simulation.log().begin(),
                 simulation.log().end(),
                 std::back_inserter(matching),
                 [instance, event](logged_line const& line)
                 {
                     return line.instance == instance &&
                            line.what.event == event;
                 });
    return matching;
}

template<class Answer>
bool was_answered_with(pool_simulation const& simulation, std::uint64_t request)
{
    auto const answer = simulation.answer(request);
    return answer && std::holds_alternative<Answer>(*answer);
}

} // namespace

// Guards against failing reads of the configuration that leave no line in the
// log, and against a log line for each of them: a minute of failures must leave
// a few lines.
TEST(pool_operators_unsynced, repeated_read_failures_are_logged_rarely)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const cut_off = other_than(*simulation.owner());
    simulation.run(1s);
    cut_off_operators(simulation, cut_off);
    simulation.run(60s);
    auto const lines =
        log_lines(simulation, cut_off, "configuration_not_heard");
    ASSERT_FALSE(lines.empty());
    EXPECT_LE(lines.size(), 10U);
    EXPECT_NE(text_of(lines.back()).find("call=page status=5"),
              std::string::npos)
        << text_of(lines.back());
    EXPECT_TRUE(
        log_lines(simulation, *simulation.owner(), "configuration_not_heard")
            .empty());
}

// An instance that can't read the configuration must not treat the whole store
// as unavailable, or callers would not get the state of their jobs.
TEST(pool_operators_unsynced,
     job_states_are_answered_with_an_outdated_configuration)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const cut_off = other_than(owner);
    simulation.submit(owner, "a", simple_job(1, 60s));
    simulation.run(1s);
    cut_off_operators(simulation, cut_off);
    simulation.run(10s);
    auto const request = simulation.query(cut_off, "a");
    simulation.run(1s);
    EXPECT_TRUE(was_answered_with<ports::job_status>(simulation, request));
}

// The queue of a job may have been deleted since an outdated configuration was
// read, so the instance must refuse new jobs and report that it is not ready,
// for the load balancer to send callers elsewhere.
TEST(pool_operators_unsynced, jobs_are_refused_and_the_instance_is_not_ready)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const cut_off = other_than(*simulation.owner());
    simulation.run(1s);
    cut_off_operators(simulation, cut_off);
    simulation.run(10s);
    auto const request = simulation.submit(cut_off, "a", simple_job(1, 1s));
    simulation.run(1s);
    EXPECT_TRUE(was_answered_with<ports::job_refused>(simulation, request));
    EXPECT_FALSE(simulation.store().find("pool/job/a").has_value());
    auto const readiness = log_lines(simulation, cut_off, "readiness");
    ASSERT_FALSE(readiness.empty());
    EXPECT_NE(text_of(readiness.back()).find("ready=false"), std::string::npos);
}

// A queue may have been deleted since an outdated configuration was read, so
// the instance must not report the number of jobs waiting in the queue.
TEST(pool_operators_unsynced, no_waiting_count_with_an_outdated_configuration)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const owner = *simulation.owner();
    auto const cut_off = other_than(owner);
    simulation.run(1s);
    cut_off_operators(simulation, cut_off);
    simulation.run(10s);
    for (int attempt = 0; attempt < 10; ++attempt)
    {
        // The job advances the store's revision, so that the age of a count is
        // known.
        simulation.submit(owner, std::to_string(attempt), simple_job(1, 100ms));
        EXPECT_EQ(simulation.reported_waiting_jobs(cut_off), std::nullopt);
        simulation.run(700ms);
    }
}

// Consecutive calls to a store that does not answer must not take longer than
// the caller waits, or the caller gets no answer instead of a refusal.
TEST(pool_operators_unsynced, query_is_answered_within_the_caller_timeout)
{
    std::vector<std::set<std::size_t>> const lost_read_sets{{1, 2}, {1, 3}};
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const answering = other_than(*simulation.owner());
    simulation.run(1s);
    for (auto const& lost_reads : lost_read_sets)
    {
        std::size_t read_count = 0;
        auto const id = "never" + std::to_string(*lost_reads.rbegin());
        simulation.store_fault =
            [&](std::size_t instance, ports::kv_operation const& call)
        {
            auto const* const read = std::get_if<ports::kv_read>(&call);
            bool const matches = instance == answering && read != nullptr &&
                                 read->key.find(id) != std::string::npos;
            return matches && lost_reads.contains(++read_count)
                       ? fault_effect::request_lost
                       : fault_effect::carried_out;
        };
        auto const request = simulation.query(answering, id);
        simulation.run(answer_limit);
        EXPECT_TRUE(simulation.answer(request).has_value()) << id;
        simulation.run(2s);
    }
}

// A cancellation must be answered in time even if the read of its job takes
// almost the whole time limit of a store call and the commit is lost.
TEST(pool_operators_unsynced,
     cancellation_is_answered_within_the_caller_timeout)
{
    pool_simulation simulation;
    ASSERT_TRUE(run_until_owned(simulation));
    auto const answering = other_than(*simulation.owner());
    simulation.submit(answering, "a", simple_job(1, 60s));
    simulation.run(1s);
    bool commit_seen = false;
    simulation.store_fault =
        [answering, &commit_seen](std::size_t instance,
                                  ports::kv_operation const& call)
    {
        bool const is_commit = instance == answering &&
                               std::holds_alternative<ports::kv_commit>(call);
        commit_seen = commit_seen || is_commit;
        return is_commit ? fault_effect::request_lost
                         : fault_effect::carried_out;
    };
    simulation.set_store_latency(490ms);
    auto const request = simulation.cancel(answering, "a");
    simulation.run(answer_limit);
    EXPECT_TRUE(commit_seen);
    EXPECT_TRUE(
        was_answered_with<ports::job_outcome_unknown>(simulation, request));
}
