#pragma once

#include "core/placement/interference.hpp"
#include "core/pool/job_run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

struct colocation_settings
{
    /// A task that fills is placed beside serving tasks only where the worst of
    /// them is then expected below this share of its latency target.
    double place_below = 0.7;
    /// Above this share of a target, tasks that fill are slowed down; a serving
    /// task counts as spoiled from 1.0 on, and a reading is half a second old.
    double slow_above = 0.9;
    /// All tasks that fill stand still on a worker whose serving task has been
    /// over its target for this long: the culprit was not among those that were
    /// slowed. Users are harmed after 4 s on end.
    common::duration stop_after = std::chrono::milliseconds(1500);
    /// Below this share of every target, slowed tasks get their speed back.
    double relax_below = 0.5;
    /// A task that was slowed to a stand for this long is moved elsewhere.
    common::duration evict_after = std::chrono::milliseconds(700);
};

/// A serving task: what it runs, and its tail as a share of its target.
struct serving_view
{
    std::uint16_t image = 0; ///< As `colocation::number_of` gives it.
    double ratio = 0;
};

/// A task that fills, with the share of the worker's cores that it uses.
struct fill_view
{
    ports::task_name name;
    std::uint16_t image = 0;
    double share = 0;
    std::uint32_t pace = 100;
};

/// What stands beside each other on one worker.
struct worker_view
{
    std::vector<serving_view> serving;
    std::vector<fill_view> fills;
};

/// The speed that a task is to have from now on, in percent.
struct pace_change
{
    ports::task_name name;
    std::uint32_t percent = 100;
};

/// Learns which images disturb each other, from the tails that workers report,
/// and keeps serving tasks below their targets.
class colocation
{
public:
    explicit colocation(colocation_settings settings);

    colocation_settings const& settings() const noexcept;
    /// A small number for an image's name.
    std::uint16_t number_of(std::string const& image);

    /// Takes in one report and says which tasks change their speed.
    std::vector<pace_change> observe(worker_view const& seen,
                                     common::time_point now,
                                     common::time_point& over_since);
    /// The highest expected ratio among those that serve, were `image` to use
    /// `share` of the cores besides.
    double expected(worker_view const& seen,
                    std::uint16_t image,
                    double share) const;

private:
    std::vector<pace_change> slow_down(worker_view const& seen,
                                       bool all) const;
    std::vector<pace_change> speed_up(worker_view const& seen) const;

    colocation_settings settings_;
    placement::interference learned_;
};

} // namespace fuchsia::core::pool
