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

// The executors that callers' requests end at, without their sockets: how long
// each request takes, how it ends, and the books of what must never happen.
namespace fuchsia::standins::upstreams
{

/// Lognormal service time of one class.
struct service_time
{
    double median_ms = 5.0;
    double sigma = 0.5; ///< Of the logarithm.
    double max_ms = 2'000.0;
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
    std::uint32_t slots = 8;
    std::vector<std::string> data_centres;
    /// Executors that share a machine and so slow each other.
    std::uint32_t per_machine = 5;
    /// Slowdown on a machine whose slots are all taken: 0.5 is half as long
    /// again.
    double interference = 0.5;
    service_time latency_critical;
    service_time batch{50.0, 0.8, 10'000.0};
    std::vector<path_factor> paths;
    std::uint64_t seed = 1;
    /// Requests begun later than this after leaving are counted.
    core::common::duration leaving_grace = std::chrono::seconds(5);
    /// Idempotency keys remembered for the count of second runs.
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
    complete, ///< A whole answer.
    failed,   ///< The work is done, the answer is a 500.
    partial,  ///< Half the answer, then the connection ends.
    refused,  ///< Not begun.
};

/// What an executor does with one request.
struct work
{
    work_outcome outcome = work_outcome::complete;
    core::common::duration time{};
};

/// Faults of one executor, switched at run time; absent parts stay as they are.
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
    std::uint64_t running = 0;
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

    /// A request has come in whole; unless refused, `end` follows after
    /// `time`.
    work begin(core::common::time_point now,
               std::size_t executor,
               work_request const& what);
    /// The work is done, whether or not its caller still listens.
    void end(std::size_t executor, work_outcome how);

    /// Of one executor, or of all for "*"; false for an unknown id.
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
        std::optional<core::common::time_point> left;
    };

    bool chance(std::uint32_t permille);
    void note_key(work_request const& what);
    core::common::duration draw_time(executor_state const& executor,
                                     work_request const& what);

    upstream_pool_settings settings_;
    std::mt19937_64 random_;
    std::vector<executor_state> executors_;
    std::vector<std::uint32_t> machine_running_;
    std::unordered_set<std::uint64_t> keys_;
    std::deque<std::uint64_t> key_order_;
    upstream_counters books_;
};

} // namespace fuchsia::standins::upstreams
