#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::programs::ctl
{

/// A column: its heading, and the key of the objects that fill it; a dot leads
/// into an inner object.
struct column
{
    std::string_view heading;
    std::string_view key;
};

/// Text of a value as an operator reads it: no quotes, "-" for nothing.
std::string plain_text(boost::json::value const& value);

/// Prints one line per object, columns aligned, numbers to the right.
void print_table(std::ostream& out,
                 std::vector<column> const& columns,
                 boost::json::array const& rows);

/// Prints "key: value" for each member that is no array, inner objects as
/// "key.inner: value".
void print_members(std::ostream& out,
                   boost::json::object const& object,
                   std::string const& prefix = {});

} // namespace fuchsia::programs::ctl
