#pragma once

#include "core/common/result_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Estimates of the interference between images, as they are stored for the next
// owner. An owner that has to learn them again takes idle cores for used ones
// and delays best-effort work for many seconds.
namespace fuchsia::core::pool
{

/// Average headroom without neighbours of the serving tasks of an image.
struct headroom_record
{
    std::string image;
    double mean = 0;
    double readings = 0; ///< Number of readings behind `mean`.
};

/// Headroom that `neighbour_image` takes from a task of `serving_image` if it
/// uses a whole worker.
struct pair_record
{
    std::string serving_image;
    std::string neighbour_image;
    double weight = 0;
    double variance = 0;
};

struct interference_estimates
{
    std::vector<headroom_record> headrooms;
    std::vector<pair_record> pairs;
};

std::string to_json(interference_estimates const& value);
/// Returns the parsed record; empty, with the reason, if any part of it is
/// invalid.
std::optional<interference_estimates>
parse_interference_estimates(std::string_view text, common::failure& reason);

} // namespace fuchsia::core::pool
