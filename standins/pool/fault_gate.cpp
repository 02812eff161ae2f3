#include "standins/pool/fault_gate.hpp"

#include "standins/common/http_messages.hpp"

#include <utility>

namespace fuchsia::standins::pool
{

using core::common::time_point;

void fault_gate::set(fault_gate_mode mode, core::common::duration delay)
{
    mode_ = mode;
    delay_ = delay;
    if (mode_ == fault_gate_mode::open)
    {
        for (auto& pending : pending_)
        {
            pending.due = pending.late ? pending.due : time_point{};
        }
    }
}

void fault_gate::handle(time_point now,
                        operation execute,
                        adapters::http::responder const& respond)
{
    constexpr std::uint64_t immediate_every = 3;
    bool const immediate = mode_ == fault_gate_mode::delayed &&
                           ++delayed_mode_requests_ % immediate_every == 0;
    switch (immediate ? fault_gate_mode::open : mode_)
    {
    case fault_gate_mode::open:
        execute(respond);
        break;
    case fault_gate_mode::delayed:
        pending_.push_back({now + delay_, std::move(execute), respond});
        break;
    case fault_gate_mode::response_lost:
        execute([](adapters::http::response const&) {});
        break;
    case fault_gate_mode::suspended:
        pending_.push_back({time_point::max(), std::move(execute), respond});
        break;
    case fault_gate_mode::late:
        handle_late(now, std::move(execute), respond);
        break;
    case fault_gate_mode::unavailable:
        respond(error_response(503, "unwilling"));
        break;
    }
}

// The delays cycle through their range, so that later requests often overtake
// earlier ones.
void fault_gate::handle_late(time_point now,
                             operation execute,
                             adapters::http::responder const& respond)
{
    constexpr auto shortest = std::chrono::milliseconds(2000);
    constexpr std::uint64_t range_ms = 10'000;
    constexpr std::uint64_t step_ms = 3700;
    auto const number = ++late_mode_requests_;
    if (number % 2 == 0)
    {
        execute(respond);
        return;
    }
    auto const delay =
        shortest + std::chrono::milliseconds(number * step_ms % range_ms);
    pending_.push_back({now + delay,
                        std::move(execute),
                        [](adapters::http::response const&) {},
                        true});
}

void fault_gate::process_due(time_point now)
{
    for (auto pending = pending_.begin(); pending != pending_.end();)
    {
        if (pending->due > now)
        {
            ++pending;
            continue;
        }
        auto const request = std::move(*pending);
        pending = pending_.erase(pending);
        request.execute(request.respond);
    }
}

void fault_gate::clear()
{
    pending_.remove_if(
        [](pending_request const& pending)
        {
            return !pending.late;
        });
}

} // namespace fuchsia::standins::pool
