#pragma once

#include "adapters/http/server.hpp"
#include "core/common/time.hpp"

#include <cstdint>
#include <functional>
#include <list>

namespace fuchsia::standins::pool
{

/// What becomes of the requests that a service gets.
enum class fault_gate_mode : std::uint8_t
{
    open,
    delayed,       ///< Two of three are carried out, and answered, after the
                   ///< delay: newer ones may overtake them.
    response_lost, ///< Carried out and never answered.
    suspended,     ///< Carried out once the gate opens again.
    unavailable,   ///< Answered with 503; nothing is done.
};

/// Stands before a service and makes it late, deaf or unwilling.
class fault_gate
{
public:
    using work = std::function<void(adapters::http::responder const&)>;

    /// Requests that wait are let through by the next `pump` where the gate
    /// opens.
    void set(fault_gate_mode mode, core::common::duration delay = {});
    void handle(core::common::time_point now,
                work carry_out,
                adapters::http::responder const& respond);
    /// Carries out what is due.
    void process_due(core::common::time_point now);
    /// Forgets what waits.
    void clear();

private:
    struct held
    {
        core::common::time_point due{};
        work carry_out;
        adapters::http::responder respond;
    };

    fault_gate_mode mode_ = fault_gate_mode::open;
    core::common::duration delay_{};
    std::uint64_t passed_ = 0;
    std::list<held> held_;
};

} // namespace fuchsia::standins::pool
