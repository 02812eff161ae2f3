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

/// What a daemon's engine is told; every function but `screen` runs on the
/// decision thread.
struct daemon_handlers
{
    std::function<void(core::common::time_point)> on_start;
    /// At least every `tick_interval`, and first of all after any pause.
    std::function<void(core::common::time_point)> on_tick;
    std::function<void(core::common::time_point, ports::store_reply const&)>
        on_store_reply;
    std::function<void(core::common::time_point, ports::peer_receive&)> on_peer;
    std::function<void(core::common::time_point, ports::instance_list const&)>
        on_instances;
    /// A request of a caller or operator; answered by `shell::answer`.
    std::function<void(core::common::time_point, std::uint64_t, http::request&)>
        on_request;
    /// SIGTERM: begin the planned stop, which ends in `stop_complete`.
    std::function<void(core::common::time_point)> on_stop;
    /// This incarnation is over; go on as the given one, with a new engine.
    std::function<void(core::common::time_point, ports::member_identity)>
        on_rejoin;
    /// On the HTTP thread, before the request is handed over: an answer given
    /// here is final. May be empty.
    std::function<std::optional<http::response>(http::request const&)>
        pre_check;
};

struct daemon_options
{
    std::string service; ///< Name of our own instances in the catalog.
    bool with_upstreams = false;
    http::server_limits http;
    /// Requests that wait for an answer at once; one more is refused.
    std::uint32_t max_waiting_requests = 4096;
};

/// Threads, rings and sockets that both daemons have: platform, peers, HTTP
/// and decisions, each a duty of its own. The engine lives on the decision
/// thread; its actions go through `perform`.
class daemon_runtime
{
public:
    static constexpr core::common::duration tick_interval =
        std::chrono::milliseconds(50);

    daemon_runtime(settings::daemon_settings settings,
                   daemon_options options,
                   daemon_handlers events);
    ~daemon_runtime();

    /// Binds the addresses; false, with the reason, where one can't be had.
    bool listen(core::common::failure& reason);
    /// Runs until the planned stop is complete; the process' exit status.
    int run();

    /// From here on for the decision thread.

    ports::member_identity const& self() const noexcept;
    ports::endpoint const& http_address() const noexcept;
    ports::endpoint const& peer_address() const noexcept;

    /// Performs what both daemons have in common; false where `action` is one
    /// that only the program itself can perform.
    bool perform(ports::action& action);
    void answer(std::uint64_t request, http::response response);
    void set_ready(bool ready) noexcept;

    runtime::io_thread& decisions() noexcept;
    metrics::registry& metrics() noexcept;

private:
    struct request_in
    {
        std::uint64_t id = 0;
        http::request message;
    };
    struct answer_out
    {
        std::uint64_t id = 0;
        http::response message;
    };
    // Calls of an earlier incarnation are answered to nobody.
    struct store_out
    {
        std::uint64_t generation = 0;
        ports::store_call call;
    };
    struct store_in
    {
        std::uint64_t generation = 0;
        ports::store_reply reply;
    };
    struct peer_reset
    {
        std::optional<ports::member_identity> rename;
    };
    using peer_out = std::variant<std::monostate, ports::peer_send, peer_reset>;

    // shell.cpp: duties, time, store and peers.
    void tick();
    /// The time at which the engine is told of an event.
    core::common::time_point enter();
    void take_store_reply(store_in& in);
    void hand_to_transport(peer_out& out);
    void send_store(ports::store_call call);
    void refuse_store(ports::call_id id);
    void send_peer(peer_out out);
    void rejoin(std::string const& why);

    // shell_callers.cpp: callers over HTTP.
    void handle_http(http::request request, http::responder respond);
    void respond(answer_out& out);
    void finish();

    // shell_samples.cpp: counts.
    void sample_store();
    void sample_peers();

    settings::daemon_settings settings_;
    daemon_options options_;
    daemon_handlers events_;
    ports::member_identity self_;
    std::uint64_t generation_ = 0;
    core::common::time_point last_tick_{};
    std::size_t open_store_calls_ = 0; ///< Of all incarnations.
    std::atomic<bool> ready_{false};
    metrics::registry metrics_;
    logging::rate_limit log_;

    runtime::io_thread main_{"main"};
    runtime::io_thread decisions_{"decisions"};
    runtime::io_thread platform_{"platform"};
    runtime::io_thread peers_{"peers"};
    runtime::io_thread http_{"http"};

    runtime::ring<request_in> requests_;
    runtime::ring<answer_out> answers_;
    runtime::ring<store_out> store_calls_;
    runtime::ring<store_in> store_replies_;
    runtime::ring<ports::instance_list> instances_;
    runtime::ring<peer_out> peer_sends_;
    runtime::ring<ports::peer_receive> peer_receives_;

    std::unique_ptr<platform::store_client> store_;
    std::unique_ptr<platform::catalog_client> catalog_;
    std::unique_ptr<peer::transport> transport_;
    std::unique_ptr<http::server> server_;
    ports::endpoint http_address_;
    ports::endpoint peer_address_;
    runtime::timer ticker_;
    runtime::timer platform_sampler_;
    runtime::timer peers_sampler_;
    runtime::timer finisher_;

    // Of the HTTP thread.
    bool finishing_ = false;
    core::common::time_point finish_until_{};
    std::uint64_t next_request_ = 0;
    std::unordered_map<std::uint64_t, http::responder> waiting_;
    int status_ = 0;
};

/// A new incarnation number, from the machine's random source.
std::uint64_t draw_incarnation();

} // namespace fuchsia::adapters::daemon
