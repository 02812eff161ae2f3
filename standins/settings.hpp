#pragma once

#include "adapters/settings/toml_reader.hpp"
#include "ports/actions.hpp"
#include "standins/links/link_server.hpp"
#include "standins/platform/platform_server.hpp"
#include "standins/pool/pool_server.hpp"
#include "standins/upstreams/upstream_server.hpp"
#include "standins/workers/worker_server.hpp"

#include <string>

// Settings files of the stand-ins. Every key is documented in
// examples/standin-*.toml.
namespace fuchsia::standins
{

/// Reads the table [log].
ports::severity read_log_level(adapters::settings::toml_table& root);

/// Each of these functions reads and checks the remaining tables of the file
/// and records errors in the file.
platform::platform_settings
read_platform_settings(adapters::settings::toml_table& root);
upstreams::upstream_server_settings
read_upstream_settings(adapters::settings::toml_table& root);
workers::worker_server_settings
read_worker_settings(adapters::settings::toml_table& root);
pool::pool_server_settings
read_pool_settings(adapters::settings::toml_table& root);
links::link_server_settings
read_link_settings(adapters::settings::toml_table& root);

} // namespace fuchsia::standins
