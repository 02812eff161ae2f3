#include "tools/load/bench.hpp"
#include "tools/load/bench_pool.hpp"
#include "tools/load/commands.hpp"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <vector>

// fuchsia-load: open-loop load, experiments, and the check of a run's counters.
namespace
{

using namespace fuchsia::tools::load;

CLI::App* add_run(CLI::App& app, run_options& options)
{
    auto* command = app.add_subcommand("run", "runs an experiment");
    auto* file = command->add_option(
        "experiment,--settings", options.experiment, "TOML file");
    file->required();
    command->add_option(
        "--targets", options.targets, "TOML file with the table [targets]");
    command->add_option(
        "--summary", options.summary, "path of the JSON summary to write");
    command->add_option("--csv",
                        options.csv,
                        "path of the CSV file to write, one line per second");
    command->add_option("--svg", options.svg, "path of the SVG plot to write");
    command->add_option(
        "--seconds", options.seconds, "scales the run to this length");
    command->add_option(
        "--rate-factor", options.rate_factor, "multiplies every rate");
    command->add_option(
        "--seed", options.seed, "seed that overrides the file's");
    command->add_flag("--direct",
                      options.direct,
                      "sends all requests directly to the upstreams");
    return command;
}

CLI::App* add_books(CLI::App& app, verdict_options& options)
{
    auto* command = app.add_subcommand(
        "books", "checks the guarantees against all counters together");
    command->add_option("--summary",
                        options.summaries,
                        "paths of the summaries of any number of runs");
    command->add_option("--upstreams",
                        options.upstreams,
                        "IP:port of the upstream stand-in's control paths");
    command->add_option("--workers",
                        options.workers,
                        "IP:port of the worker stand-in's control paths");
    return command;
}

CLI::App* add_bench_pool(CLI::App& app,
                         std::vector<std::uint32_t>& sizes,
                         pool_bench_settings& settings)
{
    auto* command = app.add_subcommand(
        "bench-pool",
        "measures the processor time of an owner's decisions by pool size");
    command->add_option("--workers", sizes, "pool sizes in workers");
    command->add_option("--hopeless",
                        settings.hopeless_steps,
                        "steps that wait because no worker can take them");
    command
        ->add_option("--demands",
                     settings.hopeless_demands,
                     "number of their different demands")
        ->check(CLI::PositiveNumber);
    command->add_option(
        "--seconds", settings.seconds, "virtual time to measure");
    command->add_option("--seed", settings.seed, "seed of the arrivals");
    command
        ->add_option(
            "--load", settings.load, "multiplier of the job arrival rate")
        ->check(CLI::PositiveNumber);
    return command;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Open-loop load and experiments");
    app.set_version_flag("--version", FUCHSIA_VERSION);
    app.require_subcommand(1);
    run_options run;
    verdict_options books;
    auto const* const run_command = add_run(app, run);
    add_books(app, books);
    auto const* const bench_command = app.add_subcommand(
        "bench",
        "runs the decision core on fixed input and prints a signature");
    std::vector<std::uint32_t> sizes{48, 350, 1100};
    pool_bench_settings pool;
    auto const* const pool_command = add_bench_pool(app, sizes, pool);
    CLI11_PARSE(app, argc, argv);
    if (bench_command->parsed())
    {
        return run_bench(std::cout);
    }
    if (pool_command->parsed())
    {
        return run_pool_bench(sizes, pool, std::cout);
    }
    return run_command->parsed() ? run_experiment(run) : print_verdict(books);
}
