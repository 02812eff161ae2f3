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

// The way of jobs and cancellations to the cells: keys below `inbox/`, which
// every planner watches with one call.
namespace fuchsia::core::tasks
{

std::string inbox_key(std::string const& cell, std::string const& parcel);
std::string stop_key(std::string const& job);

/// A job that all cells are to stop, with the reason.
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
    /// Least time between two watches: in a burst one answer then carries many
    /// changes, rather than each change a call of every planner.
    common::duration watch_gap = std::chrono::milliseconds(100);
    /// A notice stays this long, so that parcels under way meet it too.
    common::duration notice_time = std::chrono::minutes(2);
};

/// One waiting watch on `inbox/`, sorted by cell.
class inbox
{
public:
    explicit inbox(inbox_settings settings);

    void tick(common::time_point now, store_calls& calls, ports::actions& out);
    /// True where the content may have changed.
    bool on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply);

    std::vector<stored_inbox_message> items_of(std::string const& cell) const;
    std::vector<stop_notice> const& notices() const noexcept;
    std::size_t size() const noexcept;
    /// Whether a list has been read at least once.
    bool list_received() const noexcept;

    /// The notice that has stood longest beyond its time; at most one.
    std::optional<stop_notice> expired_notice(common::time_point now) const;

private:
    inbox_settings settings_;
    std::uint64_t index_ = 0;
    std::uint64_t call_ = 0;
    bool known_ = false;
    common::time_point next_try_{};
    std::map<std::string, std::vector<stored_inbox_message>> items_;
    std::vector<stop_notice> notices_;
    std::map<std::string, common::time_point> notice_seen_;
    std::size_t size_ = 0;
};

/// Sorts the entries below `inbox/`; used for lists that operators ask, too.
void parse_inbox_entries(
    std::vector<ports::store_entry> const& entries,
    std::map<std::string, std::vector<stored_inbox_message>>& items,
    std::vector<stop_notice>& notices);

} // namespace fuchsia::core::tasks
