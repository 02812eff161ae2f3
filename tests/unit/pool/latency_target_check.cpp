#include "latency_target_check.hpp"

#include <utility>

namespace fuchsia::tests::unit::pool
{

namespace
{

constexpr duration look_interval = 20ms;

} // namespace

latency_target_check::latency_target_check(
    pool_simulation& simulation, std::map<std::string, duration> targets)
    : simulation_(simulation), targets_(std::move(targets))
{
}

void latency_target_check::run(duration length)
{
    auto const until = simulation_.now() + length;
    while (simulation_.now() < until)
    {
        simulation_.run(std::min(look_interval, until - simulation_.now()));
        observe();
    }
}

bool latency_target_check::misses_target(std::size_t worker,
                                         ports::task_name const& task)
{
    auto const target = targets_.find(task.job);
    if (target == targets_.end())
    {
        return false;
    }
    auto const& state = simulation_.worker(worker);
    auto const limit =
        static_cast<double>(core::common::to_milliseconds(target->second));
    return state.tail_latency(simulation_.now(), task) > limit &&
           state.isolated_tail_latency(simulation_.now(), task) <= limit;
}

void latency_target_check::observe()
{
    std::map<ports::task_name, time_point> missed_since;
    for (std::size_t worker = 0; worker < simulation_.worker_count(); ++worker)
    {
        for (auto const& task : simulation_.worker(worker).running_tasks())
        {
            if (!misses_target(worker, task))
            {
                continue;
            }
            auto const before = missed_since_.find(task);
            auto const since = before != missed_since_.end()
                                   ? before->second
                                   : simulation_.now();
            missed_since.emplace(task, since);
            total_ += look_interval;
            if (simulation_.now() - since > longest_)
            {
                longest_ = simulation_.now() - since;
                longest_at_ = task.job + "." + std::to_string(task.index) +
                              " on w" + std::to_string(worker) + " at " +
                              std::to_string(core::common::to_milliseconds(
                                  simulation_.now().time_since_epoch())) +
                              " ms";
            }
        }
    }
    missed_since_ = std::move(missed_since);
}

duration latency_target_check::longest() const noexcept
{
    return longest_;
}

duration latency_target_check::total() const noexcept
{
    return total_;
}

std::string const& latency_target_check::longest_at() const noexcept
{
    return longest_at_;
}

} // namespace fuchsia::tests::unit::pool
