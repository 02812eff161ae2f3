#pragma once

#include "core/common/time.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

// The executors that run callers' requests, without sockets: the duration and
// the outcome of each request, and counters of events that must never happen.
namespace fuchsia::standins::upstreams
{

/// Lognormal distribution of the service time of one request class.
struct service_time
{
    double median_ms = 5.0;
    double sigma = 0.5;      ///< Standard deviation of the logarithm.
    double max_ms = 2'000.0; ///< Longer times are cut to this value.
};

/// Requests whose path begins with `prefix` take `factor` times as long.
struct path_factor
{
    std::string prefix;
    double factor = 1.0;
};

struct upstream_pool_settings
{
    std::uint32_t count = 50;
    std::uint32_t slots = 8; ///< Concurrent requests at full speed.
    std::vector<std::string> data_centres;
    /// Number of executors that share a machine and slow each other down.
    std::uint32_t per_machine = 5;
    /// Relative slowdown on a machine whose slots are all in use: with 0.5, a
    /// request takes 1.5 times as long.
    double interference = 0.5;
    service_time latency_critical;
    service_time batch{50.0, 0.8, 10'000.0};
    std::vector<path_factor> paths;
    std::uint64_t seed = 1;
    /// Requests that begin later than this after the start of leaving are
    /// counted in `started_after_leaving`.
    core::common::duration leaving_grace = std::chrono::seconds(5);
    /// Number of idempotency keys retained to count duplicate runs.
    std::size_t keys = 1'000'000;
};

struct work_request
{
    std::string customer;
    ports::request_class kind = ports::request_class::latency_critical;
    std::string method;
    std::string target;
    std::string idempotency_key;
};

enum class work_outcome : std::uint8_t
{
    complete, ///< The response is complete.
    failed,   ///< The work is done, and the response has status 500.
    partial,  ///< The connection closes after half the response.
    refused,  ///< The work was not started.
};

/// Outcome and duration of the work for one request.
struct work
{
    work_outcome outcome = work_outcome::complete;
    core::common::duration time{};
};

/// Changes of the injected faults of an executor; absent members change
/// nothing.
struct upstream_faults
{
    std::optional<bool> freeze;
    std::optional<std::uint32_t> refuse_permille;
    std::optional<std::uint32_t> fail_permille;
    std::optional<std::uint32_t> partial_permille;
    std::optional<double> slow_factor;
    std::optional<bool> leaving;
};

struct upstream_counters
{
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t over_capacity = 0;
    std::uint64_t duplicate_runs = 0;
    std::uint64_t running = 0; ///< Currently, unlike the other counters.
    std::uint64_t started_after_leaving = 0;
    std::uint64_t partial = 0;
};

class upstream_pool
{
public:
    explicit upstream_pool(upstream_pool_settings settings);

    std::size_t size() const noexcept;
    std::string const& id(std::size_t executor) const;
    std::string const& data_centre(std::size_t executor) const;
    std::optional<std::size_t> find(std::string_view id) const;

    /// Starts a completely received request. Unless it is refused, the caller
    /// must call `end` after `time`.
    work begin(core::common::time_point now,
               std::size_t executor,
               work_request const& request);
    /// Ends the work, whether or not its caller is still connected.
    void end(std::size_t executor, work_outcome outcome);

    /// Changes the faults of one executor, or of all if `id` is "*". Returns
    /// false for an unknown id.
    bool set_faults(core::common::time_point now,
                    std::string_view id,
                    upstream_faults const& faults);
    bool frozen(std::size_t executor) const;
    bool leaving(std::size_t executor) const;
    std::uint32_t running(std::size_t executor) const;

    upstream_counters const& counters() const noexcept;

private:
    struct executor_state
    {
        std::string id;
        std::string data_centre;
        std::size_t machine = 0;
        std::uint32_t running = 0;
        bool frozen = false;
        std::uint32_t refuse_permille = 0;
        std::uint32_t fail_permille = 0;
        std::uint32_t partial_permille = 0;
        double slow_factor = 1.0;
        std::optional<core::common::time_point> left_at;
    };

    bool chance(std::uint32_t permille);
    void record_key(work_request const& request);
    core::common::duration draw_service_time(executor_state const& executor,
                                             work_request const& request);

    upstream_pool_settings settings_;
    std::mt19937_64 random_;
    std::vector<executor_state> executors_;
    std::vector<std::uint32_t> running_per_machine_;
    std::unordered_set<std::uint64_t> seen_keys_;
    std::deque<std::uint64_t> key_order_;
    upstream_counters counters_;
};

} // namespace fuchsia::standins::upstreams
