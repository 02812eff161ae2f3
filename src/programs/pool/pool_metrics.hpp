#pragma once

#include "adapters/metrics/registry.hpp"
#include "core/pool/owner.hpp"
#include "ports/pool_actions.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <variant>

namespace fuchsia::programs::pool
{

/// Histograms and counters of one instance (docs/METRICS.md). Used only on the
/// decision thread.
class pool_metrics
{
public:
    explicit pool_metrics(adapters::metrics::registry& registry);

    // Measure the time between a call and its reply.
    void on_call_start(core::common::time_point now,
                       ports::kv_call const& call);
    void on_call_start(core::common::time_point now,
                       ports::pool_order const& order);
    void on_call_end(core::common::time_point now,
                     ports::kv_reply const& reply);
    void on_call_end(core::common::time_point now,
                     ports::order_reply const& reply);
    void observe(ports::duration_sample const& observation);
    /// Copies the counters of the owner; null while another instance owns the
    /// pool.
    void sample(core::common::time_point now,
                core::pool::owner const* active_owner);
    /// Number of calls without a reply.
    std::size_t open() const noexcept;

private:
    static constexpr std::size_t metric_count = 5;
    static constexpr std::size_t kv_statuses = 6;
    static constexpr std::size_t order_statuses = 12;
    struct open_call
    {
        std::size_t kind = 0;
        core::common::time_point started_at{};
    };

    adapters::metrics::registry& registry_;
    std::unordered_map<std::uint64_t, open_call> open_;
    std::array<prometheus::Histogram*, metric_count> durations_{};
    // Histograms by kind and result, created at their first use.
    std::array<std::array<prometheus::Histogram*, kv_statuses>,
               std::variant_size_v<ports::kv_operation>>
        store_{};
    std::array<std::array<prometheus::Histogram*, order_statuses>,
               std::variant_size_v<ports::pool_operation>>
        orders_{};
};

} // namespace fuchsia::programs::pool
