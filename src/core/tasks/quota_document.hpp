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

/// Part of a customer's contract that is granted to one cell.
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
    /// Identifies the write: incarnation of the writer and number of the write.
    std::string writer;
    std::map<std::string, cell_grant> cells; ///< Grants by cell name.
};

std::string to_json(quota_document const& value);
std::optional<quota_document> parse_quota(std::string_view json,
                                          common::failure& reason);

/// Returns the part of a cell's grant that `contract` allows if the sum of all
/// grants exceeds the contract. Services come first and batch shares the rest;
/// each is scaled down in proportion to the cells' grants. A lowered contract
/// thus takes effect before any grant is changed.
allowance scaled_grant(quota_document const& document,
                       std::string const& cell,
                       contracts::contract const& contract);

/// Returns the cell's grant set to `need`, which may be lower than the present
/// grant, but to no more than the present grant plus the part of the contract
/// that is not granted. The epoch is unchanged.
cell_grant adjust_grant(quota_document const& document,
                        std::string const& cell,
                        allowance const& need,
                        contracts::contract const& contract);

} // namespace fuchsia::core::tasks
