#include "scheduler_model.hpp"

#include <algorithm>

namespace fuchsia::tests::unit::soak
{

namespace
{

constexpr duration tick = 50ms;
constexpr duration faults_end = 34s;
constexpr duration traffic_end = 36s;
constexpr duration final_queries = 56s;
constexpr duration run_end = 60s;
constexpr duration unstable_after_fault = 1s;
/// Time without faults after a planted defect, so that the checker must report
/// it.
constexpr duration undisturbed_after_defect = 12s;
/// Attempt number of runs that the scheduler did not order.
constexpr std::uint32_t unscheduled_attempt = 1000;
/// Worker that the scheduler does not use, with capacity for one task.
constexpr char const* spare_worker = "spare";

enum class stage : std::uint8_t
{
    waiting,
    running,
    done,
};

struct task_model
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    stage now = stage::waiting;
    std::uint32_t attempt = 0;
    std::uint32_t failures = 0;
    std::string worker{};
    time_point ends{};
    bool ended = false; ///< Ended, but not acknowledged yet.
    end_kind outcome = end_kind::done;
};

struct job_model
{
    std::string name;
    job_shape shape;
    time_point accepted{};
    bool stored = false;
    bool answered = false; ///< The caller received the acceptance.
    bool rejected = false;
    bool cancelled = false;
    bool failed = false;
    bool started = false;
    bool never_started = false; ///< A defect: the scheduler never starts it.
    bool planted = false; ///< Part of a defect; the model must not cancel it.
    time_point not_before{}; ///< Earliest time of a start.
    time_point stop_at{};
    std::vector<task_model> tasks;

    bool is_open() const
    {
        return stored && !cancelled && !failed && !completed();
    }
    bool completed() const
    {
        return std::all_of(tasks.begin(),
                           tasks.end(),
                           [](task_model const& task)
                           {
                               return task.now == stage::done;
                           });
    }
    bool ready(task_model const& task) const
    {
        auto const& after = shape.steps[task.step].after;
        return std::all_of(
            tasks.begin(),
            tasks.end(),
            [&](task_model const& other)
            {
                return other.now == stage::done ||
                       std::count(after.begin(), after.end(), other.step) == 0;
            });
    }
    /// Whether some task that `task` depends on has never run.
    bool has_unstarted_dependency(task_model const& task) const
    {
        auto const& after = shape.steps[task.step].after;
        return std::any_of(
            tasks.begin(),
            tasks.end(),
            [&](task_model const& other)
            {
                return other.attempt == 0 &&
                       std::count(after.begin(), after.end(), other.step) > 0;
            });
    }
    job_state state() const
    {
        if (cancelled || failed || completed())
        {
            return cancelled ? job_state::cancelled
                   : failed  ? job_state::failed
                             : job_state::completed;
        }
        return started ? job_state::active : job_state::queued;
    }
    ports::pool_attempt run(task_model const& task) const
    {
        return {{name, 0, task.step, task.index}, task.attempt};
    }
};

struct worker_model
{
    std::string name;
    std::string data_centre;
    bool up = true;
    time_point up_again_at{};
    std::optional<time_point> draining{};
};

struct end_model
{
    std::size_t job = 0;
    std::size_t task = 0;
    time_point acknowledged_at{};
};

struct instance_model
{
    std::string name;
    std::size_t view = 0; ///< Index of the configuration that it uses.
};

class model
{
public:
    model(std::uint64_t seed, model_defect defect)
        : random_(seed), defect_(defect)
    {
    }

    model_result run()
    {
        change_configuration();
        record(capacity_set{spare_worker, 1000});
        while (now_ < origin + run_end)
        {
            now_ += tick;
            step();
        }
        result_.violations = checker_.finish(now_);
        return result_;
    }

private:
    static constexpr time_point origin{1h};

    void step()
    {
        bool const faults = now_ < origin + faults_end;
        end_faults();
        if (faults)
        {
            begin_faults();
            drain_and_evacuate();
        }
        restore_workers();
        follow_configuration();
        traffic();
        acknowledge_ends();
        end_runs();
        start_runs();
        query();
        if (defect_ != model_defect::none && !result_.defect_occurred &&
            one_in(4))
        {
            plant_defect();
        }
    }

    template<class Event>
    void record(Event event)
    {
        checker_.observe({now_, std::move(event)});
    }

    std::uint64_t below(std::uint64_t limit)
    {
        return random_() % limit;
    }
    bool one_in(std::uint64_t count)
    {
        return below(count) == 0;
    }
    duration up_to(duration limit)
    {
        return duration(below(limit.count() + 1));
    }
    template<class Items>
    auto& random_element(Items& items)
    {
        return items[below(items.size())];
    }
    bool is_unstable() const
    {
        return !active_faults_.empty() ||
               now_ < last_fault_end_ + unstable_after_fault;
    }
    /// Whether the checker applies a time limit of this length now.
    bool limit_applies(duration length) const
    {
        return active_faults_.empty() &&
               now_ > last_fault_end_ + time_limits{}.stable_window + length;
    }
    bool may_begin_fault() const
    {
        bool const forced = defect_ == model_defect::no_recovery;
        return now_ > undisturbed_until_ && (!forced || now_ < origin + 5s);
    }

    void begin_fault(std::string const& name, duration length)
    {
        record(fault_state_set{name, true});
        active_faults_[name] = now_ + length;
    }
    void end_faults()
    {
        for (auto entry = active_faults_.begin();
             entry != active_faults_.end();)
        {
            if (entry->second > now_)
            {
                ++entry;
                continue;
            }
            record(fault_state_set{entry->first, false});
            entry = active_faults_.erase(entry);
            last_fault_end_ = now_;
        }
    }
    void begin_faults()
    {
        if (!may_begin_fault())
        {
            return;
        }
        worker_model& worker = random_element(workers_);
        if (one_in(250) && worker.up)
        {
            duration const away = 500ms + up_to(2s);
            begin_fault(worker.name, away);
            crash(worker, away);
            ++result_.crashes;
        }
        if (one_in(500))
        {
            begin_fault("link", up_to(3s));
        }
    }

    /// Crashes the worker; its active runs and unacknowledged ends are lost.
    void crash(worker_model& worker, duration away)
    {
        record(worker_crashed{worker.name});
        worker.up = false;
        worker.draining.reset();
        worker.up_again_at = now_ + away;
        for (job_model& job : jobs_)
        {
            for (task_model& task : job.tasks)
            {
                if (task.now == stage::running && task.worker == worker.name)
                {
                    task.now = stage::waiting;
                }
            }
        }
        ends_[worker.name].clear();
    }
    void drain_and_evacuate()
    {
        worker_model& worker = random_element(workers_);
        if (one_in(200) && worker.up && !worker.draining)
        {
            record(worker_draining{worker.name});
            worker.draining = now_;
        }
        std::string const data_centre_name = one_in(2) ? "dc0" : "dc1";
        if (one_in(150) && evacuated_since_.empty())
        {
            record(data_centre_set{data_centre_name, true});
            evacuated_since_[data_centre_name] = now_;
        }
        if (one_in(100) && may_disturb())
        {
            change_configuration();
        }
    }
    void restore_workers()
    {
        for (worker_model& worker : workers_)
        {
            if (!worker.up && worker.up_again_at <= now_)
            {
                worker.up = true;
            }
            if (worker.draining && *worker.draining + 8s < now_)
            {
                crash(worker, 2s);
            }
        }
        if (!evacuated_since_.empty() &&
            evacuated_since_.begin()->second + 10s < now_)
        {
            record(data_centre_set{evacuated_since_.begin()->first, false});
            evacuated_since_.clear();
        }
    }
    bool may_disturb() const
    {
        return now_ > undisturbed_until_;
    }

    void change_configuration()
    {
        std::set<std::string> queues = versions_.back().first;
        std::string const changed = "x" + std::to_string(below(4));
        if (queues.erase(changed) == 0)
        {
            queues.insert(changed);
        }
        versions_.emplace_back(queues, now_ + up_to(1500ms));
        record(configuration_set{versions_.size(), queues});
    }
    void follow_configuration()
    {
        for (instance_model& instance : instances_)
        {
            while (!is_unstable() && instance.view + 1 < versions_.size() &&
                   versions_[instance.view + 1].second <= now_)
            {
                ++instance.view;
            }
        }
    }

    void traffic()
    {
        if (now_ == origin + traffic_end)
        {
            record(traffic_ended{});
        }
        if (now_ < origin + traffic_end &&
            one_in(defect_ == model_defect::no_recovery ? 5 : 10))
        {
            submit();
        }
        if (one_in(40) && may_disturb() && !jobs_.empty())
        {
            cancel(random_element(jobs_));
        }
        if (defect_ == model_defect::no_recovery && now_ == origin + 10s)
        {
            begin_fault("last", 1s);
            result_.defect_occurred = true;
        }
    }
    job_shape any_shape()
    {
        job_shape shape{one_in(2) ? "q0" : "q1", {}, 0};
        shape.attempts = 1 + below(3);
        for (std::uint32_t step = 0; step <= below(3); ++step)
        {
            step_shape next;
            next.count = 1 + below(3);
            if (step > 0)
            {
                next.after.push_back(below(step));
            }
            shape.steps.push_back(next);
        }
        shape.steps.back().lasting = one_in(5);
        return shape;
    }
    void submit()
    {
        job_model job;
        job.name = "job" + std::to_string(jobs_.size());
        job.shape = any_shape();
        job.not_before = now_ + (one_in(5) ? 9s : 0s);
        for (std::uint32_t step = 0; step < job.shape.steps.size(); ++step)
        {
            for (std::uint32_t at = 0; at < job.shape.steps[step].count; ++at)
            {
                job.tasks.push_back({step, at});
            }
        }
        send(job);
        if (job.rejected && one_in(2))
        {
            send(job);
        }
        jobs_.push_back(std::move(job));
    }
    void send(job_model& job)
    {
        record(submit_sent{job.name, job.shape});
        std::uint64_t const chance = below(10);
        bool const stays_down = defect_ == model_defect::no_recovery &&
                                last_fault_end_ > origin + 10s;
        bool const refused = stays_down || chance == 0;
        bool const unanswered = !refused && chance == 1;
        job.rejected = refused;
        job.answered = !refused && !unanswered;
        job.stored = job.answered || (unanswered && one_in(2));
        job.accepted = now_;
        record(submit_ended{job.name,
                            refused      ? call_outcome::refused
                            : unanswered ? call_outcome::timed_out
                                         : call_outcome::done});
    }
    void cancel(job_model& job)
    {
        if (!job.is_open() || job.planted)
        {
            return;
        }
        bool const answered = !one_in(5);
        record(cancel_ended{
            job.name, answered ? call_outcome::done : call_outcome::timed_out});
        job.cancelled = true;
        job.stop_at = now_ + up_to(1s);
        ++result_.cancels;
    }

    bool usable(worker_model const& worker) const
    {
        if (!worker.up)
        {
            return false;
        }
        auto const out = evacuated_since_.find(worker.data_centre);
        bool const leaves = worker.draining && *worker.draining + 1s < now_;
        bool const closed =
            out != evacuated_since_.end() && out->second + 2s < now_;
        return is_unstable() || (!leaves && !closed);
    }
    bool startable(job_model const& job, task_model const& task) const
    {
        bool const due =
            job.is_open() && !job.never_started && job.not_before <= now_;
        return due && task.now == stage::waiting && job.ready(task);
    }
    void start(job_model& job, task_model& task, worker_model const& worker)
    {
        ++task.attempt;
        task.now = stage::running;
        task.ended = false;
        task.worker = worker.name;
        task.ends = now_ + 100ms + up_to(2s);
        std::uint64_t const chance = below(20);
        task.outcome = chance < 3    ? end_kind::failed
                       : chance == 3 ? end_kind::lease_expired
                                     : end_kind::done;
        job.started = true;
        ++result_.starts;
        record(run_started{worker.name, worker.data_centre, job.run(task), 1});
    }
    void start_runs()
    {
        for (job_model& job : jobs_)
        {
            for (task_model& task : job.tasks)
            {
                worker_model const& worker = random_element(workers_);
                if (startable(job, task) && one_in(3) && usable(worker))
                {
                    start(job, task, worker);
                }
            }
        }
    }
    void end_runs()
    {
        for (std::size_t job_index = 0; job_index < jobs_.size(); ++job_index)
        {
            job_model& job = jobs_[job_index];
            for (std::size_t at = 0; at < job.tasks.size(); ++at)
            {
                task_model& task = job.tasks[at];
                bool const stops =
                    job.cancelled && !is_unstable() && job.stop_at <= now_;
                if (task.now != stage::running || task.ended ||
                    (!stops && task.ends > now_))
                {
                    continue;
                }
                task.outcome = stops ? end_kind::stopped : task.outcome;
                task.ended = true;
                record(run_ended{task.worker, job.run(task), task.outcome});
                ends_[task.worker].push_back(
                    {job_index, at, now_ + up_to(400ms)});
            }
        }
    }
    void acknowledge_ends()
    {
        for (auto& [worker, ends] : ends_)
        {
            while (!is_unstable() && !ends.empty() &&
                   ends.front().acknowledged_at <= now_)
            {
                job_model& job = jobs_[ends.front().job];
                acknowledge(job, job.tasks[ends.front().task]);
                ends.erase(ends.begin());
            }
        }
    }
    void acknowledge(job_model& job, task_model& task)
    {
        record(end_acknowledged{task.worker, job.run(task), task.outcome});
        task.now = stage::waiting;
        if (job.shape.steps[task.step].lasting)
        {
            return;
        }
        if (task.outcome == end_kind::done)
        {
            task.now = stage::done;
        }
        if (task.outcome == end_kind::failed &&
            ++task.failures == job.shape.attempts)
        {
            job.failed = true;
        }
    }

    std::uint64_t waiting(std::string const& queue) const
    {
        return std::count_if(jobs_.begin(),
                             jobs_.end(),
                             [&](job_model const& job)
                             {
                                 return job.shape.queue == queue &&
                                        job.is_open() && !job.started;
                             });
    }
    void query()
    {
        instance_model const& instance = random_element(instances_);
        bool const cut_off = is_unstable() && instance.name == "i1";
        time_point const requested_at = now_ - up_to(tick);
        if (one_in(2) && !jobs_.empty())
        {
            query_state(random_element(jobs_), instance, cut_off);
        }
        if (one_in(4))
        {
            std::string const queue = one_in(2) ? "q0" : "q1";
            std::uint64_t const all = waiting(queue);
            std::uint64_t const reported =
                cut_off ? 0 : all - below(all / 2 + 1);
            record(waiting_query_ended{queue,
                                       instance.name,
                                       requested_at,
                                       call_outcome::done,
                                       reported});
        }
        if (one_in(2))
        {
            std::string const queue = "x" + std::to_string(below(4));
            bool const present =
                versions_[instance.view].first.count(queue) > 0;
            record(queue_seen{queue, instance.name, 1, requested_at, present});
        }
        if (now_ == origin + final_queries)
        {
            for (job_model const& job : jobs_)
            {
                query_state(job, instance, false);
            }
        }
    }
    void query_state(job_model const& job,
                     instance_model const& instance,
                     bool cut_off)
    {
        call_outcome outcome =
            job.stored ? call_outcome::done : call_outcome::not_found;
        if (cut_off)
        {
            outcome =
                one_in(2) ? call_outcome::timed_out : call_outcome::not_found;
        }
        record(status_query_ended{
            job.name, instance.name, now_, outcome, job.state()});
    }

    /// Plants the defect if the current state allows it.
    void plant_defect()
    {
        bool const occurred = !jobs_.empty() && now_ < origin + faults_end &&
                              (plant_job_defect() || plant_placement_defect());
        if (occurred)
        {
            result_.defect_occurred = true;
            undisturbed_until_ = now_ + undisturbed_after_defect;
        }
    }
    bool plant_job_defect()
    {
        job_model& job = random_element(jobs_);
        task_model& task = random_element(job.tasks);
        bool const lasting = job.shape.steps[task.step].lasting;
        bool const runs = task.now == stage::running && !task.ended;
        switch (defect_)
        {
        case model_defect::forgotten_job:
            return job.is_open() && job.answered && forget_job(job);
        case model_defect::never_run_job:
            return job.is_open() && job.answered && !job.started &&
                   never_run(job);
        case model_defect::refused_job:
            return job.rejected && run_unscheduled(job, task);
        case model_defect::second_run:
            return runs && run_unscheduled(job, task);
        case model_defect::repeated_run:
            return task.now == stage::done && run_unscheduled(job, task);
        case model_defect::early_start:
            return job.is_open() && job.has_unstarted_dependency(task) &&
                   run_unscheduled(job, task);
        case model_defect::extra_attempt:
            return task.failures == job.shape.attempts &&
                   run_unscheduled(job, task);
        case model_defect::forgotten_cancel:
            return lasting && runs && job.is_open() && ignore_cancel(job, task);
        case model_defect::low_waiting_count:
            return report_low_count(job);
        case model_defect::false_completed:
            return job.is_open() && task.attempt == 0 &&
                   report_state(job, job_state::completed);
        case model_defect::false_failed:
            return job.is_open() && !job.started &&
                   report_state(job, job_state::failed);
        case model_defect::crash_budget:
            return job.is_open() && task.attempt == 0 &&
                   limit_applies(duration{}) && crash_too_often(job, task);
        case model_defect::overfilled_worker:
            return job.is_open() && job.tasks.size() > 1 &&
                   limit_applies(time_limits{}.stable_window +
                                 time_limits{}.heartbeat) &&
                   overfill(job);
        default:
            return false;
        }
    }
    bool plant_placement_defect()
    {
        worker_model const& worker = random_element(workers_);
        time_limits const bounds;
        if (defect_ == model_defect::draining_worker)
        {
            return worker.up && worker.draining &&
                   limit_applies(bounds.drain) &&
                   *worker.draining + bounds.drain < now_ && start_on(worker);
        }
        if (defect_ == model_defect::closed_data_centre)
        {
            auto const out = evacuated_since_.find(worker.data_centre);
            return worker.up && out != evacuated_since_.end() &&
                   limit_applies(bounds.data_centre) &&
                   out->second + bounds.data_centre < now_ && start_on(worker);
        }
        return defect_ == model_defect::old_configuration &&
               show_old_configuration();
    }

    bool forget_job(job_model& job)
    {
        job.stored = false;
        return true;
    }
    bool never_run(job_model& job)
    {
        job.never_started = true;
        job.planted = true;
        return true;
    }
    /// Records a run that the scheduler did not order.
    bool run_unscheduled(job_model const& job, task_model const& task)
    {
        worker_model const& worker = random_element(workers_);
        ports::pool_attempt run = job.run(task);
        run.attempt = unscheduled_attempt;
        if (!worker.up)
        {
            return false;
        }
        record(run_started{worker.name, worker.data_centre, run, 1});
        record(run_ended{worker.name, run, end_kind::stopped});
        return true;
    }
    /// Records six runs that each crash their worker.
    bool crash_too_often(job_model const& job, task_model const& task)
    {
        constexpr std::uint32_t runs = 6;
        for (std::uint32_t number = 0; number < runs; ++number)
        {
            ports::pool_attempt run = job.run(task);
            run.attempt = unscheduled_attempt + number;
            record(run_started{spare_worker, "dc2", run, 1});
            record(worker_crashed{spare_worker, run.task});
        }
        return true;
    }
    /// Records runs of all tasks of a job on a worker with capacity for one.
    bool overfill(job_model const& job)
    {
        if (now_ <
            origin + time_limits{}.stable_window + time_limits{}.heartbeat)
        {
            return false; // The checker does not rely on the capacity yet.
        }
        for (task_model const& task : job.tasks)
        {
            ports::pool_attempt run = job.run(task);
            run.attempt = unscheduled_attempt;
            record(run_started{spare_worker, "dc2", run, 1});
        }
        return true;
    }
    bool ignore_cancel(job_model& job, task_model& task)
    {
        record(cancel_ended{job.name, call_outcome::done});
        job.planted = true;
        task.ends = now_ + undisturbed_after_defect;
        return true;
    }
    bool report_low_count(job_model& job)
    {
        duration const age = time_limits{}.visible + 2s;
        if (!job.is_open() || !job.answered || job.started ||
            !limit_applies(age) || job.accepted + age >= now_)
        {
            return false;
        }
        job.not_before = now_ + 1s;
        job.planted = true;
        record(waiting_query_ended{
            job.shape.queue, "i0", now_, call_outcome::done, 0});
        return true;
    }
    bool report_state(job_model const& job, job_state state)
    {
        record(status_query_ended{
            job.name, "i0", now_, call_outcome::done, state});
        return true;
    }
    bool start_on(worker_model const& worker)
    {
        for (job_model& job : jobs_)
        {
            for (task_model& task : job.tasks)
            {
                if (startable(job, task))
                {
                    start(job, task, worker);
                    return true;
                }
            }
        }
        return false;
    }
    bool show_old_configuration()
    {
        auto const& newest = versions_.back();
        if (versions_.size() < 3 || newest.second + 2s >= now_ ||
            !limit_applies(2s))
        {
            return false;
        }
        auto const& older = versions_[versions_.size() - 2].first;
        for (std::string const queue : {"x0", "x1", "x2", "x3"})
        {
            bool const present = older.count(queue) > 0;
            if (present != (newest.first.count(queue) > 0))
            {
                record(queue_seen{queue, "i0", 1, now_, present});
            }
        }
        return true;
    }

    std::mt19937_64 random_;
    model_defect defect_;
    checker checker_{time_limits{}};
    model_result result_;
    time_point now_ = origin;
    time_point last_fault_end_{};    ///< End of the last fault.
    time_point undisturbed_until_{}; ///< No faults, cancels or configuration
                                     ///< changes until this time.
    std::map<std::string, time_point> active_faults_; ///< End times by name.
    std::map<std::string, time_point>
        evacuated_since_; ///< Begin of the evacuation by data centre.
    std::vector<job_model> jobs_;
    std::vector<worker_model> workers_{
        {"w0", "dc0"}, {"w1", "dc0"}, {"w2", "dc1"}, {"w3", "dc1"}};
    std::vector<instance_model> instances_{{"i0"}, {"i1"}};
    std::map<std::string, std::vector<end_model>>
        ends_; ///< Unacknowledged ends.
    /// Queues of each configuration, and the time when instances apply it.
    std::vector<std::pair<std::set<std::string>, time_point>> versions_{1};
};

} // namespace

model_result run_model(std::uint64_t seed, model_defect defect)
{
    return model(seed, defect).run();
}

} // namespace fuchsia::tests::unit::soak
