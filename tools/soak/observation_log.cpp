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

std::string word(call_outcome how)
{
    constexpr std::array<char const*, 6> names{
        "done", "refused", "unknown", "absent", "broken", "silent"};
    return names[static_cast<std::size_t>(how)];
}

std::string word(ports::job_state state)
{
    constexpr std::array<char const*, 5> names{
        "queued", "active", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(state)];
}

std::string word(ports::end_kind how)
{
    constexpr std::array<char const*, 6> names{
        "done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(how)];
}

std::string word(ports::pool_attempt const& what)
{
    return platform::encode(what.task) + " #" + std::to_string(what.attempt);
}

std::string ago(core::common::time_point asked)
{
    auto const took = to_milliseconds(clock::now() - asked);
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
        return "submitted " + it.job + ' ' + word(it.outcome);
    }
    std::string operator()(cancel_ended const& it) const
    {
        return "cancelled " + it.job + ' ' + word(it.outcome);
    }
    std::string operator()(status_query_ended const& it) const
    {
        return "status " + it.job + " at " + it.instance + ' ' +
               word(it.outcome) + ' ' + word(it.state) + ago(it.requested_at);
    }
    std::string operator()(waiting_query_ended const& it) const
    {
        return "waiting " + it.queue + " at " + it.instance + ' ' +
               word(it.outcome) + ' ' + std::to_string(it.jobs) +
               ago(it.requested_at);
    }
    std::string operator()(run_started const& it) const
    {
        return "start " + word(it.run) + " on " + it.worker + " in " +
               it.data_centre + " fence " + std::to_string(it.fence);
    }
    std::string operator()(run_ended const& it) const
    {
        return "end " + word(it.run) + " on " + it.worker + ' ' +
               word(it.outcome);
    }
    std::string operator()(end_acknowledged const& it) const
    {
        return "noted " + word(it.run) + " on " + it.worker + ' ' +
               word(it.outcome);
    }
    std::string operator()(worker_crashed const& it) const
    {
        return "gone " + it.worker;
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
        auto made = "configuration " + std::to_string(it.version);
        for (auto const& queue : it.queues)
        {
            made += ' ' + queue;
        }
        return made;
    }
    std::string operator()(queue_seen const& it) const
    {
        return "queue " + it.queue + " at " + it.instance + '/' +
               std::to_string(it.incarnation) +
               (it.present ? " present" : " absent") + ago(it.requested_at);
    }
    std::string operator()(fault_state_set const& it) const
    {
        return "trouble " + it.name + (it.active ? " begins" : " ends");
    }
    std::string operator()(traffic_ended const&) const
    {
        return "traffic ended";
    }
};

} // namespace

observation_log::observation_log(std::string const& path, sink take)
    : file_(path), take_(std::move(take)), first_(clock::now())
{
}

void observation_log::append(event what)
{
    observation const made{clock::now(), std::move(what)};
    write(made.at, std::visit(describer{}, made.event_data));
    take_(made);
}

void observation_log::append_comment(std::string const& text)
{
    write(clock::now(), "-- " + text);
}

core::common::time_point observation_log::created_at() const noexcept
{
    return first_;
}

void observation_log::write(core::common::time_point at,
                            std::string const& text)
{
    file_ << to_milliseconds(at - first_) << ' ' << text << '\n';
}

} // namespace fuchsia::tools::soak
