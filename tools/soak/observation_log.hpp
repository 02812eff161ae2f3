#pragma once

#include "tools/soak/observation.hpp"

#include <fstream>
#include <functional>
#include <string>

namespace fuchsia::tools::soak
{

/// Hands each observation on and writes it to a file, a line each: milliseconds
/// since its making, and what was seen.
class observation_log
{
public:
    using sink = std::function<void(observation const&)>;

    observation_log(std::string const& path, sink on_observation);
    void append(event new_event);
    /// Of what the soak itself does; for the reader of the file alone.
    void append_comment(std::string const& text);
    /// When it was made: zero of the file's times.
    core::common::time_point created_at() const noexcept;

private:
    void write(core::common::time_point at, std::string const& text);

    std::ofstream file_;
    sink on_observation_;
    core::common::time_point created_at_;
};

} // namespace fuchsia::tools::soak
