#pragma once

#include "adapters/settings/daemon_settings.hpp"
#include "core/tasks/planner_engine.hpp"

#include <optional>
#include <string>

namespace fuchsia::adapters::settings
{

/// Settings of `fuchsia-planner`.
struct planner_daemon_settings
{
    daemon_settings daemon;
    core::tasks::planner_settings planner;
};

/// Reads and checks a planner's settings; `reason` names file and line.
std::optional<planner_daemon_settings>
load_planner_settings(std::string const& path, core::common::failure& reason);
std::optional<planner_daemon_settings> parse_planner_settings(
    std::string_view text, std::string name, core::common::failure& reason);

} // namespace fuchsia::adapters::settings
