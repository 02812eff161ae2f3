#pragma once

#include "standins/pool/pool_server.hpp"
#include "tools/soak/observation_log.hpp"
#include "tools/soak/plan.hpp"
#include "tools/soak/traffic_generator.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::tools::soak
{

struct soak_settings
{
    plan_settings plan;
    std::string program; ///< Path of fuchsia-pool.
    std::string folder;  ///< Existing folder for settings files, logs and
                         ///< observations.
    /// Defect of the stand-ins that the checks must detect. The defect of the
    /// operator is set by `stale_configuration`, that of the owner by
    /// `unfinished_takeover`.
    standins::pool::planted_defect planted =
        standins::pool::planted_defect::none;
    bool stale_configuration = false;
    bool unfinished_takeover = false;
};

/// Sets the defect with this name; returns false if the name is unknown.
bool set_planted_defect(std::string_view name, soak_settings& out) noexcept;

struct soak_result
{
    core::common::time_point started_at{}; ///< Time zero of observations.txt.
    traffic_counts jobs;
    std::uint64_t runs = 0;
    std::uint64_t faults = 0;
    /// Failures of processes that exited without a signal, with an error
    /// status, or too late, and of the run as a whole.
    std::vector<std::string> process_failures;
    /// Maximum delay of the event loop of the soak. Observation times may be
    /// late by as much.
    core::common::duration lag{};
};

/// Runs a soak from the start of the processes to their end and calls
/// `on_observation` with each observation. Returns an empty value and sets
/// `reason` if the run can't start.
std::optional<soak_result> run_soak(soak_settings const& settings,
                                    observation_log::sink const& on_observation,
                                    core::common::failure& reason);

} // namespace fuchsia::tools::soak
