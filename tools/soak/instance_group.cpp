#include "tools/soak/instance_group.hpp"

#include "adapters/http/message.hpp"

#include <csignal>
#include <fstream>
#include <utility>

namespace fuchsia::tools::soak
{

namespace
{

using adapters::http::to_string;
using core::common::clock;
using standins::links::relay;

// Listening ports of one instance and its two relays, as offsets.
enum port_role : std::uint16_t
{
    submissions_port,
    readiness_port,
    metrics_port,
    caller_link_port,
    store_link_port,
    ports_per_instance,
};

// Maximum time from SIGTERM to the exit before SIGKILL; equals `stop_limit_s`
// in the settings below.
constexpr core::common::duration stop_limit = std::chrono::seconds(6);
constexpr char const* bounds = R"(
[bounds]
shortest_lease_ms = 1000
longest_hold_ms = 10000
stop_limit_s = 6
states_kept_s = 120
harm_ms = 4000
visible_ms = 3000
drain_ms = 2000
config_ms = 2000
cancel_ms = 3000
)";

} // namespace

instance_group::instance_group(boost::asio::io_context& io,
                               instance_group_settings settings,
                               observation_log& out)
    : io_(io), settings_(std::move(settings)), out_(out),
      members_(settings_.machines.size())
{
}

bool instance_group::listen(core::common::failure& reason)
{
    for (std::size_t number = 0; number < size(); ++number)
    {
        auto& instance = members_[number];
        instance.caller_link = std::make_shared<relay>(
            io_,
            standins::links::link_settings{
                "callers",
                submissions(number),
                port_endpoint(number, submissions_port)});
        instance.store_link =
            std::make_shared<relay>(io_,
                                    standins::links::link_settings{
                                        "store",
                                        port_endpoint(number, store_link_port),
                                        settings_.store});
        if (!instance.caller_link->listen(reason) ||
            !instance.store_link->listen(reason))
        {
            return false;
        }
        start(number);
    }
    return true;
}

std::size_t instance_group::size() const noexcept
{
    return members_.size();
}

std::string instance_group::name(std::size_t number) const
{
    return "pool-" + std::to_string(number);
}

std::string instance_group::log_path(std::size_t number) const
{
    return settings_.folder + "/" + name(number) + ".log";
}

ports::endpoint instance_group::port_endpoint(std::size_t number,
                                              std::uint16_t port_role) const
{
    return {settings_.address,
            static_cast<std::uint16_t>(settings_.first_port +
                                       number * ports_per_instance +
                                       port_role)};
}

ports::endpoint instance_group::submissions(std::size_t number) const
{
    return port_endpoint(number, caller_link_port);
}

ports::endpoint instance_group::readiness(std::size_t number) const
{
    return port_endpoint(number, readiness_port);
}

std::uint64_t instance_group::incarnation(std::size_t number) const
{
    return members_[number].starts;
}

relay& instance_group::caller_link(std::size_t number)
{
    return *members_[number].caller_link;
}

relay& instance_group::store_link(std::size_t number)
{
    return *members_[number].store_link;
}

void instance_group::start(std::size_t number)
{
    auto& instance = members_[number];
    write_settings(number);
    auto const base = settings_.folder + "/" + name(number);
    instance.process = std::make_unique<adapters::runtime::child>(
        settings_.program,
        std::vector<std::string>{"--settings", base + ".toml"},
        log_path(number));
    ++instance.starts;
    instance.killed = false;
    instance.paused = false;
    instance.stop_requested_at.reset();
    out_.append_comment("started " + name(number));
}

void instance_group::kill(std::size_t number)
{
    auto& instance = members_[number];
    if (!has_exited(number))
    {
        instance.killed = true;
        instance.process->kill();
    }
}

void instance_group::terminate(std::size_t number)
{
    auto& instance = members_[number];
    if (!has_exited(number) && !instance.stop_requested_at)
    {
        instance.stop_requested_at = clock::now();
        instance.process->signal(SIGTERM);
        out_.append_comment("SIGTERM to " + name(number));
    }
}

void instance_group::pause(std::size_t number, bool on)
{
    auto& instance = members_[number];
    if (instance.paused != on && !has_exited(number))
    {
        instance.process->signal(on ? SIGSTOP : SIGCONT);
    }
    if (instance.paused && !on && instance.stop_requested_at)
    {
        instance.stop_requested_at = clock::now();
    }
    instance.paused = on;
}

void instance_group::change_settings(std::size_t number, bool notify)
{
    ++members_[number].settings_changes;
    write_settings(number);
    if (notify && !has_exited(number))
    {
        members_[number].process->signal(SIGHUP);
    }
}

bool instance_group::has_exited(std::size_t number)
{
    auto& instance = members_[number];
    auto const status = instance.process->status();
    if (!status)
    {
        bool const late =
            instance.stop_requested_at && !instance.paused &&
            !instance.killed &&
            clock::now() - *instance.stop_requested_at > stop_limit;
        if (late)
        {
            report_failure(number, "runs on after SIGTERM");
            instance.killed = true;
            instance.process->kill();
        }
        return late;
    }
    if (!instance.killed && (!instance.stop_requested_at || *status != 0))
    {
        instance.killed = true; // Prevents a second report.
        report_failure(number, "ended with status " + std::to_string(*status));
    }
    return true;
}

std::vector<std::string> const&
instance_group::process_failures() const noexcept
{
    return process_failures_;
}

void instance_group::write_settings(std::size_t number) const
{
    auto const path = settings_.folder + "/" + name(number);
    bool const odd = members_[number].settings_changes % 2 != 0;
    auto const& machine = settings_.machines[number];
    {
        std::ofstream out(path + ".new");
        out << "name = \"" << name(number) << "\"\ndata_centre = \"a\""
            << "\nsubmissions = \""
            << to_string(port_endpoint(number, submissions_port))
            << "\"\nreadiness = \""
            << to_string(port_endpoint(number, readiness_port))
            << "\"\nmetrics = \""
            << to_string(port_endpoint(number, metrics_port))
            << "\"\nstore = \""
            << to_string(port_endpoint(number, store_link_port))
            << "\"\nlog_level = \"" << (odd ? "debug" : "info")
            << "\"\n\n[machine]\ncores = " << machine.cores
            << "\nlink_mbps = " << machine.link_mbps << '\n'
            << bounds;
    }
    std::rename((path + ".new").c_str(), (path + ".toml").c_str());
}

void instance_group::report_failure(std::size_t number, std::string const& why)
{
    process_failures_.push_back(name(number) + " " + why);
    out_.append_comment("complaint: " + process_failures_.back());
}

} // namespace fuchsia::tools::soak
