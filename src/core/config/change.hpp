#pragma once

#include "core/config/configuration.hpp"
#include "core/config/index.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fuchsia::core::config
{

struct put_contract
{
    contracts::contract value;
};

struct withdraw_contract
{
    std::string customer;
};

struct set_data_centre
{
    std::string name;
    bool out_of_service = false;
};

/// What an operator asks for.
using change = std::variant<put_contract, withdraw_contract, set_data_centre>;

/// The configuration after `what` became `revision`; empty where `before` is
/// not the revision just below, so that what lies between is unknown.
std::optional<configuration> apply_change(configuration const& before,
                                          change const& what,
                                          std::uint64_t revision);

/// Revision at which the thing that `what` changes was last changed.
std::uint64_t last_change_revision(index_document const& index,
                                   change const& what);

/// Makes the change in an index whose revision is already the new one; false,
/// with the reason, where that can't be.
bool apply_to_index(index_document& index,
                    std::string const& write_id,
                    change const& what,
                    common::failure& reason);

} // namespace fuchsia::core::config
