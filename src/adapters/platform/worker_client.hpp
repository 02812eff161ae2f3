#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"
#include "core/common/seen_failures.hpp"
#include "ports/workers.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::adapters::platform
{

/// Parses the list of workers and skips malformed entries, the last of which
/// `ignored` tells; empty if `body` is not a JSON array.
std::optional<std::vector<ports::worker_instance>>
parse_workers(std::string_view body, core::common::failure& ignored);
/// Parses workers' reports as `parse_workers` does the list.
std::optional<std::vector<ports::worker_report>>
parse_reports(std::string_view body, core::common::failure& ignored);

struct worker_handlers
{
    std::function<void(ports::worker_list)> on_workers;
    std::function<void(ports::worker_report)> on_report;
    std::function<void(ports::worker_reply)> on_reply;
};

/// Client of the platform's workers over HTTP (docs/API.md). It polls the list
/// of workers and the reports of the selected racks, and sends calls to
/// workers.
class worker_client
{
public:
    worker_client(boost::asio::io_context& io,
                  ports::endpoint platform_endpoint,
                  core::common::duration interval,
                  worker_handlers handlers);

    void start();
    /// Sets the racks whose reports are polled.
    void set_racks(std::vector<std::string> racks);
    /// Sends `call`. `on_reply` is called exactly once and never from within
    /// `send`.
    void send(ports::worker_call call);

private:
    void poll();
    void poll_reports(std::string const& rack);
    void log_ignored(std::string const& list,
                     core::common::failure const& ignored);

    ports::endpoint platform_endpoint_;
    core::common::duration interval_;
    worker_handlers handlers_;
    http::client client_;
    runtime::timer timer_;
    std::vector<std::string> racks_;
    core::common::seen_failures seen_failures_;
};

} // namespace fuchsia::adapters::platform
