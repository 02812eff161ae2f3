#include "tools/soak/checker.hpp"
#include "tools/soak/soak.hpp"

#include <algorithm>
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

// fuchsia-soak runs real instances of fuchsia-pool under faults that are drawn
// from a seed.
namespace
{

using namespace fuchsia;
using namespace fuchsia::tools::soak;

constexpr int exit_bad_options = 2;

std::string default_program_path()
{
    return std::filesystem::canonical("/proc/self/exe")
        .replace_filename("fuchsia-pool")
        .string();
}

std::string command_line(int count, char** arguments)
{
    std::string result;
    for (int number = 0; number < count; ++number)
    {
        result += (number > 0 ? " " : "") + std::string(arguments[number]);
    }
    return result;
}

std::string to_text(soak_result const& figures, std::size_t violations)
{
    auto const& jobs = figures.jobs;
    return "jobs accepted " + std::to_string(jobs.accepted) + ", refused " +
           std::to_string(jobs.refused) + ", unknown " +
           std::to_string(jobs.unknown) + ", completed " +
           std::to_string(jobs.completed) + "; runs " +
           std::to_string(figures.runs) + "; faults " +
           std::to_string(figures.faults) + "; lag ms " +
           std::to_string(core::common::to_milliseconds(figures.lag)) +
           "; violations " + std::to_string(violations);
}

std::string_view name_of(rule named_rule)
{
    constexpr std::array<std::string_view, 15> names{"lost",
                                                     "refused_ran",
                                                     "doubled",
                                                     "order",
                                                     "attempts",
                                                     "cancelled",
                                                     "drain",
                                                     "data_centre",
                                                     "configuration",
                                                     "counts",
                                                     "state",
                                                     "recovery",
                                                     "crashes",
                                                     "capacity",
                                                     "owner"};
    return names[static_cast<std::size_t>(named_rule)];
}

// Returns one line per violation, with the same time base as observations.txt,
// and one per process failure.
std::string to_text(soak_result const& figures,
                    std::vector<violation> const& found_violations)
{
    std::ostringstream out;
    for (auto const& entry : found_violations)
    {
        out << core::common::to_milliseconds(entry.at - figures.started_at)
            << " ms " << name_of(entry.broken_rule) << ' ' << entry.subject
            << ": " << entry.reason << '\n';
    }
    for (auto const& entry : figures.process_failures)
    {
        out << "process " << entry << '\n';
    }
    return out.str();
}

void write(std::string const& path, std::string const& text)
{
    std::ofstream(path) << text;
}

// Returns the exit status: 1 if anything failed, 2 if the run could not start.
int run(soak_settings const& settings, std::string const& command)
{
    write(settings.folder + "/schedule.txt", to_text(make_plan(settings.plan)));
    write(settings.folder + "/command.txt", command + '\n');
    core::common::failure reason;
    checker check((time_limits()));
    auto const figures = run_soak(
        settings,
        [&check](observation const& seen)
        {
            check.observe(seen);
        },
        reason);
    if (!figures)
    {
        std::cerr << "fuchsia-soak: " << core::common::to_string(reason)
                  << '\n';
        return exit_bad_options;
    }
    auto const found_violations = check.finish(core::common::clock::now());
    auto const text = to_text(*figures, found_violations);
    write(settings.folder + "/violations.txt", text);
    std::cout << text;
    auto const found =
        found_violations.size() + figures->process_failures.size();
    if (found > 0)
    {
        std::cout << "again: " << command << "\nseen: " << settings.folder
                  << '\n';
    }
    std::cout << to_text(*figures, found) << std::endl;
    return found > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments)
{
    CLI::App app("Randomized faults against real instances of fuchsia-pool");
    soak_settings settings;
    std::uint32_t seconds = 20;
    std::vector<std::string> kinds;
    std::string planted;
    app.add_option("--seed", settings.plan.seed, "seed of jobs and faults");
    app.add_option("--seconds", seconds, "duration of the traffic in seconds")
        ->check(CLI::Range(1, 3600));
    app.add_option("--instances", settings.plan.instances)
        ->check(CLI::Range(1, 40));
    app.add_option("--workers", settings.plan.workers)
        ->check(CLI::Range(2, 64));
    app.add_option("--out",
                   settings.folder,
                   "folder for observations, violations and logs");
    app.add_option(
           "--fault-set", kinds, "comma-separated kinds of fault, or \"none\"")
        ->delimiter(',');
    app.add_option(
        "--plant", planted, "defect to plant, which the checks must detect");
    CLI11_PARSE(app, count, arguments);

    settings.plan.traffic = std::chrono::seconds(seconds);
    settings.program = default_program_path();
    if (!kinds.empty())
    {
        settings.plan.kinds.clear();
    }
    for (auto const& name : kinds)
    {
        auto const kind = fault_kind_from(name);
        if (!kind && name != "none")
        {
            std::cerr << "fuchsia-soak: unknown kind of fault: " << name
                      << '\n';
            return exit_bad_options;
        }
        if (kind)
        {
            settings.plan.kinds.insert(*kind);
        }
    }
    if (!planted.empty() && !set_planted_defect(planted, settings))
    {
        std::cerr << "fuchsia-soak: unknown defect: " << planted << '\n';
        return exit_bad_options;
    }
    bool const keep_folder = !settings.folder.empty();
    if (!keep_folder)
    {
        settings.folder = (std::filesystem::temp_directory_path() /
                           ("fuchsia-soak-" + std::to_string(::getpid())))
                              .string();
    }
    std::filesystem::create_directories(settings.folder);
    auto const status = run(settings, command_line(count, arguments));
    if (!keep_folder && status == 0)
    {
        std::filesystem::remove_all(settings.folder);
    }
    return status;
}
