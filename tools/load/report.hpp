#pragma once

#include "tools/load/request_statistics.hpp"
#include "tools/load/service_sampler.hpp"
#include "tools/load/standin_counts.hpp"
#include "tools/load/submitter.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::tools::load
{

/// Results of a run.
struct run_report
{
    std::string name;
    std::uint64_t seed = 0;
    double seconds = 0;
    request_statistics requests;
    job_counts jobs;
    std::string job_reason; ///< Reason of the last job refusal.
    std::uint64_t events_failed = 0;
    service_sampler::tail_latencies services;
    /// Increase of the stand-ins' counters during the run.
    counts platform;
    counts upstreams;
    counts workers;
};

/// Prints tables by class, stream and phase, and lines with the answer codes,
/// upstreams, tasks, services and store calls.
void print_tables(std::ostream& out, run_report const& report);

std::string to_json(run_report const& report);

/// Returns a CSV text with a header and one line per second.
std::string to_csv(run_report const& report);

/// Figures of the verdict line. The last six count violated guarantees.
struct verdict
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t doubled = 0;
    std::uint64_t mixed = 0;
    std::uint64_t overfilled = 0;
    std::uint64_t two_places = 0;
    std::uint64_t late_starts = 0;

    /// Adds the summary of a run. Returns false if `json` is not a summary.
    bool add_summary(std::string_view json);
    void add_upstreams(counts const& counters);
    void add_workers(counts const& counters);
    /// Whether the last six figures are all 0.
    bool passed() const noexcept;
};

/// Returns the verdict line: "requests=N answered=N ... late_starts=0".
std::string to_line(verdict const& result);

} // namespace fuchsia::tools::load
