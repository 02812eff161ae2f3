#pragma once

#include "core/common/result_code.hpp"

#include <optional>
#include <string>
#include <string_view>

// Who holds the claim, or asks for it, as it lies in the store.
namespace fuchsia::core::pool
{

struct claim_holder
{
    std::string instance; ///< Name and incarnation.
    /// How much of a pool it can schedule, against the others: the scarcer of
    /// its processor and its link (`claim_settings::size`).
    double size = 1;
};

std::string to_json(claim_holder const& value);
std::optional<claim_holder> parse_claim_holder(std::string_view text,
                                               common::failure& reason);

} // namespace fuchsia::core::pool
