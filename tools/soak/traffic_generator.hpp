#pragma once

#include "adapters/http/client.hpp"
#include "adapters/runtime/timer.hpp"
#include "tools/soak/instance_group.hpp"
#include "tools/soak/observation_log.hpp"
#include "tools/soak/plan.hpp"
#include "tools/soak/random_source.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fuchsia::tools::soak
{

struct traffic_counts
{
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0; ///< Jobs whose tries were all refused.
    std::uint64_t unknown = 0;
    std::uint64_t completed = 0;
};

/// Simulates callers. Each keeps its connections until they break, submits its
/// jobs, retries at other instances, cancels jobs, and queries states.
class traffic_generator
{
public:
    traffic_generator(boost::asio::io_context& io,
                      instance_group& instances,
                      observation_log& out,
                      std::uint64_t seed);

    void begin(std::vector<planned_job> const& jobs);
    /// Stops submitting, cancels the long-running jobs that aren't kept, and
    /// queries each accepted job repeatedly until it is reported as over, or
    /// reported at all if it is a kept one.
    void end();
    /// Returns whether each accepted job has been reported as `end` says.
    bool all_finished() const;
    /// Cancels all pending calls and timers.
    void stop();
    traffic_counts counts() const;

private:
    struct entry
    {
        planned_job plan;
        std::uint32_t tries = 0;
        bool accepted = false;
        bool refused = true; ///< All tries so far ended as refused.
        bool cancelling = false;
        bool confirmed = false; ///< Reported, and as over unless it is kept,
                                ///< after the end of the traffic.
        ports::job_state state = ports::job_state::queued;
    };
    using answer_handler =
        std::function<void(call_outcome, std::string const& body)>;

    void run_after(core::common::duration wait, std::function<void()> action);
    void send_request(std::uint32_t caller,
                      std::size_t instance,
                      std::string const& method,
                      std::string const& queue,
                      std::string const& id,
                      std::string const& body,
                      answer_handler on_answer);
    void submit(entry& job);
    void handle_submit_answer(entry& job, call_outcome outcome);
    void resubmit(entry& job);
    void cancel(entry& job, std::size_t instance);
    void query_state(entry& job, std::size_t instance);
    void query_waiting();
    void query_queue();
    void query_sample();
    void query_unfinished();

    boost::asio::io_context& io_;
    instance_group& instances_;
    observation_log& out_;
    random_source random_;
    std::vector<std::unique_ptr<adapters::http::client>> clients_;
    std::vector<std::unique_ptr<entry>> jobs_;
    std::vector<entry*> accepted_;
    std::uint32_t query_round_ = 0;
    std::optional<core::common::time_point> traffic_ended_at_;
    bool stopped_ = false;
};

} // namespace fuchsia::tools::soak
