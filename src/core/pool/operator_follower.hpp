#pragma once

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
    /// How long a watch waits. A connection that went silent is noticed after
    /// this and `call_timeout` together, within the 2 s that a change may take
    /// to be in force.
    common::duration watch_wait = std::chrono::milliseconds(1000);
    /// The same behind an answer that brought a change: it does not say when
    /// it was given.
    common::duration watch_wait_after_change = std::chrono::milliseconds(300);
    /// A watch goes on from where the store was this long ago: one that is deaf
    /// for less misses nothing. Less than the store keeps of its history.
    common::duration watch_overlap = std::chrono::seconds(12);
    common::duration call_timeout = std::chrono::milliseconds(500);
    common::duration retry = std::chrono::milliseconds(100);
};

/// Follows what operators write. A version once seen is never left for an
/// older one, whatever a late answer says.
class operator_follower
{
public:
    operator_follower(operator_follower_settings settings,
                      platform_records const& words,
                      outbox& out,
                      revision_times& times);

    void start(common::time_point now);
    void tick(common::time_point now);

    operator_state const& state() const noexcept;
    /// Everything was read once.
    bool loaded() const noexcept;
    /// Rises with each change.
    std::uint64_t changes() const noexcept;

private:
    void read(common::time_point now, std::string const& after);
    void on_page(common::time_point now,
                 common::time_point asked,
                 std::string const& after,
                 ports::kv_reply const& reply);
    void watch(common::time_point now, common::duration wait);
    void on_watch(common::time_point now,
                  common::time_point asked,
                  common::duration wait,
                  ports::kv_reply const& reply);
    static bool is_replaced(std::vector<ports::kv_item> const& items,
                            std::size_t number);
    void take(ports::kv_item const& item);
    void take_config(configuration config);
    void read_again(common::time_point now);
    void move_on(common::time_point now, std::uint64_t revision);
    void note_failure(common::time_point now,
                      common::time_point asked,
                      char const* call,
                      ports::kv_status status);

    operator_follower_settings settings_;
    platform_records const& platform_records_;
    outbox& out_;
    revision_times& times_;
    lifetime_token life_ = std::make_shared<char>();
    operator_state state_;
    std::set<std::string> out_in_pages_; ///< Of the range being read.
    std::string config_key_;             ///< Of the last that could be read.
    std::uint64_t config_revision_ = 0;  ///< The same.
    std::uint64_t watched_ = 0;
    /// Where the store was at answers without events, the oldest first.
    struct quiet_answer
    {
        common::time_point at{};
        std::uint64_t revision = 0;
    };
    std::deque<quiet_answer> quiet_;
    std::uint64_t changes_ = 0;
    bool known_ = false;
    bool waiting_to_read_ = false;
    std::uint64_t failures_ = 0;       ///< Calls in a row that brought nothing.
    common::time_point pages_asked_{}; ///< The first of them.
    common::time_point read_at_{};
};

} // namespace fuchsia::core::pool
