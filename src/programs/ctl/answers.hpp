#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

// What planners answer, as an operator reads it.
namespace fuchsia::programs::ctl
{

/// The list under `key`; empty where there is none.
boost::json::array const& array_of(boost::json::object const& body,
                                   std::string_view key);
/// The value under `key`; "-" where there is none.
std::string text_of(boost::json::object const& body, std::string_view key);
/// 0 where there is none.
std::uint64_t revision_of(boost::json::object const& body);

void print_revision(std::ostream& out, boost::json::object const& body);
void print_contracts(std::ostream& out, boost::json::object const& body);
void print_status(std::ostream& out, boost::json::object const& body);

} // namespace fuchsia::programs::ctl
