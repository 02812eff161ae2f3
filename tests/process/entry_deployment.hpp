#pragma once

#include "adapters/http/message.hpp"
#include "process/child.hpp"
#include "process/wait_until.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

// Deployment of three entries and the stand-ins of the platform and of the
// upstreams, as processes on loopback.
namespace fuchsia::tests::process
{

/// Sends one request over a new connection. Returns nullopt if no complete
/// response was received.
std::optional<adapters::http::response>
call(std::uint16_t port,
     std::string const& method,
     std::string const& target,
     std::vector<ports::header> const& headers = {},
     std::string const& body = {});

class entry_deployment
{
public:
    static constexpr std::size_t entries = 3;

    /// Starts all processes, writes a contract and waits until all entries are
    /// ready.
    explicit entry_deployment(std::string const& name);
    ~entry_deployment();

    void start_entry(std::size_t number);
    child& entry(std::size_t number);
    /// Port of an entry for callers.
    std::uint16_t port(std::size_t number) const;
    bool ready(std::size_t number) const;
    /// Sends a bid through one entry. A complete response contains the load
    /// token.
    std::optional<adapters::http::response> bid(std::size_t entry,
                                                std::string const& key,
                                                std::uint32_t attempt,
                                                std::string const& token) const;
    /// Whether the metrics of each entry show as many owned partitions as the
    /// assignment gives it. Claims move between entries until then.
    bool owns_as_assigned() const;
    /// Returns a counter of the upstreams' stand-in, or -1 if it is
    /// unavailable.
    std::int64_t upstream_count(std::string const& name) const;
    /// Sets the faults of the platform's stand-in, given as JSON.
    void platform_faults(std::string const& json) const;

    bool is_ready = false; ///< Whether all processes became ready.

private:
    void write_settings();
    void write_contract() const;

    std::filesystem::path folder_;
    std::uint16_t platform_port_ = 0;
    std::uint16_t upstreams_port_ = 0;
    std::vector<std::uint16_t> entry_ports_;
    std::vector<std::uint16_t> peer_ports_;
    std::vector<child> standins_;
    std::vector<std::optional<child>> running_;
};

/// Returns the value of a response header, or an empty string.
std::string header_of(std::optional<adapters::http::response> const& response,
                      std::string_view name);

/// Whether the response is complete and belongs to the request with `token`.
bool is_own(std::optional<adapters::http::response> const& response,
            std::string const& token);

} // namespace fuchsia::tests::process
