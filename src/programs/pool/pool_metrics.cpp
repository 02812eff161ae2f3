#include "programs/pool/pool_metrics.hpp"

namespace fuchsia::programs::pool
{

namespace
{

using adapters::metrics::seconds;

struct duration_row
{
    char const* name;
    char const* help;
};

// In the order of `ports::pool_measure`.
constexpr std::array<duration_row, 5> duration_rows{
    {{"fuchsia_pool_accept_seconds", "Submission to answer"},
     {"fuchsia_pool_wait_seconds", "Acceptance to first start"},
     {"fuchsia_pool_job_seconds", "Acceptance to recorded end"},
     {"fuchsia_pool_end_durable_seconds", "End heard to end written"},
     {"fuchsia_pool_takeover_seconds", "Claim to knowing what runs"}}};

// In the order of the alternatives of `ports::kv_operation`.
constexpr std::array<char const*, 7> store_kinds{
    "read", "range", "watch", "commit", "grant", "renew", "end_lease"};
constexpr std::array<char const*, 6> store_results{
    "done", "conflict", "missing", "compacted", "refused", "unclear"};
constexpr std::array<char const*, 4> order_kinds{
    "hold", "start", "stop", "pace"};
constexpr std::array<char const*, 12> order_results{"done",
                                                    "stale_fence",
                                                    "superseded",
                                                    "late",
                                                    "no_room",
                                                    "no_ticket",
                                                    "invalid",
                                                    "unhealthy",
                                                    "other_instance",
                                                    "not_sent",
                                                    "held_back",
                                                    "unclear"};

} // namespace

pool_metrics::pool_metrics(adapters::metrics::registry& registry)
    : registry_(registry)
{
    for (std::size_t index = 0; index < duration_rows.size(); ++index)
    {
        durations_[index] = &registry_.latency(duration_rows[index].name,
                                               duration_rows[index].help);
    }
    sample({}, nullptr);
}

void pool_metrics::on_call_start(core::common::time_point now,
                                 ports::kv_call const& call)
{
    open_[call.id] = {call.operation.index(), now};
}

void pool_metrics::on_call_start(core::common::time_point now,
                                 ports::pool_order const& order)
{
    open_[order.id] = {order.operation.index(), now};
}

void pool_metrics::on_call_end(core::common::time_point now,
                               ports::kv_reply const& reply)
{
    auto const found = open_.find(reply.id);
    if (found == open_.end())
    {
        return;
    }
    auto const kind = found->second.kind;
    auto const result = static_cast<std::size_t>(reply.status);
    auto*& histogram = store_[kind][result];
    if (histogram == nullptr)
    {
        histogram = &registry_.latency(
            "fuchsia_pool_store_seconds",
            "Calls of the store",
            {{"kind", store_kinds[kind]}, {"result", store_results[result]}});
    }
    histogram->Observe(seconds(now - found->second.started_at));
    open_.erase(found);
}

void pool_metrics::on_call_end(core::common::time_point now,
                               ports::order_reply const& reply)
{
    auto const found = open_.find(reply.id);
    if (found == open_.end())
    {
        return;
    }
    auto const kind = found->second.kind;
    auto const result = static_cast<std::size_t>(reply.status);
    auto*& histogram = orders_[kind][result];
    if (histogram == nullptr)
    {
        histogram = &registry_.latency(
            "fuchsia_pool_order_seconds",
            "Orders to workers",
            {{"kind", order_kinds[kind]}, {"result", order_results[result]}});
    }
    histogram->Observe(seconds(now - found->second.started_at));
    open_.erase(found);
}

void pool_metrics::observe(ports::duration_sample const& observation)
{
    durations_[static_cast<std::size_t>(observation.metric)]->Observe(
        seconds(observation.elapsed));
}

void pool_metrics::sample(core::common::time_point now,
                          core::pool::owner const* active_owner)
{
    registry_.gauge("fuchsia_pool_owner", "1 while this instance schedules")
        .Set(active_owner != nullptr ? 1 : 0);
    registry_
        .gauge("fuchsia_pool_working_owner",
               "1 while this instance schedules and knows what runs")
        .Set(active_owner != nullptr && active_owner->working() ? 1 : 0);
    if (active_owner == nullptr)
    {
        return;
    }
    auto const& counts = active_owner->counters();
    auto const set =
        [this](char const* name, char const* help, std::uint64_t value)
    {
        registry_.gauge(name, help).Set(static_cast<double>(value));
    };
    set("fuchsia_pool_starts", "Tasks started", counts.starts);
    set("fuchsia_pool_starts_refused",
        "Starts that workers refused",
        counts.starts_refused);
    set("fuchsia_pool_starts_unclear",
        "Starts without an answer",
        counts.starts_unclear);
    set("fuchsia_pool_tokens_superseded",
        "Fencing tokens replaced for an order that may be late",
        counts.tokens_superseded);
    set("fuchsia_pool_orders_overtaken",
        "Orders refused after one with a higher fencing token",
        counts.orders_overtaken);
    set("fuchsia_pool_tasks_done", "Tasks done", counts.tasks_done);
    set("fuchsia_pool_tasks_failed", "Runs that failed", counts.tasks_failed);
    set("fuchsia_pool_tasks_lost",
        "Runs that ended with their worker or lease",
        counts.tasks_lost);
    set("fuchsia_pool_tasks_blamed",
        "Lost runs that may have crashed their worker",
        counts.tasks_blamed);
    set("fuchsia_pool_ends_unused",
        "Listed ends of tasks that were done or whose job was over",
        counts.ends_unused);
    set("fuchsia_pool_paced",
        "Changes of a task's speed",
        counts.speed_limit_changes);
    registry_
        .gauge("fuchsia_pool_over_target_seconds",
               "Time of workers with a serving task over its latency target")
        .Set(seconds(counts.over_target));
    registry_
        .gauge("fuchsia_pool_longest_over_target_seconds",
               "Longest time on end with a serving task over its target")
        .Set(seconds(counts.longest_miss));
    set("fuchsia_pool_evicted",
        "Tasks moved away from serving ones",
        counts.evicted);
    set("fuchsia_pool_regrouped",
        "Serving tasks moved to where they keep less work out",
        counts.rebalanced);
    set("fuchsia_pool_rounds", "Rounds of placing", counts.rounds);
    set("fuchsia_pool_workers_scored",
        "Workers looked at for a task",
        counts.scored);
    set("fuchsia_pool_jobs_finished", "Jobs ended", counts.jobs_finished);
    set("fuchsia_pool_commits_waiting",
        "Entries of the owner that are not durable yet",
        active_owner->commits().waiting());
    registry_
        .gauge("fuchsia_pool_commit_lag_seconds",
               "How long the oldest entry that is not durable has waited")
        .Set(seconds(active_owner->commits().lag(now)));
}

std::size_t pool_metrics::open() const noexcept
{
    return open_.size();
}

} // namespace fuchsia::programs::pool
