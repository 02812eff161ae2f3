#pragma once

#include "core/common/result_code.hpp"
#include "core/pool/engine.hpp"
#include "ports/actions.hpp"
#include "ports/identity.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::adapters::settings
{

/// What a settings file of `fuchsia-pool` holds.
struct pool_daemon_settings
{
    std::string name;
    std::string data_centre;
    ports::endpoint submissions;
    ports::endpoint readiness;
    std::string readiness_path;
    ports::endpoint metrics;
    ports::endpoint store;
    std::optional<ports::endpoint> policy; ///< Of a policy service, if any.
    ports::severity log_level = ports::severity::info;
    core::pool::pool_settings pool;
};

/// Empty, with file, line, key and reason, where the file is no good.
std::optional<pool_daemon_settings>
load_pool_settings(std::string const& path, core::common::failure& reason);
std::optional<pool_daemon_settings>
parse_pool_settings(std::string_view text,
                    std::string const& name,
                    core::common::failure& reason);

} // namespace fuchsia::adapters::settings
