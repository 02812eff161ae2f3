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
    /// Maximum time from sending a request until its upstream has ended it.
    /// Where the end of a request can't be observed, the guarantee that no
    /// upstream is overloaded depends on this bound.
    common::duration max_execution = std::chrono::seconds(30);
    /// Added to the age of a usage report, for the time that the report took to
    /// reach this entry.
    common::duration report_slack = std::chrono::milliseconds(500);
    std::size_t max_upstreams = 8192;
    /// Share of its slots that may be in use when an upstream joins.
    double initial_share = 0.25;
    choice_policy choice = weighted_two_choices{};
};

/// Upstream on which an exchange took a slot.
struct slot_placement
{
    std::uint32_t upstream_index =
        0; ///< Identifies the upstream for `avoided_upstream` of `take_slot`.
    std::string upstream;
    ports::endpoint address;
};

/// Slots of all upstreams whose partitions this entry owns.
///
/// Only the owner of an upstream's partition counts and uses its slots, so that
/// no two entries use the same slot. A slot is freed only when its request has
/// certainly ended: the answer is complete, or nothing was sent. A request
/// whose end was not observed may still run, and a second request in its slot
/// would overload the upstream. Such a slot stays taken until a later usage
/// report shows that the upstream no longer uses it, or until `max_execution`
/// has passed. The same applies to requests that a predecessor may have left
/// running when a partition changes its owner without a handover.
class slot_table
{
public:
    slot_table(slot_table_settings const& settings, std::uint64_t seed);

    /// Starts using the upstreams of a partition that this entry now owns.
    /// Unless `known_idle`, the predecessor may just have filled all their
    /// slots.
    void
    acquire(common::time_point now, std::uint32_t partition, bool known_idle);
    /// Stops sending new work to the partition's upstreams; running requests
    /// continue.
    void release(std::uint32_t partition);

    void on_instances(common::time_point now, ports::instance_list const& list);
    void set_data_centres_out_of_service(
        std::set<std::string, std::less<>> const& names);

    /// Takes a free slot for `exchange`; empty if there is none.
    std::optional<slot_placement>
    take_slot(common::time_point now,
              std::uint64_t exchange,
              std::optional<std::uint32_t> avoided_upstream);
    /// Handles that the exchange did not end before its caller's deadline.
    /// Counts as a failure of the upstream if the exchange had much more time
    /// than requests usually take.
    void on_caller_timeout(common::time_point now, std::uint64_t exchange);
    void on_exchange_end(common::time_point now,
                         ports::upstream_end const& end);
    /// Frees the slots of unobserved ends whose `max_execution` has passed.
    void tick(common::time_point now);

    std::uint32_t free_slots() const noexcept;
    /// Number of slots that may be in use now, over all usable upstreams.
    std::uint32_t usable_slots() const noexcept;
    /// Moving average over all upstreams; 0 if there is no sample yet.
    common::duration service_time() const noexcept;
    /// Whether no slot of the partition's upstreams is taken.
    bool is_idle(std::uint32_t partition) const noexcept;
    /// Slots taken on one upstream, including those of unobserved ends.
    std::uint32_t in_use(std::string const& upstream) const noexcept;
    std::size_t size() const noexcept;

private:
    struct upstream
    {
        std::string id;
        ports::endpoint address;
        std::string data_centre;
        std::uint32_t partition = 0;
        std::uint32_t slots = 0;
        bool is_listed = false;
        bool leaving = false;
        bool out_of_service = false;
        double share = 1.0; ///< Share of its slots that may be in use.
        std::vector<std::uint64_t> unseen_ends; ///< Taken slots whose request's
                                                ///< end was not observed.
        std::optional<std::size_t>
            available_index;             ///< Position in `available_`.
        std::uint32_t counted_slots = 0; ///< Share in `usable_slots_`.
        std::uint32_t counted_free = 0;  ///< Share in `free_slots_`.
    };
    /// Slot taken by an exchange, or by an assumed request of a predecessor.
    struct taken_slot
    {
        std::uint32_t index = 0; ///< Of the upstream.
        common::time_point sent_at;
        common::time_point end_unseen_since;
        bool timeout_counted =
            false; ///< Whether a timeout was already counted as a failure.
    };

    void add_upstream(common::time_point now,
                      ports::upstream_instance const& instance);
    void update(upstream& u, ports::upstream_instance const& instance);
    void on_report(common::time_point report_time,
                   std::uint32_t index,
                   std::uint32_t slots_in_use);
    void occupy_all_slots(common::time_point now, std::uint32_t index);
    void free_slot(std::uint64_t id);
    void mark_end_unseen(common::time_point now, std::uint64_t id);
    void record_result(std::uint32_t index,
                       common::duration execution_time,
                       bool failed);
    void record_failure(std::uint32_t index);
    void update_counts(std::uint32_t index);
    void set_available(std::uint32_t index, bool has_free_slot);
    bool is_usable(upstream const& u) const noexcept;

    slot_table_settings settings_;
    std::mt19937_64 random_;
    std::vector<upstream> upstreams_;
    std::vector<upstream_load> loads_; ///< Parallel to `upstreams_`.
    std::unordered_map<std::string, std::uint32_t> index_of_;
    std::vector<std::uint32_t> available_; ///< Upstreams with a free slot.
    std::unordered_map<std::uint64_t, taken_slot> taken_slots_;
    /// Latest possible end and id of each taken slot with an unobserved end.
    std::set<std::pair<common::time_point, std::uint64_t>> latest_ends_;
    std::array<bool, common::partition_count> owned_{};
    /// Time of a takeover without a known idle predecessor.
    std::array<std::optional<common::time_point>, common::partition_count>
        acquired_at_{};
    /// Taken slots per partition.
    std::array<std::uint32_t, common::partition_count> partition_in_use_{};
    std::set<std::string, std::less<>> data_centres_out_of_service_;
    bool list_received_ = false;
    std::uint64_t next_placeholder_id_ = 0;
    std::uint32_t free_slots_ = 0;
    std::uint32_t usable_slots_ = 0;
    double service_time_us_ = 0;
};

} // namespace fuchsia::core::upstreams
