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
    /// A stopping instance goes on answering for this long: the balancer needs
    /// two looks, a second apart, to send new connections elsewhere.
    common::duration linger = std::chrono::milliseconds(2500);
    /// The whole of a planned stop, whatever is still open then.
    common::duration stop_limit = std::chrono::milliseconds(4500);
};

/// One instance without its protocols: answers submitters and, while it holds
/// the claim, schedules. Events come in with the time; `take` gives what is to
/// be done about them.
class engine
{
public:
    engine(pool_settings const& settings,
           platform_records words,
           std::string self);

    void start(common::time_point now);
    /// Called at least every `tick_interval`.
    void tick(common::time_point now);
    void on_request(common::time_point now, pool_request const& request);
    void on_kv_reply(common::time_point now, ports::kv_reply const& reply);
    void on_order_reply(common::time_point now,
                        ports::order_reply const& reply);
    void on_policy_reply(common::time_point now,
                         ports::policy_reply const& reply);
    /// A planned stop: the claim is given back, what is open is answered.
    /// Ends in `stop_complete`.
    void begin_stop(common::time_point now);
    void set_unix_offset(std::int64_t offset_ms) noexcept;

    ports::pool_actions take_actions();
    /// How long nothing needs to be done unless something happens.
    common::duration tick_interval() const noexcept;
    bool owns() const noexcept;
    owner const* active_owner() const noexcept;
    /// For questions that the owner answers; null where this is none.
    owner* active_owner() noexcept;
    instance_status status(common::time_point now) const;
    claim const& claimed() const noexcept;

private:
    void follow(common::time_point now);
    common::duration store_silence(common::time_point now) const;
    void tell_readiness(common::time_point now);
    void follow_stop(common::time_point now);

    pool_settings settings_;
    platform_records platform_records_;
    outbox out_;
    revision_times times_;
    operator_follower operators_;
    claim claim_;
    request_handler request_handler_;
    std::unique_ptr<owner> owner_;
    common::time_point started_{};
    std::uint64_t told_changes_ = 0;
    std::optional<bool> told_ready_;
    std::optional<common::time_point> stopping_;
    bool stop_told_ = false;
};

} // namespace fuchsia::core::pool
