#pragma once

#include "adapters/runtime/timer.hpp"
#include "tools/load/balancer.hpp"
#include "tools/load/experiment.hpp"
#include "tools/load/report.hpp"
#include "tools/load/request_client.hpp"
#include "tools/load/schedule.hpp"
#include "tools/load/service_sampler.hpp"
#include "tools/load/submitter.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace fuchsia::tools::load
{

/// Single-threaded run of an experiment: open-loop arrivals, jobs, timed events
/// and a progress line every second.
class load_run
{
public:
    explicit load_run(experiment spec);

    /// Runs to the end or until a stop signal. Returns nothing and sets
    /// `reason` if the run cannot start.
    std::optional<run_report> run(core::common::failure& reason);

private:
    struct arrival
    {
        core::common::duration due{};
        /// Index of the stream; job streams follow the request streams.
        std::size_t stream = 0;

        bool operator>(arrival const& other) const noexcept
        {
            return due > other.due;
        }
    };
    using arrival_queue = std::
        priority_queue<arrival, std::vector<arrival>, std::greater<arrival>>;

    bool prepare(core::common::failure& reason);
    bool find_direct_targets(core::common::failure& reason);
    void make_arrivals();
    void push_next(std::size_t stream);
    void send_due_arrivals();
    void start_events();
    void start_sampler();
    void send_event(timed_event const& event, std::size_t attempts);
    void on_event_end(timed_event const& event,
                      std::size_t attempts,
                      ports::exchange_status status,
                      adapters::http::response const& answer);
    void show_progress();
    void end_when_idle();
    void stop();
    run_report make_report();

    experiment experiment_;
    std::string run_id_;
    boost::asio::io_context io_;
    request_statistics statistics_;
    balancer entries_;
    request_client client_;
    submitter submitter_;
    std::optional<service_sampler> services_;
    adapters::http::client events_;
    std::vector<arrival_stream> streams_;
    arrival_queue arrivals_;
    adapters::runtime::timer arrival_timer_;
    adapters::runtime::timer progress_timer_;
    adapters::runtime::timer end_timer_;
    core::common::time_point start_{};
    tally shown_;
    bool stopping_ = false;
    std::uint64_t events_failed_ = 0;
    counts platform_before_;
    counts upstreams_before_;
    counts workers_before_;
};

} // namespace fuchsia::tools::load
