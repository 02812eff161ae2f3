#include "scheduler_model.hpp"

#include <algorithm>

namespace fuchsia::tests::unit::soak
{

namespace
{

constexpr duration tick = 50ms;
constexpr duration faults_end = 34s;
constexpr duration traffic_end = 36s;
constexpr duration last_questions = 56s;
constexpr duration walk_end = 60s;
constexpr duration shaky_after_trouble = 1s;
/// Trouble keeps away this long after a lie, which has to be caught.
constexpr duration quiet_after_lie = 12s;
/// Attempts of runs that the model invents begin here.
constexpr std::uint32_t invented_attempt = 1000;

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
    bool ended = false; ///< Ran out; the scheduler hasn't heard yet.
    end_kind how = end_kind::done;
};

struct job_model
{
    std::string name;
    job_shape shape;
    time_point accepted{};
    bool stored = false;
    bool answered = false; ///< Its caller knows that it is accepted.
    bool rejected = false;
    bool cancelled = false;
    bool failed = false;
    bool started = false;
    bool idle = false;    ///< A lie: the scheduler passes it over.
    bool planted = false; ///< Part of a lie: left alone otherwise.
    time_point hold{};    ///< No start before.
    time_point stop_at{};
    std::vector<task_model> tasks;

    bool open() const
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
    /// Some task that `task` waits for has never run.
    bool bare_before(task_model const& task) const
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
    time_point back{};
    std::optional<time_point> draining{};
};

struct end_model
{
    std::size_t job = 0;
    std::size_t task = 0;
    time_point heard{};
};

struct instance_model
{
    std::string name;
    std::size_t view = 0; ///< The configuration that it shows.
};

class model
{
public:
    model(std::uint64_t seed, model_defect what) : random_(seed), lie_(what)
    {
    }

    model_result run()
    {
        change_configuration();
        while (now_ < origin + walk_end)
        {
            now_ += tick;
            step();
        }
        result_.violations = judge_.finish(now_);
        return result_;
    }

private:
    static constexpr time_point origin{1h};

    void step()
    {
        bool const faults = now_ < origin + faults_end;
        end_troubles();
        if (faults)
        {
            make_trouble();
            move_workers();
        }
        return_workers();
        follow_configuration();
        traffic();
        hear_ends();
        end_runs();
        start_runs();
        ask();
        if (lie_ != model_defect::none && !result_.defect_occurred && one_in(4))
        {
            tell();
        }
    }

    template<class Event>
    void see(Event event)
    {
        judge_.observe({now_, std::move(event)});
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
    auto& any(Items& items)
    {
        return items[below(items.size())];
    }
    bool shaky() const
    {
        return !troubles_.empty() || now_ < calm_since_ + shaky_after_trouble;
    }
    /// A time limit of this length counts now.
    bool quiet(duration length) const
    {
        return troubles_.empty() &&
               now_ > calm_since_ + time_limits{}.stable_window + length;
    }
    bool may_trouble() const
    {
        bool const forced = lie_ == model_defect::no_recovery;
        return now_ > quiet_until_ && (!forced || now_ < origin + 5s);
    }

    void begin_trouble(std::string const& name, duration length)
    {
        see(fault_state_set{name, true});
        troubles_[name] = now_ + length;
    }
    void end_troubles()
    {
        for (auto entry = troubles_.begin(); entry != troubles_.end();)
        {
            if (entry->second > now_)
            {
                ++entry;
                continue;
            }
            see(fault_state_set{entry->first, false});
            entry = troubles_.erase(entry);
            calm_since_ = now_;
        }
    }
    void make_trouble()
    {
        if (!may_trouble())
        {
            return;
        }
        worker_model& worker = any(workers_);
        if (one_in(250) && worker.up)
        {
            duration const away = 500ms + up_to(2s);
            begin_trouble(worker.name, away);
            leave(worker, away);
            ++result_.crashes;
        }
        if (one_in(500))
        {
            begin_trouble("link", up_to(3s));
        }
    }

    /// All that runs there or ended unheard is gone.
    void leave(worker_model& worker, duration away)
    {
        see(worker_crashed{worker.name});
        worker.up = false;
        worker.draining.reset();
        worker.back = now_ + away;
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
    void move_workers()
    {
        worker_model& worker = any(workers_);
        if (one_in(200) && worker.up && !worker.draining)
        {
            see(worker_draining{worker.name});
            worker.draining = now_;
        }
        std::string const centre = one_in(2) ? "dc0" : "dc1";
        if (one_in(150) && out_.empty())
        {
            see(data_centre_set{centre, true});
            out_[centre] = now_;
        }
        if (one_in(100) && lie_free())
        {
            change_configuration();
        }
    }
    void return_workers()
    {
        for (worker_model& worker : workers_)
        {
            if (!worker.up && worker.back <= now_)
            {
                worker.up = true;
            }
            if (worker.draining && *worker.draining + 8s < now_)
            {
                leave(worker, 2s);
            }
        }
        if (!out_.empty() && out_.begin()->second + 10s < now_)
        {
            see(data_centre_set{out_.begin()->first, false});
            out_.clear();
        }
    }
    bool lie_free() const
    {
        return now_ > quiet_until_;
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
        see(configuration_set{versions_.size(), queues});
    }
    void follow_configuration()
    {
        for (instance_model& one : instances_)
        {
            while (!shaky() && one.view + 1 < versions_.size() &&
                   versions_[one.view + 1].second <= now_)
            {
                ++one.view;
            }
        }
    }

    void traffic()
    {
        if (now_ == origin + traffic_end)
        {
            see(traffic_ended{});
        }
        if (now_ < origin + traffic_end &&
            one_in(lie_ == model_defect::no_recovery ? 5 : 10))
        {
            submit();
        }
        if (one_in(40) && lie_free() && !jobs_.empty())
        {
            cancel(any(jobs_));
        }
        if (lie_ == model_defect::no_recovery && now_ == origin + 10s)
        {
            begin_trouble("last", 1s);
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
        job.hold = now_ + (one_in(5) ? 9s : 0s);
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
        see(submit_sent{job.name, job.shape});
        std::uint64_t const chance = below(10);
        bool const overcome =
            lie_ == model_defect::no_recovery && calm_since_ > origin + 10s;
        bool const refused = overcome || chance == 0;
        bool const silent = !refused && chance == 1;
        job.rejected = refused;
        job.answered = !refused && !silent;
        job.stored = job.answered || (silent && one_in(2));
        job.accepted = now_;
        see(submit_ended{job.name,
                         refused  ? call_outcome::refused
                         : silent ? call_outcome::timed_out
                                  : call_outcome::done});
    }
    void cancel(job_model& job)
    {
        if (!job.open() || job.planted)
        {
            return;
        }
        bool const heard = !one_in(5);
        see(cancel_ended{job.name,
                         heard ? call_outcome::done : call_outcome::timed_out});
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
        auto const out = out_.find(worker.data_centre);
        bool const leaves = worker.draining && *worker.draining + 1s < now_;
        bool const closed = out != out_.end() && out->second + 2s < now_;
        return shaky() || (!leaves && !closed);
    }
    bool startable(job_model const& job, task_model const& task) const
    {
        bool const due = job.open() && !job.idle && job.hold <= now_;
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
        task.how = chance < 3    ? end_kind::failed
                   : chance == 3 ? end_kind::lease_expired
                                 : end_kind::done;
        job.started = true;
        ++result_.starts;
        see(run_started{worker.name, worker.data_centre, job.run(task), 1});
    }
    void start_runs()
    {
        for (job_model& job : jobs_)
        {
            for (task_model& task : job.tasks)
            {
                worker_model const& worker = any(workers_);
                if (startable(job, task) && one_in(3) && usable(worker))
                {
                    start(job, task, worker);
                }
            }
        }
    }
    void end_runs()
    {
        for (std::size_t place = 0; place < jobs_.size(); ++place)
        {
            job_model& job = jobs_[place];
            for (std::size_t at = 0; at < job.tasks.size(); ++at)
            {
                task_model& task = job.tasks[at];
                bool const stops =
                    job.cancelled && !shaky() && job.stop_at <= now_;
                if (task.now != stage::running || task.ended ||
                    (!stops && task.ends > now_))
                {
                    continue;
                }
                task.how = stops ? end_kind::stopped : task.how;
                task.ended = true;
                see(run_ended{task.worker, job.run(task), task.how});
                ends_[task.worker].push_back({place, at, now_ + up_to(400ms)});
            }
        }
    }
    void hear_ends()
    {
        for (auto& [worker, ends] : ends_)
        {
            while (!shaky() && !ends.empty() && ends.front().heard <= now_)
            {
                job_model& job = jobs_[ends.front().job];
                hear(job, job.tasks[ends.front().task]);
                ends.erase(ends.begin());
            }
        }
    }
    void hear(job_model& job, task_model& task)
    {
        see(end_acknowledged{task.worker, job.run(task), task.how});
        task.now = stage::waiting;
        if (job.shape.steps[task.step].lasting)
        {
            return;
        }
        if (task.how == end_kind::done)
        {
            task.now = stage::done;
        }
        if (task.how == end_kind::failed &&
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
                                        job.open() && !job.started;
                             });
    }
    void ask()
    {
        instance_model const& one = any(instances_);
        bool const cut_off = shaky() && one.name == "i1";
        time_point const asked = now_ - up_to(tick);
        if (one_in(2) && !jobs_.empty())
        {
            ask_state(any(jobs_), one, cut_off);
        }
        if (one_in(4))
        {
            std::string const queue = one_in(2) ? "q0" : "q1";
            std::uint64_t const all = waiting(queue);
            std::uint64_t const told = cut_off ? 0 : all - below(all / 2 + 1);
            see(waiting_query_ended{
                queue, one.name, asked, call_outcome::done, told});
        }
        if (one_in(2))
        {
            std::string const queue = "x" + std::to_string(below(4));
            bool const there = versions_[one.view].first.count(queue) > 0;
            see(queue_seen{queue, one.name, 1, asked, there});
        }
        if (now_ == origin + last_questions)
        {
            for (job_model const& job : jobs_)
            {
                ask_state(job, one, false);
            }
        }
    }
    void
    ask_state(job_model const& job, instance_model const& one, bool cut_off)
    {
        call_outcome how =
            job.stored ? call_outcome::done : call_outcome::not_found;
        if (cut_off)
        {
            how = one_in(2) ? call_outcome::timed_out : call_outcome::not_found;
        }
        see(status_query_ended{job.name, one.name, now_, how, job.state()});
    }

    /// Tells the lie if there is an occasion for it now.
    void tell()
    {
        bool const told = !jobs_.empty() && now_ < origin + faults_end &&
                          (tell_of_jobs() || tell_of_places());
        if (told)
        {
            result_.defect_occurred = true;
            quiet_until_ = now_ + quiet_after_lie;
        }
    }
    bool tell_of_jobs()
    {
        job_model& job = any(jobs_);
        task_model& task = any(job.tasks);
        bool const lasting = job.shape.steps[task.step].lasting;
        bool const runs = task.now == stage::running && !task.ended;
        switch (lie_)
        {
        case model_defect::forgotten_job:
            return job.open() && job.answered && forget(job);
        case model_defect::never_run_job:
            return job.open() && job.answered && !job.started &&
                   leave_idle(job);
        case model_defect::refused_job:
            return job.rejected && invent(job, task);
        case model_defect::second_run:
            return runs && invent(job, task);
        case model_defect::repeated_run:
            return task.now == stage::done && invent(job, task);
        case model_defect::early_start:
            return job.open() && job.bare_before(task) && invent(job, task);
        case model_defect::extra_attempt:
            return task.failures == job.shape.attempts && invent(job, task);
        case model_defect::forgotten_cancel:
            return lasting && runs && job.open() && forget_cancel(job, task);
        case model_defect::low_waiting_count:
            return tell_low_count(job);
        case model_defect::false_completed:
            return job.open() && task.attempt == 0 &&
                   tell_state(job, job_state::completed);
        case model_defect::false_failed:
            return job.open() && !job.started &&
                   tell_state(job, job_state::failed);
        default:
            return false;
        }
    }
    bool tell_of_places()
    {
        worker_model const& worker = any(workers_);
        time_limits const bounds;
        if (lie_ == model_defect::draining_worker)
        {
            return worker.up && worker.draining && quiet(bounds.drain) &&
                   *worker.draining + bounds.drain < now_ && start_on(worker);
        }
        if (lie_ == model_defect::closed_data_centre)
        {
            auto const out = out_.find(worker.data_centre);
            return worker.up && out != out_.end() &&
                   quiet(bounds.data_centre) &&
                   out->second + bounds.data_centre < now_ && start_on(worker);
        }
        return lie_ == model_defect::old_configuration &&
               show_old_configuration();
    }

    bool forget(job_model& job)
    {
        job.stored = false;
        return true;
    }
    bool leave_idle(job_model& job)
    {
        job.idle = true;
        job.planted = true;
        return true;
    }
    /// A run that the scheduler knows nothing of.
    bool invent(job_model const& job, task_model const& task)
    {
        worker_model const& worker = any(workers_);
        ports::pool_attempt run = job.run(task);
        run.attempt = invented_attempt;
        if (!worker.up)
        {
            return false;
        }
        see(run_started{worker.name, worker.data_centre, run, 1});
        see(run_ended{worker.name, run, end_kind::stopped});
        return true;
    }
    bool forget_cancel(job_model& job, task_model& task)
    {
        see(cancel_ended{job.name, call_outcome::done});
        job.planted = true;
        task.ends = now_ + quiet_after_lie;
        return true;
    }
    bool tell_low_count(job_model& job)
    {
        duration const age = time_limits{}.visible + 2s;
        if (!job.open() || !job.answered || job.started || !quiet(age) ||
            job.accepted + age >= now_)
        {
            return false;
        }
        job.hold = now_ + 1s;
        job.planted = true;
        see(waiting_query_ended{
            job.shape.queue, "i0", now_, call_outcome::done, 0});
        return true;
    }
    bool tell_state(job_model const& job, job_state state)
    {
        see(status_query_ended{
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
        if (versions_.size() < 3 || newest.second + 2s >= now_ || !quiet(2s))
        {
            return false;
        }
        auto const& older = versions_[versions_.size() - 2].first;
        for (std::string const queue : {"x0", "x1", "x2", "x3"})
        {
            bool const there = older.count(queue) > 0;
            if (there != (newest.first.count(queue) > 0))
            {
                see(queue_seen{queue, "i0", 1, now_, there});
            }
        }
        return true;
    }

    std::mt19937_64 random_;
    model_defect lie_;
    checker judge_{time_limits{}};
    model_result result_;
    time_point now_ = origin;
    time_point calm_since_{};  ///< The end of the last trouble.
    time_point quiet_until_{}; ///< No trouble, cancel or change before.
    std::map<std::string, time_point> troubles_; ///< Those on: until when.
    std::map<std::string, time_point> out_;      ///< Data centres: since when.
    std::vector<job_model> jobs_;
    std::vector<worker_model> workers_{
        {"w0", "dc0"}, {"w1", "dc0"}, {"w2", "dc1"}, {"w3", "dc1"}};
    std::vector<instance_model> instances_{{"i0"}, {"i1"}};
    std::map<std::string, std::vector<end_model>> ends_; ///< Unheard.
    /// The queues, and when the instances take them up.
    std::vector<std::pair<std::set<std::string>, time_point>> versions_{1};
};

} // namespace

model_result run_model(std::uint64_t seed, model_defect what)
{
    return model(seed, what).run();
}

} // namespace fuchsia::tests::unit::soak
