#pragma once

#include "core/pool/claim.hpp"
#include "core/pool/operator_follower.hpp"
#include "core/pool/owner.hpp"
#include "core/pool/request_handler.hpp"

#include <memory>
#include <optional>
#include <string>

namespace fuchsia::core::pool
{

struct pool_settings
{
    claim_settings claim;
    operator_follower_settings operators;
    request_handler_settings request_handler;
    owner_settings owner;
    /// Minimum time for which a stopping instance still answers requests: the
    /// load balancer sends new connections elsewhere only after two failed
    /// health checks, one second apart.
    common::duration linger = std::chrono::milliseconds(2500);
    /// Maximum time of a planned stop, even if requests are still open then.
    common::duration stop_limit = std::chrono::milliseconds(4500);
};

/// The logic of one instance, independent of network protocols. It answers
/// requests and, while it holds the claim, schedules. Each event is passed with
/// the current time; `take_actions` returns the resulting actions.
class engine
{
public:
    engine(pool_settings const& settings,
           platform_records records,
           std::string instance_name);

    void start(common::time_point now);
    /// Must be called at least every `tick_interval`.
    void tick(common::time_point now);
    void on_request(common::time_point now, pool_request const& request);
    void on_kv_reply(common::time_point now, ports::kv_reply const& reply);
    void on_order_reply(common::time_point now,
                        ports::order_reply const& reply);
    void on_policy_reply(common::time_point now,
                         ports::policy_reply const& reply);
    /// Begins a planned stop: releases the claim and answers requests until
    /// none is open, for at least `linger` and at most `stop_limit`. Ends with
    /// a `stop_complete` action.
    void begin_stop(common::time_point now);
    /// Sets the milliseconds to add to a `time_point` to get Unix time.
    void set_unix_offset(std::int64_t offset_ms) noexcept;

    ports::pool_actions take_actions();
    /// Maximum time until the next `tick`.
    common::duration tick_interval() const noexcept;
    bool has_owner() const noexcept;
    /// Returns the owner that runs in this instance, or null.
    owner const* active_owner() const noexcept;
    /// As above, for requests that the owner answers.
    owner* active_owner() noexcept;
    instance_status status(common::time_point now) const;
    claim const& claimed() const noexcept;

private:
    void update(common::time_point now);
    void report_late_tick(common::time_point now);
    common::duration store_silence(common::time_point now) const;
    void report_readiness(common::time_point now);
    void update_stop(common::time_point now);

    pool_settings settings_;
    platform_records platform_records_;
    outbox out_;
    revision_times times_;
    operator_follower operators_;
    claim claim_;
    request_handler request_handler_;
    std::unique_ptr<owner> owner_;
    common::time_point started_at_{};
    common::time_point last_tick_at_{};
    /// Count of operator changes when the owner was last notified.
    std::uint64_t applied_change_count_ = 0;
    std::optional<bool> reported_ready_;
    std::optional<common::time_point> stopping_since_;
    bool stop_reported_ = false;
};

} // namespace fuchsia::core::pool
