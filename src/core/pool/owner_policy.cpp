#include "core/pool/owner.hpp"

#include <algorithm>
#include <utility>

// Steps that a policy allows on some workers only.
namespace fuchsia::core::pool
{

namespace
{

// Named in one call, which takes longer for each.
constexpr std::size_t least_workers = 12;
constexpr std::size_t most_workers = 30;
// A ticket is not used any more this long before it ends.
constexpr common::duration ticket_reserve = std::chrono::milliseconds(150);
constexpr common::duration call_grace = std::chrono::milliseconds(1500);

} // namespace

bool owner::has_ticket(common::time_point now,
                       step_run const& steps,
                       worker const& on) const
{
    auto const found = steps.tickets.find(on.info.id);
    return found != steps.tickets.end() &&
           found->second.worker_incarnation == on.incarnation &&
           now < found->second.until;
}

// Asks for the step that comes first in the order of work; the service takes
// one call at a time.
void owner::request_policy(common::time_point now, ready_key const& key)
{
    auto& run = *find_job(key.job);
    if (policy_call_pending_ || !run.rules.policy)
    {
        return;
    }
    auto& steps = run.occurrences[key.occurrence].steps[key.step];
    auto workers = workers_for_policy_request(now, run, key);
    if (workers.empty())
    {
        // Everybody was refused or is busy: the policy's answer for a worker
        // does not change, room does.
        return;
    }
    policy_call_pending_ = true;
    auto const& rules = *run.rules.policy;
    auto const takes =
        rules.decision + rules.per_worker * static_cast<int>(workers.size());
    ports::policy_request call;
    call.step = {key.job, key.occurrence, key.step, 0};
    call.workers = std::move(workers);
    call.timeout = takes + call_grace;
    for (auto const& id : call.workers)
    {
        steps.policy_requested_for.insert(id);
    }
    out_.request_policy(life_,
                        std::move(call),
                        [this, key, now](common::time_point at,
                                         ports::policy_reply const& reply)
                        {
                            on_policy_reply(at, now, key, reply);
                        });
}

// Workers that could take a task of the step now: those that the policy has
// allowed before, else those it was not asked about.
std::vector<std::string> owner::workers_for_policy_request(
    common::time_point now, job_run& run, ready_key const& key)
{
    auto const& what = run.spec.steps[key.step];
    auto const& steps = run.occurrences[key.occurrence].steps[key.step];
    std::vector<std::string> known;
    std::vector<std::string> fresh;
    for (auto const& [id, each] : fleet_.all())
    {
        bool const usable =
            !obstacle_of(now, each, run, what) && fits(each, what);
        if (!usable || has_ticket(now, steps, each))
        {
            continue;
        }
        if (steps.tickets.contains(id))
        {
            known.push_back(id);
        }
        else if (!steps.policy_requested_for.contains(id))
        {
            fresh.push_back(id);
        }
    }
    auto& chosen = known.empty() ? fresh : known;
    auto const wanted = std::clamp<std::size_t>(
        std::size_t{2} * what.count, least_workers, most_workers);
    chosen.resize(std::min(chosen.size(), wanted));
    return std::move(chosen);
}

void owner::on_policy_reply(common::time_point now,
                            common::time_point asked,
                            ready_key const& key,
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
    if (!reply.answered)
    {
        steps.policy_requested_for.clear();
        out_.log(ports::severity::warning,
                 "advice_missing",
                 {{"job", key.job},
                  {"step", std::to_string(key.step)},
                  {"after_ms",
                   std::to_string(common::to_milliseconds(now - asked))}});
        return;
    }
    for (auto const& each : reply.allowed)
    {
        auto const* const on = fleet_.find(each.worker);
        if (on != nullptr)
        {
            steps.tickets[each.worker] = {each.ticket,
                                          on->incarnation,
                                          now + reply.valid - ticket_reserve};
        }
    }
    dispatch(now);
}

} // namespace fuchsia::core::pool
