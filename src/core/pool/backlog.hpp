#pragma once

#include "core/common/result_code.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::pool
{

/// How many jobs wait, as the owner records it for all instances.
struct backlog
{
    /// Jobs accepted up to this revision of the store are in the counts.
    std::uint64_t synced_revision = 0;
    std::map<std::string, std::uint64_t> waiting; ///< Jobs, by queue.
};

std::string to_json(backlog const& value);
std::optional<backlog> parse_backlog(std::string_view text,
                                     common::failure& reason);

} // namespace fuchsia::core::pool
