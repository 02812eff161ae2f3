#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"
#include "ports/workers.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsia::adapters::platform
{

/// Parses the list of workers; empty if any entry is malformed.
std::optional<std::vector<ports::worker_instance>>
parse_workers(std::string_view body);
/// Parses workers' reports; empty if any report is malformed.
std::optional<std::vector<ports::worker_report>>
parse_reports(std::string_view body);

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

    ports::endpoint platform_endpoint_;
    core::common::duration interval_;
    worker_handlers handlers_;
    http::client client_;
    runtime::timer timer_;
    std::vector<std::string> racks_;
};

} // namespace fuchsia::adapters::platform
