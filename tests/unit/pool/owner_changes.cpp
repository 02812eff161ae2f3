#include "owner_changes.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace fuchsia::tests::unit::pool
{

namespace
{

constexpr double small_factor = 0.05;
constexpr duration step = 50ms;
constexpr duration job_interval = 1s;
constexpr std::uint32_t tasks_per_job = 2;
constexpr std::uint32_t tasks_per_lasting_job = 6;
constexpr std::size_t lasting_jobs = 4;
// So many that the others have room for all tasks twice over.
constexpr std::size_t max_crashed_workers = 8;
constexpr duration freeze_interval = 2500ms;
constexpr duration freeze_length = 1500ms;

// The users' rule (LOST): a task that could run has no run for 3 s, and these
// and the 4 s before them are calm. For a task that lasts, the 3 s begin 6 s
// after its last run at the earliest.
constexpr duration time_without_run = 3s;
constexpr duration calm_before = 4s;
constexpr duration pause_after_lasting_run = 6s;

constexpr std::size_t reported_lines = 60;

struct trouble_name
{
    trouble kind;
    std::string_view name;
};

constexpr std::array trouble_names{
    trouble_name{trouble::late_takeover_writes, "late_takeover_writes"},
    trouble_name{trouble::lost_takeover_answers, "lost_takeover_answers"},
    trouble_name{trouble::refused_lease_grants, "refused_lease_grants"},
    trouble_name{trouble::lost_lease_grants, "lost_lease_grants"},
    trouble_name{trouble::refused_claim_writes, "refused_claim_writes"},
    trouble_name{trouble::lost_claim_writes, "lost_claim_writes"},
    trouble_name{trouble::lost_claim_answers, "lost_claim_answers"},
    trouble_name{trouble::late_claim_writes, "late_claim_writes"},
    trouble_name{trouble::stalled_claim_watches, "stalled_claim_watches"},
    trouble_name{trouble::lost_renewals, "lost_renewals"},
    trouble_name{trouble::refused_renewals, "refused_renewals"},
    trouble_name{trouble::lost_state_reads, "lost_state_reads"},
    trouble_name{trouble::stalled_job_watches, "stalled_job_watches"},
    trouble_name{trouble::lost_configuration, "lost_configuration"},
    trouble_name{trouble::lost_commits, "lost_commits"},
    trouble_name{trouble::frozen_again_and_again, "frozen_again_and_again"},
    trouble_name{trouble::lost_orders, "lost_orders"},
};

bool writes_key(ports::kv_operation const& call, std::string_view key)
{
    auto const* const commit = std::get_if<ports::kv_commit>(&call);
    return commit != nullptr && std::any_of(commit->puts.begin(),
                                            commit->puts.end(),
                                            [key](ports::kv_put const& put)
                                            {
                                                return put.key == key;
                                            });
}

// Whether the call writes the claim or asks its holder for it.
bool writes_claim(ports::kv_operation const& call)
{
    return writes_key(call, "pool/claim") || writes_key(call, "pool/handover");
}

// Whether the call asks the holder for the claim or takes the claim from it.
bool takes_held_claim(ports::kv_operation const& call)
{
    if (!writes_key(call, "pool/claim"))
    {
        return writes_key(call, "pool/handover");
    }
    auto const& conditions = std::get<ports::kv_commit>(call).preconditions;
    return std::any_of(conditions.begin(),
                       conditions.end(),
                       [](ports::kv_precondition const& condition)
                       {
                           return condition.key == "pool/claim" &&
                                  condition.revision > 0;
                       });
}

bool watches(ports::kv_operation const& call, std::string_view prefix)
{
    auto const* const watch = std::get_if<ports::kv_watch>(&call);
    return watch != nullptr && watch->prefix == prefix;
}

bool reads_configuration(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    return watches(call, "operators/") ||
           (range != nullptr && range->prefix == "operators/");
}

// Whether the call reads the state that an earlier owner has stored.
bool reads_state(ports::kv_operation const& call)
{
    auto const* const range = std::get_if<ports::kv_range>(&call);
    return range != nullptr &&
           (range->prefix == "pool/" || range->prefix == "progress/" ||
            range->prefix == "final/");
}

bool concerns_owner(std::string const& event)
{
    return (event.starts_with("claim_") && event != "claim_observed") ||
           event.starts_with("owner_") || event == "state_loaded" ||
           event == "takeover_settled" || event == "watch_deaf" ||
           event == "tick_late";
}

std::string in_seconds(duration length)
{
    std::ostringstream out;
    out << static_cast<double>(core::common::to_milliseconds(length)) / 1000;
    return out.str();
}

std::size_t instance_count(pool_shape shape)
{
    return shape.large + shape.small;
}

} // namespace

std::string_view name_of(trouble kind)
{
    return std::find_if(trouble_names.begin(),
                        trouble_names.end(),
                        [kind](trouble_name const& entry)
                        {
                            return entry.kind == kind;
                        })
        ->name;
}

std::vector<trouble> const& all_troubles()
{
    static auto const result = []
    {
        std::vector<trouble> kinds;
        kinds.reserve(trouble_names.size());
        for (auto const& entry : trouble_names)
        {
            kinds.push_back(entry.kind);
        }
        return kinds;
    }();
    return result;
}

changing_pool::changing_pool(pool_shape shape)
    : shape_(shape), simulation_(instance_count(shape), shape.workers),
      started_at_(simulation_.now()), last_worked_at_(simulation_.now())
{
    for (std::size_t number = 0; number < instance_count(shape_); ++number)
    {
        simulation_.kill(number);
        simulation_.set_speed_factor(number,
                                     number < shape_.large ? 1 : small_factor);
    }
    // The claim that an instance took in the constructor ends.
    simulation_.run(3s);
    simulation_.store_fault =
        [this](std::size_t instance, ports::kv_operation const& call)
    {
        return store_effect(instance, call);
    };
    simulation_.worker_fault =
        [this](std::size_t instance, std::size_t, ports::pool_operation const&)
    {
        return worker_effect(instance);
    };
    started_at_ = simulation_.now();
    last_worked_at_ = simulation_.now();
}

void changing_pool::start(std::size_t instance)
{
    down_instances_.erase(instance);
    simulation_.start(instance);
}

void changing_pool::start(std::vector<std::size_t> const& order, duration pause)
{
    for (auto const instance : order)
    {
        start(instance);
        run(pause);
    }
}

std::vector<std::size_t> changing_pool::large_instances() const
{
    std::vector<std::size_t> result;
    for (std::size_t number = 0; number < shape_.large; ++number)
    {
        result.push_back(number);
    }
    return result;
}

std::vector<std::size_t> changing_pool::small_instances() const
{
    std::vector<std::size_t> result;
    for (std::size_t number = 0; number < shape_.small; ++number)
    {
        result.push_back(shape_.large + number);
    }
    return result;
}

void changing_pool::submit_lasting_jobs()
{
    for (std::size_t number = 0; number < lasting_jobs; ++number)
    {
        submit("lasts" + std::to_string(number), true, tasks_per_lasting_job);
    }
    next_job_at_ = simulation_.now();
}

bool changing_pool::begin_work()
{
    simulation_.run_until(
        [this]
        {
            return simulation_.working_owner().has_value();
        });
    last_worked_at_ = simulation_.now();
    // An instance accepts jobs once it has read the configuration.
    run(2s);
    submit_lasting_jobs();
    run(2s);
    return std::all_of(jobs_.begin(),
                       jobs_.begin() + lasting_jobs,
                       [this](tracked_job const& job)
                       {
                           return job.accepted && simulation_.running_count(
                                                      {job.id, 0, 0, 0}) == 1;
                       });
}

void changing_pool::begin(trouble kind, std::vector<std::size_t> const& on)
{
    troubles_[kind].insert(on.begin(), on.end());
}

void changing_pool::end_all_troubles()
{
    troubles_.clear();
}

void changing_pool::kill_holder(std::optional<duration> pause)
{
    auto const holder = simulation_.claim_holder();
    if (!holder)
    {
        return;
    }
    simulation_.kill(*holder);
    down_instances_.insert(*holder);
    if (pause)
    {
        restarts_[*holder] = simulation_.now() + *pause;
        impaired_until_ = std::max(impaired_until_, restarts_[*holder]);
    }
}

void changing_pool::kill_all()
{
    for (std::size_t number = 0; number < instance_count(shape_); ++number)
    {
        simulation_.kill(number);
        down_instances_.insert(number);
    }
}

void changing_pool::crash_next_worker(duration down_time)
{
    if (crashed_workers_ < max_crashed_workers)
    {
        simulation_.set_crash_recovery(down_time, false);
        simulation_.crash_worker(crashed_workers_++);
        auto const returns_at = simulation_.now() + down_time;
        impaired_until_ = down_time < never
                              ? std::max(impaired_until_, returns_at)
                              : impaired_until_;
    }
}

void changing_pool::end_impairments()
{
    troubles_.clear();
    if (impaired_until_ >= simulation_.now())
    {
        run(impaired_until_ - simulation_.now() + step);
    }
}

void changing_pool::calm_down()
{
    calm_since_ = simulation_.now();
}

void changing_pool::run(duration length)
{
    auto const until = simulation_.now() + length;
    while (simulation_.now() < until)
    {
        restart_killed();
        freeze_again();
        submit_due_job();
        simulation_.run(std::min(step, until - simulation_.now()));
        observe_owner();
        observe_jobs();
    }
}

std::string changing_pool::unfinished_jobs(duration timeout)
{
    next_job_at_.reset();
    auto const until = simulation_.now() + timeout;
    std::string result;
    do
    {
        run(step);
        result.clear();
        for (auto const& job : jobs_)
        {
            if (job.accepted && !job.lasting && !finished(job))
            {
                result += job.id + " ";
            }
        }
    } while (!result.empty() && simulation_.now() < until);
    return result;
}

std::string changing_pool::violation() const
{
    return violation_.empty() ? simulation_.violation() : violation_;
}

duration changing_pool::longest_without_owner() const noexcept
{
    return longest_without_owner_;
}

duration changing_pool::total_without_owner() const noexcept
{
    return total_without_owner_;
}

std::size_t changing_pool::owners_that_worked() const noexcept
{
    return owners_that_worked_;
}

std::optional<std::size_t> changing_pool::working_owner() const
{
    return simulation_.working_owner();
}

std::size_t changing_pool::large_owners_replaced() const
{
    auto const& log = simulation_.log();
    return static_cast<std::size_t>(std::count_if(
        log.begin(),
        log.end(),
        [this](logged_line const& line)
        {
            return replaced_owner(line) && line.instance < shape_.large &&
                   text_of(line).find("working=true") != std::string::npos;
        }));
}

std::size_t changing_pool::owners_replaced() const
{
    auto const& log = simulation_.log();
    return static_cast<std::size_t>(
        std::count_if(log.begin(),
                      log.end(),
                      [this](logged_line const& line)
                      {
                          return replaced_owner(line);
                      }));
}

bool changing_pool::replaced_owner(logged_line const& line) const
{
    return line.when >= started_at_ && line.what.event == "owner_ended";
}

std::string changing_pool::report() const
{
    std::vector<std::string> lines;
    for (auto const& line : simulation_.log())
    {
        if (concerns_owner(line.what.event) && line.when >= started_at_)
        {
            lines.push_back(
                in_seconds(line.when - started_at_) + " " +
                (line.instance < shape_.large ? "large " : "small ") +
                std::to_string(line.instance) + " " + text_of(line));
        }
    }
    std::ostringstream out;
    out << "without a working owner: longest "
        << in_seconds(longest_without_owner_) << " s, in all "
        << in_seconds(total_without_owner_)
        << " s; owners that worked: " << owners_that_worked_ << '\n';
    auto const skipped =
        lines.size() > reported_lines ? lines.size() - reported_lines : 0;
    for (std::size_t number = skipped; number < lines.size(); ++number)
    {
        out << lines[number] << '\n';
    }
    return out.str();
}

pool_simulation& changing_pool::simulation() noexcept
{
    return simulation_;
}

bool changing_pool::acts(trouble kind, std::size_t instance) const
{
    auto const found = troubles_.find(kind);
    return found != troubles_.end() && found->second.contains(instance);
}

fault_effect changing_pool::store_effect(std::size_t instance,
                                         ports::kv_operation const& call) const
{
    bool const claims = writes_claim(call);
    bool const takes = takes_held_claim(call);
    bool const grants = std::holds_alternative<ports::kv_lease_grant>(call);
    bool const renews = std::holds_alternative<ports::kv_lease_renew>(call);
    bool const commits = std::holds_alternative<ports::kv_commit>(call);
    struct rule
    {
        trouble kind;
        bool concerned;
        fault_effect effect;
    };
    std::array const rules{
        rule{trouble::late_takeover_writes, takes, fault_effect::executed_late},
        rule{trouble::lost_takeover_answers, takes, fault_effect::answer_lost},
        rule{trouble::refused_lease_grants, grants, fault_effect::refused},
        rule{trouble::lost_lease_grants, grants, fault_effect::answer_lost},
        rule{trouble::refused_claim_writes, claims, fault_effect::refused},
        rule{trouble::lost_claim_writes, claims, fault_effect::request_lost},
        rule{trouble::lost_claim_answers, claims, fault_effect::answer_lost},
        rule{trouble::late_claim_writes, claims, fault_effect::executed_late},
        rule{trouble::stalled_claim_watches,
             watches(call, "pool/claim"),
             fault_effect::watch_stalled},
        rule{trouble::lost_renewals, renews, fault_effect::request_lost},
        rule{trouble::refused_renewals, renews, fault_effect::refused},
        rule{trouble::lost_state_reads,
             reads_state(call),
             fault_effect::request_lost},
        rule{trouble::stalled_job_watches,
             watches_jobs(call),
             fault_effect::watch_stalled},
        rule{trouble::lost_configuration,
             reads_configuration(call),
             fault_effect::request_lost},
        rule{trouble::lost_commits,
             commits && !claims,
             fault_effect::request_lost},
    };
    for (auto const& candidate : rules)
    {
        if (candidate.concerned && acts(candidate.kind, instance))
        {
            return candidate.effect;
        }
    }
    return fault_effect::carried_out;
}

fault_effect changing_pool::worker_effect(std::size_t instance) const
{
    return acts(trouble::lost_orders, instance) ? fault_effect::request_lost
                                                : fault_effect::carried_out;
}

void changing_pool::freeze_again()
{
    auto const found = troubles_.find(trouble::frozen_again_and_again);
    if (found == troubles_.end() || simulation_.now() < next_freeze_)
    {
        return;
    }
    next_freeze_ = simulation_.now() + freeze_interval;
    for (auto const instance : found->second)
    {
        simulation_.freeze(instance, freeze_length);
    }
    impaired_until_ =
        std::max(impaired_until_, simulation_.now() + freeze_length);
}

void changing_pool::restart_killed()
{
    for (auto it = restarts_.begin(); it != restarts_.end();)
    {
        if (it->second > simulation_.now())
        {
            ++it;
            continue;
        }
        start(it->first);
        it = restarts_.erase(it);
    }
}

void changing_pool::submit_due_job()
{
    if (!next_job_at_ || *next_job_at_ > simulation_.now())
    {
        return;
    }
    next_job_at_ = simulation_.now() + job_interval;
    submit("ends" + std::to_string(next_job_++), false, tasks_per_job);
}

std::size_t changing_pool::accepting_instance() const
{
    auto number = instance_count(shape_) - 1;
    while (number > shape_.large && down_instances_.contains(number))
    {
        --number;
    }
    return number;
}

void changing_pool::submit(std::string const& id,
                           bool lasting,
                           std::uint32_t tasks)
{
    auto job = simple_job(tasks, 1s);
    job.steps.front().long_running = lasting;
    if (lasting)
    {
        job.spec = "lasts";
    }
    tracked_job tracked;
    tracked.id = id;
    tracked.tasks = tasks;
    tracked.lasting = lasting;
    tracked.request =
        simulation_.submit(accepting_instance(), id, std::move(job));
    jobs_.push_back(std::move(tracked));
}

void changing_pool::observe_owner()
{
    auto const now = simulation_.now();
    auto const owner = simulation_.working_owner();
    if (!owner)
    {
        total_without_owner_ += step;
        longest_without_owner_ =
            std::max(longest_without_owner_, now - last_worked_at_);
        return;
    }
    last_worked_at_ = now;
    auto const epoch = simulation_.store().find("pool/claim")->revision;
    owners_that_worked_ += epoch != last_epoch_ ? 1U : 0U;
    last_epoch_ = epoch;
}

void changing_pool::observe_jobs()
{
    for (auto& job : jobs_)
    {
        if (accept(job) && (job.lasting || !finished(job)))
        {
            observe(job);
            check(job);
        }
    }
}

bool changing_pool::accept(tracked_job& job)
{
    if (job.accepted)
    {
        return true;
    }
    auto const answer = simulation_.answer(job.request);
    job.accepted =
        answer && std::holds_alternative<ports::job_accepted>(*answer);
    if (job.accepted)
    {
        job.last_run.assign(job.tasks, simulation_.now());
        job.last_run_of_any = simulation_.now();
    }
    return job.accepted;
}

void changing_pool::observe(tracked_job& job)
{
    for (std::uint32_t index = 0; index < job.tasks; ++index)
    {
        if (simulation_.running_count({job.id, 0, 0, index}) > 0)
        {
            job.last_run[index] = simulation_.now();
            job.last_run_of_any = simulation_.now();
        }
    }
}

bool changing_pool::finished(tracked_job const& job) const
{
    return simulation_.store().find("final/" + job.id).has_value();
}

bool changing_pool::has_pending_task(tracked_job const& job) const
{
    for (std::uint32_t index = 0; index < job.tasks; ++index)
    {
        if (!simulation_.ended_done({job.id, 0, 0, index}))
        {
            return true;
        }
    }
    return false;
}

bool changing_pool::breaks_rule(time_point last_run) const
{
    if (!calm_since_)
    {
        return false;
    }
    auto const begin = std::max(last_run, *calm_since_ + calm_before);
    return simulation_.now() - begin > time_without_run;
}

void changing_pool::check(tracked_job const& job)
{
    if (job.lasting && finished(job))
    {
        note(job.id + " has ended", job.last_run_of_any);
    }
    if (breaks_rule(job.last_run_of_any) && has_pending_task(job))
    {
        note("nothing of " + job.id + " runs", job.last_run_of_any);
    }
    for (std::uint32_t index = 0; job.lasting && index < job.tasks; ++index)
    {
        if (breaks_rule(job.last_run[index] + pause_after_lasting_run))
        {
            note(job.id + "." + std::to_string(index) + " does not run",
                 job.last_run[index]);
        }
    }
}

void changing_pool::note(std::string const& what, time_point last_run)
{
    if (violation_.empty())
    {
        violation_ =
            "at " + in_seconds(simulation_.now() - started_at_) +
            " s: " + what + ", the last time at " +
            in_seconds(last_run - started_at_) + " s, calm since " +
            (calm_since_ ? in_seconds(*calm_since_ - started_at_) : "never") +
            " s";
    }
}

} // namespace fuchsia::tests::unit::pool
