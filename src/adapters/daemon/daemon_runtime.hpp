#pragma once

#include "adapters/http/server.hpp"
#include "adapters/logging/logger.hpp"
#include "adapters/metrics/registry.hpp"
#include "adapters/peer/transport.hpp"
#include "adapters/platform/catalog_client.hpp"
#include "adapters/platform/store_client.hpp"
#include "adapters/runtime/io_thread.hpp"
#include "adapters/runtime/ring.hpp"
#include "adapters/runtime/timer.hpp"
#include "adapters/settings/daemon_settings.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace fuchsia::adapters::daemon
{

/// Event handlers of a daemon. All run on the decision thread, except
/// `pre_check`.
struct daemon_handlers
{
    std::function<void(core::common::time_point)> on_start;
    /// Called every `tick_interval`, and before any other event after the
    /// process was paused.
    std::function<void(core::common::time_point)> on_tick;
    std::function<void(core::common::time_point, ports::store_reply const&)>
        on_store_reply;
    std::function<void(core::common::time_point, ports::peer_receive&)> on_peer;
    std::function<void(core::common::time_point, ports::instance_list const&)>
        on_instances;
    /// A request of a caller or operator; `daemon_runtime::answer` sends the
    /// response.
    std::function<void(core::common::time_point, std::uint64_t, http::request&)>
        on_request;
    /// Called on SIGTERM: begins the planned stop, which ends with the action
    /// `stop_complete`.
    std::function<void(core::common::time_point)> on_stop;
    /// The current incarnation has ended; the daemon continues as the given one
    /// with a new engine.
    std::function<void(core::common::time_point, ports::member_identity)>
        on_rejoin;
    /// Called on the HTTP thread before a request goes to the decision thread.
    /// A response returned here is sent, and the request goes no further. May
    /// be empty.
    std::function<std::optional<http::response>(http::request const&)>
        pre_check;
};

struct daemon_options
{
    std::string service; ///< Catalog name of this program's own instances.
    bool with_upstreams = false; ///< Whether to poll the list of upstreams.
    http::server_limits http;
    /// Memory of incomplete requests, requests without a response and responses
    /// that aren't sent.
    std::uint64_t http_memory_mb = 128;
    /// Maximum number of requests without a response yet; further ones are
    /// rejected.
    std::uint32_t max_waiting_requests = 4096;
};

/// Threads, rings and sockets that are common to the entry and the planner. The
/// platform, peer, HTTP and decision threads each have one task. The engine
/// runs on the decision thread, and `perform` executes its actions.
class daemon_runtime
{
public:
    static constexpr core::common::duration tick_interval =
        std::chrono::milliseconds(50);

    daemon_runtime(settings::daemon_settings settings,
                   daemon_options options,
                   daemon_handlers handlers);
    ~daemon_runtime();

    /// Binds the addresses; false, with the reason, if one can't be bound.
    bool listen(core::common::failure& reason);
    /// Runs until the planned stop is complete. Returns the exit status of the
    /// process.
    int run();

    // The functions below are to be called on the decision thread.

    ports::member_identity const& self() const noexcept;
    ports::endpoint const& http_address() const noexcept;
    ports::endpoint const& peer_address() const noexcept;

    /// Executes an action that is common to both daemons; false if only the
    /// program itself can execute `action`.
    bool perform(ports::action& action);
    /// Sends the response to a request that `on_request` received.
    void answer(std::uint64_t request, http::response response);
    /// Sets the state that /readyz reports.
    void set_ready(bool ready) noexcept;

    runtime::io_thread& decisions() noexcept;
    metrics::registry& metrics() noexcept;

private:
    struct incoming_request
    {
        std::uint64_t id = 0;
        http::request message;
    };
    struct outgoing_answer
    {
        std::uint64_t id = 0;
        http::response message;
    };
    // The generation tells the incarnation that made a call: replies to calls
    // of an earlier incarnation are dropped.
    struct outgoing_store_call
    {
        std::uint64_t generation = 0;
        ports::store_call call;
    };
    struct incoming_store_reply
    {
        std::uint64_t generation = 0;
        ports::store_reply reply;
    };
    struct peer_reset
    {
        std::optional<ports::member_identity> rename;
    };
    using outgoing_peer_message =
        std::variant<std::monostate, ports::peer_send, peer_reset>;

    // daemon_runtime.cpp: threads, ticks, store calls and peer messages.
    void tick();
    /// Returns the time of an event, after a tick if the process was paused.
    core::common::time_point begin_event();
    void handle_store_reply(incoming_store_reply& item);
    void forward_to_transport(outgoing_peer_message& item);
    void send_store(ports::store_call call);
    void refuse_store(ports::call_id id);
    void send_peer(outgoing_peer_message item);
    void rejoin(std::string const& reason);

    // daemon_runtime_callers.cpp: HTTP requests of callers.
    void handle_http(http::request request, http::responder respond);
    void respond(outgoing_answer& item);
    void on_shed(http::shed_reason reason,
                 std::string const& address,
                 std::uint64_t bytes);
    void finish();

    // daemon_runtime_samples.cpp: metrics of the platform and peer threads.
    void sample_store();
    void sample_peers();

    settings::daemon_settings settings_;
    daemon_options options_;
    daemon_handlers handlers_;
    ports::member_identity self_;
    std::uint64_t generation_ = 0;
    core::common::time_point last_tick_{};
    /// Store calls without a reply yet, of all incarnations.
    std::size_t open_store_calls_ = 0;
    std::atomic<bool> ready_{false};
    metrics::registry metrics_;
    logging::rate_limit log_;

    runtime::io_thread main_{"main"};
    runtime::io_thread decisions_{"decisions"};
    runtime::io_thread platform_{"platform"};
    runtime::io_thread peers_{"peers"};
    runtime::io_thread http_{"http"};

    runtime::ring<incoming_request> requests_;
    runtime::ring<outgoing_answer> answers_;
    runtime::ring<outgoing_store_call> store_calls_;
    runtime::ring<incoming_store_reply> store_replies_;
    runtime::ring<ports::instance_list> instances_;
    runtime::ring<outgoing_peer_message> peer_sends_;
    runtime::ring<ports::peer_receive> peer_receives_;

    std::unique_ptr<platform::store_client> store_;
    std::unique_ptr<platform::catalog_client> catalog_;
    std::unique_ptr<peer::transport> transport_;
    std::unique_ptr<http::server> server_;
    ports::endpoint http_address_;
    ports::endpoint peer_address_;
    runtime::timer tick_timer_;
    runtime::timer platform_sample_timer_;
    runtime::timer peer_sample_timer_;
    runtime::timer finish_timer_;

    // The members below belong to the HTTP thread.
    logging::rate_limit http_log_;
    bool finishing_ = false;
    core::common::time_point finish_deadline_{};
    std::uint64_t next_request_ = 0;
    std::unordered_map<std::uint64_t, http::responder> pending_responders_;
    int status_ = 0;
};

/// Returns a new random incarnation number, never 0.
std::uint64_t draw_incarnation();

} // namespace fuchsia::adapters::daemon
