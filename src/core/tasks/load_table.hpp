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

/// How full one cell is, as its owner last published it.
struct cell_load
{
    ports::resources free;         ///< Summed over its workers.
    ports::resources largest_free; ///< Free on the worker with most free cores.
    std::int64_t queued_millicores = 0;
    std::int64_t queued_tasks = 0;
    std::int64_t running_tasks = 0;
    std::int64_t ended_jobs = 0; ///< Of those still listed.
    std::int64_t live_jobs = 0;

    bool operator==(cell_load const&) const = default;
};

struct load_table_settings
{
    common::duration publish_interval = std::chrono::seconds(1);
    common::duration read_interval = std::chrono::seconds(2);
};

/// `load/<member>`: each planner writes how full its cells are and reads the
/// others', so that jobs and moved tasks go where there is room. A guess only:
/// each cell checks for itself, and what does not fit moves on.
class load_table
{
public:
    load_table(std::string member, std::uint64_t seed, load_table_settings);

    void set_own(std::string const& cell, cell_load const& load);
    void drop_own(std::string const& cell);

    void tick(common::time_point now, store_calls& calls, ports::actions& out);
    void on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply);

    struct cell_query
    {
        ports::resources declared; ///< Of one task.
        std::string data_centre;   ///< Empty: any.
        std::string excluded_cell; ///< Empty: any.
        bool requires_capacity = false;
        std::set<std::string, std::less<>> const&
            unavailable_data_centres; ///< Data centres.
    };
    /// A cell for tasks like this, the better of two random ones with room;
    /// empty where none fits the wish.
    std::optional<std::string> choose_cell(cell_query const& want,
                                           worker_registry const& workers);
    /// Sums over all cells, as last published; for the status page.
    cell_load totals() const noexcept;
    /// Counts work sent there as used until its owner publishes again.
    void reserve(std::string const& cell, ports::resources const& sent);

private:
    struct published_load
    {
        cell_load load;
        std::string publisher;
    };

    std::string member_;
    std::mt19937_64 random_;
    load_table_settings settings_;
    std::map<std::string, cell_load> own_;
    std::string written_;
    std::uint64_t version_ = 0;
    std::uint64_t write_call_ = 0;
    std::uint64_t read_call_ = 0;
    std::string in_flight_;
    common::time_point next_write_{};
    common::time_point next_read_{};
    std::map<std::string, published_load> cells_;
};

} // namespace fuchsia::core::tasks
