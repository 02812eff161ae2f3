#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <string>

namespace fuchsia::core::pool
{

/// How surely a crash is the fault of a task.
enum class crash_evidence : std::uint8_t
{
    /// Other tasks may have crashed the worker as well, or nobody saw whether
    /// the task was running.
    shared,
    /// It is the only task that may have crashed the worker, or the only one of
    /// them that is blamed for an earlier crash.
    alone,
};

/// Shortest run that clears a task of blame; longer than the interval at which
/// workers report what runs.
constexpr common::duration min_clearing_run = std::chrono::milliseconds(1500);
/// Longest run that a task needs to be cleared.
constexpr common::duration max_clearing_run = std::chrono::seconds(15);

/// What the crashes of its workers say about a task.
///
/// All runs on a worker end with it, and nobody reports which one crashed it. A
/// task that crashes its workers does so again at a similar age of its run; a
/// bystander survives that age the next time. So a task is blamed for a crash
/// while its run was younger than twice the age at which earlier ones were
/// lost, and is cleared once a run gets older than that.
struct crash_record
{
    std::uint32_t alone = 0;  ///< Crashes in a row blamed on this task alone.
    std::uint32_t shared = 0; ///< Other crashes in a row it is blamed for.
    /// Those of both that are known to be crashes: the worker came back in
    /// another incarnation. Others may be cuts.
    std::uint32_t confirmed = 0;
    common::duration longest_lost_run{}; ///< Age of the oldest run that a crash
                                         ///< ended.
    /// Worker of the present run of a suspect, or of a run on a worker that has
    /// fallen silent. The next owner finds in it that the run ended with its
    /// worker before anyone counted that.
    std::string worker;
    std::uint64_t worker_incarnation = 0;

    std::uint32_t crashes() const noexcept;
    /// Whether the task has to prove that it does not crash its workers.
    bool is_suspect() const noexcept;
    /// Whether the next owner needs this record.
    bool must_be_kept() const noexcept;
    /// Whether the task is not to be started again.
    bool is_exhausted() const noexcept;
    /// Time for which a run must last to clear the task.
    common::duration clearing_run() const noexcept;
    /// Records that a run of this age was lost in a crash.
    void note_lost_run(common::duration age) noexcept;
    void blame(crash_evidence evidence) noexcept;
    /// Records that a crash it is blamed for was one.
    void confirm() noexcept;
    /// Takes back one `blame`, unless the task has been cleared since.
    void withdraw(crash_evidence evidence) noexcept;

private:
    std::uint32_t& count_of(crash_evidence evidence) noexcept;
};

} // namespace fuchsia::core::pool
