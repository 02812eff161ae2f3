#pragma once

#include "adapters/http/client.hpp"
#include "programs/ctl/ctl_settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsia::programs::ctl
{

/// Whether a call may be sent to the next planner after its answer was lost.
enum class repeat : std::uint8_t
{
    never,  ///< Sending it again could undo a later change.
    change, ///< The call changes state, but is idempotent.
    read,   ///< The call changes nothing.
};

/// Outcome of a call.
enum class call_end : std::uint8_t
{
    done,    ///< The answer has a 2xx status.
    refused, ///< Nothing was changed.
    unknown, ///< The call may have been executed.
};

struct call_result
{
    call_end end = call_end::unknown;
    boost::json::object body;          ///< Body of the answer, if any.
    core::common::failure reason;      ///< Set unless `end` is `done`.
    std::uint64_t newest_revision = 0; ///< Set after a conflict.
};

/// Calls the administration API, one call at a time. If a planner can't be
/// reached, or answers that it did nothing and is unavailable (503), the next
/// one is tried.
class planner_client
{
public:
    /// `server_name` denotes the called program in error messages.
    explicit planner_client(ctl_settings settings,
                            std::string server_name = "planner");

    /// Sends a request and waits for its result.
    call_result call(std::string const& method,
                     std::string const& target,
                     std::string const& body,
                     repeat repeat_policy);

private:
    struct attempt
    {
        ports::exchange_status status = ports::exchange_status::not_sent;
        adapters::http::response response;
    };

    attempt send(ports::endpoint const& where,
                 std::string const& method,
                 std::string const& target,
                 std::string const& body);

    ctl_settings settings_;
    std::string server_name_;
    boost::asio::io_context io_;
    adapters::http::client client_;
    std::size_t first_ = 0; ///< Index of the planner that answered last.
};

} // namespace fuchsia::programs::ctl
