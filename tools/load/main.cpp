#include "tools/load/bench.hpp"
#include "tools/load/bench_pool.hpp"
#include "tools/load/commands.hpp"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <vector>

// fuchsia-load: open-loop load, experiments, and the books of a run.
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
        "--summary", options.summary, "write a JSON summary here");
    command->add_option("--csv", options.csv, "write one line a second here");
    command->add_option("--svg", options.svg, "write a plot here");
    command->add_option(
        "--seconds", options.seconds, "stretch the run to this length");
    command->add_option(
        "--rate-factor", options.rate_factor, "multiplies every rate");
    command->add_option("--seed", options.seed, "instead of the file's");
    command->add_flag(
        "--direct", options.direct, "past the entries, to the upstreams");
    return command;
}

CLI::App* add_books(CLI::App& app, verdict_options& options)
{
    auto* command = app.add_subcommand(
        "books", "checks what must always hold, from all books together");
    command->add_option(
        "--summary", options.summaries, "summaries of runs, any number");
    command->add_option(
        "--upstreams", options.upstreams, "IP:port of the stand-in's control");
    command->add_option(
        "--workers", options.workers, "IP:port of the stand-in's control");
    return command;
}

CLI::App* add_bench_pool(CLI::App& app,
                         std::vector<std::uint32_t>& sizes,
                         pool_bench_settings& settings)
{
    auto* command = app.add_subcommand(
        "bench-pool", "what an owner's decisions cost at each size of a pool");
    command->add_option("--workers", sizes, "sizes, in workers");
    command->add_option("--seconds", settings.seconds, "of virtual time");
    command->add_option("--seed", settings.seed, "of what arrives");
    command->add_option("--load", settings.load, "factor of what arrives")
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
        "bench", "runs the decision core on fixed input, prints a signature");
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
