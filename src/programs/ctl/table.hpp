#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::programs::ctl
{

/// Column of a table: its heading, and the key of its values in the row
/// objects. A dot in the key separates the key of a nested object from the key
/// in it.
struct column
{
    std::string_view heading;
    std::string_view key;
};

/// Text of a value without quotes; "-" for null and for an empty string.
std::string plain_text(boost::json::value const& value);

/// Prints a heading and one line per object, with aligned columns; numeric
/// columns are aligned to the right.
void print_table(std::ostream& out,
                 std::vector<column> const& columns,
                 boost::json::array const& rows);

/// Prints "key: value" for each member that is not an array, and "key.inner:
/// value" for the members of nested objects.
void print_members(std::ostream& out,
                   boost::json::object const& object,
                   std::string const& prefix = {});

} // namespace fuchsia::programs::ctl
