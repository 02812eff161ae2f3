#pragma once

#include "core/common/result_code.hpp"

#include <optional>
#include <string>
#include <string_view>

// The record in the store that names the holder of the claim.
namespace fuchsia::core::pool
{

struct claim_holder
{
    std::string instance; ///< Name and incarnation.
    /// Scheduling capacity relative to other instances, given by the scarcer of
    /// the instance's processor and link; see `claim_settings::size`.
    double size = 1;
};

std::string to_json(claim_holder const& value);
std::optional<claim_holder> parse_claim_holder(std::string_view text,
                                               common::failure& reason);

} // namespace fuchsia::core::pool
