#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/engine.hpp"
#include "ports/actions.hpp"
#include "ports/identity.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::adapters::settings
{

/// Settings of `fuchsia-pool`.
struct pool_daemon_settings
{
    std::string name;
    std::string data_centre;
    ports::endpoint submissions;
    ports::endpoint readiness;
    std::string readiness_path;
    ports::endpoint metrics;
    ports::endpoint store;
    std::optional<ports::endpoint> policy; ///< Policy service, if any.
    ports::severity log_level = ports::severity::info;
    std::uint64_t machine_memory_mb = 0; ///< 0 if the settings don't say.
    std::uint32_t machine_descriptors =
        0; ///< Open descriptors of the process; 0 if the settings don't say.
    core::pool::pool_settings pool;
};

/// Reads and checks the settings of a pool. If they are invalid, the result is
/// empty and `reason` names file, line and key.
std::optional<pool_daemon_settings>
load_pool_settings(std::string const& path, core::common::failure& reason);
std::optional<pool_daemon_settings>
parse_pool_settings(std::string_view text,
                    std::string const& name,
                    core::common::failure& reason);

} // namespace fuchsia::adapters::settings
