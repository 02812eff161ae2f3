#include "core/tasks/load_table.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;
constexpr std::string_view load_prefix = "load/";

json::array encoded(cell_load const& load)
{
    return {load.free.millicores,
            load.free.memory_mb,
            load.free.accelerators,
            load.largest_free.millicores,
            load.largest_free.memory_mb,
            load.largest_free.accelerators,
            load.queued_millicores,
            load.queued_tasks,
            load.running_tasks,
            load.ended_jobs,
            load.live_jobs};
}

std::string to_json(std::map<std::string, cell_load> const& cells)
{
    json::object out;
    for (auto const& [cell, load] : cells)
    {
        out.emplace(cell, encoded(load));
    }
    return json::serialize(out);
}

std::optional<cell_load> read_load(json::value const& value)
{
    if (!value.is_array() || value.as_array().size() != 11)
    {
        return std::nullopt;
    }
    std::array<std::int64_t, 11> numbers{};
    for (std::size_t index = 0; index < numbers.size(); ++index)
    {
        json::error_code error;
        numbers[index] = value.as_array()[index].to_number<std::int64_t>(error);
        if (error)
        {
            return std::nullopt;
        }
    }
    return cell_load{{numbers[0], numbers[1], numbers[2]},
                     {numbers[3], numbers[4], numbers[5]},
                     numbers[6],
                     numbers[7],
                     numbers[8],
                     numbers[9],
                     numbers[10]};
}

// Returns the load of a cell without a published one: all its capacity is free.
cell_load empty_cell(std::string const& cell, worker_registry const& workers)
{
    cell_load load;
    for (auto const& id : workers.in_rack(cell))
    {
        auto const& capacity = workers.find(id)->info.capacity;
        load.free += capacity;
        if (capacity.millicores > load.largest_free.millicores)
        {
            load.largest_free = capacity;
        }
    }
    return load;
}

bool has_large_enough_worker(std::string const& cell,
                             ports::resources const& declared,
                             worker_registry const& workers)
{
    auto const& ids = workers.in_rack(cell);
    return std::any_of(ids.begin(),
                       ids.end(),
                       [&](std::string const& id)
                       {
                           auto const* view = workers.find(id);
                           return view->info.capacity.covers(declared);
                       });
}

} // namespace

load_table::load_table(std::string member,
                       std::uint64_t seed,
                       load_table_settings settings)
    : member_(std::move(member)), random_(seed), settings_(settings)
{
}

void load_table::set_own(std::string const& cell, cell_load const& load)
{
    own_loads_[cell] = load;
    known_loads_[cell] = {load, member_};
}

void load_table::drop_own(std::string const& cell)
{
    own_loads_.erase(cell);
}

void load_table::tick(common::time_point now,
                      store_calls& calls,
                      ports::actions& out)
{
    if (read_call_ == 0 && now >= next_read_at_)
    {
        next_read_at_ = now + settings_.read_interval;
        read_call_ = calls.send(call_owner::load,
                                member_,
                                ports::store_list{std::string(load_prefix)},
                                out);
    }
    if (write_call_ != 0 || now < next_write_at_)
    {
        return;
    }
    auto value = to_json(own_loads_);
    if (value != last_written_ && calls.may_write(now))
    {
        next_write_at_ = now + settings_.publish_interval;
        written_value_in_flight_ = std::move(value);
        write_call_ =
            calls.send(call_owner::load,
                       member_,
                       ports::store_write{std::string(load_prefix) + member_,
                                          written_value_in_flight_,
                                          version_},
                       out);
    }
}

void load_table::on_store_reply(common::time_point now,
                                call_tag const& tag,
                                ports::store_reply const& reply)
{
    bool const done = reply.status == ports::store_status::done;
    if (tag.number == write_call_)
    {
        write_call_ = 0;
        if (done)
        {
            last_written_ = std::move(written_value_in_flight_);
            version_ = reply.index;
        }
        else if (reply.status == ports::store_status::conflict)
        {
            // The next list gives the current version.
            next_read_at_ = now;
        }
        return;
    }
    if (tag.number != read_call_)
    {
        return;
    }
    read_call_ = 0;
    if (!done)
    {
        return;
    }
    std::map<std::string, published_load> cells;
    for (auto const& entry : reply.entries)
    {
        auto const publisher = entry.key.substr(load_prefix.size());
        if (publisher == member_)
        {
            version_ = std::max(version_, entry.version);
            continue;
        }
        common::failure reason;
        auto const object =
            common::parse_json_object(entry.value, "load", reason);
        for (auto const& item : object ? *object : json::object{})
        {
            if (auto const load = read_load(item.value()))
            {
                cells[std::string(item.key())] = {*load, publisher};
            }
        }
    }
    for (auto const& [cell, load] : own_loads_)
    {
        cells[cell] = {load, member_};
    }
    known_loads_ = std::move(cells);
}

std::optional<std::string>
load_table::choose_cell(cell_query const& query, worker_registry const& workers)
{
    std::vector<std::pair<std::string, cell_load>> with_capacity;
    std::vector<std::pair<std::string, cell_load>> without_capacity;
    for (auto const& cell : workers.racks())
    {
        auto const data_centre = workers.data_centre_of(cell);
        bool const data_centre_matches =
            query.data_centre.empty() || query.data_centre == data_centre;
        if (cell == query.excluded_cell || !data_centre_matches ||
            query.unavailable_data_centres.count(data_centre) != 0 ||
            !has_large_enough_worker(cell, query.declared, workers))
        {
            continue;
        }
        auto const found = known_loads_.find(cell);
        auto const load = found == known_loads_.end()
                              ? empty_cell(cell, workers)
                              : found->second.load;
        auto& list = load.largest_free.covers(query.declared)
                         ? with_capacity
                         : without_capacity;
        list.emplace_back(cell, load);
    }
    auto const& list = with_capacity.empty() ? without_capacity : with_capacity;
    if (list.empty() || (with_capacity.empty() && query.requires_capacity))
    {
        return std::nullopt;
    }
    auto const better = [](cell_load const& lhs, cell_load const& rhs)
    {
        return lhs.free.millicores - lhs.queued_millicores >=
               rhs.free.millicores - rhs.queued_millicores;
    };
    // The choice is between two random cells: if all planners chose the least
    // loaded one, they would overload it before its next published load.
    auto const& lhs = list[random_() % list.size()];
    auto const& rhs = list[random_() % list.size()];
    return better(lhs.second, rhs.second) ? lhs.first : rhs.first;
}

cell_load load_table::totals() const noexcept
{
    cell_load out;
    for (auto const& [cell, published] : known_loads_)
    {
        out.free += published.load.free;
        out.queued_millicores += published.load.queued_millicores;
        out.queued_tasks += published.load.queued_tasks;
        out.running_tasks += published.load.running_tasks;
        out.ended_jobs += published.load.ended_jobs;
        out.live_jobs += published.load.live_jobs;
    }
    return out;
}

void load_table::reserve(std::string const& cell,
                         ports::resources const& amount)
{
    auto const found = known_loads_.find(cell);
    if (found != known_loads_.end())
    {
        found->second.load.free -= amount;
        found->second.load.largest_free -= amount;
    }
}

} // namespace fuchsia::core::tasks
