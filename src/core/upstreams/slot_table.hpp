#pragma once

#include "core/common/hash.hpp"
#include "core/common/time.hpp"
#include "core/upstreams/choice.hpp"
#include "ports/instances.hpp"
#include "ports/requests.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fuchsia::core::upstreams
{

struct slot_table_settings
{
    /// No upstream runs a request longer than this after it was sent. The
    /// promise that no upstream is overfilled rests on it wherever the end of
    /// a request can't be seen.
    common::duration max_execution = std::chrono::seconds(30);
    /// A usage report is taken to be this much older than it says, for the
    /// time it took to reach us.
    common::duration report_slack = std::chrono::milliseconds(500);
    std::size_t max_upstreams = 8192;
    /// Share of its slots that an upstream gets when it joins.
    double initial_share = 0.25;
    choice_policy choice = weighted_two_choices{};
};

/// Where one exchange was placed.
struct slot_placement
{
    std::uint32_t upstream_index =
        0; ///< Names the upstream in `take`'s `avoid`.
    std::string upstream;
    ports::endpoint address;
};

/// The slots of all upstreams whose partitions this entry owns.
///
/// Only the owner of an upstream's partition counts and uses its slots, so
/// that no two entries fill the same one. A slot is free again only when that
/// is certain: the answer came whole, or nothing was sent. A request whose end
/// was not seen may run on, and a second one in its slot would be more work
/// than the upstream holds; such a slot stays taken until a usage report made
/// later shows the upstream idle, or `max_execution` has passed. The same goes
/// for what a predecessor may have left running when a partition changes its
/// owner without a handover.
class slot_table
{
public:
    slot_table(slot_table_settings const& chosen, std::uint64_t seed);

    /// The partition is ours from now on. Unless `idle` its predecessor may
    /// have filled every slot just before.
    void acquire(common::time_point now, std::uint32_t partition, bool idle);
    /// No new work on the partition's upstreams; what runs there goes on.
    void release(std::uint32_t partition);

    void on_instances(common::time_point now, ports::instance_list const& list);
    void set_data_centres_out_of_service(
        std::set<std::string, std::less<>> const& names);

    /// Takes a free slot for `exchange`; empty where there is none.
    std::optional<slot_placement> take_slot(common::time_point now,
                                            std::uint64_t exchange,
                                            std::optional<std::uint32_t> avoid);
    /// The caller gave up on the exchange: counts against its upstream where
    /// it had far more time than requests usually take.
    void on_caller_timeout(common::time_point now, std::uint64_t exchange);
    void on_exchange_end(common::time_point now,
                         ports::upstream_end const& end);
    /// Frees slots whose bound has passed.
    void tick(common::time_point now);

    std::uint32_t free_slots() const noexcept;
    /// Slots that may be in use now, over all usable upstreams.
    std::uint32_t usable_slots() const noexcept;
    /// Moving average over all upstreams; 0 where nothing has been seen.
    common::duration service_time() const noexcept;
    /// Whether no slot of the partition's upstreams is taken.
    bool is_idle(std::uint32_t partition) const noexcept;
    /// Slots taken on one upstream, those of unseen ends included.
    std::uint32_t in_use(std::string const& upstream) const noexcept;
    std::size_t size() const noexcept;

private:
    struct upstream
    {
        std::string id;
        ports::endpoint where;
        std::string data_centre;
        std::uint32_t partition = 0;
        std::uint32_t slots = 0;
        bool listed = false;
        bool leaving = false;
        bool out_of_service = false;
        double share = 1.0;
        std::vector<std::uint64_t>
            unseen; ///< Held by requests not seen to end.
        std::optional<std::size_t> open_at; ///< Position in `open_`.
        std::uint32_t counted_slots = 0;    ///< Its part of `usable_slots_`.
        std::uint32_t counted_free = 0;     ///< Its part of `free_slots_`.
    };
    /// One taken slot.
    struct hold
    {
        std::uint32_t index = 0;
        common::time_point sent;
        common::time_point unseen_since;
        bool slow = false;
    };

    void add_upstream(common::time_point now,
                      ports::upstream_instance const& listed);
    void update(upstream& known, ports::upstream_instance const& listed);
    void
    on_report(common::time_point made, std::uint32_t index, std::uint32_t n);
    void close_all_slots(common::time_point now, std::uint32_t index);
    void free_hold(std::uint64_t id);
    void keep_unseen(common::time_point now, std::uint64_t id);
    void learn(std::uint32_t index, common::duration took, bool failed);
    void shrink(std::uint32_t index);
    void refresh(std::uint32_t index);
    void set_open(std::uint32_t index, bool open);
    bool usable(upstream const& one) const noexcept;

    slot_table_settings settings_;
    std::mt19937_64 random_;
    std::vector<upstream> upstreams_;
    std::vector<upstream_load> loads_; ///< Beside `upstreams_`.
    std::unordered_map<std::string, std::uint32_t> index_of_;
    std::vector<std::uint32_t> open_; ///< Upstreams with a free slot.
    std::unordered_map<std::uint64_t, hold> holds_;
    std::set<std::pair<common::time_point, std::uint64_t>> bounds_;
    std::array<bool, common::partition_count> owned_{};
    std::array<std::optional<common::time_point>, common::partition_count>
        taken_over_{};
    std::array<std::uint32_t, common::partition_count> busy_{};
    std::set<std::string, std::less<>> data_centres_out_of_service_;
    bool list_seen_ = false;
    std::uint64_t next_unseen_ = 0;
    std::uint32_t free_slots_ = 0;
    std::uint32_t usable_slots_ = 0;
    double service_time_us_ = 0;
};

} // namespace fuchsia::core::upstreams
