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
    std::string folder;  ///< Exists; for settings files, logs, observations.
    /// A lie that the checks have to find: of the stand-ins, or, by
    /// `stale_configuration`, of the operator.
    standins::pool::planted_defect planted =
        standins::pool::planted_defect::none;
    bool stale_configuration = false;
};

/// Sets the lie of this name; false where there is none.
bool set_planted_defect(std::string_view name, soak_settings& out) noexcept;

struct soak_result
{
    core::common::time_point started_at{}; ///< Zero of observations.txt.
    traffic_counts jobs;
    std::uint64_t runs = 0;
    std::uint64_t faults = 0;
    /// Of processes that ended by themselves, wrongly, or too late.
    std::vector<std::string> process_failures;
    /// By how much the soak itself came late at most: what it saw is as late.
    core::common::duration lag{};
};

/// Runs it from the start of the processes to their end; `take` is called with
/// each observation. Empty, with the reason, where it can't begin.
std::optional<soak_result> run_soak(soak_settings const& settings,
                                    observation_log::sink const& on_observation,
                                    core::common::failure& reason);

} // namespace fuchsia::tools::soak
