#include "scenario.hpp"

#include <gtest/gtest.h>

using namespace fuchsia::tests::unit::soak;

namespace
{

std::set<rule> const none;

std::set<rule> only(rule which)
{
    return {which};
}

/// An accepted job, and the end of the traffic 5 s later.
scenario accepted_until_traffic_ends(job_shape const& shape = single_task_job())
{
    scenario seen;
    seen.submit("a", shape);
    seen.at(5s).observe(traffic_ended{});
    return seen;
}

scenario cancelled(job_shape const& shape = lasting_job())
{
    scenario seen;
    seen.submit("a", shape);
    seen.at(1s).observe(cancel_ended{"a", call_outcome::done});
    return seen;
}

/// Two queues from the begin on; `b` goes a minute later.
scenario two_configurations()
{
    scenario seen;
    seen.observe(configuration_set{1, {"a", "b"}}).queue_shown("b", true);
    seen.at(60s).observe(configuration_set{2, {"a"}});
    return seen;
}

} // namespace

// An instance forgets a job whose submission it acknowledged.
TEST(soak_lost, accepted_job_is_unknown_after_a_while)
{
    scenario seen;
    seen.submit("a", single_task_job());
    seen.at(3001ms).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, an_instance_may_not_know_a_job_yet)
{
    scenario seen;
    seen.submit("a", single_task_job());
    seen.at(3s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_lost, an_instance_may_not_know_a_job_in_trouble)
{
    scenario seen;
    seen.submit("a", single_task_job()).with_fault(500ms, 600ms);
    seen.at(3001ms).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_lost, a_job_that_ended_long_ago_may_be_forgotten)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a")).end(task("a"));
    seen.at(121s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_lost, a_cancelled_or_unaccepted_job_may_be_unknown)
{
    scenario seen;
    seen.submit("a", single_task_job())
        .submit("b", single_task_job(), call_outcome::timed_out);
    seen.observe(cancel_ended{"a", call_outcome::timed_out});
    seen.at(9s).status("a", job_state::queued, call_outcome::not_found);
    seen.status("b", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), none);
}

// What was accepted is gone once all trouble is over.
TEST(soak_lost, accepted_job_is_unknown_at_the_end_even_after_trouble)
{
    scenario seen = accepted_until_traffic_ends();
    seen.with_fault(6s, 19s);
    seen.at(20s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

// A job that no instance answers for is as good as lost.
TEST(soak_lost, accepted_job_gets_no_answer_at_the_end)
{
    scenario seen = accepted_until_traffic_ends();
    seen.start(task("a")).end(task("a"));
    seen.at(20s).status("a", job_state::queued, call_outcome::timed_out);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

// A job is kept, and never run.
TEST(soak_lost, accepted_job_is_never_done)
{
    scenario seen = accepted_until_traffic_ends();
    seen.at(20s).status("a", job_state::queued);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, accepted_job_has_time_to_be_done)
{
    scenario early = accepted_until_traffic_ends();
    early.at(19s).status("a", job_state::queued);
    EXPECT_EQ(early.broken_rules(), none);

    scenario troubled = accepted_until_traffic_ends();
    troubled.with_fault(6s, 7s).at(20s).status("a", job_state::queued);
    EXPECT_EQ(troubled.broken_rules(), none);
}

// A job whose long attempts fail one after the other is not idle.
TEST(soak_lost, job_with_a_run_at_work_is_not_never_done)
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

// All tasks ended, and the job's owner is never told.
TEST(soak_lost, done_job_is_never_shown_as_completed)
{
    scenario seen = accepted_until_traffic_ends();
    seen.start(task("a")).end(task("a")).acknowledge(task("a"));
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

// A crash elsewhere is no excuse for an end that was there to be heard.
TEST(soak_lost, done_job_is_never_shown_as_completed_after_another_crash)
{
    scenario seen = accepted_until_traffic_ends();
    seen.start(task("a")).end(task("a")).observe(worker_crashed{"w2"});
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, job_whose_end_was_lost_or_is_news_may_be_shown_as_active)
{
    scenario lost = accepted_until_traffic_ends();
    lost.start(task("a")).end(task("a")).observe(worker_crashed{"w1"});
    lost.at(20s).status("a", job_state::active);
    EXPECT_EQ(lost.broken_rules(), none);

    scenario news = accepted_until_traffic_ends();
    news.start(task("a")).at(17001ms).end(task("a"));
    news.at(20s).status("a", job_state::active);
    EXPECT_EQ(news.broken_rules(), none);
}

TEST(soak_lost, done_failed_and_cancelled_jobs_are_served)
{
    scenario seen;
    seen.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    seen.start(task("a")).end(task("a"));
    seen.start(task("b")).end(task("b"), end_kind::failed);
    seen.observe(cancel_ended{"c", call_outcome::done});
    seen.at(5s).observe(traffic_ended{}).at(20s);
    seen.status("a", job_state::completed).status("b", job_state::failed);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_lost, step_behind_a_lasting_one_is_not_owed)
{
    scenario seen = accepted_until_traffic_ends(
        {"q", {{1, {}, true}, {1, {0}, false}, {1, {1}, true}}, 1});
    seen.start(task("a")).at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken_rules(), none);
}

// The first step is done, and the second is left out.
TEST(soak_lost, later_step_is_never_done)
{
    scenario seen = accepted_until_traffic_ends(two_step_job());
    seen.start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).end(task("a", 0, 1));
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

// A task that lasts ends and stays away.
TEST(soak_lost, lasting_task_is_not_started_again)
{
    scenario seen = accepted_until_traffic_ends(lasting_job());
    seen.start(task("a")).end(task("a"));
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken_rules(), only(rule::job_lost));
}

TEST(soak_lost, lasting_task_runs_or_has_just_ended)
{
    scenario seen = accepted_until_traffic_ends(lasting_job());
    seen.start(task("a"));
    seen.at(12s).end(task("a"), end_kind::failed);
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken_rules(), none);
}

// A caller is told that nothing was done, and it is done.
TEST(soak_refused, refused_job_runs)
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

// Workers are told to run what nobody asked for.
TEST(soak_refused, task_that_nobody_submitted_runs)
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

// A job is handed in to a queue that isn't there, and runs.
TEST(soak_refused, job_of_an_absent_queue_runs)
{
    scenario seen;
    seen.submit("a", single_task_job(), call_outcome::not_found)
        .start(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::refused_job_ran));
}

TEST(soak_refused, job_with_one_caller_in_doubt_may_run)
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

// A task is started on a second worker while the first works on it.
TEST(soak_doubled, two_runs_at_once)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a"));
    seen.at(1s).start(task("a"), 2, "w2");
    EXPECT_EQ(seen.broken_rules(), only(rule::duplicate_run));
}

TEST(soak_doubled, another_run_after_a_crash_or_an_end)
{
    scenario seen;
    seen.submit("a", single_task_job())
        .start(task("a"))
        .observe(worker_crashed{"w1"});
    seen.start(task("a"), 2, "w2")
        .end(task("a"), end_kind::lease_expired, 2, "w2");
    seen.start(task("a"), 3, "w1");
    EXPECT_EQ(seen.broken_rules(), none);
}

// A crash of one worker says nothing of the runs on another.
TEST(soak_doubled, run_beside_one_that_another_workers_crash_left)
{
    scenario seen;
    seen.submit("a", single_task_job())
        .start(task("a"))
        .observe(worker_crashed{"w2"});
    seen.start(task("a"), 2, "w2");
    EXPECT_EQ(seen.broken_rules(), only(rule::duplicate_run));
}

// An end that was written down is forgotten, and the work done once more.
TEST(soak_doubled, start_after_an_acknowledged_end)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a")).end(task("a"));
    seen.acknowledge(task("a")).with_fault(1s, 2s);
    seen.start(task("a"), 2, "w2");
    EXPECT_EQ(seen.broken_rules(), only(rule::duplicate_run));
}

// The end is acknowledged, but after the task was started again.
TEST(soak_doubled, start_between_an_end_and_its_acknowledgement)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a")).end(task("a"));
    seen.at(1s).start(task("a"), 2, "w2").at(2s).acknowledge(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::duplicate_run));
}

TEST(soak_doubled, start_after_an_end_that_nobody_heard_of)
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

// Only the later of two ends was heard of: what began between the two is no
// second run. (An observer who took the first for the one acknowledged would
// blame the system.)
TEST(soak_doubled, start_between_a_lost_end_and_the_one_acknowledged)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a")).end(task("a"));
    seen.observe(worker_crashed{"w1"}).at(1s).start(task("a"), 2, "w2");
    seen.at(2s).end(task("a"), end_kind::done, 2, "w2");
    seen.acknowledge(task("a"), end_kind::done, 2, "w2");
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_doubled, lasting_task_starts_again_however_it_ended)
{
    scenario seen;
    seen.submit("a", lasting_job()).start(task("a")).end(task("a"));
    seen.acknowledge(task("a")).start(task("a"), 2);
    EXPECT_EQ(seen.broken_rules(), none);
}

// A step begins while a task that it builds upon is still at work.
TEST(soak_order, start_before_the_earlier_step_is_done)
{
    scenario seen;
    seen.submit("a", two_step_job()).start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).start(task("a", 1));
    EXPECT_EQ(seen.broken_rules(), only(rule::step_order));
}

// A failed task counts as done.
TEST(soak_order, start_after_the_earlier_step_failed)
{
    scenario seen;
    seen.submit("a", two_step_job()).start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).end(task("a", 0, 1), end_kind::failed);
    seen.start(task("a", 1));
    EXPECT_EQ(seen.broken_rules(), only(rule::step_order));
}

TEST(soak_order, start_once_the_earlier_step_is_done)
{
    scenario seen;
    seen.submit("a", two_step_job()).start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).end(task("a", 0, 1)).start(task("a", 1));
    EXPECT_EQ(seen.broken_rules(), none);
}

// A task that failed for good is tried again.
TEST(soak_attempts, start_after_the_last_attempt_failed)
{
    scenario seen;
    seen.submit("a", single_task_job(2));
    for (std::uint32_t attempt : {1U, 2U})
    {
        seen.start(task("a"), attempt);
        seen.end(task("a"), end_kind::failed, attempt);
        seen.acknowledge(task("a"), end_kind::failed, attempt);
    }
    seen.with_fault(1s, 2s).start(task("a"), 3);
    EXPECT_EQ(seen.broken_rules(), only(rule::attempt_limit));
}

// The last failure is acknowledged, but after another start.
TEST(soak_attempts, start_between_the_last_failure_and_its_acknowledgement)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a"));
    seen.end(task("a"), end_kind::failed).at(1s).start(task("a"), 2);
    seen.at(2s).acknowledge(task("a"), end_kind::failed);
    EXPECT_EQ(seen.broken_rules(), only(rule::attempt_limit));
}

TEST(soak_attempts, only_failures_that_were_heard_of_count)
{
    scenario seen;
    seen.submit("a", single_task_job(2)).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    seen.acknowledge(task("a"), end_kind::failed);
    seen.start(task("a"), 2).end(task("a"), end_kind::stopped, 2);
    seen.acknowledge(task("a"), end_kind::stopped, 2);
    seen.start(task("a"), 3).end(task("a"), end_kind::failed, 3);
    seen.observe(worker_crashed{"w1"}).start(task("a"), 4);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_attempts, lost_failure_is_not_the_last_one)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a"));
    seen.end(task("a"), end_kind::failed).observe(worker_crashed{"w1"});
    seen.at(1s).start(task("a"), 2).at(2s);
    seen.end(task("a"), end_kind::failed, 2);
    seen.acknowledge(task("a"), end_kind::failed, 2);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_attempts, lasting_task_may_fail_at_any_time)
{
    scenario seen;
    seen.submit("a", lasting_job()).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    seen.acknowledge(task("a"), end_kind::failed).start(task("a"), 2);
    EXPECT_EQ(seen.broken_rules(), none);
}

// A cancel is acknowledged and then forgotten.
TEST(soak_cancelled, start_too_long_after_the_cancel)
{
    scenario seen = cancelled();
    seen.at(4001ms).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, start_soon_after_the_cancel)
{
    scenario seen = cancelled();
    seen.at(4s).start(task("a")).at(4400ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_cancelled, start_after_the_cancel_in_trouble)
{
    scenario seen = cancelled();
    seen.with_fault(2s, 3s).at(4001ms).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), none);
}

// What runs is never told to stop.
TEST(soak_cancelled, run_goes_on_after_the_cancel)
{
    scenario ended;
    ended.submit("a", lasting_job()).start(task("a"));
    ended.at(1s).observe(cancel_ended{"a", call_outcome::done});
    ended.at(4401ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(ended.broken_rules(), only(rule::ran_after_cancel));

    scenario still_there;
    still_there.submit("a", lasting_job()).start(task("a"));
    still_there.at(1s).observe(cancel_ended{"a", call_outcome::done});
    EXPECT_EQ(still_there.at(4401ms).broken_rules(),
              only(rule::ran_after_cancel));
}

// A run that trouble shielded goes on for good.
TEST(soak_cancelled, run_goes_on_after_trouble)
{
    scenario seen;
    seen.submit("a", lasting_job()).start(task("a"));
    seen.at(1s)
        .observe(cancel_ended{"a", call_outcome::done})
        .with_fault(2s, 4s);
    EXPECT_EQ(seen.at(10401ms).broken_rules(), only(rule::ran_after_cancel));
}

// Trouble that begins after the time limit is no excuse.
TEST(soak_cancelled, run_goes_on_until_trouble)
{
    scenario seen;
    seen.submit("a", lasting_job()).start(task("a"));
    seen.at(1s)
        .observe(cancel_ended{"a", call_outcome::done})
        .with_fault(4402ms, 5s);
    seen.end(task("a"), end_kind::stopped);
    EXPECT_EQ(seen.broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, run_stops_in_time_or_in_trouble)
{
    scenario in_time;
    in_time.submit("a", lasting_job()).start(task("a"));
    in_time.at(1s).observe(cancel_ended{"a", call_outcome::done});
    in_time.at(4400ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(in_time.broken_rules(), none);

    scenario troubled;
    troubled.submit("a", lasting_job()).start(task("a"));
    troubled.at(1s)
        .observe(cancel_ended{"a", call_outcome::done})
        .with_fault(2s, 4s);
    EXPECT_EQ(troubled.at(10400ms).broken_rules(), none);
}

// An order that a worker carries out late outlives the cancel.
TEST(soak_cancelled, run_that_began_late_goes_on)
{
    scenario seen = cancelled();
    seen.with_fault(2s, 8s).at(12s).start(task("a"));
    EXPECT_EQ(seen.at(18401ms).broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, run_that_began_late_is_stopped_in_time)
{
    scenario seen = cancelled();
    seen.with_fault(2s, 8s).at(12s).start(task("a"));
    EXPECT_EQ(seen.at(18400ms).broken_rules(), none);
}

// A cancel that is never answered is no excuse to run on.
TEST(soak_cancelled, start_after_an_unanswered_cancel)
{
    scenario seen;
    seen.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::timed_out});
    seen.at(7001ms).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, start_after_a_cancel_that_may_not_have_arrived)
{
    scenario refused;
    refused.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::refused});
    refused.at(7001ms).start(task("a"));
    EXPECT_EQ(refused.broken_rules(), none);

    scenario troubled;
    troubled.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::timed_out});
    troubled.with_fault(1s, 2s).at(15s).start(task("a"));
    EXPECT_EQ(troubled.broken_rules(), none);

    scenario in_time;
    in_time.submit("a", lasting_job())
        .observe(cancel_ended{"a", call_outcome::timed_out});
    in_time.at(7s).start(task("a"));
    EXPECT_EQ(in_time.broken_rules(), none);
}

// Work is put on a worker that has said it leaves.
TEST(soak_drain, start_on_a_draining_worker)
{
    scenario seen;
    seen.submit("a", single_task_job()).observe(worker_draining{"w1"});
    seen.at(2001ms).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::drain));
}

// One spell of trouble switches the check off for good.
TEST(soak_drain, start_on_a_draining_worker_well_after_trouble)
{
    scenario seen;
    seen.submit("a", single_task_job()).observe(worker_draining{"w1"});
    seen.with_fault(1s, 2s).at(7s).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::drain));
}

TEST(soak_drain, start_on_a_draining_worker_just_after_trouble)
{
    scenario seen;
    seen.submit("a", single_task_job()).observe(worker_draining{"w1"});
    seen.with_fault(1s, 2s).at(6999ms).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), none);
}

TEST(soak_drain, start_soon_after_in_trouble_elsewhere_or_in_another_life)
{
    scenario soon;
    soon.submit("a", single_task_job()).observe(worker_draining{"w1"});
    soon.at(2s).start(task("a"));
    EXPECT_EQ(soon.broken_rules(), none);

    scenario troubled;
    troubled.submit("a", single_task_job()).observe(worker_draining{"w1"});
    troubled.with_fault(1s, 1500ms).at(2001ms).start(task("a"));
    EXPECT_EQ(troubled.broken_rules(), none);

    scenario elsewhere;
    elsewhere.submit("a", single_task_job()).observe(worker_draining{"w1"});
    elsewhere.at(2001ms).start(task("a"), 1, "w2");
    EXPECT_EQ(elsewhere.broken_rules(), none);

    scenario another_life;
    another_life.submit("a", single_task_job()).observe(worker_draining{"w1"});
    another_life.observe(worker_crashed{"w1"}).at(2001ms).start(task("a"));
    EXPECT_EQ(another_life.broken_rules(), none);
}

// The operator's word on a data centre is forgotten.
TEST(soak_data_centre, start_where_nothing_more_may_start)
{
    scenario seen;
    seen.submit("a", single_task_job()).observe(data_centre_set{"dc1", true});
    seen.at(5001ms).start(task("a"));
    EXPECT_EQ(seen.broken_rules(), only(rule::data_centre));
}

TEST(soak_data_centre, start_soon_after_in_trouble_elsewhere_or_taken_back)
{
    scenario soon;
    soon.submit("a", single_task_job()).observe(data_centre_set{"dc1", true});
    soon.at(5s).start(task("a"));
    EXPECT_EQ(soon.broken_rules(), none);

    scenario troubled;
    troubled.submit("a", single_task_job())
        .observe(data_centre_set{"dc1", true});
    troubled.with_fault(1s, 2s).at(5001ms).start(task("a"));
    EXPECT_EQ(troubled.broken_rules(), none);

    scenario elsewhere;
    elsewhere.submit("a", single_task_job())
        .observe(data_centre_set{"dc1", true});
    elsewhere.at(5001ms).start(task("a"), 1, "w1", "dc2");
    EXPECT_EQ(elsewhere.broken_rules(), none);

    scenario taken_back;
    taken_back.submit("a", single_task_job())
        .observe(data_centre_set{"dc1", true});
    taken_back.at(5s).observe(data_centre_set{"dc1", false});
    taken_back.at(5001ms).start(task("a"));
    EXPECT_EQ(taken_back.broken_rules(), none);
}

// A configuration isn't taken up.
TEST(soak_configuration, older_one_shown_after_the_time_limit)
{
    scenario gone = two_configurations();
    EXPECT_EQ(gone.at(62001ms).queue_shown("b", true).broken_rules(),
              only(rule::configuration));

    scenario added;
    added.observe(configuration_set{1, {"a"}})
        .at(2001ms)
        .queue_shown("a", false);
    EXPECT_EQ(added.broken_rules(), only(rule::configuration));
}

TEST(soak_configuration, older_one_shown_in_time_or_in_trouble)
{
    scenario in_time = two_configurations();
    EXPECT_EQ(in_time.at(62s).queue_shown("b", true).broken_rules(), none);

    scenario troubled = two_configurations();
    troubled.with_fault(61s, 61500ms).at(62001ms).queue_shown("b", true);
    EXPECT_EQ(troubled.broken_rules(), none);
}

// A process falls back to what it knew before.
TEST(soak_configuration, incarnation_goes_back_even_in_trouble)
{
    scenario calm = two_configurations();
    calm.at(60500ms).queue_shown("b", false).at(60751ms).queue_shown("b", true);
    EXPECT_EQ(calm.broken_rules(), only(rule::configuration));

    scenario troubled = two_configurations();
    troubled.observe(fault_state_set{"link", true});
    troubled.at(60500ms)
        .queue_shown("b", false)
        .at(62501ms)
        .queue_shown("b", true);
    EXPECT_EQ(troubled.broken_rules(), only(rule::configuration));
}

TEST(soak_configuration, answers_that_cross_or_another_incarnation)
{
    scenario crossing = two_configurations();
    crossing.at(60500ms)
        .queue_shown("b", false)
        .at(60750ms)
        .queue_shown("b", true);
    EXPECT_EQ(crossing.broken_rules(), none);

    scenario restarted = two_configurations();
    restarted.at(60500ms)
        .queue_shown("b", false)
        .at(61s)
        .queue_shown("b", true, 2);
    EXPECT_EQ(restarted.broken_rules(), none);

    scenario crossing_in_trouble = two_configurations();
    crossing_in_trouble.observe(fault_state_set{"link", true});
    crossing_in_trouble.at(60500ms).queue_shown("b", false);
    crossing_in_trouble.at(62500ms).queue_shown("b", true);
    EXPECT_EQ(crossing_in_trouble.broken_rules(), none);
}

// A queue is shown that no configuration ever had.
TEST(soak_configuration, queue_that_never_was)
{
    scenario seen = two_configurations();
    EXPECT_EQ(seen.at(70s).queue_shown("c", true).broken_rules(),
              only(rule::configuration));
}

TEST(soak_configuration, instance_acts_before_the_operator_has_the_answer)
{
    scenario seen;
    seen.observe(configuration_set{1, {"a"}}).at(10s).queue_shown("b", true);
    seen.at(10250ms).observe(configuration_set{2, {"a", "b"}});
    EXPECT_EQ(seen.broken_rules(), none);
}

// Jobs that wait are left out of the count.
TEST(soak_counts, fewer_than_half_of_the_waiting_jobs_are_told)
{
    scenario seen;
    seen.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    EXPECT_EQ(seen.at(5001ms).waiting(1).broken_rules(),
              only(rule::waiting_count));
}

TEST(soak_counts, young_started_and_cancelled_jobs_need_not_be_told)
{
    scenario young;
    young.submit("a", single_task_job()).at(5s).waiting(0);
    EXPECT_EQ(young.broken_rules(), none);

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

    scenario troubled;
    troubled.submit("a", single_task_job()).with_fault(1s, 2s);
    EXPECT_EQ(troubled.at(5001ms).waiting(0).broken_rules(), none);
}

// A job's owner fetches results that aren't there.
TEST(soak_state, completed_before_all_tasks_are_done)
{
    scenario seen;
    seen.submit("a", two_step_job()).start(task("a")).end(task("a"));
    seen.with_fault(1s, 2s).status("a", job_state::completed);
    EXPECT_EQ(seen.broken_rules(), only(rule::reported_state));
}

// A job that lasts is over only when it is cancelled.
TEST(soak_state, lasting_job_is_completed)
{
    scenario seen;
    seen.submit("a", lasting_job()).start(task("a")).end(task("a"));
    EXPECT_EQ(seen.status("a", job_state::completed).broken_rules(),
              only(rule::reported_state));
}

// Ends that aren't the task's fault use up its attempts.
TEST(soak_state, failed_with_attempts_left)
{
    scenario seen;
    seen.submit("a", single_task_job(2)).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    seen.start(task("a"), 2).end(task("a"), end_kind::lease_expired, 2);
    EXPECT_EQ(seen.status("a", job_state::failed).broken_rules(),
              only(rule::reported_state));
}

// A task that lasts has no last attempt.
TEST(soak_state, lasting_job_is_failed)
{
    scenario seen;
    seen.submit("a", lasting_job()).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    EXPECT_EQ(seen.status("a", job_state::failed).broken_rules(),
              only(rule::reported_state));
}

// A job is cancelled by itself.
TEST(soak_state, cancelled_by_nobody)
{
    scenario seen;
    seen.submit("a", single_task_job()).status("a", job_state::cancelled);
    seen.observe(cancel_ended{"a", call_outcome::refused});
    EXPECT_EQ(seen.broken_rules(), only(rule::reported_state));
}

// A state is made up for a job that doesn't exist.
TEST(soak_state, state_of_a_job_that_nobody_submitted)
{
    scenario seen;
    seen.status("a", job_state::queued).at(1s).submit("a", single_task_job());
    EXPECT_EQ(seen.broken_rules(), only(rule::reported_state));
}

TEST(soak_state, states_with_cause)
{
    scenario seen;
    seen.submit("a", single_task_job()).start(task("a")).end(task("a"));
    seen.status("a", job_state::completed);
    seen.submit("b", single_task_job()).start(task("b"));
    seen.end(task("b"), end_kind::failed).status("b", job_state::failed);
    seen.submit("c", single_task_job()).status("c", job_state::cancelled);
    seen.at(9s).observe(cancel_ended{"c", call_outcome::timed_out});
    seen.status("d", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken_rules(), none);
}

namespace
{

/// Submissions, as many as the check asks for, that all end like this.
void submit_twelve(scenario& seen, std::string const& name, call_outcome how)
{
    for (int count = 0; count < 12; ++count)
    {
        seen.submit(name + std::to_string(count), single_task_job(), how);
    }
}

/// Calls, then trouble until 2 s, then calls at `at`.
scenario calls(call_outcome before, duration at, call_outcome after)
{
    scenario seen;
    submit_twelve(seen, "before", before);
    seen.with_fault(1s, 2s).at(at);
    submit_twelve(seen, "after", after);
    return seen;
}

} // namespace

// The trouble is over, and callers are turned away for good.
TEST(soak_recovery, submissions_are_refused_long_after_the_trouble)
{
    scenario seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    EXPECT_EQ(seen.broken_rules(), only(rule::recovery));
}

// Instances take jobs, and answer no question about them.
TEST(soak_recovery, questions_are_unanswered_long_after_the_trouble)
{
    scenario seen;
    for (int count = 0; count < 12; ++count)
    {
        seen.status("a", job_state::queued, call_outcome::not_found);
    }
    seen.with_fault(1s, 2s).at(14001ms);
    for (int count = 0; count < 12; ++count)
    {
        seen.status("a", job_state::queued, call_outcome::timed_out);
    }
    EXPECT_EQ(seen.broken_rules(), only(rule::recovery));
}

// A few that get through hide that the rest are turned away.
TEST(soak_recovery, less_than_a_quarter_is_served_long_after_the_trouble)
{
    scenario seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    seen.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    EXPECT_EQ(seen.broken_rules(), only(rule::recovery));
}

TEST(soak_recovery, a_quarter_is_served_long_after_the_trouble)
{
    scenario seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    seen.submit("a", single_task_job())
        .submit("b", single_task_job())
        .submit("c", single_task_job());
    EXPECT_EQ(seen.submit("d", single_task_job()).broken_rules(), none);
}

TEST(soak_recovery, soon_after_the_trouble_or_as_bad_before_it)
{
    EXPECT_EQ(
        calls(call_outcome::done, 14s, call_outcome::refused).broken_rules(),
        none);
    EXPECT_EQ(
        calls(call_outcome::refused, 15s, call_outcome::refused).broken_rules(),
        none);
}

TEST(soak_recovery, trouble_that_is_still_on)
{
    scenario seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    seen.observe(fault_state_set{"link", true});
    submit_twelve(seen, "in_trouble", call_outcome::refused);
    submit_twelve(seen, "later", call_outcome::refused);
    submit_twelve(seen, "still", call_outcome::refused);
    EXPECT_EQ(seen.broken_rules(), none);
}
