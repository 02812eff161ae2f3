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
    /// Bound on how much faster or slower a worker's clock runs than the
    /// planner's.
    std::uint32_t clock_drift_permille = 30;
    /// Maximum age of a worker's latest report for starts on the worker.
    common::duration report_age_limit = std::chrono::seconds(15);
    /// Number of consecutive failures after which a worker is quarantined.
    std::uint32_t failures_to_quarantine = 4;
    /// Length of the first quarantine. Doubles with each further quarantine
    /// without a success in between, up to `max_quarantine_duration`.
    common::duration quarantine_duration = std::chrono::seconds(20);
    common::duration max_quarantine_duration = std::chrono::minutes(10);
    /// Assumed age of a report when it arrives: the lower bound of a worker's
    /// clock lies this far behind its true reading. Grows for a worker that
    /// refuses starts, since the starts may arrive too late.
    common::duration report_lag = std::chrono::seconds(3);
    common::duration max_report_lag = std::chrono::seconds(10);
    /// Length of the pause recorded in `refusal_pause_until` for a worker that
    /// refused a start. Doubles with each consecutive refusal, up to
    /// `max_refusal_pause`. `may_start` does not check the pause.
    common::duration refusal_pause = std::chrono::milliseconds(500);
    common::duration max_refusal_pause = std::chrono::seconds(30);
    /// Number of reports with a lower sequence number after which the worker is
    /// assumed to have restarted its numbering.
    std::uint32_t stale_reports_before_reset = 10;
};

/// State of one worker as known to the planner.
struct worker_view
{
    ports::worker_instance info;
    bool listed = false;        ///< Contained in the latest worker list.
    std::uint64_t sequence = 0; ///< Sequence number of the latest report.
    std::uint64_t clock_ms = 0; ///< Worker clock in the latest report.
    common::time_point report_received{};
    /// Number of consecutive reports with a lower sequence number.
    std::uint32_t stale_reports = 0;
    /// Memory in MB that its attempts use beyond what they declared, by the
    /// latest report.
    std::int64_t memory_over_declared = 0;

    common::duration report_lag{};          ///< Added to the start window.
    std::uint32_t consecutive_refusals = 0; ///< Refused starts.
    /// End of the pause after a refusal. `may_start` does not check it.
    common::time_point refusal_pause_until{};

    // Failure detection.
    std::uint32_t consecutive_failures = 0; ///< Failures of different jobs.
    std::string last_failed_job;
    /// Whether it succeeded since it was listed or last quarantined.
    bool succeeded_since_quarantine = false;
    std::uint32_t quarantines = 0; ///< Number since the last success.
    std::optional<common::time_point> quarantined_until;
    bool probing = false; ///< After a quarantine: one attempt at a time.
};

/// Registry of the platform's workers with their clocks and failure history.
class worker_registry
{
public:
    explicit worker_registry(worker_registry_settings settings);

    void on_list(ports::worker_list const& list);
    /// Returns false if the report is not newer than the latest one or the
    /// worker is unknown.
    bool on_report(common::time_point now, ports::worker_report const& report);

    worker_view const* find(std::string const& worker) const noexcept;
    std::map<std::string, worker_view> const& all() const noexcept;
    std::vector<std::string> racks() const;
    std::vector<std::string> const& in_rack(std::string const& rack) const;
    /// Returns the data centre of the rack; empty if the rack has no known
    /// worker.
    std::string data_centre_of(std::string const& rack) const;

    /// Returns a reading that the worker's clock has certainly passed: that of
    /// its latest report plus the time since then, reduced by the clock drift.
    std::uint64_t clock_lower_bound(common::time_point now,
                                    worker_view const& worker) const noexcept;
    /// Whether the worker is listed, live, not quarantined and has reported
    /// recently. Its free capacity and whether it is probing are not checked.
    bool may_start(common::time_point now,
                   worker_view const& worker) const noexcept;
    /// Whether any worker, in whatever state, has the total capacity for
    /// `declared`.
    bool ever_fits(ports::resources const& declared,
                   std::string const& data_centre) const noexcept;

    void record_refusal(common::time_point now, std::string const& worker);
    /// Records that the worker accepted a start.
    void record_acceptance(std::string const& worker);
    /// Records that the worker ran an attempt well.
    void record_success(std::string const& worker);
    /// Records a failed attempt. Consecutive failures of the same job count
    /// once, since the job itself may be the cause.
    void record_failure(common::time_point now,
                        std::string const& worker,
                        std::string const& job);
    /// Whether a failure on the worker is more likely caused by the worker than
    /// by the job.
    bool is_suspect(common::time_point now, std::string const& worker) const;
    void set_memory_over_declared(std::string const& worker, std::int64_t mb);

private:
    worker_registry_settings settings_;
    std::map<std::string, worker_view> workers_;
    std::map<std::string, std::vector<std::string>> racks_;
};

} // namespace fuchsia::core::tasks
