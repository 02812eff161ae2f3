#pragma once

#include "core/common/json.hpp"

#include <set>
#include <string>
#include <string_view>

namespace fuchsia::core::config
{

/// Names of customers or data centres.
using name_set = std::set<std::string, std::less<>>;

/// Whether `name` is a valid name of a customer or a data centre: 1 to 64
/// lower-case letters, digits and hyphens. Names become parts of store keys.
bool is_valid_name(std::string_view name) noexcept;

boost::json::array to_json_array(name_set const& names);

/// Returns the names in the array under `key`; empty if there is no such key.
/// An invalid name is recorded as an error of the reader.
name_set read_name_set(common::json_reader& reader, std::string_view key);

} // namespace fuchsia::core::config
