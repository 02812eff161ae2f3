#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Workers that start again under their id. An order names its worker by id
// only, so a new incarnation may carry out an order that was meant for an
// earlier one. Only polls decide which incarnation runs: they are sent one
// after the other, so an answer that names another incarnation than the last
// one comes from a later incarnation.
namespace fuchsia::core::pool
{

using ports::order_reply;
using ports::order_status;
using ports::severity;

// Handles the incarnation that a list entry or an answer to any order names. If
// it is another one than the adopted one, what is known about the worker may be
// outdated: no task starts there until a poll that is sent from now on has been
// answered.
void owner::note_incarnation(common::time_point now,
                             worker& target,
                             std::uint64_t incarnation)
{
    if (!target.is_other_incarnation(incarnation))
    {
        return;
    }
    if (target.may_have_restarted() &&
        target.suspected_incarnation == incarnation)
    {
        return;
    }
    out_.log(
        severity::info,
        "worker_restart_suspected",
        {{"worker", target.info.id}, {"born", std::to_string(incarnation)}});
    target.suspected_incarnation = incarnation;
    target.restart_suspected_at = now;
    supersede_token(target, target.token.present(), "restart");
    target.next_poll = now;
    next_roster_update_ = now;
}

// Handles the incarnation that the answer to an order names. A refusal because
// the order names another worker tells nothing about the named one.
void owner::note_incarnation_of(common::time_point now,
                                worker& target,
                                order_reply const& reply)
{
    if (reply.status != order_status::wrong_incarnation)
    {
        note_incarnation(now, target, reply.incarnation);
    }
}

// Handles what the answer to a start, or that there is none, tells about the
// worker.
void owner::note_start_reply(common::time_point now,
                             worker& target,
                             sent_start const& sent,
                             order_reply const& reply)
{
    // The worker may have left the fleet and come back since the start.
    target.starts_pending -= target.starts_pending > 0 ? 1U : 0U;
    note_incarnation_of(now, target, reply);
    bool const unclear = reply.status == order_status::unclear;
    if (unclear)
    {
        target.start_unclear_at = now;
        note_unanswered(now, target, sent.fencing_token, "start");
    }
    if (unclear || target.may_have_restarted())
    {
        target.unconfirmed_lease_at = now;
    }
    if (unclear && target.may_have_restarted())
    {
        // The start may have reached the new incarnation only now.
        target.restart_suspected_at = now;
    }
    if (target.incarnation != sent.incarnation)
    {
        assume_lease(now, target, sent.lease_until_ms);
    }
    if (may_act(now))
    {
        poll_if_due(now, target);
    }
}

// Records that a lease until `until_ms`, by the clock of another incarnation,
// may have reached the worker.
void owner::assume_lease(common::time_point now,
                         worker& target,
                         std::uint64_t until_ms)
{
    auto const left_before = fleet_.lease_left(target, now);
    fleet_.assume_lease(target, until_ms, now);
    auto const left = fleet_.lease_left(target, now);
    if (left > std::max(left_before, fleet_.settings().lease))
    {
        out_.log(severity::info,
                 "lease_assumed",
                 {{"worker", target.info.id},
                  {"born", std::to_string(target.incarnation)},
                  {"left_ms", std::to_string(common::to_milliseconds(left))}});
    }
}

// Adopts the incarnation that has answered a poll for the first time. Tasks of
// an earlier incarnation no longer run.
void owner::adopt_incarnation(common::time_point now,
                              worker& target,
                              sent_poll const& poll,
                              order_reply const& first_reply)
{
    bool const previously_adopted = target.adopted;
    if (previously_adopted)
    {
        supersede_token(target, poll.fencing_token, "restart");
    }
    target.adopted = true;
    target.adopted_at = now;
    target.incarnation = first_reply.incarnation;
    target.durable_end = 0;
    target.acknowledged_end = 0;
    target.ends = {};
    target.ends_being_written = 0;
    target.long_lease_until = {};
    auto const earlier_lease_ms = std::exchange(target.lease_until_ms, 0);
    if (may_hold_earlier_lease(now, target, poll))
    {
        assume_lease(now, target, earlier_lease_ms);
    }
    if (!previously_adopted)
    {
        auto const left =
            common::to_milliseconds(inherited_long_lease_left(target, now));
        assume_lease(
            now, target, target.clock_ms + static_cast<std::uint64_t>(left));
    }
    target.failed_jobs.clear();
    target.rostered = rostered_as_it_is(target, now);
    next_roster_update_ = target.rostered ? next_roster_update_ : now;
    if (std::exchange(target.ended, false))
    {
        update_roster(now);
    }
    if (previously_adopted)
    {
        target.restarted_at = now;
        out_.log(severity::info,
                 "worker_restarted",
                 {{"worker", target.info.id},
                  {"born", std::to_string(first_reply.incarnation)}});
        mark_attempts_lost(now,
                           target,
                           runs_of_earlier_incarnation(target, first_reply),
                           loss_reason::restarted);
        return;
    }
    digest_.worker_adopted(now, target.info.id);
}

// Returns up to which of its ends the worker is told to forget; 0: none. The
// ends of each incarnation are numbered from 1, so a new incarnation would
// forget its own ends, and their tasks would start again. A poll therefore
// names a number only once, and only while no end of another incarnation can
// exist: every start has been answered, by the adopted incarnation, or it has
// answered a poll since.
std::uint64_t owner::end_to_acknowledge(worker const& target) const
{
    bool const all_starts_known =
        target.starts_pending == 0 && !target.may_have_restarted() &&
        target.start_unclear_at <= target.report_as_of;
    bool const has_new = target.durable_end > target.acknowledged_end;
    bool const may_name_it = all_starts_known && !target.token.is_outdated();
    return has_new && may_name_it ? target.durable_end : 0;
}

// Whether the next poll should wait for the answers to starts, which take a few
// milliseconds, so that it can acknowledge ends. Without that the worker would
// answer it at once with the same ends.
bool owner::must_await_starts(common::time_point now,
                              worker const& target) const
{
    return target.starts_pending > 0 &&
           target.durable_end > target.acknowledged_end &&
           now - target.last_contact < settings_.order_timeout;
}

// Whether an order that was meant for an earlier incarnation may have granted
// its lease to the one that has just answered `poll`. An order whose call ended
// before the new incarnation started has a lower token than `poll`, so it would
// be refused now. The clock of an incarnation starts with it, and so tells its
// greatest age.
bool owner::may_hold_earlier_lease(common::time_point now,
                                   worker const& target,
                                   sent_poll const& poll)
{
    auto const max_age = std::chrono::milliseconds(target.clock_ms);
    return poll.lease_until_ms > 0 || target.starts_pending > 0 ||
           now - target.unconfirmed_lease_at <= max_age;
}

// Returns the tasks of the worker without those whose present attempt the
// incarnation that sent `reply` has confirmed or may still confirm: it lists
// the attempt, it has answered the start, or that is still to be answered.
owner::task_names owner::runs_of_earlier_incarnation(worker const& target,
                                                     order_reply const& reply)
{
    std::set<ports::pool_attempt> listed;
    for (auto const& row : reply.running)
    {
        listed.insert(row.attempt_id);
    }
    for (auto const& row : reply.ended)
    {
        listed.insert(row.attempt_id);
    }
    auto result = target.runs;
    std::erase_if(result,
                  [this, &listed, &reply](ports::task_name const& name)
                  {
                      auto const* const t = find_task(name).state;
                      return t != nullptr &&
                             (t->phase == task_phase::starting ||
                              t->worker_incarnation == reply.incarnation ||
                              listed.contains({name, t->attempt}));
                  });
    return result;
}

} // namespace fuchsia::core::pool
