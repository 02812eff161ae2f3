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

/// Returns the severity with this name; empty for an unknown name.
std::optional<ports::severity> severity_from(std::string_view name) noexcept;

/// Sends log lines of `program` to standard output if their severity is
/// `min_severity` or higher:
///
///     2026-12-02T23:15:50.120Z WARN fuchsia-entry takeover partition=7 ...
///
/// To be called once, before the first log line.
void initialize(std::string_view program, ports::severity min_severity);

/// Writes one structured log line. Thread-safe.
void write(ports::log_event const& event);

/// Writes the log line of an event with these fields. Thread-safe.
void write(ports::severity level,
           std::string event,
           std::vector<ports::header> fields);

/// Writes all log lines and ends the process with `status`, without running the
/// destructors of static objects.
[[noreturn]] void end_process(int status);

/// Rate limit of log lines by event name. Of each name it writes at most
/// `per_second` lines per second and adds the number of suppressed lines to the
/// next one (`suppressed=N`). A fault that repeats thousands of times per
/// second therefore neither fills the log nor hides other events.
class rate_limit
{
public:
    explicit rate_limit(std::uint32_t per_second);

    /// Writes the event unless its name has reached the limit of the current
    /// window.
    void write(core::common::time_point now, ports::log_event event);

private:
    struct window
    {
        core::common::time_point started_at;
        std::uint32_t lines_written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t per_second_;
    std::map<std::string, window> windows_;
};

} // namespace fuchsia::adapters::logging
