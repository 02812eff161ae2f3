#pragma once

#include "tools/load/bench_simulation.hpp"

#include <iosfwd>

namespace fuchsia::tools::load
{

/// Simulates three entries, 48 upstreams of 8 slots each and 60,000 requests of
/// four customers: GET, POST with and without an idempotency key, retries with
/// the same key, and lost, late and refused answers. Adds every answer to a
/// caller to `decisions`.
void bench_requests(signature& decisions);

/// Simulates one planner, 400 workers and 1,000 service and batch jobs of 4
/// tasks each. Adds every start and stop call to a worker to `decisions`.
void bench_tasks(signature& decisions);

/// Runs both simulations and prints the number and rate of their decisions and,
/// as the last line, the signature that commit messages carry. Returns the exit
/// status.
int run_bench(std::ostream& out);

} // namespace fuchsia::tools::load
