#pragma once

#include "core/common/result_code.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::pool
{

/// Numbers of waiting jobs, recorded by the owner for all instances.
struct backlog
{
    /// Revision of the store up to which accepted jobs are in the counts.
    std::uint64_t synced_revision = 0;
    std::map<std::string, std::uint64_t> waiting; ///< Number of jobs by queue.
    /// Epoch of the owner if its takeover is complete; else 0.
    std::uint64_t working_epoch = 0;
    /// Number of workers that may run tasks and do not answer the owner.
    std::uint64_t unreached_workers = 0;
};

std::string to_json(backlog const& value);
std::optional<backlog> parse_backlog(std::string_view text,
                                     common::failure& reason);

} // namespace fuchsia::core::pool
