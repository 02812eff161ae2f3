#include "adapters/logging/logger.hpp"
#include "programs/pool/pool_program.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

namespace
{

constexpr int bad_settings = 2;

int report_failure(fuchsia::core::common::failure const& reason)
{
    std::fprintf(stderr,
                 "fuchsia-pool: %s\n",
                 fuchsia::core::common::to_string(reason).c_str());
    return bad_settings;
}

// Runs the program; all threads are stopped and all sockets closed on return.
int serve(fuchsia::adapters::settings::pool_daemon_settings settings,
          std::string const& path)
{
    fuchsia::core::common::failure reason;
    fuchsia::programs::pool::pool_program program(std::move(settings), path);
    auto const status = program.run(reason);
    return status ? *status : report_failure(reason);
}

} // namespace

/// `fuchsia-pool`: accepts jobs and runs their tasks on the pool's workers.
int main(int count, char** arguments)
{
    CLI::App app("Accepts jobs and schedules them on a pool of workers.");
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "settings file (TOML)")
        ->envname("FUCHSIALANDING_SETTINGS")
        ->required();
    app.add_flag(
        "--check", check, "check the settings, report errors and exit");
    app.set_version_flag("--version", FUCHSIA_VERSION);
    CLI11_PARSE(app, count, arguments);

    fuchsia::core::common::failure reason;
    auto settings =
        fuchsia::adapters::settings::load_pool_settings(path, reason);
    if (!settings)
    {
        return report_failure(reason);
    }
    if (check)
    {
        return 0;
    }
    fuchsia::adapters::logging::initialize("fuchsia-pool", settings->log_level);
    fuchsia::adapters::logging::end_process(serve(std::move(*settings), path));
}
