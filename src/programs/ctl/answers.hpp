#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

// Prints the planners' JSON answers as text for operators.
namespace fuchsia::programs::ctl
{

/// Returns the array under `key`; an empty array if there is no such key or its
/// value is not an array.
boost::json::array const& array_of(boost::json::object const& body,
                                   std::string_view key);
/// Returns the value under `key` as text; "-" if there is no such key.
std::string text_of(boost::json::object const& body, std::string_view key);
/// Returns the value of "revision"; 0 if there is no such key.
std::uint64_t revision_of(boost::json::object const& body);

void print_revision(std::ostream& out, boost::json::object const& body);
void print_contracts(std::ostream& out, boost::json::object const& body);
void print_status(std::ostream& out, boost::json::object const& body);

} // namespace fuchsia::programs::ctl
