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
        for (auto& each : held_)
        {
            each.due = time_point{};
        }
    }
}

void fault_gate::handle(time_point now,
                        work carry_out,
                        adapters::http::responder const& respond)
{
    constexpr std::uint64_t prompt_one_of = 3;
    bool const prompt =
        mode_ == fault_gate_mode::delayed && ++passed_ % prompt_one_of == 0;
    switch (prompt ? fault_gate_mode::open : mode_)
    {
    case fault_gate_mode::open:
        carry_out(respond);
        break;
    case fault_gate_mode::delayed:
        held_.push_back({now + delay_, std::move(carry_out), respond});
        break;
    case fault_gate_mode::response_lost:
        carry_out([](adapters::http::response const&) {});
        break;
    case fault_gate_mode::suspended:
        held_.push_back({time_point::max(), std::move(carry_out), respond});
        break;
    case fault_gate_mode::unavailable:
        respond(error_response(503, "unwilling"));
        break;
    }
}

void fault_gate::process_due(time_point now)
{
    for (auto each = held_.begin(); each != held_.end();)
    {
        if (each->due > now)
        {
            ++each;
            continue;
        }
        auto const due = std::move(*each);
        each = held_.erase(each);
        due.carry_out(due.respond);
    }
}

void fault_gate::clear()
{
    held_.clear();
}

} // namespace fuchsia::standins::pool
