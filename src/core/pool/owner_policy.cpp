#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Steps whose tasks may start only on workers that the policy service allows.
namespace fuchsia::core::pool
{

namespace
{

// Bounds of the maximum number of workers in one policy request. A request
// takes longer for each worker.
constexpr std::size_t min_worker_limit = 12;
constexpr std::size_t max_worker_limit = 30;
// Time before the expiry of a ticket from which on the ticket is not used.
constexpr common::duration ticket_margin = std::chrono::milliseconds(150);
// Bounds of the time for which other steps go first after requests for a step
// that led to nothing. It doubles with each, so that however many such steps
// there are, they don't take up all calls.
constexpr common::duration min_policy_deferral = std::chrono::seconds(1);
constexpr common::duration max_policy_deferral = std::chrono::seconds(60);
// Margin between the expected duration of a policy request and its timeout.
constexpr common::duration call_timeout_margin =
    std::chrono::milliseconds(1500);

} // namespace

bool owner::has_ticket(common::time_point now,
                       step_run const& steps,
                       worker const& target) const
{
    auto const found = steps.tickets.find(target.info.id);
    return found != steps.tickets.end() &&
           found->second.worker_incarnation == target.incarnation &&
           now < found->second.until;
}

// Notes that the step may be the next one that the policy service is asked
// about: the service accepts one concurrent call from each instance. Steps are
// dispatched in order, so the first one that needs a request comes first,
// unless requests for it have led to nothing.
void owner::note_policy_step(common::time_point now, ready_key const& key)
{
    auto& run = *find_job(key.job);
    auto const& steps = run.occurrences[key.occurrence].steps[key.step];
    auto const until = steps.policy_deferred_until;
    bool const deferred = now < until;
    bool const comes_later =
        next_policy_step_ || (deferred && deferred_policy_step_ &&
                              deferred_policy_step_->until <= until);
    if (comes_later || workers_for_policy_request(now, run, key).empty())
    {
        return;
    }
    if (deferred)
    {
        deferred_policy_step_ = {key, until};
        return;
    }
    next_policy_step_ = key;
}

// Sends a request for the step that is next. A deferred one is next if the
// round has not left out another.
void owner::request_next_policy(common::time_point now, bool saw_others)
{
    if (policy_call_pending_)
    {
        return;
    }
    if (next_policy_step_)
    {
        request_policy(now, *std::exchange(next_policy_step_, std::nullopt));
    }
    else if (deferred_policy_step_ && saw_others)
    {
        request_policy(now, deferred_policy_step_->key);
    }
}

void owner::request_policy(common::time_point now, ready_key const& key)
{
    auto* const found = find_job(key.job);
    if (found == nullptr || !found->rules.policy)
    {
        return;
    }
    auto& run = *found;
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    auto workers = workers_for_policy_request(now, run, key);
    if (steps.ready.empty() || workers.empty())
    {
        // Every worker has a valid ticket, was refused by the policy, or can't
        // take a task of the step now. The policy's answer for a worker does
        // not change, but the capacity of the worker does.
        return;
    }
    policy_call_pending_ = true;
    auto const& rules = *run.rules.policy;
    auto const expected_time =
        rules.decision + rules.per_worker * static_cast<int>(workers.size());
    ports::policy_request call;
    call.step = {key.job, key.occurrence, key.step, 0};
    call.workers = std::move(workers);
    call.timeout = expected_time + call_timeout_margin;
    incarnation_by_worker incarnations;
    for (auto const& id : call.workers)
    {
        steps.policy_requested_for.insert(id);
        incarnations[id] = fleet_.find(id)->incarnation;
    }
    out_.request_policy(
        life_,
        std::move(call),
        [this, key, now, incarnations](common::time_point at,
                                       ports::policy_reply const& reply)
        {
            on_policy_reply(at, now, key, incarnations, reply);
        });
}

// Lets other steps go first after a request for this one has led to nothing.
void owner::defer_policy_request(common::time_point now, step_run& steps)
{
    auto const doubled = 2 * steps.policy_deferral;
    steps.policy_deferral =
        std::clamp(doubled, min_policy_deferral, max_policy_deferral);
    steps.policy_deferred_until = now + steps.policy_deferral;
}

// Returns workers that can take a task of the step now but have no valid ticket
// for it: those that the policy has allowed before, or if there are none, those
// that no pending or answered request has named.
std::vector<std::string> owner::workers_for_policy_request(
    common::time_point now, job_run& run, ready_key const& key)
{
    auto const& step_spec = run.spec.steps[key.step];
    auto const& steps = run.occurrences[key.occurrence].steps[key.step];
    std::vector<std::string> allowed_before;
    std::vector<std::string> not_requested;
    for (auto const& [id, w] : fleet_.all())
    {
        bool const usable =
            !obstacle_to_step(now, w, run, step_spec) && fits(w, step_spec);
        if (!usable || has_ticket(now, steps, w))
        {
            continue;
        }
        if (steps.tickets.contains(id))
        {
            allowed_before.push_back(id);
        }
        else if (!steps.policy_requested_for.contains(id))
        {
            not_requested.push_back(id);
        }
    }
    auto& chosen = allowed_before.empty() ? not_requested : allowed_before;
    auto const max_chosen = std::clamp<std::size_t>(
        std::size_t{2} * step_spec.count, min_worker_limit, max_worker_limit);
    chosen.resize(std::min(chosen.size(), max_chosen));
    return std::move(chosen);
}

void owner::on_policy_reply(common::time_point now,
                            common::time_point requested_at,
                            ready_key const& key,
                            incarnation_by_worker const& incarnations,
                            ports::policy_reply const& reply)
{
    policy_call_pending_ = false;
    dispatch_requested_ = true;
    auto* const run = find_job(key.job);
    if (run == nullptr)
    {
        return;
    }
    auto& steps = run->occurrences[key.occurrence].steps[key.step];
    if (!reply.answered || reply.allowed.empty())
    {
        defer_policy_request(now, steps);
    }
    if (!reply.answered)
    {
        steps.policy_requested_for.clear();
        out_.log(
            ports::severity::warning,
            "advice_missing",
            {{"job", key.job},
             {"step", std::to_string(key.step)},
             {"after_ms",
              std::to_string(common::to_milliseconds(now - requested_at))}});
        return;
    }
    for (auto const& grant : reply.allowed)
    {
        // The worker may have restarted since the request.
        auto const found = incarnations.find(grant.worker);
        if (found != incarnations.end())
        {
            steps.tickets[grant.worker] = {
                grant.ticket, found->second, now + reply.valid - ticket_margin};
        }
    }
    dispatch(now);
}

} // namespace fuchsia::core::pool
