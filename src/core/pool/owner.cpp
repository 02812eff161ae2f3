#include "core/pool/owner.hpp"

#include "core/common/json.hpp"
#include "core/pool/keys.hpp"
#include "core/pool/roster.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fuchsia::core::pool
{

namespace
{

namespace json = boost::json;
using ports::kv_reply;
using ports::kv_status;
using ports::severity;

constexpr common::duration watch_wait = std::chrono::milliseconds(1000);
constexpr common::duration load_interval = std::chrono::seconds(1);
constexpr common::duration rank_interval = std::chrono::milliseconds(500);
constexpr common::duration backlog_interval = std::chrono::milliseconds(700);
// Jobs, progress, roster and final states.
constexpr std::uint32_t parts_to_load = 4;

} // namespace

owner::owner(owner_settings const& settings,
             directory const& words,
             operator_state const& operators,
             claim& held,
             outbox& out,
             common::time_point now)
    : settings_(settings), words_(words), operators_(operators), claim_(held),
      out_(out), ledger_(settings.commits, held, out), fleet_(settings.workers),
      colocation_(settings.sharing), began_(now), parts_(parts_to_load)
{
    load_roster();
    load_page("");
    load_progress("");
    load_finals("");
    read_list(now);
}

void owner::tick(common::time_point now)
{
    if (stopped_)
    {
        ledger_.tick(now);
        return;
    }
    if (now >= next_list_ && !listing_)
    {
        read_list(now);
    }
    if (!loaded_)
    {
        return;
    }
    check_silent(now);
    settle(now);
    hold_workers(now);
    for (auto const& id : timed_)
    {
        if (auto* const run = find_job(id))
        {
            open_steps(now, *run);
        }
    }
    if (now >= next_rank_)
    {
        rank_again(now);
        drop_old_finals(now);
        next_rank_ = now + rank_interval;
    }
    if (wants_dispatch_ || now >= next_dispatch_)
    {
        wants_dispatch_ = false;
        next_dispatch_ = now + settings_.dispatch_interval;
        dispatch(now);
    }
    save_all_progress();
    log_load(now);
    write_backlog(now);
    ledger_.tick(now);
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

owner_counters const& owner::counters() const noexcept
{
    return counters_;
}

// A store that is silent towards us may have given the claim to somebody who
// can't reach every worker that we reach. That successor counts on our silence
// once it has raised the fence on half of the workers.
bool owner::may_act(common::time_point now) const
{
    auto const& limits = settings_.workers;
    auto const unconfirmed = now - claim_.confirmed();
    bool const backed = unconfirmed < limits.alone_limit ||
                        (unconfirmed < limits.solo_limit &&
                         fleet_.quorum(now - limits.quorum_window));
    return !stopped_ && claim_.held() && backed;
}

void owner::watch()
{
    out_.store(
        life_,
        ports::kv_watch{std::string(keys::owned_prefix), watched_, watch_wait},
        watch_wait + settings_.call_timeout,
        [this](common::time_point now, kv_reply const& reply)
        {
            on_watch(now, reply);
        });
}

void owner::on_watch(common::time_point now, kv_reply const& reply)
{
    if (reply.status == kv_status::compacted)
    {
        out_.log(severity::warning,
                 "history_lost",
                 {{"after", std::to_string(watched_)}});
        load_page("");
        return;
    }
    if (reply.status != kv_status::done)
    {
        // An endless retry against a silent store costs one call a second.
        watch();
        return;
    }
    watched_ = std::max(watched_, reply.revision);
    for (auto const& item : reply.items)
    {
        take_item(now, item);
    }
    if (!claim_.held())
    {
        return;
    }
    watch();
    if (!reply.items.empty())
    {
        tick(now);
    }
}

void owner::take_item(common::time_point now, ports::kv_item const& item)
{
    if (item.key == keys::claim)
    {
        claim_.on_item(item);
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
    if (auto* const run = find_job(id))
    {
        run->cancel_key = true;
        cancel_job(now, *run);
        return;
    }
    // The job ended while its cancelling was on the way.
    ledger_.write({{}, {item.key}, {}});
}

void owner::add_job(common::time_point now, ports::kv_item const& item)
{
    auto const id = item.key.substr(keys::job_prefix.size());
    if (jobs_.contains(id) || finals_.contains(id))
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
    bool const just_accepted = loaded_ && parts_ == 0;
    spec->accepted_unix_ms = accepted_by_own_clock(now, *spec, just_accepted);
    queue fallback;
    fallback.name = spec->queue;
    auto const& used = rules != nullptr ? *rules : fallback;
    auto& run =
        jobs_.emplace(id, make_job_run(std::move(*spec), item.revision, used))
            .first->second;
    bool const timed = run.spec.occurrences > 1 || run.spec.first_unix_ms > 0;
    if (timed)
    {
        timed_.push_back(id);
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

// The stamp of a job is of the clock of the instance that accepted it, and
// machines disagree about the time of day by up to seconds. By a stamp ahead of
// this clock a job would be late much later than its submitter counts; by one
// behind it, it would be late when it arrives and go behind all others. What
// was just accepted is taken to have come now, within 10 ms of the truth.
std::int64_t owner::accepted_by_own_clock(common::time_point now,
                                          job const& spec,
                                          bool just_accepted) const
{
    auto const now_ms = out_.unix_ms(now);
    return just_accepted ? now_ms : std::min(spec.accepted_unix_ms, now_ms);
}

void owner::read_list(common::time_point now)
{
    listing_ = true;
    next_list_ = now + settings_.list_interval;
    out_.store(life_,
               ports::kv_range{words_.workers_prefix,
                               list_.empty()
                                   ? ""
                                   : words_.workers_prefix + list_.back().id},
               settings_.call_timeout,
               [this](common::time_point at, kv_reply const& reply)
               {
                   on_list(at, reply);
               });
}

void owner::on_list(common::time_point now, kv_reply const& reply)
{
    if (reply.status != kv_status::done)
    {
        listing_ = false;
        list_.clear();
        return;
    }
    for (auto const& item : reply.items)
    {
        common::failure reason;
        auto each = words_.read_worker(item, reason);
        if (!each)
        {
            out_.log(severity::warning,
                     "worker_entry_ignored",
                     {{"key", item.key}, {"why", common::to_string(reason)}});
            continue;
        }
        list_.push_back(std::move(*each));
    }
    if (reply.more && !list_.empty())
    {
        read_list(now);
        return;
    }
    listing_ = false;
    take_list(now);
}

void owner::take_list(common::time_point now)
{
    fleet_.take_list(list_);
    list_.clear();
    list_known_ = true;
    bool missing = false;
    for (auto const& [id, each] : fleet_.all())
    {
        missing = missing || !roster_.contains(id);
    }
    if (missing)
    {
        write_roster();
    }
    if (loaded_)
    {
        tick(now);
    }
}

// A task may start only on a worker that a successor would ask.
void owner::write_roster()
{
    if (roster_writing_ || !loaded_)
    {
        return;
    }
    roster_writing_ = true;
    std::set<std::string> names;
    for (auto const& [id, each] : fleet_.all())
    {
        names.insert(id);
    }
    ledger_.write({{{std::string(keys::roster), to_json(fleet_), 0}},
                   {},
                   [this, names](common::time_point)
                   {
                       roster_writing_ = false;
                       roster_ = names;
                       for (auto const& id : names)
                       {
                           if (auto* const each = fleet_.find(id))
                           {
                               each->rostered = true;
                           }
                       }
                   }});
}

std::map<std::string, std::uint64_t> owner::pending() const
{
    std::map<std::string, std::uint64_t> counts;
    for (auto const& [id, run] : jobs_)
    {
        if (run.phase == job_phase::active && !run.started)
        {
            ++counts[run.spec.queue];
        }
    }
    return counts;
}

void owner::write_backlog(common::time_point now)
{
    if (now < next_backlog_ || backlog_writing_)
    {
        return;
    }
    next_backlog_ = now + backlog_interval;
    auto counts = pending();
    if (counts == told_backlog_)
    {
        return;
    }
    json::object out;
    for (auto const& [queue, count] : counts)
    {
        out[queue] = count;
    }
    told_backlog_ = std::move(counts);
    backlog_writing_ = true;
    ledger_.write({{{std::string(keys::backlog), json::serialize(out), 0}},
                   {},
                   [this](common::time_point)
                   {
                       backlog_writing_ = false;
                   }});
}

void owner::drop_old_finals(common::time_point now)
{
    constexpr std::size_t at_once = 20;
    ledger::entry out;
    auto const old = [this, now](auto const& each)
    {
        return now - each.first >= settings_.final_kept;
    };
    while (!final_times_.empty() && out.erases.size() < at_once &&
           old(final_times_.front()))
    {
        out.erases.push_back(keys::final_state(final_times_.front().second));
        finals_.erase(final_times_.front().second);
        final_times_.erase(final_times_.begin());
    }
    if (!out.erases.empty())
    {
        ledger_.write(std::move(out));
    }
}

// One line that says what binds: who waits, what is in use, what stands still.
void owner::log_load(common::time_point now)
{
    if (now < next_load_line_)
    {
        return;
    }
    next_load_line_ = now + load_interval;
    std::size_t waiting = 0;
    for (auto const& key : ready_)
    {
        auto const* const run = find_job(key.job);
        if (run != nullptr)
        {
            waiting +=
                run->occurrences[key.occurrence].steps[key.step].ready.size();
        }
    }
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    std::int64_t serving = 0;
    std::int64_t fills = 0;
    std::int64_t idle = 0;
    double slowed = 0;
    for (auto& [id, each] : fleet_.all())
    {
        capacity += each.info.capacity.millicores;
        reserved += each.reserved.millicores;
        serving += each.serving_cores;
        fills += each.fill_cores;
        for (auto const& fill : view_of(each).fills)
        {
            slowed += 1 - fill.pace / 100.0;
        }
        idle += std::max<std::int64_t>(each.idle_cores(), 0);
    }
    auto const cores = [](std::int64_t millicores)
    {
        return std::to_string(millicores / 1000);
    };
    out_.log(severity::info,
             "pool_load",
             {{"jobs", std::to_string(jobs_.size())},
              {"steps_waiting", std::to_string(ready_.size())},
              {"tasks_waiting", std::to_string(waiting)},
              {"cores", cores(capacity)},
              {"reserved", cores(reserved)},
              {"serving", cores(serving)},
              {"fills", cores(fills)},
              {"idle", cores(idle)},
              {"fills_slowed", std::to_string(std::lround(slowed))}});
}

std::optional<ports::job_state> owner::state_of(std::string const& id) const
{
    auto const final_state = finals_.find(id);
    if (final_state != finals_.end())
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
    auto* const each = run != nullptr ? run->find(name) : nullptr;
    return each != nullptr ? known_task{run, each} : known_task{};
}

job_run* owner::find_job(std::string const& id)
{
    auto const found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

} // namespace fuchsia::core::pool
