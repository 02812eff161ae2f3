#pragma once

#include "adapters/runtime/child.hpp"
#include "ports/identity.hpp"
#include "standins/links/relay.hpp"
#include "tools/soak/observation_log.hpp"
#include "tools/soak/plan.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::tools::soak
{

struct instance_group_settings
{
    std::string program; ///< Path of fuchsia-pool.
    std::string folder;  ///< Folder for settings files and logs.
    std::string address; ///< Address of all ports of the group.
    std::uint16_t first_port = 0;
    ports::endpoint store;
    /// Machine of each instance, by its number.
    std::vector<machine_size> machines;
};

/// Processes under test, each between two relays: one for its callers, one to
/// the store. Reports a failure if a process exits without a signal, exits with
/// a status other than 0 after SIGTERM, or exceeds the stop limit.
class instance_group
{
public:
    instance_group(boost::asio::io_context& io,
                   instance_group_settings settings,
                   observation_log& out);

    bool listen(core::common::failure& reason);
    std::size_t size() const noexcept;
    std::string name(std::size_t number) const;
    std::string log_path(std::size_t number) const;
    ports::endpoint submissions(std::size_t number) const;
    ports::endpoint readiness(std::size_t number) const;
    /// Number of starts of the process of this instance.
    std::uint64_t incarnation(std::size_t number) const;
    standins::links::relay& caller_link(std::size_t number);
    standins::links::relay& store_link(std::size_t number);

    void start(std::size_t number);
    void kill(std::size_t number);
    void terminate(std::size_t number);
    void pause(std::size_t number, bool on);
    /// Writes the settings file again with another log level, and sends SIGHUP
    /// if `notify` is true.
    void change_settings(std::size_t number, bool notify);
    /// Polls the process; returns true if it has exited or is being killed for
    /// exceeding the stop limit.
    bool has_exited(std::size_t number);
    std::vector<std::string> const& process_failures() const noexcept;

private:
    struct member
    {
        std::shared_ptr<standins::links::relay> caller_link;
        std::shared_ptr<standins::links::relay> store_link;
        std::unique_ptr<adapters::runtime::child> process;
        std::uint64_t starts = 0;
        std::uint32_t settings_changes = 0;
        bool killed = false;
        bool paused = false;
        std::optional<core::common::time_point> stop_requested_at;
    };

    ports::endpoint port_endpoint(std::size_t number,
                                  std::uint16_t port_role) const;
    void write_settings(std::size_t number) const;
    void report_failure(std::size_t number, std::string const& why);

    boost::asio::io_context& io_;
    instance_group_settings settings_;
    observation_log& out_;
    std::vector<member> members_;
    std::vector<std::string> process_failures_;
};

} // namespace fuchsia::tools::soak
