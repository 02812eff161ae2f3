#pragma once

#include "core/config/configuration.hpp"
#include "core/config/index.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fuchsia::core::config
{

/// Adds a customer's contract or replaces it.
struct put_contract
{
    contracts::contract value;
};

/// Withdraws a customer's contract.
struct withdraw_contract
{
    std::string customer;
};

/// Takes a data centre out of service or brings it back.
struct set_data_centre
{
    std::string name;
    bool out_of_service = false;
};

/// Change of the configuration that an operator requests.
using change = std::variant<put_contract, withdraw_contract, set_data_centre>;

/// Returns `before` with the change applied as `revision`. Empty if `before` is
/// not at the revision directly below, since the changes in between are
/// unknown.
std::optional<configuration> apply_change(configuration const& before,
                                          change const& requested,
                                          std::uint64_t revision);

/// Returns the revision of the last change to the same contract or data centre;
/// 0 if there was none.
std::uint64_t last_change_revision(index_document const& index,
                                   change const& requested);

/// Applies the change to an index whose revision is already the new one.
/// Returns false and sets `reason` if the change is not possible.
bool apply_to_index(index_document& index,
                    std::string const& write_id,
                    change const& requested,
                    common::failure& reason);

} // namespace fuchsia::core::config
