#include "adapters/logging/logger.hpp"
#include "programs/planner/planner_program.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

namespace
{

constexpr int bad_settings = 2;

} // namespace

/// `fuchsia-planner`: places tasks on workers, keeps them running, and serves
/// the administration API.
int main(int count, char** arguments)
{
    CLI::App app("Planner of fuchsialanding: schedules tasks and serves "
                 "the administration API.");
    std::string path;
    app.add_option("--settings", path, "settings file (TOML)")->required();
    app.set_version_flag("--version", FUCHSIA_VERSION);
    CLI11_PARSE(app, count, arguments);

    fuchsia::core::common::failure reason;
    auto settings =
        fuchsia::adapters::settings::load_planner_settings(path, reason);
    if (!settings)
    {
        std::fprintf(stderr,
                     "fuchsia-planner: %s\n",
                     fuchsia::core::common::to_string(reason).c_str());
        return bad_settings;
    }
    fuchsia::adapters::logging::initialize("fuchsia-planner",
                                           settings->daemon.log_level);
    fuchsia::programs::planner::planner_program program(std::move(*settings));
    auto const status = program.run(reason);
    if (!status)
    {
        std::fprintf(stderr,
                     "fuchsia-planner: %s\n",
                     fuchsia::core::common::to_string(reason).c_str());
        return bad_settings;
    }
    return *status;
}
