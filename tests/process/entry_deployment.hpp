#pragma once

#include "adapters/http/message.hpp"
#include "process/child.hpp"
#include "process/wait_until.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

// Three entries with the platform's and the upstreams' stand-ins, as processes
// on loopback.
namespace fuchsia::tests::process
{

/// One exchange over a connection of its own; empty where no whole answer came.
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

    /// Starts everything, writes a contract and waits until all are ready.
    explicit entry_deployment(std::string const& name);
    ~entry_deployment();

    void start_entry(std::size_t number);
    child& entry(std::size_t number);
    bool ready(std::size_t number) const;
    /// A bid through one entry; the load token comes back in a whole answer.
    std::optional<adapters::http::response> bid(std::size_t entry,
                                                std::string const& key,
                                                std::uint32_t attempt,
                                                std::string const& token) const;
    /// Whether each entry owns just the partitions that are wished to be its,
    /// by its metrics: claims move until then.
    bool owns_as_assigned() const;
    /// A number in the books of the upstreams' stand-in.
    std::int64_t upstream_count(std::string const& name) const;
    /// Sets faults of the platform's stand-in.
    void platform_faults(std::string const& json) const;

    bool is_ready = false; ///< Whether all came up.

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

/// Value of an answer's header; empty where it is absent.
std::string header_of(std::optional<adapters::http::response> const& answer,
                      std::string_view name);

/// Whether the answer is whole and its own caller's.
bool is_own(std::optional<adapters::http::response> const& answer,
            std::string const& token);

} // namespace fuchsia::tests::process
