#pragma once

#include "tools/load/bench_simulation.hpp"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace fuchsia::tools::load
{

/// Kind of event that the owner of a pool processes.
enum class pool_event_kind : std::uint8_t
{
    submissions, ///< Requests of submitters to the owner as a front.
    jobs,        ///< Store watch replies: new jobs, and ends written by others.
    commits,     ///< All other store replies.
    holds,       ///< Poll replies of workers: running and ended attempts.
    orders,      ///< Replies to start, stop and speed limit orders.
    ticks,       ///< Periodic timer events.
};

constexpr std::array<std::string_view, 6> pool_event_kind_names{
    "submissions", "jobs", "commits", "holds", "orders", "ticks"};

/// Number and processor time of the events of one kind. Events that ran a
/// placement round are counted separately.
struct pool_event_time
{
    /// Number of events without a placement round.
    std::uint64_t events_without_placement = 0;
    /// Processor time of the events without a placement round.
    double time_without_placement_s = 0;
    /// Number of events with a placement round.
    std::uint64_t events_with_placement = 0;
    /// Processor time of the events with a placement round.
    double time_with_placement_s = 0;

    /// Processor time of the placement rounds: the time of the events with a
    /// round minus the expected time of as many events without one.
    double placement_s() const noexcept;
    /// Processor time outside the placement rounds.
    double other_s() const noexcept;
};

struct pool_bench_settings
{
    std::uint32_t workers = 48; ///< Number of workers of 64 cores each.
    std::uint32_t seconds = 8;  ///< Measured virtual time after the warm-up.
    std::uint64_t seed = 1;
    double load = 1; ///< Multiplier of the job arrival rate.
    /// Steps that wait throughout at the head of the queue, since no worker can
    /// take them, and the number of their different demands.
    std::uint32_t hopeless_steps = 0;
    std::uint32_t hopeless_demands = 1;
};

/// Decisions of one owner during the measured time, and their processor time.
struct pool_bench_result
{
    std::uint64_t starts = 0; ///< Start orders sent to workers.
    std::uint64_t scored = 0; ///< Workers scored during placement.
    std::uint64_t placement_rounds = 0;
    std::uint64_t jobs_finished = 0;
    std::uint64_t running = 0; ///< Tasks running at the end.
    double reserved = 0;       ///< Share of the cores reserved at the end.
    /// Processor time of serializing the progress records in commits. Each
    /// record is serialized a second time to measure it.
    double progress_json_s = 0;
    std::uint64_t signature = 0; ///< Signature of all orders in sequence.
    std::array<pool_event_time, pool_event_kind_names.size()>
        time_by_event_kind;

    double total_s() const noexcept;
};

/// Simulates one instance that owns a pool without faults. Serving tasks of
/// five images reserve two thirds of the cores; best-effort steps of 24 images
/// and short guaranteed steps arrive. The same settings give the same
/// decisions.
pool_bench_result bench_pool(pool_bench_settings const& settings);

/// Runs the simulation for each pool size and prints the starts per second of
/// processor time and the processor time by kind of event. Returns the exit
/// status.
int run_pool_bench(std::vector<std::uint32_t> const& sizes,
                   pool_bench_settings const& settings,
                   std::ostream& out);

} // namespace fuchsia::tools::load
