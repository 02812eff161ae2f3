#pragma once

#include "adapters/daemon/daemon_runtime.hpp"
#include "adapters/platform/worker_client.hpp"
#include "adapters/settings/planner_settings.hpp"
#include "core/tasks/planner_engine.hpp"
#include "programs/planner/administration.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::programs::planner
{

/// `fuchsia-planner`: runs the planner's engine on the decision thread of the
/// daemon runtime, and the calls to workers on a separate thread.
class planner_program
{
public:
    explicit planner_program(
        adapters::settings::planner_daemon_settings settings);
    ~planner_program();

    /// Runs until the process is stopped and returns the exit status. If an
    /// address can't be bound, the result is empty and `reason` is set.
    std::optional<int> run(core::common::failure& reason);

private:
    // `generation` is the number of the engine that made the call; it grows
    // with each engine of this process. Replies to calls of an earlier engine
    // are dropped.
    struct outgoing_call
    {
        std::uint64_t generation = 0;
        ports::worker_call call;
    };
    struct incoming_reply
    {
        std::uint64_t generation = 0;
        ports::worker_reply reply;
    };

    // planner_program.cpp: threads, ticks, the store and workers.
    adapters::daemon::daemon_handlers handlers();
    void start_engine(core::common::time_point now);
    void make_engine();
    void tick(core::common::time_point now);
    void catch_up(core::common::time_point now);
    void on_store_reply(core::common::time_point now,
                        ports::store_reply const& reply);
    /// Performs the actions of the engine and sends the answers of the
    /// administration API.
    void perform();
    void send_to_worker(ports::worker_call call);
    void follow_racks();

    // planner_callers.cpp: requests over HTTP.
    std::optional<adapters::http::response>
    check_request(adapters::http::request const& request) const;
    void on_request(core::common::time_point now,
                    std::uint64_t id,
                    adapters::http::request& request);
    administration_view view();
    boost::json::object status() const;
    void answer(std::uint64_t request, adapters::http::response message);
    void fail_open_requests();

    // planner_samples.cpp: metrics.
    void sample(core::common::time_point now);

    adapters::settings::planner_daemon_settings settings_;
    adapters::daemon::daemon_runtime runtime_;
    adapters::runtime::io_thread workers_thread_{"workers"};
    adapters::runtime::ring<outgoing_call> calls_;
    adapters::runtime::ring<incoming_reply> replies_;
    adapters::runtime::ring<ports::worker_report> reports_;
    adapters::runtime::ring<ports::worker_list> lists_;
    adapters::runtime::ring<std::vector<std::string>> rack_updates_;
    std::unique_ptr<adapters::platform::worker_client> client_;

    // State of the decision thread.
    std::unique_ptr<core::tasks::planner_engine> engine_;
    std::unique_ptr<administration> administration_;
    ports::actions actions_;
    administration_answers answers_;
    std::uint64_t generation_ = 0;
    std::uint32_t in_flight_ = 0;
    std::vector<std::string> followed_racks_;
    core::common::time_point last_tick_{};
    core::common::time_point next_sample_{};
    /// HTTP requests without an answer.
    std::set<std::uint64_t> open_requests_;
    // State of the workers' thread.
    /// Engine that made a call in flight, and the engine's number of the call.
    struct open_call
    {
        std::uint64_t generation = 0;
        std::uint64_t id = 0; ///< Call number assigned by the engine.
    };
    /// Calls in flight by the call number assigned on the workers' thread.
    std::map<std::uint64_t, open_call> open_calls_;
    std::uint64_t last_call_ = 0;
};

} // namespace fuchsia::programs::planner
