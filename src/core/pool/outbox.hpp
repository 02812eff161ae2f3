#pragma once

#include "core/common/time.hpp"
#include "ports/pool_actions.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace fuchsia::core::pool
{

/// Expires with the object that sent a request. Answers that arrive later are
/// dropped.
using lifetime_token = std::shared_ptr<void>;

/// Collects the actions requested by the components of an instance and passes
/// each answer to the component that waits for it.
class outbox
{
public:
    using kv_handler =
        std::function<void(common::time_point, ports::kv_reply const&)>;
    using order_handler =
        std::function<void(common::time_point, ports::order_reply const&)>;

    using policy_handler =
        std::function<void(common::time_point, ports::policy_reply const&)>;

    void store(lifetime_token const& requester,
               ports::kv_operation operation,
               common::duration timeout,
               kv_handler handle);
    void order(lifetime_token const& requester,
               ports::pool_order order,
               order_handler handle);
    void request_policy(lifetime_token const& requester,
                        ports::policy_request call,
                        policy_handler handle);
    void reply(std::uint64_t caller, ports::job_answer answer);
    void log(ports::severity level,
             std::string event,
             std::vector<ports::header> fields);
    void push(ports::pool_action action);

    void on_kv_reply(common::time_point now, ports::kv_reply const& reply);
    /// Time of the store's last answer to any call.
    common::time_point store_answered() const noexcept;
    void on_order_reply(common::time_point now,
                        ports::order_reply const& reply);
    void on_policy_reply(common::time_point now,
                         ports::policy_reply const& reply);

    /// Returns and removes the actions requested since the last call.
    ports::pool_actions take_actions();

    /// Converts `now` to Unix milliseconds by this machine's clock.
    std::int64_t unix_ms(common::time_point now) const noexcept;
    void set_unix_offset(std::int64_t offset_ms) noexcept;

private:
    template<class Handler>
    struct pending_call
    {
        std::weak_ptr<void> requester;
        Handler handle;
    };

    ports::pool_actions actions_;
    std::unordered_map<std::uint64_t, pending_call<kv_handler>> kv_calls_;
    std::unordered_map<std::uint64_t, pending_call<order_handler>> orders_;
    std::unordered_map<std::uint64_t, pending_call<policy_handler>>
        policy_calls_;
    common::time_point store_answered_{};
    std::uint64_t next_id_ = 0;
    std::int64_t unix_offset_ms_ = 0;
};

} // namespace fuchsia::core::pool
