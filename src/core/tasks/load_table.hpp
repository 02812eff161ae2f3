#pragma once

#include "core/common/time.hpp"
#include "core/tasks/store_calls.hpp"
#include "core/tasks/worker_registry.hpp"
#include "ports/workers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace fuchsia::core::tasks
{

/// Load of one cell, as last published by its owner.
struct cell_load
{
    ports::resources free; ///< Sum over its workers.
    /// Free resources of the worker with the most free cores.
    ports::resources largest_free;
    std::int64_t queued_millicores = 0;
    std::int64_t queued_tasks = 0;
    std::int64_t running_tasks = 0;
    /// Ended jobs that the cell state still contains.
    std::int64_t ended_jobs = 0;
    std::int64_t live_jobs = 0; ///< Jobs that have not ended.

    bool operator==(cell_load const&) const = default;
};

struct load_table_settings
{
    common::duration publish_interval = std::chrono::seconds(1);
    common::duration read_interval = std::chrono::seconds(2);
};

/// Table of cell loads below `load/<member>`. Each planner publishes the loads
/// of its cells and reads those of the others, so that jobs and transferred
/// tasks go to cells with free capacity. The figures are estimates: each cell
/// checks its own capacity and transfers tasks that do not fit.
class load_table
{
public:
    load_table(std::string member, std::uint64_t seed, load_table_settings);

    void set_own(std::string const& cell, cell_load const& load);
    /// Stops publishing the load of the cell. The table keeps its last load
    /// until the next read.
    void drop_own(std::string const& cell);

    void tick(common::time_point now, store_calls& calls, ports::actions& out);
    void on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply);

    struct cell_query
    {
        ports::resources declared; ///< Declared resources of one task.
        std::string data_centre;   ///< Empty for any.
        std::string excluded_cell; ///< Empty for none.
        bool requires_capacity = false;
        /// Data centres whose cells are not chosen.
        std::set<std::string, std::less<>> const& unavailable_data_centres;
    };
    /// Returns the better of two random cells that match the query, chosen
    /// among those with enough free capacity. If no matching cell has enough,
    /// chooses among the others, unless `requires_capacity` is set. Returns
    /// nothing if there is no cell to choose from.
    std::optional<std::string> choose_cell(cell_query const& query,
                                           worker_registry const& workers);
    /// Returns the sums over all known cells, for the status page;
    /// `largest_free` stays 0.
    cell_load totals() const noexcept;
    /// Counts the resources of work sent to a cell as used until the next read
    /// of the table, or `set_own`, replaces the load of the cell. Has no effect
    /// on a cell whose load is not known.
    void reserve(std::string const& cell, ports::resources const& amount);

private:
    struct published_load
    {
        cell_load load;
        std::string publisher;
    };

    std::string member_;
    std::mt19937_64 random_;
    load_table_settings settings_;
    std::map<std::string, cell_load> own_loads_;
    std::string last_written_;
    std::uint64_t version_ = 0;
    std::uint64_t write_call_ = 0;
    std::uint64_t read_call_ = 0;
    std::string written_value_in_flight_;
    common::time_point next_write_at_{};
    common::time_point next_read_at_{};
    std::map<std::string, published_load> known_loads_;
};

} // namespace fuchsia::core::tasks
