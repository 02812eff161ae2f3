#pragma once

#include "tools/soak/observation.hpp"

#include <fstream>
#include <functional>
#include <string>

namespace fuchsia::tools::soak
{

/// Passes each observation to a callback and writes it to a file, one line per
/// observation: milliseconds since the creation of the log, and the event.
class observation_log
{
public:
    using sink = std::function<void(observation const&)>;

    observation_log(std::string const& path, sink on_observation);
    void append(event new_event);
    /// Writes a line about the soak test itself, such as the start of a
    /// process, to the file, without calling the sink.
    void append_comment(std::string const& text);
    /// Creation time of the log. Times in the file count from it.
    core::common::time_point created_at() const noexcept;

private:
    void write(core::common::time_point at, std::string const& text);

    std::ofstream file_;
    sink on_observation_;
    core::common::time_point created_at_;
};

} // namespace fuchsia::tools::soak
