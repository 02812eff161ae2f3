#pragma once

#include "tools/load/bench_simulation.hpp"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace fuchsia::tools::load
{

/// What the owner of a pool is busy with while it takes in one event.
enum class pool_event_kind : std::uint8_t
{
    submissions, ///< Requests of submitters, as a front.
    jobs,        ///< Watches of the store: new jobs and ends that others wrote.
    commits,     ///< All other answers of the store.
    holds,       ///< Answers of workers that tell what runs and what ended.
    orders,      ///< Answers to starts, stops and changes of pace.
    ticks,
};

constexpr std::array<std::string_view, 6> pool_event_kind_names{
    "submissions", "jobs", "commits", "holds", "orders", "ticks"};

/// Events of one duty, those apart in which tasks were placed as well.
struct pool_event_time
{
    std::uint64_t events_without_placement =
        0;                               ///< Events without a round of placing,
    double time_without_placement_s = 0; ///< and their processor time.
    std::uint64_t events_with_placement = 0; ///< Events with one,
    double time_with_placement_s = 0;        ///< and theirs.

    /// What the rounds took: the time of events with a round beyond that of
    /// as many events without.
    double placement_s() const noexcept;
    /// The rest.
    double other_s() const noexcept;
};

struct pool_bench_settings
{
    std::uint32_t workers = 48; ///< Of 64 cores each.
    std::uint32_t seconds = 8;  ///< Of virtual time, after a warm-up.
    std::uint64_t seed = 1;
    double load = 1; ///< Factor of the rate at which jobs arrive.
};

/// One owner's decisions over a time, and what they cost it.
struct pool_bench_result
{
    std::uint64_t starts = 0;
    std::uint64_t scored = 0; ///< Workers that were scored for a task.
    std::uint64_t placement_rounds = 0; ///< Of placing.
    std::uint64_t jobs_finished = 0;
    std::uint64_t running = 0;   ///< Tasks at the end.
    double reserved = 0;         ///< Share of the cores, then.
    double progress_json_s = 0;  ///< Of the commits: text of progress,
                                 ///< written once more to take its time.
    std::uint64_t signature = 0; ///< Of all orders, in their sequence.
    std::array<pool_event_time, pool_event_kind_names.size()>
        time_by_event_kind;

    double total_s() const noexcept;
};

/// One instance that owns a pool without faults: two thirds of the cores are
/// reserved by serving tasks of five images, filling steps of 24 images and
/// short guaranteed steps arrive. The same settings give the same decisions.
pool_bench_result bench_pool(pool_bench_settings const& settings);

/// Runs it at each size and prints choices a second of processor time and the
/// time by duty. The exit status.
int run_pool_bench(std::vector<std::uint32_t> const& sizes,
                   pool_bench_settings const& settings,
                   std::ostream& out);

} // namespace fuchsia::tools::load
