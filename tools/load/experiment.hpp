#pragma once

#include "adapters/settings/toml_reader.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Contents of an experiment file. The keys are documented in
// experiments/*.toml.
namespace fuchsia::tools::load
{

/// Addresses of the system and the stand-ins.
struct target_settings
{
    std::vector<ports::endpoint> entries;
    std::vector<ports::endpoint> planners;
    /// Addresses of the stand-ins' control paths; unset ones are not queried.
    std::optional<ports::endpoint> platform;
    std::optional<ports::endpoint> upstreams;
    std::optional<ports::endpoint> workers;
    std::string token; ///< Bearer token for the planners.
    core::common::duration check_interval = std::chrono::milliseconds(500);
    /// Delay until the balancer applies a changed readiness.
    core::common::duration check_lag = std::chrono::milliseconds(500);
};

/// Part of the run. Every rate is multiplied by a factor that changes linearly
/// from `factor` to `factor_to`.
struct phase
{
    std::string name; ///< Name in the report; the file's default is its number.
    core::common::duration length{};
    double factor = 1.0;
    double factor_to = 1.0;
};

/// Stream of requests with the same properties.
struct request_stream
{
    std::string label;
    std::string customer;
    ports::request_class kind = ports::request_class::latency_critical;
    std::string method = "POST";
    std::string path; ///< "{n}" is replaced by the request number.
    double rate = 0;  ///< Requests per second at factor 1.
    core::common::duration deadline = std::chrono::milliseconds(250);
    std::uint32_t body_bytes = 128;
    bool sends_key = true; ///< Whether POST requests carry an Idempotency-Key.
    bool direct = false;   ///< Whether requests bypass the entries.
    bool poisson = true; ///< Poisson arrivals if true, evenly spaced otherwise.
    /// Part of the run in which the stream sends; `until` 0 means to its end.
    core::common::duration from{};
    core::common::duration until{};
    /// Number of additional requests sent at once every `burst_every`; 0 for
    /// none.
    std::uint32_t burst_size = 0;
    core::common::duration burst_every = std::chrono::seconds(1);
};

/// Retry policy of the simulated clients.
struct retry_settings
{
    /// Maximum number of attempts per request, the first included.
    std::uint32_t max_attempts = 1;
    /// Whether a retry waits for the time that the answer requests.
    bool honour_retry_after = true;
    /// Whether "unknown" answers are retried with the same key.
    bool retry_unknown = false;
    /// Whether lost requests are retried with the same key.
    bool retry_lost = false;
};

/// Stream of jobs with the same properties.
struct job_stream
{
    std::string label;
    std::string body;      ///< JSON of the job without its id.
    double per_minute = 0; ///< Jobs per minute at factor 1.
    core::common::duration from{};
    core::common::duration until{};
};

/// HTTP call at a fixed time of the run that injects a fault or makes an
/// operator's change.
struct timed_event
{
    core::common::duration at{};
    ports::endpoint endpoint;
    bool planner = false; ///< Sent to any planner instead of `endpoint`.
    std::string method = "POST";
    std::string path;
    std::string body;
    bool with_token = false; ///< Whether the call carries the bearer token.
};

struct experiment
{
    std::string name;
    std::uint64_t seed = 1;
    std::vector<phase> phases;
    std::vector<request_stream> streams;
    std::vector<job_stream> jobs;
    std::vector<timed_event> events;
    retry_settings retries;
    target_settings targets;
    /// Time after its deadline at which an unanswered request counts as lost.
    core::common::duration answer_timeout = std::chrono::seconds(2);
    std::uint32_t max_in_flight = 20'000; ///< Requests in flight at once.
    /// Time to wait for late answers after the last request.
    core::common::duration drain_time = std::chrono::seconds(1);

    core::common::duration length() const noexcept;
    /// Returns the index of the phase at time `at` from the beginning of the
    /// run.
    std::size_t phase_at(core::common::duration at) const noexcept;
    /// Scales phases, stream windows and event times to a run of length
    /// `wanted`.
    void scale_to(core::common::duration wanted);
};

/// Reads the experiment. Errors are recorded in the file that `root` belongs
/// to. `targets` provides the values for keys absent from [targets].
experiment read_experiment(adapters::settings::toml_table& root,
                           target_settings const& targets);

/// Reads the table [targets]. Absent keys keep the values of `fallback`.
target_settings read_targets(adapters::settings::toml_table& root,
                             target_settings fallback);

} // namespace fuchsia::tools::load
