#pragma once

#include "tools/soak/checker.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Model of a scheduler with its callers, workers and operators. It keeps all
// rules of the soak, or breaks one of them once.
namespace fuchsia::tests::unit::soak
{

using namespace std::chrono_literals;
using namespace fuchsia::tools::soak;
using core::common::duration;
using core::common::time_point;
using ports::end_kind;
using ports::job_state;

/// Defect that the model plants once in a run.
enum class model_defect : std::uint8_t
{
    none,
    forgotten_job,      ///< An accepted job becomes unknown.
    never_run_job,      ///< An accepted and known job never runs.
    refused_job,        ///< A refused job runs.
    second_run,         ///< A task runs twice at the same time.
    repeated_run,       ///< A task runs again after its acknowledged end.
    early_start,        ///< A task runs before a step that it depends on.
    extra_attempt,      ///< A task runs after its last attempt failed.
    forgotten_cancel,   ///< A job runs on after an acknowledged cancel.
    draining_worker,    ///< A task starts on a draining worker.
    closed_data_centre, ///< A task starts in an evacuated data centre.
    old_configuration,  ///< An answer reverts to an older configuration.
    low_waiting_count,  ///< The reported count is zero while jobs wait.
    false_completed,    ///< An open job is reported as completed.
    false_failed,       ///< An open job is reported as failed.
    no_recovery,        ///< No job is accepted after the last fault.
    crash_budget,       ///< A task that crashes its workers runs six times.
    overfilled_worker,  ///< A worker gets more than its capacity.
};

/// Result of one run of the model.
struct model_result
{
    bool defect_occurred = false; ///< Whether the defect could be planted.
    std::vector<violation> violations;
    std::size_t starts = 0;
    std::size_t crashes = 0;
    std::size_t cancels = 0;
};

/// Runs the model for a simulated minute. All choices depend only on `seed`.
model_result run_model(std::uint64_t seed, model_defect defect);

} // namespace fuchsia::tests::unit::soak
