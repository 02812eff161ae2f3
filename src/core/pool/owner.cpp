#include "core/pool/owner.hpp"

#include "core/pool/keys.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

using ports::kv_reply;
using ports::kv_status;
using ports::severity;

constexpr common::duration watch_wait = std::chrono::milliseconds(1000);
constexpr common::duration rank_interval = std::chrono::milliseconds(500);
// Jobs, progress, roster, final states and interference estimates.
constexpr std::uint32_t part_count = 5;

} // namespace

owner::owner(owner_settings const& settings,
             platform_records const& records,
             operator_state const& operators,
             claim& own_claim,
             outbox& out,
             common::time_point now)
    : settings_(settings), platform_records_(records), operators_(operators),
      claim_(own_claim), out_(out), digest_(out),
      ledger_(settings.commits, own_claim, out, now), fleet_(settings.workers),
      list_(settings.list,
            records,
            out,
            [this](common::time_point at, worker_changes const& changes)
            {
                apply_worker_list(at, changes);
            }),
      colocation_(settings.colocation), created_at_(now),
      loading_parts_(part_count)
{
    load_roster(now);
    load_jobs(now);
    load_progress(now);
    load_final_states(now);
    load_estimates(now);
    list_.tick(now);
}

void owner::tick(common::time_point now)
{
    digest_.tick(now);
    if (stopped_)
    {
        ledger_.tick(now);
        return;
    }
    run_retries(now);
    resend_reads(now);
    list_.note(ledger_.last_commit().sent_at, ledger_.last_commit().revision);
    list_.tick(now);
    if (!loaded_)
    {
        check_load_timeout(now);
        return;
    }
    hand_over_if_watch_stalled(now);
    hand_over_if_workers_silent(now);
    check_silent_workers(now);
    complete_takeover(now);
    update_roster_if_due(now);
    poll_workers(now);
    for (auto const& id : scheduled_jobs_)
    {
        if (auto* const run = find_job(id))
        {
            open_steps(now, *run);
        }
    }
    if (now >= next_rank_)
    {
        rank_again(now);
        observe_short_job_demand(now);
        drop_old_final_states(now);
        drop_unmatched_cancels(now);
        next_rank_ = now + rank_interval;
    }
    dispatch_requested_ = dispatch_requested_ || now >= next_dispatch_;
    dispatch_if_requested(now);
    rebalance(now);
    save_all_progress();
    log_load(now);
    write_backlog(now);
    write_estimates(now);
    ledger_.tick(now);
}

// On a large pool a thousand tasks end per second, and each end may free
// capacity. A dispatch round examines all workers for each kind of waiting
// task; one round per end took most of the owner's processor time and delayed
// its orders by seconds. Rounds a few milliseconds apart handle many ends at
// once.
void owner::dispatch_if_requested(common::time_point now)
{
    if (!dispatch_requested_ || now < last_dispatch_ + settings_.dispatch_pause)
    {
        return;
    }
    dispatch_requested_ = false;
    last_dispatch_ = now;
    ++counters_.rounds;
    next_dispatch_ = now + settings_.dispatch_interval;
    dispatch(now);
}

// No task starts while an owner loads. Without this timeout an owner whose link
// is too slow for the state would keep the claim, and all jobs waiting,
// forever.
void owner::check_load_timeout(common::time_point now)
{
    if (now - std::max(created_at_, load_advanced_at_) > settings_.load_timeout)
    {
        claim_.hand_over(now, "the state did not load in time");
    }
}

// An owner whose watch is stalled starts no new jobs and reports outdated
// counts, and no other instance replaces it as long as its claim is renewed.
// While the store does not answer at all, a successor could do no better, so
// that time does not count.
void owner::hand_over_if_watch_stalled(common::time_point now)
{
    if (now - claim_.confirmed_at() >= settings_.workers.unconfirmed_limit)
    {
        store_silent_at_ = now;
    }
    if (now - std::max(
                  {watch_answered_at_, load_advanced_at_, store_silent_at_}) >
        settings_.stalled_watch_timeout)
    {
        claim_.hand_over(now, "the watch for jobs is not answered");
    }
}

// An owner that reaches no worker can't renew their leases, and all tasks end
// with them. Another instance may still reach the workers.
void owner::hand_over_if_workers_silent(common::time_point now)
{
    if (fleet_.all().empty())
    {
        without_workers_at_ = now;
        return;
    }
    auto const since = std::max({worker_answered_at_,
                                 load_advanced_at_,
                                 store_silent_at_,
                                 without_workers_at_});
    bool const answered = worker_answered_at_ != common::time_point{};
    auto const limit = answered ? settings_.silent_workers_timeout
                                : settings_.first_answer_timeout;
    if (now - since > limit)
    {
        claim_.hand_over(now, "no worker answers");
    }
}

// A refusal arrives within milliseconds. Immediate retries in a loop would use
// up the processor time and the calls that all other work needs.
void owner::retry_later(common::time_point now,
                        std::function<void(common::time_point)> action)
{
    retries_.emplace_back(now + settings_.retry_pause, std::move(action));
}

void owner::run_retries(common::time_point now)
{
    while (!retries_.empty() && retries_.front().first <= now)
    {
        auto const action = std::move(retries_.front().second);
        retries_.pop_front();
        action(now);
    }
}

void owner::on_operators(common::time_point now)
{
    if (loaded_ && !stopped_)
    {
        rank_again(now);
        dispatch(now);
    }
}

void owner::stop() noexcept
{
    stopped_ = true;
}

bool owner::loaded() const noexcept
{
    return loaded_;
}

bool owner::working() const noexcept
{
    return takeover_complete_;
}

owner_counters const& owner::counters() const noexcept
{
    return counters_;
}

ledger const& owner::commits() const noexcept
{
    return ledger_;
}

// A store that does not answer this owner may have granted the claim to a
// successor that can't reach all workers that this owner reaches. Once the
// successor has raised the fencing token on more than half of the workers, it
// relies on this owner sending no more orders.
bool owner::may_act(common::time_point now) const
{
    auto const& limits = settings_.workers;
    auto const unconfirmed = now - claim_.confirmed_at();
    bool const confirmed = unconfirmed < limits.unconfirmed_limit ||
                           (unconfirmed < limits.quorum_limit &&
                            has_quorum(now - limits.quorum_window));
    return !stopped_ && claim_.held() && confirmed;
}

void owner::watch(common::time_point now)
{
    out_.store(
        life_,
        ports::kv_watch{
            std::string(keys::watched_prefix), watched_revision_, watch_wait},
        watch_wait + settings_.call_timeout,
        [this, requested_at = now](common::time_point at, kv_reply const& reply)
        {
            on_watch(at, requested_at, reply);
        });
}

// An answer without events does not advance the revision at which the next
// watch starts, so that events missed by a stalled watch arrive with the next
// working one. Until then all pages are read again whenever a watch is known to
// be stalled.
void owner::on_watch(common::time_point now,
                     common::time_point requested_at,
                     kv_reply const& reply)
{
    if (reply.status == kv_status::compacted)
    {
        out_.log(severity::warning,
                 "history_lost",
                 {{"after", std::to_string(watched_revision_)}});
        load_jobs(now);
        return;
    }
    if (reply.status != kv_status::done)
    {
        retry_later(now,
                    [this](common::time_point then)
                    {
                        watch(then);
                    });
        return;
    }
    if (is_stalled(requested_at, reply))
    {
        out_.log(severity::warning,
                 "watch_deaf",
                 {{"after", std::to_string(watched_revision_)},
                  {"written", std::to_string(backlog_revision_)}});
        load_jobs(now);
        return;
    }
    for (auto const& item : reply.items)
    {
        watched_revision_ = std::max(watched_revision_, item.revision);
        apply_item(now, item);
    }
    synced_revision_ =
        std::max({synced_revision_, watched_revision_, reply.revision});
    synced_until_ = requested_at;
    watch_answered_at_ = now;
    if (!claim_.held())
    {
        return;
    }
    watch(now);
    if (!reply.items.empty())
    {
        tick(now);
    }
}

// This owner writes the backlog below the watched prefix, so a watch that
// returns no event for that write has missed it.
bool owner::is_stalled(common::time_point requested_at,
                       kv_reply const& reply) const
{
    bool const revision_visible = reply.revision >= backlog_revision_ ||
                                  requested_at >= backlog_current_at_;
    return reply.items.empty() && backlog_revision_ > watched_revision_ &&
           revision_visible;
}

void owner::apply_item(common::time_point now, ports::kv_item const& item)
{
    if (item.key == keys::claim)
    {
        claim_.on_item(now, item);
        return;
    }
    if (item.erased || !item.key.starts_with(keys::job_prefix))
    {
        return;
    }
    if (!item.key.ends_with(keys::cancel_suffix))
    {
        add_job(now, item);
        return;
    }
    auto const length =
        item.key.size() - keys::job_prefix.size() - keys::cancel_suffix.size();
    auto const id = item.key.substr(keys::job_prefix.size(), length);
    auto* const run = find_job(id);
    if (run != nullptr && run->phase != job_phase::recorded)
    {
        run->cancel_key = true;
        cancel_job(now, *run);
        return;
    }
    bool const goes_with_job = run != nullptr && run->cancel_key;
    if (!goes_with_job)
    {
        unmatched_cancels_[item.key] = now;
    }
}

void owner::add_job(common::time_point now, ports::kv_item const& item)
{
    auto const id = item.key.substr(keys::job_prefix.size());
    if (jobs_.contains(id) || final_states_.contains(id))
    {
        return;
    }
    common::failure reason;
    auto spec = parse_job(item.value, reason);
    auto const* const rules =
        spec ? operators_.config.named(spec->queue) : nullptr;
    if (!spec)
    {
        out_.log(severity::error,
                 "job_unreadable",
                 {{"key", item.key}, {"why", common::to_string(reason)}});
        return;
    }
    bool const just_accepted = loaded_ && loading_parts_ == 0;
    spec->accepted_unix_ms = accepted_by_own_clock(now, *spec, just_accepted);
    queue fallback;
    fallback.name = spec->queue;
    auto const& queue_rules = rules != nullptr ? *rules : fallback;
    auto& run =
        jobs_
            .emplace(id,
                     make_job_run(std::move(*spec), item.revision, queue_rules))
            .first->second;
    bool const scheduled =
        run.spec.occurrences > 1 || run.spec.first_unix_ms > 0;
    if (scheduled)
    {
        scheduled_jobs_.push_back(id);
    }
    for (auto& occurrence : run.occurrences)
    {
        for (std::size_t number = 0; number < occurrence.steps.size(); ++number)
        {
            occurrence.steps[number].image =
                colocation_.number_of(run.spec.steps[number].image);
        }
    }
    if (just_accepted)
    {
        open_steps(now, run);
    }
}

// A job's acceptance time is by the clock of the instance that accepted it, and
// the clocks of machines differ by up to seconds. With a time ahead of this
// clock the job's deadline would be much later than its submitter expects; with
// one behind it the job would be late on arrival and be scheduled after all
// others. A job that was just accepted is taken to be accepted now, which is
// right to within 10 ms.
std::int64_t owner::accepted_by_own_clock(common::time_point now,
                                          job const& spec,
                                          bool just_accepted) const
{
    auto const now_ms = out_.unix_ms(now);
    return just_accepted ? now_ms : std::min(spec.accepted_unix_ms, now_ms);
}

std::optional<ports::job_state> owner::state_of(std::string const& id) const
{
    auto const final_state = final_states_.find(id);
    if (final_state != final_states_.end())
    {
        return final_state->second;
    }
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return std::nullopt;
    }
    auto const& run = found->second;
    if (run.phase == job_phase::cancelling)
    {
        return ports::job_state::cancelled;
    }
    return run.started ? ports::job_state::active : ports::job_state::queued;
}

owner::known_task owner::find_task(ports::task_name const& name)
{
    auto* const run = find_job(name.job);
    auto* const t = run != nullptr ? run->find(name) : nullptr;
    return t != nullptr ? known_task{run, t} : known_task{};
}

job_run* owner::find_job(std::string const& id)
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

} // namespace fuchsia::core::pool
