#pragma once

#include "tools/load/bench_simulation.hpp"

#include <iosfwd>

namespace fuchsia::tools::load
{

/// Three entries, 48 upstreams of 8 slots and 60,000 requests of four
/// customers: GET, POST with and without a key, retries of keys, lost, late
/// and refused answers. Folds every caller's answer into `out`.
void bench_requests(signature& decisions);

/// One planner, 400 workers and 1,000 jobs of 4 tasks, services and batch.
/// Folds every call to a worker into `out`.
void bench_tasks(signature& decisions);

/// Runs both and prints the decisions a second and, as the last line, the
/// signature that a commit message ends with. The exit status.
int run_bench(std::ostream& out);

} // namespace fuchsia::tools::load
