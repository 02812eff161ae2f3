#pragma once

#include <cstdint>
#include <set>

namespace fuchsia::core::pool
{

/// Tracks which ends of a worker's incarnation an owner has processed. A worker
/// numbers its ends from 1 and lists those that were not acknowledged, a
/// limited number at a time. Reports come from one incarnation and one after
/// the other.
class end_cursor
{
public:
    /// Records that an end of the present report is processed. Returns false if
    /// it was before.
    bool add(std::uint64_t sequence);
    /// Concludes a report; `full` if the worker may have ends that it did not
    /// list.
    void finish_report(bool full);

    /// Number up to which every end has been processed, so that it may be
    /// acknowledged.
    std::uint64_t processed() const noexcept;
    /// Whether the last report may have left out ends.
    bool has_unlisted() const noexcept;
    /// Whether any report since the first one was not full, so that all ends
    /// before that report have been processed.
    bool caught_up() const noexcept;
    /// Whether the last report left out an end between two that it listed.
    bool has_gap() const noexcept;

private:
    /// Counts the ends between `processed_` and the next known one as
    /// processed.
    void skip_gap();
    void pass_consecutive();

    std::uint64_t processed_ = 0;
    std::set<std::uint64_t> beyond_gap_; ///< Processed, above `processed_`.
    bool started_ = false;               ///< A report has listed an end.
    bool has_unlisted_ = false;
    bool caught_up_ = false;
    std::uint32_t stalled_reports_ = 0; ///< In a row, stopped by the same gap.
};

} // namespace fuchsia::core::pool
