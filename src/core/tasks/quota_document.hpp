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
    /// Claim epoch of the owner that wrote the grant. A new owner writes its
    /// own epoch before it uses the grant, so that a late write of the previous
    /// owner conflicts.
    std::uint64_t epoch = 0;
    allowance granted;

    bool operator==(cell_grant const&) const = default;
};

/// Value of the store key `quota/<customer>`.
struct quota_document
{
    std::string writer;
    std::map<std::string, cell_grant> cells;
};

std::string to_json(quota_document const& value);
std::optional<quota_document> parse_quota(std::string_view json,
                                          common::failure& reason);

/// Returns the part of a cell's grant that `contract` allows if the sum of all
/// grants exceeds the contract: services first, then batch, each in proportion.
/// A lowered contract thus takes effect before any grant is changed.
allowance scaled_grant(quota_document const& document,
                       std::string const& cell,
                       contracts::contract const& contract);

/// Returns the grant of one cell, adjusted to `need` as far as the contract is
/// not granted to other cells.
cell_grant grow_grant(quota_document const& document,
                      std::string const& cell,
                      allowance const& need,
                      contracts::contract const& contract);

} // namespace fuchsia::core::tasks
