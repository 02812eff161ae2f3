#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

// Output of planners' answers in a form for operators.
namespace fuchsia::programs::ctl
{

/// The array under `key`; an empty one if there is none.
boost::json::array const& array_of(boost::json::object const& body,
                                   std::string_view key);
/// The value under `key` as text; "-" if there is none.
std::string text_of(boost::json::object const& body, std::string_view key);
/// The value of "revision"; 0 if there is none.
std::uint64_t revision_of(boost::json::object const& body);

void print_revision(std::ostream& out, boost::json::object const& body);
void print_contracts(std::ostream& out, boost::json::object const& body);
void print_status(std::ostream& out, boost::json::object const& body);

} // namespace fuchsia::programs::ctl
