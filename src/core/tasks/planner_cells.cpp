#include "core/tasks/planner_engine.hpp"

#include <algorithm>
#include <memory>
#include <utility>

// Cells that this planner owns: acquisition, ticks and handover.
namespace fuchsia::core::tasks
{

cell_context planner_engine::make_cell_context(common::time_point now,
                                               std::string const& cell,
                                               ports::actions& out)
{
    bool const may_act = claims_.owns(now, cell, member_);
    return {now,
            may_act,
            may_act && config_fresh(now) && !stop_started_at_,
            settings_.cell,
            follower_.current(),
            workers_,
            quotas_,
            loads_,
            calls_,
            worker_calls_,
            interference_estimates_,
            counters_,
            out};
}

void planner_engine::mark_all_cells_dirty()
{
    for (auto const& [name, cell] : cells_)
    {
        dirty_cells_.insert(name);
    }
}

// Each round begins with another cell. Otherwise the same cells would always
// be throttled while the rate limit of store writes is reached.
void planner_engine::tick_cells(common::time_point now, ports::actions& out)
{
    auto const dirty = std::exchange(dirty_cells_, {});
    std::vector<std::string> order(dirty.begin(), dirty.end());
    if (order.empty())
    {
        return;
    }
    auto const first =
        static_cast<std::ptrdiff_t>(++round_count_ % order.size());
    std::rotate(order.begin(), order.begin() + first, order.end());
    for (auto const& name : order)
    {
        auto const cell_entry = cells_.find(name);
        if (cell_entry == cells_.end())
        {
            continue;
        }
        auto& cell = *cell_entry->second;
        bool const was_active = cell.active();
        auto context = make_cell_context(now, name, out);
        cell.tick(context);
        if (cell.active() && !was_active)
        {
            deliver_inbox(now, cell, out);
        }
    }
}

void planner_engine::apply_claims(common::time_point now, ports::actions& out)
{
    for (auto const& change : claims_.take_changes())
    {
        auto const& cell = change.current.partition;
        switch (change.kind)
        {
        case claims::claim_change_kind::acquired:
            add_cell(now, change.current, out);
            break;
        case claims::claim_change_kind::handover_requested:
            releasing_.insert(cell);
            break;
        case claims::claim_change_kind::lost:
            remove_cell(cell);
            break;
        case claims::claim_change_kind::owner_changed:
            break;
        }
    }
}

void planner_engine::add_cell(common::time_point now,
                              claims::claim const& claim,
                              ports::actions& out)
{
    remove_cell(claim.partition);
    auto& cell = cells_[claim.partition];
    cell = std::make_unique<cell_runner>(claim.partition,
                                         member_.self().id.incarnation,
                                         claim.epoch,
                                         settings_.cell.log);
    auto context = make_cell_context(now, claim.partition, out);
    cell->start(context);
}

void planner_engine::remove_cell(std::string const& cell)
{
    cells_.erase(cell);
    releasing_.erase(cell);
    quotas_.drop_cell(cell);
    loads_.drop_own(cell);
}

// Hands over the cells that another member requested. A cell stops new work and
// is released only after its pending commits have completed, so that the next
// owner reads a log to which nothing is appended any more.
void planner_engine::hand_over(common::time_point now, ports::actions& out)
{
    std::vector<std::string> released;
    for (auto const& name : releasing_)
    {
        auto const cell_entry = cells_.find(name);
        if (cell_entry == cells_.end())
        {
            continue;
        }
        auto& cell = *cell_entry->second;
        if (!cell.handing_over())
        {
            cell.begin_handover();
        }
        if (cell.idle() || cell.ownership_lost())
        {
            claims_.release(now, name, out);
            released.push_back(name);
        }
    }
    for (auto const& name : released)
    {
        remove_cell(name);
    }
}

void planner_engine::deliver_inbox(common::time_point now,
                                   cell_runner& target,
                                   ports::actions& out)
{
    auto context = make_cell_context(now, target.name(), out);
    target.on_inbox(context, inbox_.items_of(target.name()));
    for (auto const& notice : inbox_.notices())
    {
        target.stop_job(context, notice.job, notice.code, notice.why);
    }
}

void planner_engine::publish_faulty_jobs(common::time_point now,
                                         ports::actions& out)
{
    for (auto& [name, cell] : cells_)
    {
        for (auto const& job : cell->take_faulty_jobs())
        {
            auto request_context = make_request_context(now, out);
            job_request_handler_.publish_stop(request_context, job);
        }
    }
}

// The cells are all listed racks and all racks that were ever claimed: the
// tasks of a removed rack still need an owner that moves them elsewhere.
void planner_engine::set_partitions()
{
    std::set<std::string> names;
    for (auto const& rack : workers_.racks())
    {
        names.insert(rack);
    }
    for (auto const& [name, claim] : claims_.all())
    {
        names.insert(name);
    }
    claims_.set_partitions({names.begin(), names.end()});
}

std::map<std::string, std::unique_ptr<cell_runner>> const&
planner_engine::cells() const noexcept
{
    return cells_;
}

std::vector<std::string> planner_engine::racks() const
{
    std::vector<std::string> out;
    out.reserve(cells_.size());
    for (auto const& [name, cell] : cells_)
    {
        out.push_back(name);
    }
    return out;
}

} // namespace fuchsia::core::tasks
