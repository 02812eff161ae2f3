#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"
#include "core/common/seen_failures.hpp"
#include "ports/instances.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::adapters::platform
{

/// Parses the catalog's list of upstreams and skips malformed entries, the last
/// of which `ignored` tells; empty if `body` is not a JSON array.
std::optional<std::vector<ports::upstream_instance>>
parse_upstreams(std::string_view body, core::common::failure& ignored);

/// Parses the ids of a service's instances. A member that is not listed counts
/// as terminated, so the result is empty if an entry, which `ignored` tells,
/// can't be read.
std::optional<std::vector<std::string>>
parse_names(std::string_view body, core::common::failure& ignored);

/// Polls the instance list of the platform's service catalog.
class catalog_client
{
public:
    using handler = std::function<void(ports::instance_list)>;

    /// `member_service` is the catalog's service name of this program's own
    /// instances. The upstreams are polled only if `poll_upstreams` is set.
    catalog_client(boost::asio::io_context& io,
                   ports::endpoint platform_endpoint,
                   core::common::duration interval,
                   std::string member_service,
                   bool poll_upstreams,
                   handler on_list);

    void start();

private:
    void poll();
    void read_upstreams(ports::instance_list list);
    void log_ignored(std::string_view list,
                     core::common::failure const& ignored);
    void schedule_poll();
    void fetch(std::string const& service,
               std::function<void(http::response const&)> on_answer);

    ports::endpoint platform_endpoint_;
    core::common::duration interval_;
    std::string member_service_;
    bool poll_upstreams_;
    handler on_list_;
    http::client client_;
    runtime::timer timer_;
    core::common::seen_failures seen_failures_;
};

} // namespace fuchsia::adapters::platform
