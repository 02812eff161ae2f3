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

/// Everything that a run found out.
struct run_report
{
    std::string name;
    std::uint64_t seed = 0;
    double seconds = 0;
    request_statistics requests;
    job_counts jobs;
    std::string job_reason;
    std::uint64_t events_failed = 0;
    service_sampler::tail_latencies services;
    /// What the stand-ins counted during the run.
    counts platform;
    counts upstreams;
    counts workers;
};

/// Tables by class and by stream, refusal codes, tasks and store calls.
void print_tables(std::ostream& out, run_report const& report);

std::string to_json(run_report const& report);

/// One line a second; the header names the columns.
std::string to_csv(run_report const& report);

/// The figures of the last line of the demo.
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

    /// Adds a run's summary; false where `json` is none.
    bool add_summary(std::string_view json);
    void add_upstreams(counts const& counters);
    void add_workers(counts const& counters);
    /// Whether none of the last six is above 0.
    bool passed() const noexcept;
};

/// "requests=N answered=N ... late_starts=0".
std::string to_line(verdict const& result);

} // namespace fuchsia::tools::load
