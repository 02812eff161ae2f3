#include "adapters/logging/logger.hpp"
#include "adapters/settings/entry_settings.hpp"
#include "programs/entry/entry_program.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

/// `fuchsia-entry`: admits, deduplicates, routes and answers callers' requests.
int main(int argc, char** argv)
{
    using namespace fuchsia;

    CLI::App app{"Entry of fuchsialanding: forwards callers' requests to "
                 "upstreams and returns their answers.",
                 "fuchsia-entry"};
    std::string settings_path;
    bool check_only = false;
    app.set_version_flag("--version", FUCHSIA_VERSION);
    app.add_option("--settings", settings_path, "Settings file (TOML)")
        ->required();
    app.add_flag("--check", check_only, "Only check the settings");
    CLI11_PARSE(app, argc, argv);

    core::common::failure reason;
    auto options =
        adapters::settings::load_entry_settings(settings_path, reason);
    if (!options)
    {
        std::cerr << "fuchsia-entry: " << to_string(reason) << '\n';
        return 1;
    }
    if (check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    adapters::logging::initialize("fuchsia-entry", options->daemon.log_level);
    programs::entry::entry_program program(std::move(*options));
    if (!program.listen(reason))
    {
        std::cerr << "fuchsia-entry: " << to_string(reason) << '\n';
        return 1;
    }
    return program.run();
}
