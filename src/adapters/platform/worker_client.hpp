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

std::optional<std::vector<ports::worker_instance>>
parse_workers(std::string_view body);
std::optional<std::vector<ports::worker_report>>
parse_reports(std::string_view body);

struct worker_handlers
{
    std::function<void(ports::worker_list)> on_workers;
    std::function<void(ports::worker_report)> on_report;
    std::function<void(ports::worker_reply)> on_reply;
};

/// The platform's workers over HTTP (docs/API.md): polls their list and the
/// reports of the racks it was told to follow, and makes the calls.
class worker_client
{
public:
    worker_client(boost::asio::io_context& io,
                  ports::endpoint where,
                  core::common::duration interval,
                  worker_handlers handlers);

    void start();
    /// From now on reads the reports of just these racks.
    void set_racks(std::vector<std::string> racks);
    /// Answers through `on_reply` exactly once, never from within `send`.
    void send(ports::worker_call call);

private:
    void poll();
    void poll_reports(std::string const& rack);

    ports::endpoint where_;
    core::common::duration interval_;
    worker_handlers handlers_;
    http::client client_;
    runtime::timer timer_;
    std::vector<std::string> racks_;
};

} // namespace fuchsia::adapters::platform
