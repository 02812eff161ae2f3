#pragma once

#include "adapters/settings/toml_reader.hpp"
#include "core/membership/member.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::adapters::settings
{

/// What both daemons are told: who they are, where the platform is, and the
/// timing that their promises rest on.
struct daemon_settings
{
    std::string name;
    std::string data_centre;
    ports::endpoint http_listen;
    ports::endpoint peer_listen;

    ports::endpoint store;   ///< Key-value service and instance list.
    ports::endpoint workers; ///< Workers' agent; planners only.
    /// Calls a second that this process may make to the store.
    std::uint32_t store_reads = 20;
    std::uint32_t store_writes = 20;
    core::common::duration store_timeout = std::chrono::seconds(1);
    core::common::duration list_interval = std::chrono::seconds(1);

    std::string token; ///< Read from the file that the settings name.
    std::vector<std::string> allowed_addresses;

    core::membership::settings membership;
    ports::severity log_level = ports::severity::info;
};

/// Reads the tables [self], [platform], [security], [membership] and [log]
/// from `root`; errors stand in the file. The caller reads its own tables and
/// then calls `refuse_unread` of `root`.
daemon_settings read_daemon_settings(toml_table& root, bool with_workers);

} // namespace fuchsia::adapters::settings
