#pragma once

#include "tools/soak/checker.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

// A small scheduler that keeps all rules, with everything around it, or breaks
// one of them once.
namespace fuchsia::tests::unit::soak
{

using namespace std::chrono_literals;
using namespace fuchsia::tools::soak;
using core::common::duration;
using core::common::time_point;
using ports::end_kind;
using ports::job_state;

/// What the model does wrong.
enum class model_defect : std::uint8_t
{
    none,
    forgotten_job,      ///< Accepted, and unknown ever after.
    never_run_job,      ///< Accepted and known, and never run.
    refused_job,        ///< Refused, and run.
    second_run,         ///< Beside one that works.
    repeated_run,       ///< After a recorded end.
    early_start,        ///< Before the step that it waits for.
    extra_attempt,      ///< After the last has failed.
    forgotten_cancel,   ///< Acknowledged, and the job runs on.
    draining_worker,    ///< A start there.
    closed_data_centre, ///< A start there.
    old_configuration,  ///< Shown after a newer one.
    low_waiting_count,  ///< None is told to wait while some do.
    false_completed,
    false_failed,
    no_recovery, ///< Nothing is accepted after the last trouble.
};

/// What came of one walk.
struct model_result
{
    bool defect_occurred = false; ///< There was an occasion for the lie.
    std::vector<violation> violations;
    std::size_t starts = 0;
    std::size_t crashes = 0;
    std::size_t cancels = 0;
};

/// A minute of the model; all choices follow from `seed`.
model_result run_model(std::uint64_t seed, model_defect defect);

} // namespace fuchsia::tests::unit::soak
