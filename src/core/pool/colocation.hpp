#pragma once

#include "core/pool/job_run.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Tasks that fill beside tasks that serve.
//
// The tail of a serving task behaves like that of a queue: its headroom, target
// / tail, falls linearly with the load of its users and with the cores that
// disturbing neighbours use. Over 60,000 readings of five serving and nine
// filling images the rest that this leaves unexplained is 0.05 of a target; a
// pair of images disturbs by about 6 targets for a whole worker, or not at
// all. All tasks of one step share the load of their users, which swings by
// half within 10 to 20 s, so what they have in common is load and what sets one
// apart is its neighbours.
namespace fuchsia::core::pool
{

struct colocation_settings
{
    /// Headroom that neighbours leave to a serving task: below 1 it is spoiled.
    /// A reading is up to 0.75 s old, in which load alone takes 0.3, and tails
    /// scatter by 0.3 around what load and neighbours explain. Over nine days
    /// of the first workload 1.4 left 6.0% of what was asked unserved, 1.7 4.6%
    /// and 2.0 as much, since work that fills then comes late itself.
    double keep = 1.7;
    /// A task that fills is placed only where this much is expected to stay.
    double place_above = 2.0;
    /// Tasks that fill stand still on a worker whose serving task has been over
    /// its target for this long, whatever was learned.
    common::duration stop_after = std::chrono::milliseconds(1500);
    /// A task that stood still for this long is moved elsewhere.
    common::duration evict_after = std::chrono::milliseconds(1500);
    /// Smaller changes of a task's speed are not worth an order.
    std::uint32_t least_change = 15;
    /// Headroom that a whole worker of a pair that was never seen is taken to
    /// cost, and how unsure that is: half of the pairs that were measured cost
    /// nothing and the others about this, so a pair is tried where there is
    /// room for the worse.
    double prior = 6;
    double prior_variance = 16;
    /// Variance of one reading around what load and neighbours explain:
    /// measured 0.3 targets.
    double reading_variance = 0.09;
    /// Pairs change within seconds: what is known of one is never more certain
    /// than this.
    double least_variance = 0.1;
    /// No pair that was measured costs more than this.
    double most = 25;
    /// A pair that costs less than this for a whole worker is taken for
    /// harmless: what is learned of such pairs is noise of up to 3.
    double harmless = 3;
    /// Headroom of a serving task without any load, until its image was seen
    /// for a while: says what share of its cores is in use. Two workloads had a
    /// tail of a sixth of the target then, a third one of 1 / 4.5, where 400
    /// idle cores were taken for used; so it is learned by image, from the
    /// headroom that its tasks have on average.
    double idle_headroom = 6;
    /// Share of its cores that a serving task uses on average. Measured .55 on
    /// one workload; .35, .45 and .55 were compared over 36 days on each of
    /// three: worth .774 .772 .751, .668 .678 .659 and .725 .741 .735. What is
    /// taken for idle and is not slows filling work, and harms nobody else.
    double usual_load = 0.45;
    /// Share of a task's distance from its siblings that is left at its next
    /// reading: measured 0.55 after 0.35 s and 0.2 after 1.4 s.
    double carry = 0.6;
    /// Images told apart; later ones share the last number.
    std::size_t max_images = 64;
};

/// What neighbours use, summed up by image.
std::vector<neighbour_share>
shares_of(std::vector<struct fill_view> const& fills);
/// What they may use, summed up by image.
std::vector<neighbour_share>
declared_shares_of(std::vector<struct fill_view> const& fills);

/// A serving task.
struct serving_view
{
    std::uint16_t image = 0; ///< As `colocation::number_of` gives it.
    double headroom = 0;     ///< Target / tail as last read.
    double alone = 0;        ///< Headroom its step has without any neighbours.
    double own = 0;          ///< The same of this task, as far as it lasts.
};

/// A task that fills, with its shares of the worker's cores.
struct fill_view
{
    ports::task_name name;
    std::uint16_t image = 0;
    double declared = 0;
    double used = 0; ///< As last read.
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

/// Learns which images disturb each other, and says how fast tasks that fill
/// may work.
class colocation
{
public:
    explicit colocation(colocation_settings settings);

    colocation_settings const& settings() const noexcept;
    /// A small number for an image's name.
    std::uint16_t number_of(std::string const& image);

    /// Headroom that neighbours take from a task of `image`, as far as known.
    double taken(std::uint16_t image,
                 std::vector<neighbour_share> const& beside) const;
    /// Learns from the last of `readings`, all of tasks of one step.
    void learn(std::uint16_t image,
               std::vector<serving_reading const*> const& readings);
    /// Headroom that the tasks of one step would have without neighbours.
    double alone(std::vector<serving_reading const*> const& readings) const;

    /// Headroom without neighbours that a task of a step will have when it is
    /// asked next, by its own last reading.
    double own(double alone, serving_reading const& last) const;

    /// Share of its cores that a serving task uses, by its headroom without
    /// neighbours.
    double load(std::uint16_t image, double alone) const noexcept;
    /// Takes in what a reading says of an image's headroom without neighbours.
    void note_alone(std::uint16_t image, double alone);

    /// Speeds that leave every serving task its headroom.
    std::vector<pace_change> paces(worker_view const& seen,
                                   common::time_point now,
                                   common::time_point& over_since) const;
    /// The least headroom that stays, were `image` to use `share` besides.
    double
    expected(worker_view const& seen, std::uint16_t image, double share) const;
    /// Whether `beside` is taken to disturb `served`, as every pair is until
    /// it was seen,
    bool disturbs(std::uint16_t served, std::uint16_t beside) const;
    /// and whether that was learned.
    bool known(std::uint16_t served, std::uint16_t beside) const;
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
                        std::vector<fill_view> const& fills) const;

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
