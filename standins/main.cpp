#include "adapters/http/message.hpp"
#include "adapters/logging/logger.hpp"
#include "adapters/runtime/signals.hpp"
#include "standins/settings.hpp"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>

// fuchsia-standin: small programs that replace the platform, the upstreams, the
// workers and the network in tests and in the demo.
namespace
{

using namespace fuchsia;
using adapters::settings::toml_table;

constexpr int startup_failure = 2;

int report_failure(core::common::failure const& reason)
{
    std::cerr << "fuchsia-standin: " << to_string(reason) << '\n';
    return startup_failure;
}

/// Runs one stand-in until SIGTERM: reads its settings with `read`, constructs
/// a `Server` from them and listens.
template<class Server, class Settings>
int serve(std::string const& kind,
          std::string const& path,
          std::function<Settings(toml_table&)> const& read)
{
    core::common::failure reason;
    auto const file = adapters::settings::toml_file::open(path, reason);
    if (!file)
    {
        return report_failure(reason);
    }
    auto root = file->root();
    auto const level = standins::read_log_level(root);
    auto settings = read(root);
    if (!file->ok())
    {
        return report_failure(file->reason());
    }
    adapters::logging::initialize("fuchsia-standin", level);
    boost::asio::io_context io(1);
    Server server(io, std::move(settings));
    auto const bound = server.listen(reason);
    if (!bound)
    {
        return report_failure(reason);
    }
    adapters::logging::write(
        ports::severity::info,
        "listening",
        {{"kind", kind}, {"address", adapters::http::to_string(*bound)}});
    adapters::runtime::on_stop_signal(io,
                                      [&]
                                      {
                                          server.stop();
                                          io.stop();
                                      });
    io.run();
    adapters::logging::write(
        ports::severity::info, "stopped", {{"kind", kind}});
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Stand-ins for the platform and its services, for tests and "
                 "the demo");
    app.set_version_flag("--version", FUCHSIA_VERSION);
    app.require_subcommand(1);
    std::string path;
    auto const add_command =
        [&](std::string const& name, std::string const& description)
    {
        auto* command = app.add_subcommand(name, description);
        command->add_option("--settings", path, "TOML file")->required();
        return command;
    };
    auto const* platform =
        add_command("platform", "key-value store and list of instances");
    auto const* upstreams =
        add_command("upstreams", "executors that run callers' requests");
    auto const* workers = add_command("workers", "workers that run tasks");
    auto const* pool =
        add_command("pool", "the users' platform: its store and some workers");
    add_command("links", "TCP relays that delay or cut connections");
    CLI11_PARSE(app, argc, argv);
    if (platform->parsed())
    {
        return serve<standins::platform::platform_server,
                     standins::platform::platform_settings>(
            "platform", path, standins::read_platform_settings);
    }
    if (upstreams->parsed())
    {
        return serve<standins::upstreams::upstream_server,
                     standins::upstreams::upstream_server_settings>(
            "upstreams", path, standins::read_upstream_settings);
    }
    if (workers->parsed())
    {
        return serve<standins::workers::worker_server,
                     standins::workers::worker_server_settings>(
            "workers", path, standins::read_worker_settings);
    }
    if (pool->parsed())
    {
        return serve<standins::pool::pool_server,
                     standins::pool::pool_server_settings>(
            "pool", path, standins::read_pool_settings);
    }
    return serve<standins::links::link_server,
                 standins::links::link_server_settings>(
        "links", path, standins::read_link_settings);
}
