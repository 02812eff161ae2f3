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
    never,  ///< A second sending could undo what came in between.
    change, ///< A second sending changes nothing more.
    read,   ///< Changes nothing at all.
};

enum class call_end : std::uint8_t
{
    done,    ///< 2xx.
    refused, ///< Nothing was changed.
    unknown, ///< It may have been done.
};

struct call_result
{
    call_end end = call_end::unknown;
    boost::json::object body;          ///< The planner's, where it sent one.
    core::common::failure reason;      ///< Where `end` is not `done`.
    std::uint64_t newest_revision = 0; ///< Of a conflict.
};

/// Calls the administration API, one call at a time. Planners are tried in
/// turn: the next one where this one can't be reached, or says that it did
/// nothing and can't now (503).
class planner_client
{
public:
    /// `whom` names what is asked in reasons.
    explicit planner_client(ctl_settings settings,
                            std::string server_name = "planner");

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
    std::size_t first_ = 0; ///< The planner that answered last.
};

} // namespace fuchsia::programs::ctl
