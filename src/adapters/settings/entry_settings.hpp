#pragma once

#include "adapters/http/client.hpp"
#include "adapters/http/server.hpp"
#include "adapters/settings/daemon_settings.hpp"
#include "core/requests/entry_settings.hpp"

#include <memory>
#include <optional>
#include <string>

namespace fuchsia::adapters::settings
{

/// Settings of `fuchsia-entry`; examples/entry.toml documents each key.
struct entry_daemon_settings
{
    daemon_settings daemon;
    core::requests::entry_settings engine;
    http::server_limits http;
    std::uint64_t http_memory_mb = 128;
    std::uint32_t max_waiting_requests = 4096;
    http::client_settings upstreams;
};

/// Reads and checks an entry's settings; `reason` names file and line.
std::optional<entry_daemon_settings>
load_entry_settings(std::string const& path, core::common::failure& reason);
std::optional<entry_daemon_settings>
parse_entry_settings(toml_file& file, core::common::failure& reason);

} // namespace fuchsia::adapters::settings
