#include "adapters/logging/logger.hpp"

#include <array>
#include <cstdlib>
#include <iostream>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <utility>

namespace fuchsia::adapters::logging
{

namespace
{

constexpr std::array<std::string_view, 4> severity_names{
    "debug", "info", "warning", "error"};
constexpr std::array<log4cplus::LogLevel, 4> levels{log4cplus::DEBUG_LOG_LEVEL,
                                                    log4cplus::INFO_LOG_LEVEL,
                                                    log4cplus::WARN_LOG_LEVEL,
                                                    log4cplus::ERROR_LOG_LEVEL};
constexpr std::size_t max_value_bytes = 2048;

log4cplus::Logger& program_logger()
{
    static log4cplus::Logger logger = log4cplus::Logger::getRoot();
    return logger;
}

// Returns a field value for the log, truncated to `max_value_bytes`. Empty
// values and values with spaces, double quotes or control characters are put in
// double quotes. Double quotes in a value become single quotes, and control
// characters become spaces, so that no value can start a new line.
std::string printable(std::string_view value)
{
    std::string text;
    bool quote = value.empty();
    for (char const character : value.substr(0, max_value_bytes))
    {
        bool const control = static_cast<unsigned char>(character) < ' ';
        quote = quote || control || character == ' ' || character == '"';
        text +=
            control || character == '"' ? (control ? ' ' : '\'') : character;
    }
    return quote ? '"' + text + '"' : text;
}

} // namespace

std::optional<ports::severity> severity_from(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < severity_names.size(); ++index)
    {
        if (severity_names[index] == name)
        {
            return static_cast<ports::severity>(index);
        }
    }
    return std::nullopt;
}

void initialize(std::string_view program, ports::severity min_severity)
{
    static log4cplus::Initializer const initializer;
    log4cplus::helpers::Properties properties;
    properties.setProperty("log4cplus.rootLogger", "DEBUG, console");
    properties.setProperty("log4cplus.appender.console",
                           "log4cplus::ConsoleAppender");
    properties.setProperty("log4cplus.appender.console.logToStdErr", "false");
    // Buffered lines would be lost if the process is killed, and the last lines
    // are the ones that show the cause.
    properties.setProperty("log4cplus.appender.console.ImmediateFlush", "true");
    properties.setProperty("log4cplus.appender.console.layout",
                           "log4cplus::PatternLayout");
    properties.setProperty(
        "log4cplus.appender.console.layout.ConversionPattern",
        "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p " + std::string(program) + " %m%n");
    log4cplus::PropertyConfigurator(properties).configure();
    program_logger().setLogLevel(
        levels[static_cast<std::size_t>(min_severity)]);
}

// The destructors of log4cplus wait for its thread pool, which this project
// does not use. If the pool's threads do not end, a process that has logged
// "stopped" keeps running until it is killed seconds later. Each planned stop
// then uses up its whole grace time, and the instance is unavailable for as
// long.
void end_process(int status)
{
    std::cout.flush();
    std::quick_exit(status);
}

void write(ports::log_event const& event)
{
    auto const level = levels[static_cast<std::size_t>(event.level)];
    if (!program_logger().isEnabledFor(level))
    {
        return;
    }
    std::string line = event.event;
    for (auto const& field : event.fields)
    {
        line += ' ' + field.name + '=' + printable(field.value);
    }
    program_logger().log(level, line);
}

void write(ports::severity level,
           std::string event,
           std::vector<ports::header> fields)
{
    write(ports::log_event{level, std::move(event), std::move(fields)});
}

rate_limit::rate_limit(std::uint32_t per_second) : per_second_(per_second)
{
}

void rate_limit::write(core::common::time_point now, ports::log_event event)
{
    // Event names are literals in the code, so the map stays small.
    auto& window = windows_[event.event];
    if (now - window.started_at >= std::chrono::seconds(1))
    {
        window.started_at = now;
        window.lines_written = 0;
    }
    if (window.lines_written >= per_second_)
    {
        ++window.suppressed;
        return;
    }
    ++window.lines_written;
    if (window.suppressed > 0)
    {
        event.fields.push_back(
            {"suppressed",
             std::to_string(std::exchange(window.suppressed, 0))});
    }
    logging::write(event);
}

} // namespace fuchsia::adapters::logging
