#pragma once

#include "core/contracts/contract.hpp"
#include "core/tasks/allowance.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::core::tasks
{

struct cell_grant
{
    /// Claim epoch of the owner that wrote it. A new owner writes its own
    /// before it uses more, so that a late write of the old one conflicts.
    std::uint64_t epoch = 0;
    allowance granted;

    bool operator==(cell_grant const&) const = default;
};

/// The value of `quota/<customer>`.
struct quota_document
{
    std::string writer;
    std::map<std::string, cell_grant> cells;
};

std::string to_json(quota_document const& value);
std::optional<quota_document> parse_quota(std::string_view json,
                                          common::failure& reason);

/// What `contract` leaves of a cell's grant where the sum of all grants is
/// above it: services first, then batch, each in proportion. So a lowered
/// contract binds before any grant is changed.
allowance scaled_grant(quota_document const& document,
                       std::string const& cell,
                       contracts::contract const& contract);

/// The document with one cell's grant moved to what it needs, as far as the
/// contract leaves room.
cell_grant grow_grant(quota_document const& document,
                      std::string const& cell,
                      allowance const& need,
                      contracts::contract const& contract);

} // namespace fuchsia::core::tasks
