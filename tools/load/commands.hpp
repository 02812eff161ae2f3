#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What fuchsia-load's subcommands do; each returns the exit status.
namespace fuchsia::tools::load
{

struct run_options
{
    std::string experiment; ///< Path of the TOML file.
    std::string targets;    ///< File with [targets], before the experiment's.
    std::string summary;    ///< Where to write the JSON summary, if anywhere.
    std::string csv;
    std::string svg;
    std::optional<double> seconds; ///< Stretches the whole run to this.
    double rate_factor = 1.0;
    std::optional<std::uint64_t> seed;
    bool direct = false; ///< All requests straight to the upstreams.
};

int run_experiment(run_options const& options);

struct verdict_options
{
    std::vector<std::string> summaries;
    std::string upstreams; ///< IP:port of the stand-in's control paths.
    std::string workers;
};

/// Prints the verdict's line; status 1 where one of its last six is not 0.
int print_verdict(verdict_options const& options);

} // namespace fuchsia::tools::load
