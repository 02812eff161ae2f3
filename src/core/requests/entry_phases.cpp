#include "core/requests/entry_engine.hpp"

// Phases of an entry from joining to a planned stop, and its retirement after
// it was fenced.
namespace fuchsia::core::requests
{

void entry_engine::begin_stop(common::time_point now, ports::actions& out)
{
    detect_pause(now, out);
    if (!lifecycle_.handle(entry_event::stop_requested))
    {
        return;
    }
    stop_announced_at_ = now;
    log(out,
        ports::severity::info,
        "stop_begun",
        {{"phase", std::string(name_of(lifecycle_.phase()))}});
    advance_lifecycle(now, out);
}

void entry_engine::retire(common::time_point now, ports::actions& out)
{
    retired_ = true;
    refuse_all_waiting(now, out);
    std::vector<std::uint64_t> remote_ids;
    for (auto const& [id, req] : requests_)
    {
        if (req.stage == request_stage::awaiting_same_key ||
            req.stage == request_stage::at_peer)
        {
            remote_ids.push_back(id);
        }
    }
    for (std::uint64_t const id : remote_ids)
    {
        if (requests_.contains(id))
        {
            finish_with_unknown_outcome(now, id, result_code::owner_lost, out);
        }
    }
}

bool entry_engine::ready(common::time_point now) const noexcept
{
    return lifecycle_.phase() == entry_phase::serving && may_send(now);
}

void entry_engine::advance_lifecycle(common::time_point now,
                                     ports::actions& out)
{
    bool const stop_timed_out = now - stop_announced_at_ >
                                settings_.balancer_lag + settings_.stop_timeout;
    switch (lifecycle_.phase())
    {
    case entry_phase::joining:
        if (may_send(now) && claims_.is_loaded())
        {
            lifecycle_.handle(entry_event::joined);
            log(out, ports::severity::info, "serving", {});
        }
        break;
    case entry_phase::stop_announced:
        if (now - stop_announced_at_ >= settings_.balancer_lag)
        {
            lifecycle_.handle(entry_event::balancer_lag_elapsed);
            members_.begin_leaving(now, out);
            claims_.begin_leaving();
        }
        break;
    case entry_phase::draining:
        if (unanswered_ > 0 || claims_.held_count(members_) > 0)
        {
            last_work_at_ = now;
        }
        if (unanswered_ == 0 &&
            (now - last_work_at_ >= settings_.release_propagation_time ||
             stop_timed_out))
        {
            lifecycle_.handle(entry_event::drained);
            members_.remove(now, out);
        }
        break;
    case entry_phase::leaving:
        if (members_.is_removed() || stop_timed_out)
        {
            lifecycle_.handle(entry_event::removed);
            out.emplace_back(ports::stop_complete{});
        }
        break;
    case entry_phase::serving:
    case entry_phase::stopped:
        break;
    }
}

} // namespace fuchsia::core::requests
