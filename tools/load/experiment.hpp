#pragma once

#include "adapters/settings/toml_reader.hpp"
#include "core/common/time.hpp"
#include "ports/identity.hpp"
#include "ports/requests.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// What an experiment file says; experiments/*.toml document the keys.
namespace fuchsia::tools::load
{

/// Where the system and the stand-ins are.
struct target_settings
{
    std::vector<ports::endpoint> entries;
    std::vector<ports::endpoint> planners;
    /// Control paths of the stand-ins; absent: not asked.
    std::optional<ports::endpoint> platform;
    std::optional<ports::endpoint> upstreams;
    std::optional<ports::endpoint> workers;
    std::string token; ///< Bearer token for planners.
    core::common::duration check_interval = std::chrono::milliseconds(500);
    /// The balancer sees a readiness this much later.
    core::common::duration check_lag = std::chrono::milliseconds(500);
};

/// Part of the run; `factor` multiplies every rate, going to `factor_to`.
struct phase
{
    std::string name; ///< In the report; empty: its number and factor.
    core::common::duration length{};
    double factor = 1.0;
    double factor_to = 1.0;
};

/// One stream of like requests.
struct request_stream
{
    std::string label;
    std::string customer;
    ports::request_class kind = ports::request_class::latency_critical;
    std::string method = "POST";
    std::string path; ///< "{n}" becomes the request's number.
    double rate = 0;  ///< Requests a second at factor 1.
    core::common::duration deadline = std::chrono::milliseconds(250);
    std::uint32_t body_bytes = 128;
    bool sends_key = true; ///< Sends an Idempotency-Key with POST.
    bool direct = false;   ///< To an upstream, past the entries.
    bool poisson = true;   ///< Random gaps between requests; else even ones.
    /// Only within this part of the run; `until` 0: to its end.
    core::common::duration from{};
    core::common::duration until{};
    /// Besides, so many requests at once in every interval; 0: none.
    std::uint32_t burst_size = 0;
    core::common::duration burst_every = std::chrono::seconds(1);
};

/// How the tool's clients try again.
struct retry_settings
{
    std::uint32_t max_attempts =
        1; ///< Sendings of one request, the first included.
    bool honour_retry_after = true;
    bool retry_unknown = false; ///< Also after "unknown", with the same key.
    bool retry_lost = false;    ///< Also without an answer, with the same key.
};

/// One stream of like jobs.
struct job_stream
{
    std::string label;
    std::string body; ///< The job's JSON without its id.
    double per_minute = 0;
    core::common::duration from{};
    core::common::duration until{};
};

/// One HTTP call made during the run: a fault, or an operator's change.
struct timed_event
{
    core::common::duration at{};
    ports::endpoint endpoint;
    bool planner = false; ///< To any planner, instead of `where`.
    std::string method = "POST";
    std::string path;
    std::string body;
    bool with_token = false;
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
    /// No answer so long after the deadline: the request is lost.
    core::common::duration answer_timeout = std::chrono::seconds(2);
    std::uint32_t max_in_flight = 20'000;
    /// Waited after the last request, for late answers.
    core::common::duration drain_time = std::chrono::seconds(1);

    core::common::duration length() const noexcept;
    /// The phase that holds for a request due at `at`, from the beginning.
    std::size_t phase_at(core::common::duration at) const noexcept;
    /// Stretches phases, windows and events to `wanted`.
    void scale_to(core::common::duration wanted);
};

/// Reads the experiment; errors stand in the file. `targets_needed` tells
/// whether [targets] must name entries.
experiment read_experiment(adapters::settings::toml_table& root,
                           target_settings const& targets);

/// Reads the table [targets]; keys that are absent keep `fallback`'s values.
target_settings read_targets(adapters::settings::toml_table& root,
                             target_settings fallback);

} // namespace fuchsia::tools::load
