#pragma once

#include "core/common/time.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::core::tasks
{

struct worker_registry_settings
{
    /// Bound on how much faster or slower a worker's clock runs than ours.
    std::uint32_t clock_drift_permille = 30;
    /// Without a report this young nothing is started on a worker.
    common::duration report_age_limit = std::chrono::seconds(15);
    /// Failures in a row, with no success between, that quarantine a worker.
    std::uint32_t failures_to_quarantine = 4;
    common::duration quarantine_duration = std::chrono::seconds(20);
    common::duration max_quarantine_duration = std::chrono::minutes(10);
    /// A report is taken to be at least this old when it comes in: what a
    /// worker's clock certainly passed lies that far behind its true reading.
    /// Grows for a worker that refuses starts, since they may come too late.
    common::duration report_lag = std::chrono::seconds(3);
    common::duration max_report_lag = std::chrono::seconds(10);
    /// A worker that refused a start gets none for this long, doubled with
    /// each refusal in a row.
    common::duration refusal_pause = std::chrono::milliseconds(500);
    common::duration max_refusal_pause = std::chrono::seconds(30);
    /// After this many reports with a lower number the worker is taken to
    /// have restarted its count.
    std::uint32_t stale_reports_before_reset = 10;
};

/// What is known of one worker.
struct worker_view
{
    ports::worker_instance info;
    bool listed = false;
    std::uint64_t sequence = 0;
    std::uint64_t clock_ms = 0; ///< Of the newest report.
    common::time_point report_received{};
    std::uint32_t stale_reports = 0;
    /// Memory its attempts were seen to use beyond what they declared.
    std::int64_t memory_over_declared = 0;

    common::duration report_lag{}; ///< Allowed for when a start is sent.
    std::uint32_t consecutive_refusals = 0; ///< In a row.
    common::time_point closed_until{};

    // Its own failure rate.
    std::uint32_t consecutive_failures = 0; ///< In a row, of different jobs.
    std::string last_failed_job;
    bool proven = false; ///< Ran something well since it was listed.
    std::uint32_t quarantines = 0;
    std::optional<common::time_point> quarantined_until;
    bool probing = false; ///< After a quarantine: one attempt at a time.
};

/// The platform's workers, their clocks and how far each is to be trusted.
class worker_registry
{
public:
    explicit worker_registry(worker_registry_settings settings);

    void on_list(ports::worker_list const& list);
    /// False: the report is older than one already seen.
    bool on_report(common::time_point now, ports::worker_report const& report);

    worker_view const* find(std::string const& worker) const noexcept;
    std::map<std::string, worker_view> const& all() const noexcept;
    std::vector<std::string> racks() const;
    std::vector<std::string> const& in_rack(std::string const& rack) const;
    /// Data centre of the rack; empty where no worker of it is known.
    std::string data_centre_of(std::string const& rack) const;

    /// A reading that the worker's clock has certainly passed: its last
    /// report's, moved on by the time since then less the drift.
    std::uint64_t clock_lower_bound(common::time_point now,
                                    worker_view const& of) const noexcept;
    /// Whether anything may be started there, its room aside.
    bool may_start(common::time_point now,
                   worker_view const& of) const noexcept;
    /// Whether a worker exists, in whatever state, that could hold `declared`.
    bool ever_fits(ports::resources const& declared,
                   std::string const& data_centre) const noexcept;

    void record_refusal(common::time_point now, std::string const& worker);
    /// It took a start.
    void record_acceptance(std::string const& worker);
    /// It ran something well.
    void record_success(std::string const& worker);
    /// A job that fails again and again counts once: it may be its own fault.
    void record_failure(common::time_point now,
                        std::string const& worker,
                        std::string const& job);
    /// Whether a failure there says more of the worker than of the job.
    bool suspect(common::time_point now, std::string const& worker) const;
    void set_memory_over_declared(std::string const& worker, std::int64_t mb);

private:
    worker_registry_settings settings_;
    std::map<std::string, worker_view> workers_;
    std::map<std::string, std::vector<std::string>> racks_;
};

} // namespace fuchsia::core::tasks
