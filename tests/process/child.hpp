#pragma once

#include "adapters/runtime/child.hpp"

namespace fuchsia::tests::process
{

/// One of our programs as a child of the test; killed at the end of its scope.
class child : public adapters::runtime::child
{
public:
    /// Starts `program` of the build folder; its output goes to `log`.
    child(std::string const& program,
          std::vector<std::string> const& arguments,
          std::string const& log)
        : adapters::runtime::child(
              std::string(FUCHSIA_BINARY_DIR) + "/" + program, arguments, log)
    {
    }
};

} // namespace fuchsia::tests::process
