#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Implementation of the subcommands of fuchsia-load. Each function returns the
// exit status.
namespace fuchsia::tools::load
{

struct run_options
{
    std::string experiment; ///< Path of the TOML file.
    std::string targets; ///< File with [targets]; the experiment overrides it.
    std::string summary; ///< Path of the JSON summary; empty for none.
    std::string csv;     ///< Path of the CSV file; empty for none.
    std::string svg;     ///< Path of the SVG plot; empty for none.
    std::optional<double> seconds; ///< Scales the whole run to this length.
    double rate_factor = 1.0;
    std::optional<std::uint64_t> seed;
    bool direct = false; ///< Sends all requests directly to the upstreams.
};

int run_experiment(run_options const& options);

struct verdict_options
{
    std::vector<std::string> summaries;
    /// IP:port of the upstream stand-in's control paths.
    std::string upstreams;
    /// IP:port of the worker stand-in's control paths.
    std::string workers;
};

/// Prints the verdict line. Returns 1 if one of its last six figures is not 0.
int print_verdict(verdict_options const& options);

} // namespace fuchsia::tools::load
