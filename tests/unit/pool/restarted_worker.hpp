#pragma once

#include "pool_simulation.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

// A worker of the simulation that restarts under its id, and jobs that run on
// it.
namespace fuchsia::tests::unit::pool
{

/// The worker that restarts; with two or three workers the only one of its
/// rack.
constexpr std::size_t restarted = 1;

/// Returns a job that runs on worker `restarted` if that is usable.
core::pool::job job_near_restarted(std::uint32_t count, duration work);
/// Returns such a job with one task that runs until it is stopped.
core::pool::job long_running_job_near_restarted();

/// Runs until the job is completed, for 20 s at most. Returns whether it is.
bool completes(pool_simulation& simulation, std::string const& id);
/// Runs until the first task of the job runs, for 5 s at most. Returns whether
/// it runs on worker `restarted`.
bool runs_on_restarted(pool_simulation& simulation, std::string const& id);
/// Runs until the first incarnation of the worker has acknowledged ends and
/// runs nothing.
void use_first_incarnation(pool_simulation& simulation);
/// Applies `effect` to the next start that is sent to worker `restarted`.
void fail_next_start(pool_simulation& simulation, fault_effect effect);
/// Drops all orders to worker `restarted` from now on.
void cut_off(pool_simulation& simulation);
/// Returns the first log line of the event with `text` in it; empty if there
/// is none.
std::string line_with(pool_simulation const& simulation,
                      std::string const& event,
                      std::string const& text);

} // namespace fuchsia::tests::unit::pool
