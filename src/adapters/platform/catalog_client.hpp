#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"
#include "ports/instances.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::adapters::platform
{

/// Reads one upstream list as the catalog answers it; malformed entries are
/// left out.
std::optional<std::vector<ports::upstream_instance>>
parse_upstreams(std::string_view body);

/// Reads the ids of a service's instances.
std::optional<std::vector<std::string>> parse_names(std::string_view body);

/// Polls the platform's instance list.
class catalog_client
{
public:
    using handler = std::function<void(ports::instance_list)>;

    /// `member_service` is the service whose instances are our own role's;
    /// upstreams are read only where `with_upstreams` says so.
    catalog_client(boost::asio::io_context& io,
                   ports::endpoint where,
                   core::common::duration interval,
                   std::string member_service,
                   bool with_upstreams,
                   handler handle);

    void start();

private:
    void poll();
    void read_upstreams(ports::instance_list list);
    void rest();
    void fetch(std::string const& service,
               std::function<void(http::response const&)> on_answer);

    ports::endpoint where_;
    core::common::duration interval_;
    std::string member_service_;
    bool with_upstreams_;
    handler handle_;
    http::client client_;
    runtime::timer timer_;
};

} // namespace fuchsia::adapters::platform
