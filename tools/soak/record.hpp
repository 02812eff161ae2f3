#pragma once

#include "tools/soak/observation.hpp"

#include <fstream>
#include <functional>
#include <string>

namespace fuchsia::tools::soak
{

/// Hands each observation on and writes it to a file, a line each: milliseconds
/// since its making, and what was seen.
class record
{
public:
    using sink = std::function<void(observation const&)>;

    record(std::string const& path, sink take);
    void take(event what);
    /// Of what the soak itself does; for the reader of the file alone.
    void note(std::string const& text);
    /// When it was made: zero of the file's times.
    core::common::time_point first() const noexcept;

private:
    void write(core::common::time_point at, std::string const& text);

    std::ofstream file_;
    sink take_;
    core::common::time_point first_;
};

} // namespace fuchsia::tools::soak
