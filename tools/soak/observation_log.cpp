#include "tools/soak/observation_log.hpp"

#include "platform/order_codec.hpp"

#include <array>
#include <utility>

namespace fuchsia::tools::soak
{

namespace
{

using core::common::clock;
using core::common::to_milliseconds;

std::string text_of(call_outcome value)
{
    constexpr std::array<char const*, 6> names{
        "done", "refused", "unknown", "absent", "broken", "silent"};
    return names[static_cast<std::size_t>(value)];
}

std::string text_of(ports::job_state state)
{
    constexpr std::array<char const*, 5> names{
        "queued", "active", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(state)];
}

std::string text_of(ports::end_kind value)
{
    constexpr std::array<char const*, 6> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(value)];
}

std::string text_of(ports::pool_attempt const& new_event)
{
    return platform::encode(new_event.task) + " #" +
           std::to_string(new_event.attempt);
}

std::string elapsed_text(core::common::time_point requested_at)
{
    auto const took = to_milliseconds(clock::now() - requested_at);
    return " after " + std::to_string(took) + " ms";
}

struct describer
{
    std::string operator()(submit_sent const& it) const
    {
        return "submit " + it.job;
    }
    std::string operator()(submit_ended const& it) const
    {
        return "submitted " + it.job + ' ' + text_of(it.outcome);
    }
    std::string operator()(cancel_ended const& it) const
    {
        return "cancelled " + it.job + ' ' + text_of(it.outcome);
    }
    std::string operator()(status_query_ended const& it) const
    {
        return "status " + it.job + " at " + it.instance + ' ' +
               text_of(it.outcome) + ' ' + text_of(it.state) +
               elapsed_text(it.requested_at);
    }
    std::string operator()(waiting_query_ended const& it) const
    {
        return "waiting " + it.queue + " at " + it.instance + ' ' +
               text_of(it.outcome) + ' ' + std::to_string(it.jobs) +
               elapsed_text(it.requested_at);
    }
    std::string operator()(run_started const& it) const
    {
        return "start " + text_of(it.run) + " on " + it.worker + " in " +
               it.data_centre + " fence " + std::to_string(it.fence);
    }
    std::string operator()(run_ended const& it) const
    {
        return "end " + text_of(it.run) + " on " + it.worker + ' ' +
               text_of(it.outcome);
    }
    std::string operator()(end_acknowledged const& it) const
    {
        return "noted " + text_of(it.run) + " on " + it.worker + ' ' +
               text_of(it.outcome) +
               (it.lease_expired ? " after its lease" : "");
    }
    std::string operator()(worker_crashed const& it) const
    {
        return "gone " + it.worker +
               (it.culprit ? " by " + platform::encode(*it.culprit) : "");
    }
    std::string operator()(capacity_set const& it) const
    {
        return "capacity of " + it.worker + ' ' + std::to_string(it.millicores);
    }
    std::string operator()(worker_draining const& it) const
    {
        return "draining " + it.worker;
    }
    std::string operator()(data_centre_set const& it) const
    {
        return "data centre " + it.name + (it.out_of_service ? " out" : " in");
    }
    std::string operator()(configuration_set const& it) const
    {
        auto recorded = "configuration " + std::to_string(it.version);
        for (auto const& queue : it.queues)
        {
            recorded += ' ' + queue;
        }
        return recorded;
    }
    std::string operator()(queue_seen const& it) const
    {
        return "queue " + it.queue + " at " + it.instance + '/' +
               std::to_string(it.incarnation) +
               (it.present ? " present" : " absent") +
               elapsed_text(it.requested_at);
    }
    std::string operator()(working_owner_seen const& it) const
    {
        return it.instance + (it.working ? " works" : " doesn't work") +
               " as the owner";
    }
    std::string operator()(fault_state_set const& it) const
    {
        return "trouble " + it.name + (it.active ? " begins" : " ends");
    }
    std::string operator()(traffic_ended const&) const
    {
        return "traffic ended";
    }
    std::string operator()(stop_begun const&) const
    {
        return "all are stopped";
    }
};

} // namespace

observation_log::observation_log(std::string const& path, sink on_observation)
    : file_(path), on_observation_(std::move(on_observation)),
      created_at_(clock::now())
{
}

void observation_log::append(event new_event)
{
    observation const recorded{clock::now(), std::move(new_event)};
    write(recorded.at, std::visit(describer{}, recorded.event_data));
    on_observation_(recorded);
}

void observation_log::append_comment(std::string const& text)
{
    write(clock::now(), "-- " + text);
}

core::common::time_point observation_log::created_at() const noexcept
{
    return created_at_;
}

void observation_log::write(core::common::time_point at,
                            std::string const& text)
{
    file_ << to_milliseconds(at - created_at_) << ' ' << text << '\n';
}

} // namespace fuchsia::tools::soak
