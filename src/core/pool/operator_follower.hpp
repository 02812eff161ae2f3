#pragma once

#include "core/common/seen_failures.hpp"
#include "core/pool/outbox.hpp"
#include "core/pool/platform_records.hpp"
#include "core/pool/revision_times.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

struct operator_follower_settings
{
    /// Maximum wait of a watch. A dead connection is detected after this time
    /// plus `call_timeout`, within the 2 s after which a change must be in
    /// force.
    common::duration watch_wait = std::chrono::milliseconds(1000);
    /// Maximum wait of the watch after an answer with a change. Such an answer
    /// does not show when the store gave it, so the state is known to be
    /// current only as of the time at which the watch was sent.
    common::duration watch_wait_after_change = std::chrono::milliseconds(300);
    /// A watch continues from the revision that the store had this long ago, so
    /// that a watch which stalled for a shorter time misses nothing. Must be
    /// shorter than the history that the store keeps.
    common::duration watch_overlap = std::chrono::seconds(12);
    common::duration call_timeout = std::chrono::milliseconds(500);
    common::duration retry_interval = std::chrono::milliseconds(100);
};

/// Follows the records that operators write. A late answer never replaces the
/// configuration by an older version.
class operator_follower
{
public:
    operator_follower(operator_follower_settings settings,
                      platform_records const& records,
                      outbox& out,
                      revision_times& times);

    void start(common::time_point now);
    void tick(common::time_point now);

    operator_state const& state() const noexcept;
    /// Whether all records have been read once.
    bool loaded() const noexcept;
    /// Counter that increases with each change of the state.
    std::uint64_t change_count() const noexcept;

private:
    void read_page(common::time_point now, std::string const& after_key);
    void on_page(common::time_point now,
                 common::time_point sent_at,
                 std::string const& after_key,
                 ports::kv_reply const& reply);
    void watch(common::time_point now, common::duration wait);
    void on_watch(common::time_point now,
                  common::time_point sent_at,
                  common::duration wait,
                  ports::kv_reply const& reply);
    static bool is_replaced(std::vector<ports::kv_item> const& items,
                            std::size_t index);
    void apply_item(ports::kv_item const& item);
    void apply_config(configuration config);
    void retry_read(common::time_point now);
    void advance_watch(common::time_point now, std::uint64_t revision);
    void note_failure(common::time_point now,
                      common::time_point sent_at,
                      char const* call,
                      ports::kv_status status);

    operator_follower_settings settings_;
    platform_records const& platform_records_;
    outbox& out_;
    revision_times& times_;
    lifetime_token life_ = std::make_shared<char>();
    operator_state state_;
    /// Data centres out of service, by the records being processed.
    std::set<std::string> pending_data_centres_out_;
    std::string config_key_; ///< Key of the last parsed configuration.
    std::uint64_t config_revision_ = 0;   ///< Revision of the last parsed one.
    common::seen_failures seen_failures_; ///< By the keys of entries.
    std::uint64_t watched_revision_ = 0;
    /// Revision of the store in an answer without events.
    struct idle_answer
    {
        common::time_point received_at{};
        std::uint64_t revision = 0;
    };
    std::deque<idle_answer> idle_answers_; ///< Oldest first.
    std::uint64_t change_count_ = 0;
    bool loaded_ = false;
    bool read_pending_ = false;
    std::uint64_t failed_calls_ = 0; ///< Failed calls in a row.
    common::time_point
        pages_requested_at_{}; ///< Time of the request for the first page.
    common::time_point next_read_at_{};
};

} // namespace fuchsia::core::pool
