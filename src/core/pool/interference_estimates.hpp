#pragma once

#include "core/common/result_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What an owner has learned of images, as it lies in the store for the next
// one: who has to learn anew takes idle cores for used and holds filling work
// back for many seconds.
namespace fuchsia::core::pool
{

/// Headroom without neighbours that serving tasks of an image have on average.
struct headroom_record
{
    std::string image;
    double mean = 0;
    double readings = 0; ///< That it rests on.
};

/// Headroom that a whole worker of `beside` takes from a task of `served`.
struct pair_record
{
    std::string served;
    std::string beside;
    double weight = 0;
    double variance = 0;
};

struct interference_estimates
{
    std::vector<headroom_record> headrooms;
    std::vector<pair_record> pairs;
};

std::string to_json(interference_estimates const& value);
/// Empty, with the reason, where the record or a part of it can't be used.
std::optional<interference_estimates>
parse_interference_estimates(std::string_view text, common::failure& reason);

} // namespace fuchsia::core::pool
