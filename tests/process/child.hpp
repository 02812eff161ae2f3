#pragma once

#include "adapters/runtime/child.hpp"

namespace fuchsia::tests::process
{

/// A program of this project as a child process of the test. The destructor
/// kills it.
class child : public adapters::runtime::child
{
public:
    /// Starts `program` from the build folder and writes its output to `log`.
    child(std::string const& program,
          std::vector<std::string> const& arguments,
          std::string const& log)
        : adapters::runtime::child(
              std::string(FUCHSIA_BINARY_DIR) + "/" + program, arguments, log)
    {
    }
};

} // namespace fuchsia::tests::process
