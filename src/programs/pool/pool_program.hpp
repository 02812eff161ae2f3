#pragma once

#include "adapters/http/server.hpp"
#include "adapters/logging/logger.hpp"
#include "adapters/metrics/registry.hpp"
#include "adapters/runtime/io_thread.hpp"
#include "adapters/runtime/ring.hpp"
#include "adapters/runtime/timer.hpp"
#include "adapters/settings/pool_settings.hpp"
#include "core/pool/engine.hpp"
#include "platform/kv_client.hpp"
#include "platform/order_client.hpp"
#include "platform/policy_client.hpp"
#include "programs/pool/pool_metrics.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace fuchsia::programs::pool
{

/// `fuchsia-pool`: threads, rings and sockets of one instance. Callers, the
/// store, workers (with the policy) and decisions have one thread each.
class pool_program
{
public:
    /// `path` is the settings file, which SIGHUP reads again.
    pool_program(adapters::settings::pool_daemon_settings settings,
                 std::string path);
    ~pool_program();

    /// Runs until a planned stop is complete and returns the exit status.
    /// Empty, with `reason` set, if an address can't be bound.
    std::optional<int> run(core::common::failure& reason);

private:
    using request = core::pool::pool_request;
    struct outgoing_answer
    {
        std::uint64_t caller = 0;
        adapters::http::response message;
    };
    using remote_operation = std::variant<std::monostate,
                                          ports::pool_order,
                                          ports::policy_request,
                                          ports::release_workers>;
    struct remote_call
    {
        remote_operation operation;
        core::common::time_point requested_at{};
    };
    using remote_reply =
        std::variant<std::monostate, ports::order_reply, ports::policy_reply>;

    // pool_program.cpp: threads, ticks and callers.
    bool listen(core::common::failure& reason);
    void on_caller(adapters::http::request const& message,
                   adapters::http::responder const& respond);
    void on_operator(adapters::http::request const& message,
                     adapters::http::responder const& respond);
    void respond(outgoing_answer& out);
    void on_shed(adapters::http::shed_reason reason,
                 std::string const& address,
                 std::uint64_t bytes);
    void tick();
    void arm_tick();
    void perform();
    void perform(ports::pool_action& action);
    void update_unix_offset(core::common::time_point now);
    void sample();
    void reload();
    void finish();
    void finish_callers();

    // pool_outside.cpp: calls to the store, workers and the policy.
    void send_remote(remote_call& call);
    void on_reply(remote_reply& reply);
    void on_reply(ports::kv_reply const& reply);
    /// Posts the reply to the decision thread, so that the engine receives it
    /// after the current call into it has returned.
    template<class Reply>
    void post_reply(Reply reply);
    void refuse(remote_operation const& call);
    void refuse(ports::kv_call const& call);

    adapters::settings::pool_daemon_settings settings_;
    std::string path_;
    core::pool::engine engine_;
    adapters::metrics::registry metrics_;
    adapters::logging::rate_limit log_;
    pool_metrics measurements_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> stopping_{false};

    adapters::runtime::io_thread main_{"main"};
    adapters::runtime::io_thread decisions_{"decisions"};
    adapters::runtime::io_thread remote_calls_{"outside"};
    adapters::runtime::io_thread store_thread_{"store"};
    adapters::runtime::io_thread callers_{"callers"};

    adapters::runtime::ring<request> requests_;
    adapters::runtime::ring<outgoing_answer> answers_;
    adapters::runtime::ring<remote_call> calls_;
    adapters::runtime::ring<remote_reply> replies_;
    // The store has a thread and rings of its own, so that its replies don't
    // queue behind those of a thousand workers.
    adapters::runtime::ring<ports::kv_call> store_calls_;
    adapters::runtime::ring<ports::kv_reply> store_replies_;

    std::unique_ptr<platform::kv_client> store_;
    std::unique_ptr<platform::order_client> workers_;
    std::unique_ptr<platform::policy_client> policy_;
    std::shared_ptr<adapters::http::connection_budget> budget_;
    std::unique_ptr<adapters::http::server> submissions_;
    std::unique_ptr<adapters::http::server> readiness_;
    std::unique_ptr<adapters::http::server> exposition_;
    adapters::runtime::timer ticker_;
    adapters::runtime::timer sampler_;
    bool performing_ = false;

    // State of the callers' thread.
    adapters::logging::rate_limit callers_log_;
    std::uint64_t next_caller_ = 0;
    std::unordered_map<std::uint64_t, adapters::http::responder> waiting_;
    adapters::runtime::timer finisher_;
    core::common::time_point finish_until_{};
};

} // namespace fuchsia::programs::pool
