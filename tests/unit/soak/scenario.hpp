#pragma once

#include "tools/soak/checker.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

// Builds a sequence of observations for the checker, event by event.
namespace fuchsia::tests::unit::soak
{

using namespace std::chrono_literals;
using namespace fuchsia::tools::soak;
using core::common::duration;
using core::common::time_point;
using ports::end_kind;
using ports::job_state;

constexpr time_point origin{1h};

inline ports::task_name
task(std::string job, std::uint32_t step = 0, std::uint32_t index = 0)
{
    return {std::move(job), 0, step, index};
}

/// Returns a job with a single task.
inline job_shape single_task_job(std::uint32_t attempts = 1)
{
    return {"q", {{1, {}, false}}, attempts};
}

/// Returns a job with a single long-running task.
inline job_shape lasting_job()
{
    return {"q", {{1, {}, true}}, 1};
}

/// Returns a job with a step of two tasks and a dependent step of one task.
inline job_shape two_step_job()
{
    return {"q", {{2, {}, false}, {1, {0}, false}}, 1};
}

class scenario
{
public:
    /// Sets the current time, as a duration since the begin of the scenario.
    scenario& at(duration since_begin)
    {
        now_ = origin + since_begin;
        return *this;
    }

    template<class Event>
    scenario& observe(Event event)
    {
        checker_.observe({now_, std::move(event)});
        return *this;
    }

    scenario& submit(std::string const& job,
                     job_shape const& shape,
                     call_outcome outcome = call_outcome::done)
    {
        observe(submit_sent{job, shape});
        return observe(submit_ended{job, outcome});
    }

    scenario& start(ports::task_name const& task_id,
                    std::uint32_t attempt = 1,
                    std::string const& worker = "w1",
                    std::string const& data_centre = "dc1")
    {
        return observe(run_started{worker, data_centre, {task_id, attempt}, 1});
    }

    scenario& end(ports::task_name const& task_id,
                  end_kind outcome = end_kind::done,
                  std::uint32_t attempt = 1,
                  std::string const& worker = "w1")
    {
        return observe(run_ended{worker, {task_id, attempt}, outcome});
    }

    scenario& acknowledge(ports::task_name const& task_id,
                          end_kind outcome = end_kind::done,
                          std::uint32_t attempt = 1,
                          std::string const& worker = "w1")
    {
        return observe(end_acknowledged{worker, {task_id, attempt}, outcome});
    }

    /// The acknowledgement of an end since which the worker's lease expired.
    scenario& acknowledge_after_lease(ports::task_name const& task_id,
                                      end_kind outcome = end_kind::done,
                                      std::uint32_t attempt = 1,
                                      std::string const& worker = "w1")
    {
        return observe(
            end_acknowledged{worker, {task_id, attempt}, outcome, true});
    }

    scenario& status(std::string const& job,
                     job_state state,
                     call_outcome outcome = call_outcome::done)
    {
        return observe(status_query_ended{job, "i1", now_, outcome, state});
    }

    scenario& waiting(std::uint64_t jobs)
    {
        return observe(
            waiting_query_ended{"q", "i1", now_, call_outcome::done, jobs});
    }

    scenario& queue_shown(std::string const& queue,
                          bool present,
                          std::uint64_t incarnation = 1)
    {
        return observe(queue_seen{queue, "i1", incarnation, now_, present});
    }

    /// Adds a fault from `begin_at` to `end_at`; the current time is then
    /// `end_at`.
    scenario& with_fault(duration begin_at, duration end_at)
    {
        at(begin_at).observe(fault_state_set{"link", true});
        return at(end_at).observe(fault_state_set{"link", false});
    }

    /// Ends the scenario at the current time and returns the broken rules.
    std::set<rule> broken_rules()
    {
        std::set<rule> rules;
        for (violation const& found : checker_.finish(now_))
        {
            rules.insert(found.broken_rule);
        }
        return rules;
    }

private:
    checker checker_{time_limits{}};
    time_point now_ = origin;
};

} // namespace fuchsia::tests::unit::soak
