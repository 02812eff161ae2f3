#pragma once

#include "adapters/daemon/daemon_runtime.hpp"
#include "adapters/http/client.hpp"
#include "adapters/runtime/io_thread.hpp"
#include "adapters/runtime/ring.hpp"
#include "adapters/settings/entry_settings.hpp"
#include "core/requests/entry_engine.hpp"
#include "programs/entry/entry_metrics.hpp"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fuchsia::programs::entry
{

/// `fuchsia-entry`: runs the entry's engine on the decision thread of the
/// daemon runtime, and the connections to upstreams on a thread of their own.
class entry_program
{
public:
    explicit entry_program(adapters::settings::entry_daemon_settings options);
    ~entry_program();
    entry_program(entry_program const&) = delete;
    entry_program& operator=(entry_program const&) = delete;

    /// Binds the addresses; sets `reason` and returns false on failure.
    bool listen(core::common::failure& reason);
    /// Runs until the process is stopped; returns the exit status.
    int run();

private:
    using time_point = core::common::time_point;
    using engine = core::requests::entry_engine;

    /// A caller's request that the engine has not answered yet.
    struct waiting_request
    {
        std::string customer;
        ports::request_class kind = ports::request_class::latency_critical;
        time_point received;
    };

    adapters::daemon::daemon_handlers handlers();
    std::unique_ptr<engine> make_engine() const;

    // Functions of the decision thread.
    void on_request(time_point now,
                    std::uint64_t id,
                    adapters::http::request& message);
    void on_tick(time_point now);
    void on_rejoin(time_point now, ports::member_identity const& self);
    void on_upstream_end(ports::upstream_end& end);
    void perform(time_point now, bool retired);
    void reply(time_point now, ports::caller_reply& reply);
    void send_upstream(time_point now, ports::upstream_send& send);
    void arm_timer();

    // Functions of the upstream thread.
    void call_upstream(ports::upstream_send& send);

    adapters::settings::entry_daemon_settings options_;
    adapters::daemon::daemon_runtime runtime_;
    entry_metrics metrics_;
    ports::member_identity self_;
    std::unique_ptr<engine> engine_;
    /// Engines of fenced incarnations, kept until their requests on upstreams
    /// are answered.
    std::vector<std::unique_ptr<engine>> retired_;
    ports::actions actions_;
    std::unordered_map<std::uint64_t, waiting_request> waiting_;
    adapters::runtime::timer timer_;
    std::optional<time_point> timer_due_;
    time_point next_sample_{};

    adapters::runtime::io_thread upstreams_{"upstreams"};
    adapters::runtime::ring<ports::upstream_send> sends_;
    adapters::runtime::ring<ports::upstream_end> ends_;
    std::unique_ptr<adapters::http::client> client_;
};

} // namespace fuchsia::programs::entry
