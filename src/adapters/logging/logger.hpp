#pragma once

#include "core/common/time.hpp"
#include "ports/actions.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fuchsia::adapters::logging
{

std::optional<ports::severity> severity_from(std::string_view name) noexcept;

/// Sends log lines of this program to standard output, from `least` upwards:
///
///     2026-12-02T23:15:50.120Z WARN fuchsia-entry takeover partition=7 ...
///
/// To be called once, before the first line.
void initialize(std::string_view program, ports::severity least);

/// Writes one structured line. Thread-safe.
void write(ports::log_event const& event);

/// Shorthand for the line of an event with these fields.
void write(ports::severity level,
           std::string event,
           std::vector<ports::header> fields);

/// Ends the process with `status`, all lines written, without the destructors
/// of static objects.
[[noreturn]] void end_process(int status);

/// Lets at most `per_second` lines of each event name through and adds the
/// number it held back to the next one (`suppressed=N`), so that a fault which
/// repeats thousands of times a second neither fills the log nor hides others.
class rate_limit
{
public:
    explicit rate_limit(std::uint32_t per_second);

    /// Writes the event unless its name has used up this second.
    void write(core::common::time_point now, ports::log_event event);

private:
    struct window
    {
        core::common::time_point began;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t per_second_;
    std::map<std::string, window> windows_;
};

} // namespace fuchsia::adapters::logging
