#pragma once

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
    /// Between two looks. A leaving worker may get no new task 2 s after it
    /// said so.
    common::duration interval = std::chrono::milliseconds(500);
    /// Workers write into their entries all the time. A watch that brings
    /// nothing for this long may be deaf, and the whole list is read.
    common::duration stalled_after = std::chrono::milliseconds(900);
    common::duration call_timeout = std::chrono::milliseconds(900);
    /// An answer with so many changes may have left others out.
    std::size_t full_answer = 500;
    common::duration retry = std::chrono::milliseconds(100);
};

/// Workers that were read from the platform's list.
struct worker_changes
{
    bool complete = false; ///< Nobody but `present` is in the list.
    std::vector<ports::pool_worker> present;
    std::vector<std::string> removed; ///< Ids.
};

/// Follows the platform's list of workers: read whole at first, then by what
/// changed since the last look.
class worker_list
{
public:
    using handler =
        std::function<void(common::time_point, worker_changes const&)>;

    worker_list(worker_list_settings settings,
                platform_records const& words,
                outbox& out,
                handler handle);

    void tick(common::time_point now);
    /// At `asked` the store had not reached more than `revision`.
    void note(common::time_point asked, std::uint64_t revision);
    /// It was read whole once.
    bool known() const noexcept;
    /// Every change that was written before then is known.
    common::time_point current_as_of() const noexcept;

private:
    void read_page();
    void on_page(common::time_point now, ports::kv_reply const& reply);
    void watch();
    void on_watch(common::time_point now, ports::kv_reply const& reply);
    void take(ports::kv_item const& item, worker_changes& into);

    worker_list_settings settings_;
    platform_records const& platform_records_;
    outbox& out_;
    handler handle_;
    lifetime_token life_ = std::make_shared<char>();
    worker_changes pages_; ///< Read so far.
    std::string after_;    ///< Key behind which the next page begins.
    bool reading_ = true;  ///< Pages are still to come.
    bool busy_ = false;    ///< A call is on its way.
    bool known_ = false;
    std::uint64_t watched_ = 0;       ///< Of the last event that was taken.
    std::uint64_t page_revision_ = 0; ///< Of the first page.
    common::time_point pages_asked_{};
    common::time_point asked_{};
    common::time_point current_as_of_{};
    revision_times times_;
    common::time_point next_{};
};

} // namespace fuchsia::core::pool
