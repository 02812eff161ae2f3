#pragma once

#include "adapters/http/server.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <functional>
#include <list>

namespace fuchsia::standins::pool
{

/// How the gate treats the requests to the service behind it.
enum class fault_gate_mode : std::uint8_t
{
    open,
    delayed,       ///< Two of three requests are executed and answered after
                   ///< the delay, so that newer requests may overtake them.
    response_lost, ///< Requests are executed but never answered.
    suspended,     ///< Requests are executed once the gate opens again.
    late,          ///< Every second request is never answered, and executed 2
                   ///< to 12 s later, even if the gate was cleared since.
    unavailable,   ///< Requests are answered with 503 and not executed.
};

/// Injects delays, lost responses and refusals in front of a service.
class fault_gate
{
public:
    using operation = std::function<void(adapters::http::responder const&)>;

    /// Switches the mode. When the gate opens, the next `process_due` executes
    /// all pending requests but the late ones.
    void set(fault_gate_mode mode, core::common::duration delay = {});
    void handle(core::common::time_point now,
                operation execute,
                adapters::http::responder const& respond);
    /// Executes the pending requests that are due.
    void process_due(core::common::time_point now);
    /// Drops all pending requests but the late ones.
    void clear();

private:
    struct pending_request
    {
        core::common::time_point due{};
        operation execute;
        adapters::http::responder respond;
        bool late = false; ///< See `fault_gate_mode::late`.
    };

    void handle_late(core::common::time_point now,
                     operation execute,
                     adapters::http::responder const& respond);

    fault_gate_mode mode_ = fault_gate_mode::open;
    core::common::duration delay_{};
    std::uint64_t delayed_mode_requests_ = 0;
    std::uint64_t late_mode_requests_ = 0;
    std::list<pending_request> pending_;
};

} // namespace fuchsia::standins::pool
