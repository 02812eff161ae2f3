#pragma once

#include "core/pool/interference_estimates.hpp"
#include "core/pool/job_run.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Colocation of best-effort tasks with serving tasks.
//
// The headroom of a serving task is its latency target divided by its tail
// latency. It falls linearly with the load of the users and with the cores that
// disturbing neighbours use. All tasks of one step share the load of their
// users, so a difference between them comes from their neighbours.
namespace fuchsia::core::pool
{

struct colocation_settings
{
    /// Headroom that neighbours have to leave to a serving task. Above 1, since
    /// readings are old and tail latencies scatter.
    double min_headroom = 1.7;
    /// Expected headroom of the serving tasks below which no best-effort task
    /// is placed on their worker.
    double placement_headroom = 2.0;
    /// Best-effort tasks are paused on a worker whose serving task has been
    /// over its target for this long, whatever has been learned.
    common::duration stop_after = std::chrono::milliseconds(1500);
    /// Time until a report shows the whole effect of a speed limit: the order
    /// comes into force after a tenth of a second, and a figure is a mean over
    /// half a second.
    common::duration settle_time = std::chrono::milliseconds(600);
    /// Part of full speed by which the speed of best-effort tasks rises at a
    /// time after a serving task was over its target.
    double speed_growth = 0.5;
    /// Minimum headroom that a task whose effect no report shows yet is taken
    /// to take if it uses a whole worker, whatever has been learned of it.
    double min_unmeasured_weight = 1;
    /// A best-effort task that has been paused for this long is moved to
    /// another worker.
    common::duration evict_after = std::chrono::milliseconds(1500);
    /// Smallest change of a speed limit, in percent, that is worth an order to
    /// the worker.
    std::uint32_t min_speed_change = 15;
    /// Prior of a pair that has never been observed: the headroom that the
    /// neighbour takes if it uses a whole worker, and the variance of this
    /// estimate.
    double prior_weight = 6;
    double prior_variance = 16;
    /// Variance of one reading of the headroom around the value that load and
    /// neighbours explain.
    double reading_variance = 0.09;
    /// Lower bound of the variance of a pair, however often it was observed,
    /// since pairs change.
    double min_variance = 0.1;
    /// Maximum headroom that a neighbour takes if it uses a whole worker.
    double max_weight = 25;
    /// Weight up to which a pair counts as harmless.
    double harmless_weight = 3;
    /// Headroom of a serving task without any load, used until enough readings
    /// of its image have been observed.
    double idle_headroom = 6;
    /// Share of its cores that a serving task uses on average.
    double average_load = 0.45;
    /// Share of a task's deviation from its siblings that is expected to remain
    /// at its next reading.
    double residual_carryover = 0.6;
    /// Maximum number of distinct images; all later ones share the last number.
    std::size_t max_images = 64;
};

/// Returns the cores that best-effort tasks use, summed by image.
std::vector<neighbour_share>
shares_of(std::vector<struct best_effort_view> const& best_effort);
/// Returns the cores that best-effort tasks have declared, summed by image.
std::vector<neighbour_share>
declared_shares_of(std::vector<struct best_effort_view> const& best_effort);

/// A serving task.
struct serving_view
{
    std::uint16_t image = 0; ///< Number from `colocation::number_of`.
    double headroom = 0;     ///< Target / tail latency of the last reading.
    double isolated_headroom =
        0; ///< Headroom of its step without any neighbours.
    double task_isolated_headroom =
        0; ///< Headroom of this task without neighbours, as expected at its
           ///< next reading.
    bool measured = false; ///< `headroom` is from a report of its worker.
};

/// A best-effort task, with its shares of the worker's cores.
struct best_effort_view
{
    ports::task_name name;
    std::uint16_t image = 0;
    double declared = 0;
    double used = 0; ///< Share used according to the last reading.
    std::uint32_t speed_limit = 100;
    /// The last report shows its whole effect on its neighbours.
    bool measured = false;
};

/// Tasks that are colocated on one worker.
struct worker_view
{
    std::vector<serving_view> serving;
    std::vector<best_effort_view> best_effort;
    /// Upper bound of the share of the worker that the measured headroom bears
    /// of further best-effort tasks of any image.
    double bearable_share = 1;
};

/// Returns the lowest headroom that was measured of a serving task; empty if
/// there is no measurement.
std::optional<double> lowest_headroom(worker_view const& view);

/// New speed limit of a task, in percent.
struct speed_limit_change
{
    ports::task_name name;
    std::uint32_t percent = 100;
};

/// Learns which images disturb each other, and determines the speed limits of
/// best-effort tasks.
class colocation
{
public:
    explicit colocation(colocation_settings settings);

    colocation_settings const& settings() const noexcept;
    std::uint16_t number_of(std::string const& image);

    /// Returns the headroom that `neighbours` are estimated to take from a task
    /// of `image`.
    double headroom_loss(std::uint16_t image,
                         std::vector<neighbour_share> const& neighbours) const;
    /// Updates the estimates from the last of `readings`, which are all of
    /// tasks of one step.
    void learn(std::uint16_t image,
               std::vector<serving_reading const*> const& readings);
    /// Returns the headroom that the tasks of one step would have without
    /// neighbours.
    double isolated_headroom(
        std::vector<serving_reading const*> const& readings) const;

    /// Returns the headroom without neighbours that is expected at a task's
    /// next reading, from its last reading and the `headroom` of its step
    /// without neighbours.
    double task_isolated_headroom(double headroom,
                                  serving_reading const& last) const;

    /// Returns the share of its cores that a serving task uses, from its
    /// `headroom` without neighbours.
    double load(std::uint16_t image, double headroom) const noexcept;
    /// Updates the average headroom of an image without neighbours.
    void observe_isolated_headroom(std::uint16_t image, double headroom);

    /// Returns the changes of speed limits that leave every serving task its
    /// headroom. No task gets more than `max_speed`, a share of full speed.
    std::vector<speed_limit_change> speed_limits(worker_view const& view,
                                                 double max_speed) const;
    /// Returns the lowest headroom of the serving tasks that `image` disturbs
    /// if it additionally uses `share` of the worker.
    double expected_headroom(worker_view const& view,
                             std::uint16_t image,
                             double share) const;
    /// Returns `worker_view::bearable_share` for the tasks of the view.
    double bearable_share(worker_view const& view) const;
    /// Whether the measured headroom of each serving task bears a task of
    /// `image` with this share of the worker, beside the best-effort tasks
    /// whose effect is not measured yet. True if nothing was measured.
    bool slack_bears(worker_view const& view,
                     std::uint16_t image,
                     double share) const;
    /// Whether `neighbour_image` disturbs `serving_image`. Every pair counts as
    /// disturbing until it has been observed.
    bool disturbs(std::uint16_t serving_image,
                  std::uint16_t neighbour_image) const;
    /// Whether the estimate of the pair rests on enough readings.
    bool pair_known(std::uint16_t serving_image,
                    std::uint16_t neighbour_image) const;
    /// Returns the estimates from all readings so far.
    interference_estimates estimates() const;
    /// Replaces the estimates of all images in `earlier` by those of an earlier
    /// owner, also where this object has observed the image itself.
    void restore(interference_estimates const& earlier);
    /// Returns the maximum headroom that `image` takes from a serving task
    /// there if it uses a whole worker.
    double worst_weight(worker_view const& view, std::uint16_t image) const;

private:
    struct pair_estimate
    {
        double weight = 0;
        double variance = 0;
    };
    double weight(std::uint16_t serving_image,
                  std::uint16_t neighbour_image) const;
    /// The weight that counts until the effect of the neighbour is measured.
    double unmeasured_weight(std::uint16_t serving_image,
                             std::uint16_t neighbour_image) const;
    std::vector<double> const&
    deviations_from_mean(std::vector<serving_reading const*> const& readings);
    double
    speed_limit_for(serving_view const& serving_task,
                    std::vector<best_effort_view> const& best_effort) const;

    colocation_settings settings_;
    std::map<std::string, std::uint16_t> numbers_;
    /// Average headroom without neighbours of the tasks of an image.
    struct average_headroom
    {
        double mean = 0;
        double readings = 0; ///< Number of readings behind `mean`.
    };
    std::vector<average_headroom> average_headrooms_; ///< By image.
    std::vector<pair_estimate>
        pairs_; ///< Matrix of max_images rows and columns; the row is the
                ///< serving image.
    std::vector<double> deviations_; ///< Result of `deviations_from_mean`; kept
                                     ///< to reuse its memory.
};

} // namespace fuchsia::core::pool
