#pragma once

#include "core/common/seen_failures.hpp"
#include "core/pool/outbox.hpp"
#include "core/pool/platform_records.hpp"
#include "core/pool/revision_times.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fuchsia::core::pool
{

struct worker_list_settings
{
    /// Time between two watches. A worker must get no new task from 2 s after
    /// it has announced that it is leaving.
    common::duration interval = std::chrono::milliseconds(500);
    /// Time without events after which a watch may have stalled, since workers
    /// update their entries all the time; the whole list is then read again.
    common::duration stalled_after = std::chrono::milliseconds(900);
    common::duration call_timeout = std::chrono::milliseconds(900);
    /// Number of events from which on an answer may have been cut short.
    std::size_t full_answer_items = 500;
    common::duration retry_interval = std::chrono::milliseconds(100);
};

/// Changes read from the platform's list of workers.
struct worker_changes
{
    bool complete = false; ///< `present` is the whole list.
    std::vector<ports::pool_worker> present;
    std::vector<std::string> removed; ///< Ids of the workers.
};

/// Follows the platform's list of workers: reads it completely once, then
/// watches it for changes.
class worker_list
{
public:
    using handler =
        std::function<void(common::time_point, worker_changes const&)>;

    worker_list(worker_list_settings settings,
                platform_records const& records,
                outbox& out,
                handler on_changes);

    void tick(common::time_point now);
    /// Records that the store had reached at most `revision` at `sent_at`.
    void note(common::time_point sent_at, std::uint64_t revision);
    /// Whether the list has been read completely.
    bool loaded() const noexcept;
    /// Time before which every written change is known.
    common::time_point current_as_of() const noexcept;

private:
    void read_page();
    void on_page(common::time_point now, ports::kv_reply const& reply);
    void watch();
    void on_watch(common::time_point now, ports::kv_reply const& reply);
    void apply_item(ports::kv_item const& item, worker_changes& changes);
    void note_ignored(ports::kv_item const& item,
                      common::failure const& reason);

    worker_list_settings settings_;
    platform_records const& platform_records_;
    outbox& out_;
    handler on_changes_;
    lifetime_token life_ = std::make_shared<char>();
    worker_changes loaded_pages_; ///< Content of the pages read so far.
    std::string next_page_after_; ///< Last key of the previous page.
    bool reading_pages_ = true;   ///< Pages are still to be read.
    bool call_pending_ = false;   ///< A call is waiting for its answer.
    bool loaded_ = false;
    /// Revision from which the next watch continues: that of the last applied
    /// event, or of the first page if none has arrived since the pages were
    /// read.
    std::uint64_t watched_revision_ = 0;
    std::uint64_t first_page_revision_ = 0; ///< Revision of the first page.
    common::time_point pages_requested_at_{};
    common::time_point call_sent_at_{};
    common::time_point current_as_of_{};
    revision_times times_;
    common::time_point next_call_at_{};
    common::seen_failures seen_failures_; ///< By the keys of entries.
};

} // namespace fuchsia::core::pool
