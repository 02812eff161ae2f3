#include "story.hpp"

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
story accepted_until_traffic_ends(job_shape const& shape = single())
{
    story seen;
    seen.submit("a", shape);
    seen.at(5s).see(traffic_ended{});
    return seen;
}

story cancelled(job_shape const& shape = service())
{
    story seen;
    seen.submit("a", shape);
    seen.at(1s).see(cancel_ended{"a", call_outcome::done});
    return seen;
}

/// Two queues from the begin on; `b` goes a minute later.
story two_configurations()
{
    story seen;
    seen.see(configuration_set{1, {"a", "b"}}).shows("b", true);
    seen.at(60s).see(configuration_set{2, {"a"}});
    return seen;
}

} // namespace

// An instance forgets a job whose submission it acknowledged.
TEST(soak_lost, accepted_job_is_unknown_after_a_while)
{
    story seen;
    seen.submit("a", single());
    seen.at(3001ms).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

TEST(soak_lost, an_instance_may_not_know_a_job_yet)
{
    story seen;
    seen.submit("a", single());
    seen.at(3s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_lost, an_instance_may_not_know_a_job_in_trouble)
{
    story seen;
    seen.submit("a", single()).trouble(500ms, 600ms);
    seen.at(3001ms).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_lost, a_job_that_ended_long_ago_may_be_forgotten)
{
    story seen;
    seen.submit("a", single()).start(task("a")).end(task("a"));
    seen.at(121s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_lost, a_cancelled_or_unaccepted_job_may_be_unknown)
{
    story seen;
    seen.submit("a", single()).submit("b", single(), call_outcome::timed_out);
    seen.see(cancel_ended{"a", call_outcome::timed_out});
    seen.at(9s).status("a", job_state::queued, call_outcome::not_found);
    seen.status("b", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), none);
}

// What was accepted is gone once all trouble is over.
TEST(soak_lost, accepted_job_is_unknown_at_the_end_even_after_trouble)
{
    story seen = accepted_until_traffic_ends();
    seen.trouble(6s, 19s);
    seen.at(20s).status("a", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

// A job that no instance answers for is as good as lost.
TEST(soak_lost, accepted_job_gets_no_answer_at_the_end)
{
    story seen = accepted_until_traffic_ends();
    seen.start(task("a")).end(task("a"));
    seen.at(20s).status("a", job_state::queued, call_outcome::timed_out);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

// A job is kept, and never run.
TEST(soak_lost, accepted_job_is_never_done)
{
    story seen = accepted_until_traffic_ends();
    seen.at(20s).status("a", job_state::queued);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

TEST(soak_lost, accepted_job_has_time_to_be_done)
{
    story early = accepted_until_traffic_ends();
    early.at(19s).status("a", job_state::queued);
    EXPECT_EQ(early.broken(), none);

    story troubled = accepted_until_traffic_ends();
    troubled.trouble(6s, 7s).at(20s).status("a", job_state::queued);
    EXPECT_EQ(troubled.broken(), none);
}

// A job whose long attempts fail one after the other is not idle.
TEST(soak_lost, job_with_a_run_at_work_is_not_never_done)
{
    story working = accepted_until_traffic_ends({"q", {{1, {}, false}}, 4});
    working.at(10s).start(task("a"));
    working.at(16s).end(task("a"), end_kind::failed);
    working.at(17s).start(task("a"), 2);
    working.at(20s).status("a", job_state::active);
    EXPECT_EQ(working.broken(), none);

    story idle = accepted_until_traffic_ends({"q", {{1, {}, false}}, 4});
    idle.at(10s).start(task("a"));
    idle.at(16s).end(task("a"), end_kind::failed);
    idle.at(20s).status("a", job_state::active);
    EXPECT_EQ(idle.broken(), only(rule::job_lost));
}

// All tasks ended, and the job's owner is never told.
TEST(soak_lost, done_job_is_never_shown_as_completed)
{
    story seen = accepted_until_traffic_ends();
    seen.start(task("a")).end(task("a")).acknowledge(task("a"));
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

// A crash elsewhere is no excuse for an end that was there to be heard.
TEST(soak_lost, done_job_is_never_shown_as_completed_after_another_crash)
{
    story seen = accepted_until_traffic_ends();
    seen.start(task("a")).end(task("a")).see(worker_crashed{"w2"});
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

TEST(soak_lost, job_whose_end_was_lost_or_is_news_may_be_shown_as_active)
{
    story lost = accepted_until_traffic_ends();
    lost.start(task("a")).end(task("a")).see(worker_crashed{"w1"});
    lost.at(20s).status("a", job_state::active);
    EXPECT_EQ(lost.broken(), none);

    story news = accepted_until_traffic_ends();
    news.start(task("a")).at(17001ms).end(task("a"));
    news.at(20s).status("a", job_state::active);
    EXPECT_EQ(news.broken(), none);
}

TEST(soak_lost, done_failed_and_cancelled_jobs_are_served)
{
    story seen;
    seen.submit("a", single()).submit("b", single()).submit("c", single());
    seen.start(task("a")).end(task("a"));
    seen.start(task("b")).end(task("b"), end_kind::failed);
    seen.see(cancel_ended{"c", call_outcome::done});
    seen.at(5s).see(traffic_ended{}).at(20s);
    seen.status("a", job_state::completed).status("b", job_state::failed);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_lost, step_behind_a_lasting_one_is_not_owed)
{
    story seen = accepted_until_traffic_ends(
        {"q", {{1, {}, true}, {1, {0}, false}, {1, {1}, true}}, 1});
    seen.start(task("a")).at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken(), none);
}

// The first step is done, and the second is left out.
TEST(soak_lost, later_step_is_never_done)
{
    story seen = accepted_until_traffic_ends(chain());
    seen.start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).end(task("a", 0, 1));
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

// A task that lasts ends and stays away.
TEST(soak_lost, lasting_task_is_not_started_again)
{
    story seen = accepted_until_traffic_ends(service());
    seen.start(task("a")).end(task("a"));
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken(), only(rule::job_lost));
}

TEST(soak_lost, lasting_task_runs_or_has_just_ended)
{
    story seen = accepted_until_traffic_ends(service());
    seen.start(task("a"));
    seen.at(12s).end(task("a"), end_kind::failed);
    seen.at(20s).status("a", job_state::active);
    EXPECT_EQ(seen.broken(), none);
}

// A caller is told that nothing was done, and it is done.
TEST(soak_refused, refused_job_runs)
{
    story after;
    after.submit("a", single(), call_outcome::refused).start(task("a"));
    EXPECT_EQ(after.broken(), only(rule::refused_job_ran));

    story before;
    before.see(submit_sent{"a", single()}).start(task("a"));
    before.see(submit_ended{"a", call_outcome::refused});
    EXPECT_EQ(before.broken(), only(rule::refused_job_ran));
}

// Workers are told to run what nobody asked for.
TEST(soak_refused, task_that_nobody_submitted_runs)
{
    story no_job;
    no_job.start(task("a"));
    EXPECT_EQ(no_job.broken(), only(rule::refused_job_ran));

    story no_task;
    no_task.submit("a", single()).start(task("a", 0, 1));
    EXPECT_EQ(no_task.broken(), only(rule::refused_job_ran));

    story no_occurrence;
    no_occurrence.submit("a", single()).start({"a", 1, 0, 0});
    EXPECT_EQ(no_occurrence.broken(), only(rule::refused_job_ran));
}

// A job is handed in to a queue that isn't there, and runs.
TEST(soak_refused, job_of_an_absent_queue_runs)
{
    story seen;
    seen.submit("a", single(), call_outcome::not_found).start(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::refused_job_ran));
}

TEST(soak_refused, job_with_one_caller_in_doubt_may_run)
{
    story unknown;
    unknown.submit("a", single(), call_outcome::refused);
    unknown.submit("a", single(), call_outcome::unknown).start(task("a"));
    EXPECT_EQ(unknown.broken(), none);

    story under_way;
    under_way.submit("a", single(), call_outcome::refused);
    under_way.see(submit_sent{"a", single()}).start(task("a"));
    EXPECT_EQ(under_way.broken(), none);
}

// A task is started on a second worker while the first works on it.
TEST(soak_doubled, two_runs_at_once)
{
    story seen;
    seen.submit("a", single()).start(task("a"));
    seen.at(1s).start(task("a"), 2, "w2");
    EXPECT_EQ(seen.broken(), only(rule::duplicate_run));
}

TEST(soak_doubled, another_run_after_a_crash_or_an_end)
{
    story seen;
    seen.submit("a", single()).start(task("a")).see(worker_crashed{"w1"});
    seen.start(task("a"), 2, "w2")
        .end(task("a"), end_kind::lease_expired, 2, "w2");
    seen.start(task("a"), 3, "w1");
    EXPECT_EQ(seen.broken(), none);
}

// A crash of one worker says nothing of the runs on another.
TEST(soak_doubled, run_beside_one_that_another_workers_crash_left)
{
    story seen;
    seen.submit("a", single()).start(task("a")).see(worker_crashed{"w2"});
    seen.start(task("a"), 2, "w2");
    EXPECT_EQ(seen.broken(), only(rule::duplicate_run));
}

// An end that was written down is forgotten, and the work done once more.
TEST(soak_doubled, start_after_an_acknowledged_end)
{
    story seen;
    seen.submit("a", single()).start(task("a")).end(task("a"));
    seen.acknowledge(task("a")).trouble(1s, 2s);
    seen.start(task("a"), 2, "w2");
    EXPECT_EQ(seen.broken(), only(rule::duplicate_run));
}

// The end is acknowledged, but after the task was started again.
TEST(soak_doubled, start_between_an_end_and_its_acknowledgement)
{
    story seen;
    seen.submit("a", single()).start(task("a")).end(task("a"));
    seen.at(1s).start(task("a"), 2, "w2").at(2s).acknowledge(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::duplicate_run));
}

TEST(soak_doubled, start_after_an_end_that_nobody_heard_of)
{
    story crashed;
    crashed.submit("a", single()).start(task("a")).end(task("a"));
    crashed.see(worker_crashed{"w1"}).start(task("a"), 2, "w2");
    EXPECT_EQ(crashed.broken(), none);

    story cut_off;
    cut_off.submit("a", single()).start(task("a")).end(task("a"));
    cut_off.trouble(0s, 9s).start(task("a"), 2, "w2").acknowledge(task("a"));
    EXPECT_EQ(cut_off.broken(), none);
}

// Only the later of two ends was heard of: what began between the two is no
// second run. (An observer who took the first for the one acknowledged would
// blame the system.)
TEST(soak_doubled, start_between_a_lost_end_and_the_one_acknowledged)
{
    story seen;
    seen.submit("a", single()).start(task("a")).end(task("a"));
    seen.see(worker_crashed{"w1"}).at(1s).start(task("a"), 2, "w2");
    seen.at(2s).end(task("a"), end_kind::done, 2, "w2");
    seen.acknowledge(task("a"), end_kind::done, 2, "w2");
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_doubled, lasting_task_starts_again_however_it_ended)
{
    story seen;
    seen.submit("a", service()).start(task("a")).end(task("a"));
    seen.acknowledge(task("a")).start(task("a"), 2);
    EXPECT_EQ(seen.broken(), none);
}

// A step begins while a task that it builds upon is still at work.
TEST(soak_order, start_before_the_earlier_step_is_done)
{
    story seen;
    seen.submit("a", chain()).start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).start(task("a", 1));
    EXPECT_EQ(seen.broken(), only(rule::step_order));
}

// A failed task counts as done.
TEST(soak_order, start_after_the_earlier_step_failed)
{
    story seen;
    seen.submit("a", chain()).start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).end(task("a", 0, 1), end_kind::failed);
    seen.start(task("a", 1));
    EXPECT_EQ(seen.broken(), only(rule::step_order));
}

TEST(soak_order, start_once_the_earlier_step_is_done)
{
    story seen;
    seen.submit("a", chain()).start(task("a")).end(task("a"));
    seen.start(task("a", 0, 1)).end(task("a", 0, 1)).start(task("a", 1));
    EXPECT_EQ(seen.broken(), none);
}

// A task that failed for good is tried again.
TEST(soak_attempts, start_after_the_last_attempt_failed)
{
    story seen;
    seen.submit("a", single(2));
    for (std::uint32_t attempt : {1U, 2U})
    {
        seen.start(task("a"), attempt);
        seen.end(task("a"), end_kind::failed, attempt);
        seen.acknowledge(task("a"), end_kind::failed, attempt);
    }
    seen.trouble(1s, 2s).start(task("a"), 3);
    EXPECT_EQ(seen.broken(), only(rule::attempt_limit));
}

// The last failure is acknowledged, but after another start.
TEST(soak_attempts, start_between_the_last_failure_and_its_acknowledgement)
{
    story seen;
    seen.submit("a", single()).start(task("a"));
    seen.end(task("a"), end_kind::failed).at(1s).start(task("a"), 2);
    seen.at(2s).acknowledge(task("a"), end_kind::failed);
    EXPECT_EQ(seen.broken(), only(rule::attempt_limit));
}

TEST(soak_attempts, only_failures_that_were_heard_of_count)
{
    story seen;
    seen.submit("a", single(2)).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    seen.acknowledge(task("a"), end_kind::failed);
    seen.start(task("a"), 2).end(task("a"), end_kind::stopped, 2);
    seen.acknowledge(task("a"), end_kind::stopped, 2);
    seen.start(task("a"), 3).end(task("a"), end_kind::failed, 3);
    seen.see(worker_crashed{"w1"}).start(task("a"), 4);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_attempts, lost_failure_is_not_the_last_one)
{
    story seen;
    seen.submit("a", single()).start(task("a"));
    seen.end(task("a"), end_kind::failed).see(worker_crashed{"w1"});
    seen.at(1s).start(task("a"), 2).at(2s);
    seen.end(task("a"), end_kind::failed, 2);
    seen.acknowledge(task("a"), end_kind::failed, 2);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_attempts, lasting_task_may_fail_at_any_time)
{
    story seen;
    seen.submit("a", service()).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    seen.acknowledge(task("a"), end_kind::failed).start(task("a"), 2);
    EXPECT_EQ(seen.broken(), none);
}

// A cancel is acknowledged and then forgotten.
TEST(soak_cancelled, start_too_long_after_the_cancel)
{
    story seen = cancelled();
    seen.at(4001ms).start(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, start_soon_after_the_cancel)
{
    story seen = cancelled();
    seen.at(4s).start(task("a")).at(4400ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_cancelled, start_after_the_cancel_in_trouble)
{
    story seen = cancelled();
    seen.trouble(2s, 3s).at(4001ms).start(task("a"));
    EXPECT_EQ(seen.broken(), none);
}

// What runs is never told to stop.
TEST(soak_cancelled, run_goes_on_after_the_cancel)
{
    story ended;
    ended.submit("a", service()).start(task("a"));
    ended.at(1s).see(cancel_ended{"a", call_outcome::done});
    ended.at(4401ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(ended.broken(), only(rule::ran_after_cancel));

    story still_there;
    still_there.submit("a", service()).start(task("a"));
    still_there.at(1s).see(cancel_ended{"a", call_outcome::done});
    EXPECT_EQ(still_there.at(4401ms).broken(), only(rule::ran_after_cancel));
}

// A run that trouble shielded goes on for good.
TEST(soak_cancelled, run_goes_on_after_trouble)
{
    story seen;
    seen.submit("a", service()).start(task("a"));
    seen.at(1s).see(cancel_ended{"a", call_outcome::done}).trouble(2s, 4s);
    EXPECT_EQ(seen.at(10401ms).broken(), only(rule::ran_after_cancel));
}

// Trouble that begins after the time limit is no excuse.
TEST(soak_cancelled, run_goes_on_until_trouble)
{
    story seen;
    seen.submit("a", service()).start(task("a"));
    seen.at(1s).see(cancel_ended{"a", call_outcome::done}).trouble(4402ms, 5s);
    seen.end(task("a"), end_kind::stopped);
    EXPECT_EQ(seen.broken(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, run_stops_in_time_or_in_trouble)
{
    story in_time;
    in_time.submit("a", service()).start(task("a"));
    in_time.at(1s).see(cancel_ended{"a", call_outcome::done});
    in_time.at(4400ms).end(task("a"), end_kind::stopped);
    EXPECT_EQ(in_time.broken(), none);

    story troubled;
    troubled.submit("a", service()).start(task("a"));
    troubled.at(1s).see(cancel_ended{"a", call_outcome::done}).trouble(2s, 4s);
    EXPECT_EQ(troubled.at(10400ms).broken(), none);
}

// An order that a worker carries out late outlives the cancel.
TEST(soak_cancelled, run_that_began_late_goes_on)
{
    story seen = cancelled();
    seen.trouble(2s, 8s).at(12s).start(task("a"));
    EXPECT_EQ(seen.at(18401ms).broken(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, run_that_began_late_is_stopped_in_time)
{
    story seen = cancelled();
    seen.trouble(2s, 8s).at(12s).start(task("a"));
    EXPECT_EQ(seen.at(18400ms).broken(), none);
}

// A cancel that is never answered is no excuse to run on.
TEST(soak_cancelled, start_after_an_unanswered_cancel)
{
    story seen;
    seen.submit("a", service()).see(cancel_ended{"a", call_outcome::timed_out});
    seen.at(7001ms).start(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::ran_after_cancel));
}

TEST(soak_cancelled, start_after_a_cancel_that_may_not_have_arrived)
{
    story refused;
    refused.submit("a", service())
        .see(cancel_ended{"a", call_outcome::refused});
    refused.at(7001ms).start(task("a"));
    EXPECT_EQ(refused.broken(), none);

    story troubled;
    troubled.submit("a", service())
        .see(cancel_ended{"a", call_outcome::timed_out});
    troubled.trouble(1s, 2s).at(15s).start(task("a"));
    EXPECT_EQ(troubled.broken(), none);

    story in_time;
    in_time.submit("a", service())
        .see(cancel_ended{"a", call_outcome::timed_out});
    in_time.at(7s).start(task("a"));
    EXPECT_EQ(in_time.broken(), none);
}

// Work is put on a worker that has said it leaves.
TEST(soak_drain, start_on_a_draining_worker)
{
    story seen;
    seen.submit("a", single()).see(worker_draining{"w1"});
    seen.at(2001ms).start(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::drain));
}

// One spell of trouble switches the check off for good.
TEST(soak_drain, start_on_a_draining_worker_well_after_trouble)
{
    story seen;
    seen.submit("a", single()).see(worker_draining{"w1"});
    seen.trouble(1s, 2s).at(7s).start(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::drain));
}

TEST(soak_drain, start_on_a_draining_worker_just_after_trouble)
{
    story seen;
    seen.submit("a", single()).see(worker_draining{"w1"});
    seen.trouble(1s, 2s).at(6999ms).start(task("a"));
    EXPECT_EQ(seen.broken(), none);
}

TEST(soak_drain, start_soon_after_in_trouble_elsewhere_or_in_another_life)
{
    story soon;
    soon.submit("a", single()).see(worker_draining{"w1"});
    soon.at(2s).start(task("a"));
    EXPECT_EQ(soon.broken(), none);

    story troubled;
    troubled.submit("a", single()).see(worker_draining{"w1"});
    troubled.trouble(1s, 1500ms).at(2001ms).start(task("a"));
    EXPECT_EQ(troubled.broken(), none);

    story elsewhere;
    elsewhere.submit("a", single()).see(worker_draining{"w1"});
    elsewhere.at(2001ms).start(task("a"), 1, "w2");
    EXPECT_EQ(elsewhere.broken(), none);

    story another_life;
    another_life.submit("a", single()).see(worker_draining{"w1"});
    another_life.see(worker_crashed{"w1"}).at(2001ms).start(task("a"));
    EXPECT_EQ(another_life.broken(), none);
}

// The operator's word on a data centre is forgotten.
TEST(soak_data_centre, start_where_nothing_more_may_start)
{
    story seen;
    seen.submit("a", single()).see(data_centre_set{"dc1", true});
    seen.at(5001ms).start(task("a"));
    EXPECT_EQ(seen.broken(), only(rule::data_centre));
}

TEST(soak_data_centre, start_soon_after_in_trouble_elsewhere_or_taken_back)
{
    story soon;
    soon.submit("a", single()).see(data_centre_set{"dc1", true});
    soon.at(5s).start(task("a"));
    EXPECT_EQ(soon.broken(), none);

    story troubled;
    troubled.submit("a", single()).see(data_centre_set{"dc1", true});
    troubled.trouble(1s, 2s).at(5001ms).start(task("a"));
    EXPECT_EQ(troubled.broken(), none);

    story elsewhere;
    elsewhere.submit("a", single()).see(data_centre_set{"dc1", true});
    elsewhere.at(5001ms).start(task("a"), 1, "w1", "dc2");
    EXPECT_EQ(elsewhere.broken(), none);

    story taken_back;
    taken_back.submit("a", single()).see(data_centre_set{"dc1", true});
    taken_back.at(5s).see(data_centre_set{"dc1", false});
    taken_back.at(5001ms).start(task("a"));
    EXPECT_EQ(taken_back.broken(), none);
}

// A configuration isn't taken up.
TEST(soak_configuration, older_one_shown_after_the_time_limit)
{
    story gone = two_configurations();
    EXPECT_EQ(gone.at(62001ms).shows("b", true).broken(),
              only(rule::configuration));

    story added;
    added.see(configuration_set{1, {"a"}}).at(2001ms).shows("a", false);
    EXPECT_EQ(added.broken(), only(rule::configuration));
}

TEST(soak_configuration, older_one_shown_in_time_or_in_trouble)
{
    story in_time = two_configurations();
    EXPECT_EQ(in_time.at(62s).shows("b", true).broken(), none);

    story troubled = two_configurations();
    troubled.trouble(61s, 61500ms).at(62001ms).shows("b", true);
    EXPECT_EQ(troubled.broken(), none);
}

// A process falls back to what it knew before.
TEST(soak_configuration, incarnation_goes_back_even_in_trouble)
{
    story calm = two_configurations();
    calm.at(60500ms).shows("b", false).at(60751ms).shows("b", true);
    EXPECT_EQ(calm.broken(), only(rule::configuration));

    story troubled = two_configurations();
    troubled.see(fault_state_set{"link", true});
    troubled.at(60500ms).shows("b", false).at(62501ms).shows("b", true);
    EXPECT_EQ(troubled.broken(), only(rule::configuration));
}

TEST(soak_configuration, answers_that_cross_or_another_incarnation)
{
    story crossing = two_configurations();
    crossing.at(60500ms).shows("b", false).at(60750ms).shows("b", true);
    EXPECT_EQ(crossing.broken(), none);

    story restarted = two_configurations();
    restarted.at(60500ms).shows("b", false).at(61s).shows("b", true, 2);
    EXPECT_EQ(restarted.broken(), none);

    story crossing_in_trouble = two_configurations();
    crossing_in_trouble.see(fault_state_set{"link", true});
    crossing_in_trouble.at(60500ms).shows("b", false);
    crossing_in_trouble.at(62500ms).shows("b", true);
    EXPECT_EQ(crossing_in_trouble.broken(), none);
}

// A queue is shown that no configuration ever had.
TEST(soak_configuration, queue_that_never_was)
{
    story seen = two_configurations();
    EXPECT_EQ(seen.at(70s).shows("c", true).broken(),
              only(rule::configuration));
}

TEST(soak_configuration, instance_acts_before_the_operator_has_the_answer)
{
    story seen;
    seen.see(configuration_set{1, {"a"}}).at(10s).shows("b", true);
    seen.at(10250ms).see(configuration_set{2, {"a", "b"}});
    EXPECT_EQ(seen.broken(), none);
}

// Jobs that wait are left out of the count.
TEST(soak_counts, fewer_than_half_of_the_waiting_jobs_are_told)
{
    story seen;
    seen.submit("a", single()).submit("b", single()).submit("c", single());
    EXPECT_EQ(seen.at(5001ms).waiting(1).broken(), only(rule::waiting_count));
}

TEST(soak_counts, young_started_and_cancelled_jobs_need_not_be_told)
{
    story young;
    young.submit("a", single()).at(5s).waiting(0);
    EXPECT_EQ(young.broken(), none);

    story half;
    half.submit("a", single()).submit("b", single()).at(5001ms).waiting(1);
    EXPECT_EQ(half.broken(), none);

    story others;
    others.submit("a", single()).submit("b", single());
    others.at(5001ms).waiting(0);
    others.at(5251ms).start(task("a"));
    others.see(cancel_ended{"b", call_outcome::done});
    EXPECT_EQ(others.broken(), none);

    story troubled;
    troubled.submit("a", single()).trouble(1s, 2s);
    EXPECT_EQ(troubled.at(5001ms).waiting(0).broken(), none);
}

// A job's owner fetches results that aren't there.
TEST(soak_state, completed_before_all_tasks_are_done)
{
    story seen;
    seen.submit("a", chain()).start(task("a")).end(task("a"));
    seen.trouble(1s, 2s).status("a", job_state::completed);
    EXPECT_EQ(seen.broken(), only(rule::reported_state));
}

// A job that lasts is over only when it is cancelled.
TEST(soak_state, lasting_job_is_completed)
{
    story seen;
    seen.submit("a", service()).start(task("a")).end(task("a"));
    EXPECT_EQ(seen.status("a", job_state::completed).broken(),
              only(rule::reported_state));
}

// Ends that aren't the task's fault use up its attempts.
TEST(soak_state, failed_with_attempts_left)
{
    story seen;
    seen.submit("a", single(2)).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    seen.start(task("a"), 2).end(task("a"), end_kind::lease_expired, 2);
    EXPECT_EQ(seen.status("a", job_state::failed).broken(),
              only(rule::reported_state));
}

// A task that lasts has no last attempt.
TEST(soak_state, lasting_job_is_failed)
{
    story seen;
    seen.submit("a", service()).start(task("a"));
    seen.end(task("a"), end_kind::failed);
    EXPECT_EQ(seen.status("a", job_state::failed).broken(),
              only(rule::reported_state));
}

// A job is cancelled by itself.
TEST(soak_state, cancelled_by_nobody)
{
    story seen;
    seen.submit("a", single()).status("a", job_state::cancelled);
    seen.see(cancel_ended{"a", call_outcome::refused});
    EXPECT_EQ(seen.broken(), only(rule::reported_state));
}

// A state is made up for a job that doesn't exist.
TEST(soak_state, state_of_a_job_that_nobody_submitted)
{
    story seen;
    seen.status("a", job_state::queued).at(1s).submit("a", single());
    EXPECT_EQ(seen.broken(), only(rule::reported_state));
}

TEST(soak_state, states_with_cause)
{
    story seen;
    seen.submit("a", single()).start(task("a")).end(task("a"));
    seen.status("a", job_state::completed);
    seen.submit("b", single()).start(task("b"));
    seen.end(task("b"), end_kind::failed).status("b", job_state::failed);
    seen.submit("c", single()).status("c", job_state::cancelled);
    seen.at(9s).see(cancel_ended{"c", call_outcome::timed_out});
    seen.status("d", job_state::queued, call_outcome::not_found);
    EXPECT_EQ(seen.broken(), none);
}

namespace
{

/// Submissions, as many as the check asks for, that all end like this.
void submit_twelve(story& seen, std::string const& name, call_outcome how)
{
    for (int count = 0; count < 12; ++count)
    {
        seen.submit(name + std::to_string(count), single(), how);
    }
}

/// Calls, then trouble until 2 s, then calls at `at`.
story calls(call_outcome before, duration at, call_outcome after)
{
    story seen;
    submit_twelve(seen, "before", before);
    seen.trouble(1s, 2s).at(at);
    submit_twelve(seen, "after", after);
    return seen;
}

} // namespace

// The trouble is over, and callers are turned away for good.
TEST(soak_recovery, submissions_are_refused_long_after_the_trouble)
{
    story seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    EXPECT_EQ(seen.broken(), only(rule::recovery));
}

// Instances take jobs, and answer no question about them.
TEST(soak_recovery, questions_are_unanswered_long_after_the_trouble)
{
    story seen;
    for (int count = 0; count < 12; ++count)
    {
        seen.status("a", job_state::queued, call_outcome::not_found);
    }
    seen.trouble(1s, 2s).at(14001ms);
    for (int count = 0; count < 12; ++count)
    {
        seen.status("a", job_state::queued, call_outcome::timed_out);
    }
    EXPECT_EQ(seen.broken(), only(rule::recovery));
}

// A few that get through hide that the rest are turned away.
TEST(soak_recovery, less_than_a_quarter_is_served_long_after_the_trouble)
{
    story seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    seen.submit("a", single()).submit("b", single()).submit("c", single());
    EXPECT_EQ(seen.broken(), only(rule::recovery));
}

TEST(soak_recovery, a_quarter_is_served_long_after_the_trouble)
{
    story seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    seen.submit("a", single()).submit("b", single()).submit("c", single());
    EXPECT_EQ(seen.submit("d", single()).broken(), none);
}

TEST(soak_recovery, soon_after_the_trouble_or_as_bad_before_it)
{
    EXPECT_EQ(calls(call_outcome::done, 14s, call_outcome::refused).broken(),
              none);
    EXPECT_EQ(calls(call_outcome::refused, 15s, call_outcome::refused).broken(),
              none);
}

TEST(soak_recovery, trouble_that_is_still_on)
{
    story seen = calls(call_outcome::done, 14001ms, call_outcome::refused);
    seen.see(fault_state_set{"link", true});
    submit_twelve(seen, "in_trouble", call_outcome::refused);
    submit_twelve(seen, "later", call_outcome::refused);
    submit_twelve(seen, "still", call_outcome::refused);
    EXPECT_EQ(seen.broken(), none);
}
