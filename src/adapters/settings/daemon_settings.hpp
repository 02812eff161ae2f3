#pragma once

#include "adapters/settings/toml_reader.hpp"
#include "core/membership/member.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::adapters::settings
{

/// Settings that are common to the entry and the planner: identity, addresses
/// of the platform, and timing of membership.
struct daemon_settings
{
    std::string name;
    std::string data_centre;
    ports::endpoint http_listen;
    ports::endpoint peer_listen;

    ports::endpoint store;           ///< Key-value service and instance list.
    ports::endpoint workers;         ///< Workers' agent; set for planners only.
    std::uint32_t store_reads = 20;  ///< Maximum reads per second.
    std::uint32_t store_writes = 20; ///< Maximum writes per second.
    core::common::duration store_timeout = std::chrono::seconds(1);
    core::common::duration list_interval = std::chrono::seconds(1);

    std::string token; ///< Content of the file under `token_file`.
    std::vector<std::string> allowed_addresses;

    core::membership::settings membership;
    ports::severity log_level = ports::severity::info;
};

/// Reads the tables [self], [platform], [security], [membership] and [log]
/// from `root`; the file records the first error. The caller reads its own
/// tables and then calls `reject_unknown_keys` of `root`.
daemon_settings read_daemon_settings(toml_table& root, bool with_workers);

} // namespace fuchsia::adapters::settings
