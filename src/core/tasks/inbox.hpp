#pragma once

#include "core/common/result_code.hpp"
#include "core/common/time.hpp"
#include "core/tasks/cell_runner.hpp"
#include "core/tasks/store_calls.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Delivery of jobs and cancellations to the cells through keys below `inbox/`,
// which every planner follows with a single watch.
namespace fuchsia::core::tasks
{

std::string inbox_key(std::string const& cell, std::string const& message_name);
std::string stop_key(std::string const& job);

/// Notice that all cells have to stop a job, with the reason.
struct stop_notice
{
    std::string key;
    std::uint64_t version = 0;
    std::string job;
    common::result_code code = common::result_code::job_cancelled;
    std::string why;
};

std::string to_json(stop_notice const& value);

struct inbox_settings
{
    common::duration watch_wait = std::chrono::seconds(10);
    common::duration retry_interval = std::chrono::milliseconds(300);
    /// Minimum time between two watches. In a burst one reply then carries many
    /// changes; otherwise each change would cost one call of every planner.
    common::duration min_watch_interval = std::chrono::milliseconds(100);
    /// Time that a notice is kept, so that it also applies to messages that
    /// are still in transfer.
    common::duration notice_retention = std::chrono::minutes(2);
};

/// Follows `inbox/` with a single watch and sorts its entries by cell.
class inbox
{
public:
    explicit inbox(inbox_settings settings);

    void tick(common::time_point now, store_calls& calls, ports::actions& out);
    /// Returns true if the content may have changed.
    bool on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply);

    std::vector<stored_inbox_message> items_of(std::string const& cell) const;
    std::vector<stop_notice> const& notices() const noexcept;
    std::size_t size() const noexcept;
    /// Whether a list has been read at least once.
    bool list_received() const noexcept;

    /// Returns the first listed notice whose retention period has passed.
    std::optional<stop_notice> expired_notice(common::time_point now) const;

private:
    inbox_settings settings_;
    std::uint64_t index_ = 0;
    std::uint64_t call_ = 0;
    bool loaded_ = false;
    common::time_point next_call_at_{};
    std::map<std::string, std::vector<stored_inbox_message>> items_;
    std::vector<stop_notice> notices_;
    std::map<std::string, common::time_point> notice_first_seen_;
    std::size_t size_ = 0;
};

/// Sorts the entries below `inbox/` into messages by cell and stop notices.
/// Also used for the job lists that operators request.
void parse_inbox_entries(
    std::vector<ports::store_entry> const& entries,
    std::map<std::string, std::vector<stored_inbox_message>>& items,
    std::vector<stop_notice>& notices);

} // namespace fuchsia::core::tasks
