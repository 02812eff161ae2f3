#pragma once

#include "core/pool/interference_estimates.hpp"
#include "core/pool/job_run.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Tasks that fill beside tasks that serve.
//
// The headroom of a serving task, target / tail, falls linearly with the load
// of its users and with the cores that disturbing neighbours use. All tasks of
// one step share the load of their users: what they have in common is load, and
// what sets one apart is its neighbours.
namespace fuchsia::core::pool
{

struct colocation_settings
{
    /// Headroom that neighbours leave to a serving task. Above 1, since
    /// readings are old and tails scatter.
    double min_headroom = 1.7;
    /// A task that fills is placed only where this headroom is expected to
    /// stay.
    double placement_headroom = 2.0;
    /// Tasks that fill stand still on a worker whose serving task has been over
    /// its target for this long, whatever was learned.
    common::duration stop_after = std::chrono::milliseconds(1500);
    /// A task that stood still for this long is moved elsewhere.
    common::duration evict_after = std::chrono::milliseconds(1500);
    /// Percent; smaller changes of a task's speed are not worth an order.
    std::uint32_t min_speed_change = 15;
    /// Headroom that a whole worker of a pair that was never seen is taken to
    /// cost, and how unsure that is.
    double prior_weight = 6;
    double prior_variance = 16;
    /// Of one reading's headroom around what load and neighbours explain.
    double reading_variance = 0.09;
    /// Of a pair, however often it was seen, since pairs change.
    double min_variance = 0.1;
    /// Headroom that a whole worker of a pair costs at most.
    double max_weight = 25;
    /// A pair whose whole worker costs less headroom is taken for harmless.
    double harmless_weight = 3;
    /// Headroom of a serving task without any load, until its image was seen
    /// for a while.
    double idle_headroom = 6;
    /// Share of its cores that a serving task uses on average.
    double average_load = 0.45;
    /// Share of a task's distance from its siblings that is left at its next
    /// reading.
    double residual_carryover = 0.6;
    /// Images told apart; later ones share the last number.
    std::size_t max_images = 64;
};

/// What neighbours use, summed up by image.
std::vector<neighbour_share>
shares_of(std::vector<struct best_effort_view> const& fills);
/// What they may use, summed up by image.
std::vector<neighbour_share>
declared_shares_of(std::vector<struct best_effort_view> const& fills);

/// A serving task.
struct serving_view
{
    std::uint16_t image = 0; ///< As `colocation::number_of` gives it.
    double headroom = 0;     ///< Target / tail as last read.
    double isolated_headroom =
        0; ///< Headroom its step has without any neighbours.
    double task_isolated_headroom =
        0; ///< The same of this task, as far as it lasts.
};

/// A task that fills, with its shares of the worker's cores.
struct best_effort_view
{
    ports::task_name name;
    std::uint16_t image = 0;
    double declared = 0;
    double used = 0; ///< As last read.
    std::uint32_t speed_limit = 100;
};

/// What stands beside each other on one worker.
struct worker_view
{
    std::vector<serving_view> serving;
    std::vector<best_effort_view> best_effort;
};

/// The speed that a task is to have from now on, in percent.
struct speed_limit_change
{
    ports::task_name name;
    std::uint32_t percent = 100;
};

/// Learns which images disturb each other, and says how fast tasks that fill
/// may work.
class colocation
{
public:
    explicit colocation(colocation_settings settings);

    colocation_settings const& settings() const noexcept;
    std::uint16_t number_of(std::string const& image);

    /// Headroom that neighbours take from a task of `image`, as far as known.
    double headroom_loss(std::uint16_t image,
                         std::vector<neighbour_share> const& beside) const;
    /// Learns from the last of `readings`, all of tasks of one step.
    void learn(std::uint16_t image,
               std::vector<serving_reading const*> const& readings);
    /// Headroom that the tasks of one step would have without neighbours.
    double isolated_headroom(
        std::vector<serving_reading const*> const& readings) const;

    /// Headroom without neighbours that a task of a step will have when it is
    /// asked next, by its own last reading.
    double task_isolated_headroom(double alone,
                                  serving_reading const& last) const;

    /// Share of its cores that a serving task uses, by its headroom without
    /// neighbours.
    double load(std::uint16_t image, double alone) const noexcept;
    /// Takes in what a reading says of an image's headroom without neighbours.
    void observe_isolated_headroom(std::uint16_t image, double alone);

    /// Speeds that leave every serving task its headroom.
    std::vector<speed_limit_change>
    speed_limits(worker_view const& seen,
                 common::time_point now,
                 common::time_point& over_since) const;
    /// The least headroom that stays, were `image` to use `share` besides.
    double expected_headroom(worker_view const& seen,
                             std::uint16_t image,
                             double share) const;
    /// Whether `beside` is taken to disturb `served`, as every pair is until
    /// it was seen,
    bool disturbs(std::uint16_t served, std::uint16_t beside) const;
    /// and whether that was learned.
    bool pair_known(std::uint16_t served, std::uint16_t beside) const;
    /// What readings have taught so far.
    interference_estimates estimates() const;
    /// Takes over what an earlier owner had learned; of images that were seen
    /// here before, too.
    void restore(interference_estimates const& earlier);
    /// Headroom that `image` takes at most, for a whole worker.
    double worst_weight(worker_view const& seen, std::uint16_t image) const;

private:
    struct pair_estimate
    {
        double weight = 0;
        double variance = 0;
    };
    double weight(std::uint16_t served, std::uint16_t beside) const;
    std::vector<double> const&
    beyond_the_mean(std::vector<serving_reading const*> const& readings);
    double speed_beside(serving_view const& served,
                        std::vector<best_effort_view> const& fills) const;

    colocation_settings settings_;
    std::map<std::string, std::uint16_t> numbers_;
    /// Headroom without neighbours that tasks of an image have on average.
    struct usual_headroom
    {
        double mean = 0;
        double readings = 0; ///< That it rests on.
    };
    std::vector<usual_headroom> usual_; ///< By image.
    std::vector<pair_estimate> pairs_;  ///< max_images squared, by the served.
    std::vector<double> beyond_;        ///< Of the reading learned from last.
};

} // namespace fuchsia::core::pool
