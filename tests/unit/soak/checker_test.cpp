#include "scenario.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::soak;

namespace
{

std::set<rule> const none;

std::set<rule> only(rule broken_rule)
{
    return {broken_rule};
}

/// Returns a scenario with an accepted job and the end of the traffic 5 s
/// later.
scenario accepted_until_traffic_ends(job_shape const& shape = single_task_job())
{
    scenario events;
    events.submit("a", shape);
    events.at(5s).observe(traffic_ended{});
    return events;
}

/// Returns a scenario with a job whose cancel is acknowledged after 1 s.
scenario cancelled(job_shape const& shape = lasting_job())
{
    scenario events;
    events.submit("a", shape);
    events.at(1s).observe(cancel_ended{"a", call_outcome::done});
    return events;
}

/// Returns a scenario with the queues `a` and `b`; `b` is removed after a
/// minute.
scenario two_configurations()
{
    scenario events;
    events.observe(configuration_set{1, {"a", "b"}}).queue_shown("b", true);
    events.at(60s).observe(configuration_set{2, {"a"}});
    return events;
}

} // namespace

// An instance may lose a job whose submission it acknowledged.
TEST(soak_lost, unknown_accepted_job_is_reported_after_the_time_limit)
{
    scenario events;
    events.submit("a", single_task_job());
    events.at(3001ms).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, unknown_job_is_allowed_within_the_time_limit)
{
    scenario events;
    events.submit("a", single_task_job());
    events.at(3s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_lost, unknown_job_is_allowed_during_a_fault)
{
    scenario events;
    events.submit("a", single_task_job()).with_fault(500ms, 600ms);
    events.at(3001ms).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_lost, unknown_job_is_allowed_long_after_its_end)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.at(121s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_lost, unknown_cancelled_or_unaccepted_job_is_allowed)
{
    scenario events;
    events.submit("a", single_task_job())
        .submit("b", single_task_job(), call_outcome::timed_out);
    events.observe(cancel_ended{"a", call_outcome::timed_out});
    events.at(9s).status("a", job_state::queued, call_outcome::not_found);
    events.status("b", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), none);
}

// A fault may excuse a missing answer, but not an accepted job that is still
// unknown after all faults have ended.
TEST(soak_lost, unknown_accepted_job_at_the_end_is_reported_even_after_a_fault)
{
    scenario events = accepted_until_traffic_ends();
    events.with_fault(6s, 19s);
    events.at(20s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

// A job for which no instance answers counts as lost.
TEST(soak_lost, accepted_job_without_an_answer_at_the_end_is_reported)
{
    scenario events = accepted_until_traffic_ends();
    events.start(task("a")).end(task("a"));
    events.at(20s).status("a", job_state::queued, call_outcome::timed_out);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

// An accepted job may stay in the store without ever being started.
TEST(soak_lost, accepted_job_that_never_runs_is_reported)
{
    scenario events = accepted_until_traffic_ends();
    events.at(20s).status("a", job_state::queued);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost,
     unfinished_job_is_allowed_within_the_time_limit_or_after_a_fault)
{
    scenario early = accepted_until_traffic_ends();
    early.at(19s).status("a", job_state::queued);
    EXPECT_EQ(early.broken_rules(), none);

    scenario with_fault_active = accepted_until_traffic_ends();
    with_fault_active.with_fault(6s, 7s).at(20s).status("a", job_state::queued);
    EXPECT_EQ(with_fault_active.broken_rules(), none);
}

// A job whose long attempts fail one after the other still makes progress, so
// it must not count as never done.
TEST(soak_lost, unfinished_job_is_reported_only_without_a_recent_run)
{
    scenario working = accepted_until_traffic_ends({"q", {{1, {}, false}}, 4});
    working.at(10s).start(task("a"));
    working.at(16s).end(task("a"), end_kind::failed);
    working.at(17s).start(task("a"), 2);
    working.at(20s).status("a", job_state::active);
    EXPECT_EQ(working.broken_rules(), none);

    scenario idle = accepted_until_traffic_ends({"q", {{1, {}, false}}, 4});
    idle.at(10s).start(task("a"));
    idle.at(16s).end(task("a"), end_kind::failed);
    idle.at(20s).status("a", job_state::active);
    EXPECT_EQ(idle.broken_rules(), only(rule::job_lost));
}

// All tasks may have ended while the caller never learns that the job is
// completed.
TEST(soak_lost, done_job_never_shown_as_completed_is_reported)
{
    scenario events = accepted_until_traffic_ends();
    events.start(task("a")).end(task("a")).acknowledge(task("a"));
    events.at(20s).status("a", job_state::active);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

// A crash of another worker does not excuse a lost end, because the end could
// still be read from its own worker.
TEST(soak_lost,
     done_job_never_shown_as_completed_is_reported_despite_another_crash)
{
    scenario events = accepted_until_traffic_ends();
    events.start(task("a")).end(task("a")).observe(worker_crashed{"w2"});
    events.at(20s).status("a", job_state::active);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, active_state_is_allowed_after_a_lost_or_recent_end)
{
    scenario lost = accepted_until_traffic_ends();
    lost.start(task("a")).end(task("a")).observe(worker_crashed{"w1"});
    lost.at(20s).status("a", job_state::active);
    EXPECT_EQ(lost.broken_rules(), none);

    scenario recent = accepted_until_traffic_ends();
    recent.start(task("a")).at(17001ms).end(task("a"));
    recent.at(20s).status("a", job_state::active);
    EXPECT_EQ(recent.broken_rules(), none);
}

TEST(soak_lost, done_failed_and_cancelled_jobs_are_not_reported)
{
    scenario events;
    events.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    events.start(task("a")).end(task("a"));
    events.start(task("b")).end(task("b"), end_kind::failed);
    events.observe(cancel_ended{"c", call_outcome::done});
    events.at(5s).observe(traffic_ended{}).at(20s);
    events.status("a", job_state::completed).status("b", job_state::failed);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_lost, unstarted_step_after_a_long_running_step_is_allowed)
{
    scenario events = accepted_until_traffic_ends(
        {"q", {{1, {}, true}, {1, {0}, false}, {1, {1}, true}}, 1});
    events.start(task("a")).at(20s).status("a", job_state::active);
    EXPECT_EQ(events.broken_rules(), none);
}

// The first step may be done while the second is never started.
TEST(soak_lost, later_step_that_never_runs_is_reported)
{
    scenario events = accepted_until_traffic_ends(two_step_job());
    events.start(task("a")).end(task("a"));
    events.start(task("a", 0, 1)).end(task("a", 0, 1));
    events.at(20s).status("a", job_state::active);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

// A long-running task may end and never be started again.
TEST(soak_lost, long_running_task_that_is_not_restarted_is_reported)
{
    scenario events = accepted_until_traffic_ends(lasting_job());
    events.start(task("a")).end(task("a"));
    events.at(20s).status("a", job_state::active);
    EXPECT_EQ(events.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, long_running_task_that_has_just_ended_is_allowed)
{
    scenario events = accepted_until_traffic_ends(lasting_job());
    events.start(task("a"));
    events.at(12s).end(task("a"), end_kind::failed);
    events.at(20s).status("a", job_state::active);
    EXPECT_EQ(events.broken_rules(), none);
}

// A caller may get a refusal, which means that the call has no effect, while
// its job runs.
TEST(soak_refused, run_of_a_refused_job_is_reported)
{
    scenario after;
    after.submit("a", single_task_job(), call_outcome::refused)
        .start(task("a"));
    EXPECT_EQ(after.broken_rules(), only(rule::refused_job_ran));

    scenario before;
    before.observe(submit_sent{"a", single_task_job()}).start(task("a"));
    before.observe(submit_ended{"a", call_outcome::refused});
    EXPECT_EQ(before.broken_rules(), only(rule::refused_job_ran));
}

// Workers may get orders for jobs or tasks that were never submitted.
TEST(soak_refused, run_of_a_task_that_was_not_submitted_is_reported)
{
    scenario no_job;
    no_job.start(task("a"));
    EXPECT_EQ(no_job.broken_rules(), only(rule::refused_job_ran));

    scenario no_task;
    no_task.submit("a", single_task_job()).start(task("a", 0, 1));
    EXPECT_EQ(no_task.broken_rules(), only(rule::refused_job_ran));

    scenario no_occurrence;
    no_occurrence.submit("a", single_task_job()).start({"a", 1, 0, 0});
    EXPECT_EQ(no_occurrence.broken_rules(), only(rule::refused_job_ran));
}

// A job may run though it was submitted to a queue that does not exist.
TEST(soak_refused, run_of_a_job_of_an_absent_queue_is_reported)
{
    scenario events;
    events.submit("a", single_task_job(), call_outcome::not_found)
        .start(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::refused_job_ran));
}

TEST(soak_refused, run_is_allowed_if_one_submission_has_an_unknown_outcome)
{
    scenario unknown;
    unknown.submit("a", single_task_job(), call_outcome::refused);
    unknown.submit("a", single_task_job(), call_outcome::unknown)
        .start(task("a"));
    EXPECT_EQ(unknown.broken_rules(), none);

    scenario under_way;
    under_way.submit("a", single_task_job(), call_outcome::refused);
    under_way.observe(submit_sent{"a", single_task_job()}).start(task("a"));
    EXPECT_EQ(under_way.broken_rules(), none);
}

// A task may be started on a second worker while it still runs on the first.
TEST(soak_doubled, two_concurrent_runs_are_reported)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a"));
    events.at(1s).start(task("a"), 2, "w2");
    EXPECT_EQ(events.broken_rules(), only(rule::duplicate_run));
}

TEST(soak_doubled, new_run_after_a_crash_or_an_expired_lease_is_allowed)
{
    scenario events;
    events.submit("a", single_task_job())
        .start(task("a"))
        .observe(worker_crashed{"w1"});
    events.start(task("a"), 2, "w2")
        .end(task("a"), end_kind::lease_expired, 2, "w2");
    events.start(task("a"), 3, "w1");
    EXPECT_EQ(events.broken_rules(), none);
}

// A crash of one worker does not end the runs on another.
TEST(soak_doubled, concurrent_run_after_a_crash_of_another_worker_is_reported)
{
    scenario events;
    events.submit("a", single_task_job())
        .start(task("a"))
        .observe(worker_crashed{"w2"});
    events.start(task("a"), 2, "w2");
    EXPECT_EQ(events.broken_rules(), only(rule::duplicate_run));
}

// A durable end may be lost, so that the task runs again.
TEST(soak_doubled, start_after_an_acknowledged_end_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.acknowledge(task("a")).with_fault(1s, 2s);
    events.start(task("a"), 2, "w2");
    EXPECT_EQ(events.broken_rules(), only(rule::duplicate_run));
}

// A task may be started again after its end but before the acknowledgement,
// without a fault that would have hidden the end.
TEST(soak_doubled, start_between_an_end_and_its_acknowledgement_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.at(1s).start(task("a"), 2, "w2").at(2s).acknowledge(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::duplicate_run));
}

TEST(soak_doubled, start_after_an_end_that_no_instance_received_is_allowed)
{
    scenario crashed;
    crashed.submit("a", single_task_job()).start(task("a")).end(task("a"));
    crashed.observe(worker_crashed{"w1"}).start(task("a"), 2, "w2");
    EXPECT_EQ(crashed.broken_rules(), none);

    scenario cut_off;
    cut_off.submit("a", single_task_job()).start(task("a")).end(task("a"));
    cut_off.with_fault(0s, 9s).start(task("a"), 2, "w2").acknowledge(task("a"));
    EXPECT_EQ(cut_off.broken_rules(), none);
}

// Only the later of two ends was acknowledged, so the run that started between
// them is no duplicate. A checker that attributed the acknowledgement to the
// first end would report a violation of a correct system.
TEST(soak_doubled, start_between_a_lost_end_and_the_acknowledged_end_is_allowed)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.observe(worker_crashed{"w1"}).at(1s).start(task("a"), 2, "w2");
    events.at(2s).end(task("a"), end_kind::done, 2, "w2");
    events.acknowledge(task("a"), end_kind::done, 2, "w2");
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_doubled, new_run_of_a_done_long_running_task_is_allowed)
{
    scenario events;
    events.submit("a", lasting_job()).start(task("a")).end(task("a"));
    events.acknowledge(task("a")).start(task("a"), 2);
    EXPECT_EQ(events.broken_rules(), none);

    scenario expired;
    expired.submit("a", lasting_job()).start(task("a")).end(task("a"));
    expired.acknowledge_after_lease(task("a")).at(9s).start(task("a"), 2);
    EXPECT_EQ(expired.broken_rules(), none);
}

// Guards against an end that is acknowledged and not used: once it is, the task
// must not start, even if it had been taken for lost before.
TEST(soak_doubled, start_long_after_a_late_acknowledged_end_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.with_fault(0s, 9s).acknowledge_after_lease(task("a"));
    events.at(10001ms).start(task("a"), 2, "w2");
    EXPECT_EQ(events.broken_rules(), only(rule::duplicate_run));
}

// A later acknowledgement must not extend the time in which a start is allowed.
TEST(soak_doubled, time_since_a_late_end_counts_from_its_first_acknowledgement)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.start(task("a"), 2, "w2").end(task("a"), end_kind::done, 2, "w2");
    events.with_fault(0s, 9s).acknowledge_after_lease(task("a"));
    events.at(10s).acknowledge_after_lease(task("a"), end_kind::done, 2, "w2");
    events.at(10500ms).start(task("a"), 3);
    EXPECT_EQ(events.broken_rules(), only(rule::duplicate_run));
}

// Whoever started the task then may not have known of the end yet.
TEST(soak_doubled, start_around_a_late_acknowledged_end_is_allowed)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.with_fault(0s, 8s).start(task("a"), 2, "w2");
    events.end(task("a"), end_kind::lease_expired, 2, "w2");
    events.at(9s).acknowledge_after_lease(task("a"));
    events.at(10s).start(task("a"), 3, "w3");
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_doubled, start_after_a_late_acknowledged_failure_is_allowed)
{
    scenario events;
    events.submit("a", single_task_job(2)).start(task("a"));
    events.end(task("a"), end_kind::failed).with_fault(0s, 8s);
    events.acknowledge_after_lease(task("a"), end_kind::failed);
    events.at(12s).start(task("a"), 2, "w2");
    EXPECT_EQ(events.broken_rules(), none);
}

// A step may start while a task that it depends on is still running.
TEST(soak_order, start_before_the_earlier_step_is_done_is_reported)
{
    scenario events;
    events.submit("a", two_step_job()).start(task("a")).end(task("a"));
    events.start(task("a", 0, 1)).start(task("a", 1));
    EXPECT_EQ(events.broken_rules(), only(rule::step_order));
}

// A failed task may be counted as done, so that the dependent step starts.
TEST(soak_order, start_after_the_earlier_step_failed_is_reported)
{
    scenario events;
    events.submit("a", two_step_job()).start(task("a")).end(task("a"));
    events.start(task("a", 0, 1)).end(task("a", 0, 1), end_kind::failed);
    events.start(task("a", 1));
    EXPECT_EQ(events.broken_rules(), only(rule::step_order));
}

TEST(soak_order, start_once_the_earlier_step_is_done_is_allowed)
{
    scenario events;
    events.submit("a", two_step_job()).start(task("a")).end(task("a"));
    events.start(task("a", 0, 1)).end(task("a", 0, 1)).start(task("a", 1));
    EXPECT_EQ(events.broken_rules(), none);
}

// A task may be started again after it has used up its attempts.
TEST(soak_attempts, start_after_the_last_attempt_failed_is_reported)
{
    scenario events;
    events.submit("a", single_task_job(2));
    for (std::uint32_t attempt : {1U, 2U})
    {
        events.start(task("a"), attempt);
        events.end(task("a"), end_kind::failed, attempt);
        events.acknowledge(task("a"), end_kind::failed, attempt);
    }
    events.with_fault(1s, 2s).start(task("a"), 3);
    EXPECT_EQ(events.broken_rules(), only(rule::attempt_limit));
}

// A task may be started again after its last failure but before the
// acknowledgement.
TEST(soak_attempts,
     start_between_the_last_failure_and_its_acknowledgement_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a"));
    events.end(task("a"), end_kind::failed).at(1s).start(task("a"), 2);
    events.at(2s).acknowledge(task("a"), end_kind::failed);
    EXPECT_EQ(events.broken_rules(), only(rule::attempt_limit));
}

TEST(soak_attempts, only_acknowledged_failures_use_up_attempts)
{
    scenario events;
    events.submit("a", single_task_job(2)).start(task("a"));
    events.end(task("a"), end_kind::failed);
    events.acknowledge(task("a"), end_kind::failed);
    events.start(task("a"), 2).end(task("a"), end_kind::stopped, 2);
    events.acknowledge(task("a"), end_kind::stopped, 2);
    events.start(task("a"), 3).end(task("a"), end_kind::failed, 3);
    events.observe(worker_crashed{"w1"}).start(task("a"), 4);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_attempts, lost_failure_does_not_use_up_an_attempt)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a"));
    events.end(task("a"), end_kind::failed).observe(worker_crashed{"w1"});
    events.at(1s).start(task("a"), 2).at(2s);
    events.end(task("a"), end_kind::failed, 2);
    events.acknowledge(task("a"), end_kind::failed, 2);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_attempts, new_run_of_a_failed_long_running_task_is_allowed)
{
    scenario events;
    events.submit("a", lasting_job()).start(task("a"));
    events.end(task("a"), end_kind::failed);
    events.acknowledge(task("a"), end_kind::failed).start(task("a"), 2);
    EXPECT_EQ(events.broken_rules(), none);
}

// An acknowledged cancel may be lost, so that tasks of the job still start.
TEST(soak_cancelled, start_too_long_after_the_cancel_is_reported)
{
    scenario events = cancelled();
    events.at(4001ms).start(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, start_soon_after_the_cancel_is_allowed)
{
    scenario events = cancelled();
    events.at(4s).start(task("a")).at(4400ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_cancelled, start_after_the_cancel_is_allowed_during_a_fault)
{
    scenario events = cancelled();
    events.with_fault(2s, 3s).at(4001ms).start(task("a"));
    EXPECT_EQ(events.broken_rules(), none);
}

// A cancel may be acknowledged without stopping the active runs.
TEST(soak_cancelled, run_that_continues_after_the_cancel_is_reported)
{
    scenario ended;
    ended.submit("a", lasting_job()).start(task("a"));
    ended.at(1s).observe(cancel_ended{"a", call_outcome::done});
    ended.at(4401ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(ended.broken_rules(), only(rule::ran_after_cancel));

    scenario still_running;
    still_running.submit("a", lasting_job()).start(task("a"));
    still_running.at(1s).observe(cancel_ended{"a", call_outcome::done});
    EXPECT_EQ(still_running.at(4401ms).broken_rules(),
              only(rule::ran_after_cancel));
}

// A run that could not be stopped during a fault may continue forever.
TEST(soak_cancelled, run_that_continues_after_a_fault_is_reported)
{
    scenario events;
    events.submit("a", lasting_job()).start(task("a"));
    events.at(1s)
        .observe(cancel_ended{"a", call_outcome::done})
        .with_fault(2s, 4s);
    EXPECT_EQ(events.at(10401ms).broken_rules(), only(rule::ran_after_cancel));
}

// A fault that begins after the time limit does not excuse a run that was not
// stopped.
TEST(soak_cancelled, run_that_continues_until_a_late_fault_is_reported)
{
    scenario events;
    events.submit("a", lasting_job()).start(task("a"));
    events.at(1s)
        .observe(cancel_ended{"a", call_outcome::done})
        .with_fault(4402ms, 5s);
    events.end(task("a"), end_kind::stopped);
    EXPECT_EQ(events.broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, run_that_stops_in_time_or_during_a_fault_is_allowed)
{
    scenario in_time;
    in_time.submit("a", lasting_job()).start(task("a"));
    in_time.at(1s).observe(cancel_ended{"a", call_outcome::done});
    in_time.at(4400ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(in_time.broken_rules(), none);

    scenario with_fault_active;
    with_fault_active.submit("a", lasting_job()).start(task("a"));
    with_fault_active.at(1s)
        .observe(cancel_ended{"a", call_outcome::done})
        .with_fault(2s, 4s);
    EXPECT_EQ(with_fault_active.at(10400ms).broken_rules(), none);
}

// A run from an order that was delayed beyond the cancel may never be stopped.
TEST(soak_cancelled, run_that_started_late_and_continues_is_reported)
{
    scenario events = cancelled();
    events.with_fault(2s, 8s).at(12s).start(task("a"));
    EXPECT_EQ(events.at(18401ms).broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, run_that_started_late_may_continue_within_the_time_limit)
{
    scenario events = cancelled();
    events.with_fault(2s, 8s).at(12s).start(task("a"));
    EXPECT_EQ(events.at(18400ms).broken_rules(), none);
}

// A cancel without an answer may still have been received and must take effect.
TEST(soak_cancelled, start_after_an_unanswered_cancel_is_reported)
{
    scenario events;
    events.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::timed_out});
    events.at(7001ms).start(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, start_after_a_cancel_that_may_not_have_arrived_is_allowed)
{
    scenario refused;
    refused.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::refused});
    refused.at(7001ms).start(task("a"));
    EXPECT_EQ(refused.broken_rules(), none);

    scenario with_fault_active;
    with_fault_active.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::timed_out});
    with_fault_active.with_fault(1s, 2s).at(15s).start(task("a"));
    EXPECT_EQ(with_fault_active.broken_rules(), none);

    scenario in_time;
    in_time.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::timed_out});
    in_time.at(7s).start(task("a"));
    EXPECT_EQ(in_time.broken_rules(), none);
}

// A task may be placed on a worker that is draining.
TEST(soak_drain, start_on_a_draining_worker_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).observe(worker_draining{"w1"});
    events.at(2001ms).start(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::drain));
}

// A fault must suspend the check only temporarily.
TEST(soak_drain, start_on_a_draining_worker_long_after_a_fault_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).observe(worker_draining{"w1"});
    events.with_fault(1s, 2s).at(7s).start(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::drain));
}

TEST(soak_drain, start_on_a_draining_worker_just_after_a_fault_is_allowed)
{
    scenario events;
    events.submit("a", single_task_job()).observe(worker_draining{"w1"});
    events.with_fault(1s, 2s).at(6999ms).start(task("a"));
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_drain,
     start_in_time_in_a_fault_elsewhere_or_after_a_restart_is_allowed)
{
    scenario soon;
    soon.submit("a", single_task_job()).observe(worker_draining{"w1"});
    soon.at(2s).start(task("a"));
    EXPECT_EQ(soon.broken_rules(), none);

    scenario with_fault_active;
    with_fault_active.submit("a", single_task_job())
        .observe(worker_draining{"w1"});
    with_fault_active.with_fault(1s, 1500ms).at(2001ms).start(task("a"));
    EXPECT_EQ(with_fault_active.broken_rules(), none);

    scenario elsewhere;
    elsewhere.submit("a", single_task_job()).observe(worker_draining{"w1"});
    elsewhere.at(2001ms).start(task("a"), 1, "w2");
    EXPECT_EQ(elsewhere.broken_rules(), none);

    scenario restarted;
    restarted.submit("a", single_task_job()).observe(worker_draining{"w1"});
    restarted.observe(worker_crashed{"w1"}).at(2001ms).start(task("a"));
    EXPECT_EQ(restarted.broken_rules(), none);
}

// The evacuation of a data centre may be lost.
TEST(soak_data_centre, start_in_an_evacuated_data_centre_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).observe(data_centre_set{"dc1", true});
    events.at(5001ms).start(task("a"));
    EXPECT_EQ(events.broken_rules(), only(rule::data_centre));
}

TEST(soak_data_centre,
     start_in_time_in_a_fault_elsewhere_or_after_the_evacuation_is_allowed)
{
    scenario soon;
    soon.submit("a", single_task_job()).observe(data_centre_set{"dc1", true});
    soon.at(5s).start(task("a"));
    EXPECT_EQ(soon.broken_rules(), none);

    scenario with_fault_active;
    with_fault_active.submit("a", single_task_job())
        .observe(data_centre_set{"dc1", true});
    with_fault_active.with_fault(1s, 2s).at(5001ms).start(task("a"));
    EXPECT_EQ(with_fault_active.broken_rules(), none);

    scenario elsewhere;
    elsewhere.submit("a", single_task_job())
        .observe(data_centre_set{"dc1", true});
    elsewhere.at(5001ms).start(task("a"), 1, "w1", "dc2");
    EXPECT_EQ(elsewhere.broken_rules(), none);

    scenario evacuation_ended;
    evacuation_ended.submit("a", single_task_job())
        .observe(data_centre_set{"dc1", true});
    evacuation_ended.at(5s).observe(data_centre_set{"dc1", false});
    evacuation_ended.at(5001ms).start(task("a"));
    EXPECT_EQ(evacuation_ended.broken_rules(), none);
}

// An instance may not apply a new configuration.
TEST(soak_configuration,
     outdated_configuration_after_the_time_limit_is_reported)
{
    scenario removed = two_configurations();
    EXPECT_EQ(removed.at(62001ms).queue_shown("b", true).broken_rules(),
              only(rule::configuration));

    scenario added;
    added.observe(configuration_set{1, {"a"}})
        .at(2001ms)
        .queue_shown("a", false);
    EXPECT_EQ(added.broken_rules(), only(rule::configuration));
}

TEST(soak_configuration,
     outdated_configuration_in_time_or_during_a_fault_is_allowed)
{
    scenario in_time = two_configurations();
    EXPECT_EQ(in_time.at(62s).queue_shown("b", true).broken_rules(), none);

    scenario with_fault_active = two_configurations();
    with_fault_active.with_fault(61s, 61500ms)
        .at(62001ms)
        .queue_shown("b", true);
    EXPECT_EQ(with_fault_active.broken_rules(), none);
}

// A process may revert to an older configuration than it has already used.
TEST(soak_configuration,
     incarnation_that_reverts_is_reported_even_during_a_fault)
{
    scenario calm = two_configurations();
    calm.at(60500ms).queue_shown("b", false).at(60751ms).queue_shown("b", true);
    EXPECT_EQ(calm.broken_rules(), only(rule::configuration));

    scenario with_fault_active = two_configurations();
    with_fault_active.observe(fault_state_set{"link", true});
    with_fault_active.at(60500ms)
        .queue_shown("b", false)
        .at(62501ms)
        .queue_shown("b", true);
    EXPECT_EQ(with_fault_active.broken_rules(), only(rule::configuration));
}

TEST(soak_configuration, reordered_answers_or_another_incarnation_are_allowed)
{
    scenario reordered = two_configurations();
    reordered.at(60500ms)
        .queue_shown("b", false)
        .at(60750ms)
        .queue_shown("b", true);
    EXPECT_EQ(reordered.broken_rules(), none);

    scenario restarted = two_configurations();
    restarted.at(60500ms)
        .queue_shown("b", false)
        .at(61s)
        .queue_shown("b", true, 2);
    EXPECT_EQ(restarted.broken_rules(), none);

    scenario reordered_in_fault = two_configurations();
    reordered_in_fault.observe(fault_state_set{"link", true});
    reordered_in_fault.at(60500ms).queue_shown("b", false);
    reordered_in_fault.at(62500ms).queue_shown("b", true);
    EXPECT_EQ(reordered_in_fault.broken_rules(), none);
}

// An instance may report a queue that no configuration ever contained.
TEST(soak_configuration, queue_that_never_existed_is_reported)
{
    scenario events = two_configurations();
    EXPECT_EQ(events.at(70s).queue_shown("c", true).broken_rules(),
              only(rule::configuration));
}

TEST(soak_configuration,
     new_configuration_applied_before_the_operator_gets_the_answer_is_allowed)
{
    scenario events;
    events.observe(configuration_set{1, {"a"}}).at(10s).queue_shown("b", true);
    events.at(10250ms).observe(configuration_set{2, {"a", "b"}});
    EXPECT_EQ(events.broken_rules(), none);
}

// Waiting jobs may be missing from the reported count.
TEST(soak_counts, count_below_half_of_the_waiting_jobs_is_reported)
{
    scenario events;
    events.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    EXPECT_EQ(events.at(5001ms).waiting(1).broken_rules(),
              only(rule::waiting_count));
}

TEST(soak_counts, count_may_omit_recent_started_and_cancelled_jobs)
{
    scenario recent;
    recent.submit("a", single_task_job()).at(5s).waiting(0);
    EXPECT_EQ(recent.broken_rules(), none);

    scenario half;
    half.submit("a", single_task_job())
        .submit("b", single_task_job())
        .at(5001ms)
        .waiting(1);
    EXPECT_EQ(half.broken_rules(), none);

    scenario others;
    others.submit("a", single_task_job()).submit("b", single_task_job());
    others.at(5001ms).waiting(0);
    others.at(5251ms).start(task("a"));
    others.observe(cancel_ended{"b", call_outcome::done});
    EXPECT_EQ(others.broken_rules(), none);

    scenario with_fault_active;
    with_fault_active.submit("a", single_task_job()).with_fault(1s, 2s);
    EXPECT_EQ(with_fault_active.at(5001ms).waiting(0).broken_rules(), none);
}

// A caller that sees a job as completed too early would fetch missing results.
TEST(soak_state, completed_before_all_tasks_are_done_is_reported)
{
    scenario events;
    events.submit("a", two_step_job()).start(task("a")).end(task("a"));
    events.with_fault(1s, 2s).status("a", job_state::completed);
    EXPECT_EQ(events.broken_rules(), only(rule::reported_state));
}

// A long-running job ends only by a cancel and must never be reported as
// completed.
TEST(soak_state, completed_long_running_job_is_reported)
{
    scenario events;
    events.submit("a", lasting_job()).start(task("a")).end(task("a"));
    EXPECT_EQ(events.status("a", job_state::completed).broken_rules(),
              only(rule::reported_state));
}

// Ends other than failures may wrongly use up the attempts of a task.
TEST(soak_state, failed_with_attempts_left_is_reported)
{
    scenario events;
    events.submit("a", single_task_job(2)).start(task("a"));
    events.end(task("a"), end_kind::failed);
    events.start(task("a"), 2).end(task("a"), end_kind::lease_expired, 2);
    EXPECT_EQ(events.status("a", job_state::failed).broken_rules(),
              only(rule::reported_state));
}

// A long-running task has no attempt limit, so its job can never fail.
TEST(soak_state, failed_long_running_job_is_reported)
{
    scenario events;
    events.submit("a", lasting_job()).start(task("a"));
    events.end(task("a"), end_kind::failed);
    EXPECT_EQ(events.status("a", job_state::failed).broken_rules(),
              only(rule::reported_state));
}

// A job may be reported as cancelled though no cancel took effect.
TEST(soak_state, cancelled_without_a_cancel_is_reported)
{
    scenario events;
    events.submit("a", single_task_job()).status("a", job_state::cancelled);
    events.observe(cancel_ended{"a", call_outcome::refused});
    EXPECT_EQ(events.broken_rules(), only(rule::reported_state));
}

// A state may be reported for a job that was never submitted.
TEST(soak_state, state_of_a_job_that_was_not_submitted_is_reported)
{
    scenario events;
    events.status("a", job_state::queued).at(1s).submit("a", single_task_job());
    EXPECT_EQ(events.broken_rules(), only(rule::reported_state));
}

TEST(soak_state, states_that_match_the_runs_are_allowed)
{
    scenario events;
    events.submit("a", single_task_job()).start(task("a")).end(task("a"));
    events.status("a", job_state::completed);
    events.submit("b", single_task_job()).start(task("b"));
    events.end(task("b"), end_kind::failed).status("b", job_state::failed);
    events.submit("c", single_task_job()).status("c", job_state::cancelled);
    events.at(9s).observe(cancel_ended{"c", call_outcome::timed_out});
    events.status("d", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(events.broken_rules(), none);
}

namespace
{

/// Submits twelve jobs with this outcome, the minimum number of calls that the
/// check evaluates.
void submit_twelve(scenario& events, std::string const& name, call_outcome how)
{
    for (int count = 0; count < 12; ++count)
    {
        events.submit(name + std::to_string(count), single_task_job(), how);
    }
}

/// Returns a scenario with calls, a fault from 1 s to 2 s, and calls at `at`.
scenario calls(call_outcome before, duration at, call_outcome after)
{
    scenario events;
    submit_twelve(events, "before", before);
    events.with_fault(1s, 2s).at(at);
    submit_twelve(events, "after", after);
    return events;
}

} // namespace

// Submissions may still be refused long after the last fault.
TEST(soak_recovery, refused_submissions_long_after_a_fault_are_reported)
{
    scenario events = calls(call_outcome::done, 14001ms, call_outcome::refused);
    EXPECT_EQ(events.broken_rules(), only(rule::recovery));
}

// Queries may stay unanswered long after the last fault.
TEST(soak_recovery, unanswered_queries_long_after_a_fault_are_reported)
{
    scenario events;
    for (int count = 0; count < 12; ++count)
    {
        events.status("a", job_state::queued, call_outcome::not_found);
    }
    events.with_fault(1s, 2s).at(14001ms);
    for (int count = 0; count < 12; ++count)
    {
        events.status("a", job_state::queued, call_outcome::timed_out);
    }
    EXPECT_EQ(events.broken_rules(), only(rule::recovery));
}

// A few accepted submissions must not hide that most are refused.
TEST(soak_recovery, less_than_a_quarter_served_long_after_a_fault_is_reported)
{
    scenario events = calls(call_outcome::done, 14001ms, call_outcome::refused);
    events.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    EXPECT_EQ(events.broken_rules(), only(rule::recovery));
}

TEST(soak_recovery, a_quarter_served_long_after_a_fault_is_allowed)
{
    scenario events = calls(call_outcome::done, 14001ms, call_outcome::refused);
    events.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    EXPECT_EQ(events.submit("d", single_task_job()).broken_rules(), none);
}

TEST(soak_recovery, refusals_soon_after_a_fault_or_also_before_it_are_allowed)
{
    EXPECT_EQ(
        calls(call_outcome::done, 14s, call_outcome::refused).broken_rules(),
        none);
    EXPECT_EQ(
        calls(call_outcome::refused, 15s, call_outcome::refused).broken_rules(),
        none);
}

TEST(soak_recovery, refusals_during_an_active_fault_are_allowed)
{
    scenario events = calls(call_outcome::done, 14001ms, call_outcome::refused);
    events.observe(fault_state_set{"link", true});
    submit_twelve(events, "in_trouble", call_outcome::refused);
    submit_twelve(events, "later", call_outcome::refused);
    submit_twelve(events, "still", call_outcome::refused);
    EXPECT_EQ(events.broken_rules(), none);
}

namespace
{

// Starts the task and lets it crash its worker, `times` times.
void crash(scenario& events,
           fuchsia::ports::task_name const& crashing,
           int times)
{
    for (int number = 0; number < times; ++number)
    {
        events.start(crashing).observe(worker_crashed{"w1", crashing});
    }
}

job_shape two_task_job()
{
    return {"q", {{2, {}, false}}, 1};
}

} // namespace

TEST(soak_crashes, the_third_start_after_three_crashes_is_reported)
{
    scenario allowed;
    allowed.submit("a", single_task_job());
    crash(allowed, task("a"), 5);
    EXPECT_EQ(allowed.broken_rules(), none);

    scenario events;
    events.submit("a", single_task_job());
    crash(events, task("a"), 6);
    EXPECT_EQ(events.broken_rules(), only(rule::crash_budget));
}

// The limit is for instances in touch, and for crashes by the task itself.
TEST(soak_crashes, starts_during_faults_and_other_crashes_do_not_count)
{
    scenario faulty;
    faulty.submit("a", single_task_job());
    faulty.observe(fault_state_set{"link", true});
    crash(faulty, task("a"), 9);
    EXPECT_EQ(faulty.broken_rules(), none);

    scenario bystander;
    bystander.submit("a", single_task_job());
    for (int number = 0; number < 9; ++number)
    {
        bystander.start(task("a")).observe(worker_crashed{"w1"});
    }
    EXPECT_EQ(bystander.broken_rules(), none);
}

TEST(soak_crashes, failed_needs_two_crashes_by_a_task_of_the_job)
{
    scenario early;
    early.submit("a", single_task_job());
    crash(early, task("a"), 1);
    early.status("a", job_state::failed);
    EXPECT_EQ(early.broken_rules(), only(rule::reported_state));

    scenario bystander;
    bystander.submit("a", single_task_job());
    for (int number = 0; number < 3; ++number)
    {
        bystander.start(task("a")).observe(worker_crashed{"w1"});
    }
    bystander.status("a", job_state::failed);
    EXPECT_EQ(bystander.broken_rules(), only(rule::reported_state));

    scenario events;
    events.submit("a", single_task_job());
    crash(events, task("a"), 2);
    events.status("a", job_state::failed);
    EXPECT_EQ(events.broken_rules(), none);
}

TEST(soak_capacity, start_beyond_the_capacity_is_reported)
{
    scenario events;
    events.observe(capacity_set{"w1", 1000}).submit("a", two_task_job());
    events.at(10s).start(task("a")).start(task("a", 0, 1));
    EXPECT_EQ(events.broken_rules(), only(rule::capacity));
}

// A shrunk capacity counts after the stable window and a heartbeat.
TEST(soak_capacity, shrunk_capacity_counts_after_its_grace)
{
    for (auto const& [wait, broken] :
         {std::pair{4s, false}, std::pair{5s, true}})
    {
        scenario events;
        events.observe(capacity_set{"w1", 2000}).submit("a", two_task_job());
        events.at(20s).observe(capacity_set{"w1", 1000});
        events.at(20s + wait).start(task("a")).start(task("a", 0, 1));
        EXPECT_EQ(events.broken_rules(), broken ? only(rule::capacity) : none);
    }
}

// What ended leaves its capacity; a worker that came back has another one.
TEST(soak_capacity, ended_runs_and_new_incarnations_leave_capacity)
{
    scenario ended;
    ended.observe(capacity_set{"w1", 1000}).submit("a", two_task_job());
    ended.at(10s).start(task("a")).end(task("a")).start(task("a", 0, 1));
    EXPECT_EQ(ended.broken_rules(), none);

    scenario restarted;
    restarted.observe(capacity_set{"w1", 1000}).submit("a", two_task_job());
    restarted.at(10s).observe(worker_crashed{"w1"});
    restarted.start(task("a")).start(task("a", 0, 1));
    EXPECT_EQ(restarted.broken_rules(), none);
}
