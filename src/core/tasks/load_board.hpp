#pragma once

#include "core/common/time.hpp"
#include "core/tasks/store_calls.hpp"
#include "core/tasks/worker_book.hpp"
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
    ports::resources free;    ///< Summed over its workers.
    ports::resources largest; ///< Free on the worker with most free cores.
    std::int64_t queued_millicores = 0;
    std::int64_t queued_tasks = 0;
    std::int64_t running_tasks = 0;
    std::int64_t ended_jobs = 0; ///< Of those still listed.
    std::int64_t live_jobs = 0;

    bool operator==(cell_load const&) const = default;
};

struct load_board_settings
{
    common::duration publish_interval = std::chrono::seconds(1);
    common::duration read_interval = std::chrono::seconds(2);
};

/// `load/<member>`: each planner writes how full its cells are and reads the
/// others', so that jobs and moved tasks go where there is room. A guess only:
/// each cell checks for itself, and what does not fit moves on.
class load_board
{
public:
    load_board(std::string member, std::uint64_t seed, load_board_settings);

    void set_own(std::string const& cell, cell_load const& load);
    void drop_own(std::string const& cell);

    void tick(common::time_point now, store_calls& calls, ports::actions& out);
    void on_store_reply(common::time_point now,
                        call_tag const& tag,
                        ports::store_reply const& reply);

    struct wish
    {
        ports::resources declared; ///< Of one task.
        std::string data_centre;   ///< Empty: any.
        std::string not_cell;      ///< Empty: any.
        bool only_with_room = false;
        std::set<std::string, std::less<>> const& out; ///< Data centres.
    };
    /// A cell for tasks like this, the better of two random ones with room;
    /// empty where none fits the wish.
    std::optional<std::string> choose(wish const& want,
                                      worker_book const& workers);
    /// Sums over all cells, as last published; for the status page.
    cell_load totals() const noexcept;
    /// Counts work sent there as used until its owner publishes again.
    void reserve(std::string const& cell, ports::resources const& sent);

private:
    struct shown
    {
        cell_load load;
        std::string by;
    };

    std::string member_;
    std::mt19937_64 random_;
    load_board_settings settings_;
    std::map<std::string, cell_load> own_;
    std::string written_;
    std::uint64_t version_ = 0;
    std::uint64_t write_call_ = 0;
    std::uint64_t read_call_ = 0;
    std::string in_flight_;
    common::time_point next_write_{};
    common::time_point next_read_{};
    std::map<std::string, shown> cells_;
};

} // namespace fuchsia::core::tasks
