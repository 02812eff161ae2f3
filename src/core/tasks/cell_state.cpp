#include "core/tasks/cell_state.hpp"

#include "core/common/json.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 7> status_names{
    "queued", "started", "moving", "moved", "finished", "failed", "cancelled"};

task_record* find(cell_state& state, task_key const& key)
{
    return const_cast<task_record*>(std::as_const(state).find(key));
}

// Status of an unfinished task that has no attempt.
task_status idle_status(job_part const& part) noexcept
{
    if (!part.stopped)
    {
        return task_status::queued;
    }
    return part.stop_code == common::result_code::job_cancelled
               ? task_status::cancelled
               : task_status::failed;
}

task_record*
find_started(cell_state& state, task_key const& key, std::uint32_t attempt)
{
    auto* task = find(state, key);
    bool const fits = task != nullptr && task->status == task_status::started &&
                      task->attempt == attempt;
    return fits ? task : nullptr;
}

bool accept(cell_state& state, message_accepted const& new_change)
{
    auto& part = state.jobs[new_change.message.definition.id];
    if (!part.accepted_messages.insert(new_change.message.name).second)
    {
        return false;
    }
    part.definition = new_change.message.definition;
    part.moves = std::max(part.moves, new_change.message.moves);
    for (auto const& transferred : new_change.message.tasks)
    {
        auto& task = part.tasks[transferred.index];
        task = {};
        task.status = idle_status(part);
        task.attempt = transferred.attempt;
        task.checkpoint = transferred.checkpoint;
        task.failed_workers = transferred.failed_workers;
    }
    return true;
}

bool start(cell_state& state, attempt_started const& new_change)
{
    auto* task = find(state, new_change.task);
    if (task == nullptr || task->status != task_status::queued ||
        new_change.attempt != task->attempt + 1)
    {
        return false;
    }
    task->status = task_status::started;
    task->attempt = new_change.attempt;
    task->worker = new_change.worker;
    task->start_before_ms = new_change.start_before_ms;
    task->lease_until_ms = new_change.lease_until_ms;
    return true;
}

bool end(cell_state& state, attempt_ended const& new_change)
{
    auto* task = find_started(state, new_change.task, new_change.attempt);
    if (task == nullptr)
    {
        return false;
    }
    task->why = new_change.why;
    bool const already_listed =
        std::find(task->failed_workers.begin(),
                  task->failed_workers.end(),
                  task->worker) != task->failed_workers.end();
    if (new_change.outcome == attempt_outcome::failed && !already_listed)
    {
        task->failed_workers.push_back(task->worker);
    }
    task->status = new_change.outcome == attempt_outcome::finished
                       ? task_status::finished
                       : idle_status(state.jobs.at(new_change.task.job));
    return true;
}

bool checkpoint(cell_state& state, checkpoint_taken const& new_change)
{
    auto* task = find_started(state, new_change.task, new_change.attempt);
    if (task != nullptr)
    {
        task->checkpoint = new_change.checkpoint;
    }
    return task != nullptr;
}

bool stop(cell_state& state, job_stopped const& new_change)
{
    auto const found = state.jobs.find(new_change.job);
    if (found == state.jobs.end() || found->second.stopped)
    {
        return false;
    }
    auto& part = found->second;
    part.stopped = true;
    part.stop_code = new_change.code;
    part.stop_why = new_change.why;
    for (auto& [index, task] : part.tasks)
    {
        if (task.status == task_status::queued)
        {
            task.status = idle_status(part);
        }
    }
    return true;
}

bool start_transfer(cell_state& state, transfer_started const& new_change)
{
    auto const found = state.jobs.find(new_change.job);
    if (found == state.jobs.end() ||
        state.outgoing.count(new_change.message_name) != 0)
    {
        return false;
    }
    outgoing_transfer transfer;
    transfer.target_cell = new_change.target_cell;
    transfer.message.name = new_change.message_name;
    transfer.message.definition = found->second.definition;
    transfer.message.moves = new_change.moves;
    for (auto const index : new_change.tasks)
    {
        auto const task = found->second.tasks.find(index);
        if (task == found->second.tasks.end() ||
            task->second.status != task_status::queued)
        {
            return false;
        }
        transfer.message.tasks.push_back({index,
                                          task->second.attempt,
                                          task->second.checkpoint,
                                          task->second.failed_workers});
    }
    for (auto const index : new_change.tasks)
    {
        found->second.tasks[index].status = task_status::moving;
    }
    ++state.messages_sent;
    state.outgoing.emplace(new_change.message_name, std::move(transfer));
    return true;
}

bool complete_transfer(cell_state& state, transfer_completed const& new_change)
{
    auto const found = state.outgoing.find(new_change.message_name);
    if (found == state.outgoing.end())
    {
        return false;
    }
    for (auto const& transferred : found->second.message.tasks)
    {
        auto* task = find(
            state, {found->second.message.definition.id, transferred.index});
        if (task != nullptr && task->status == task_status::moving)
        {
            task->status = task_status::moved;
        }
    }
    state.outgoing.erase(found);
    return true;
}

bool remove_job(cell_state& state, job_removed const& new_change)
{
    auto const found = state.jobs.find(new_change.job);
    if (found == state.jobs.end() || !found->second.ended())
    {
        return false;
    }
    state.jobs.erase(found);
    return true;
}

json::object encoded(task_record const& task)
{
    json::array failed_workers;
    for (auto const& worker : task.failed_workers)
    {
        failed_workers.emplace_back(worker);
    }
    return {{"s", static_cast<int>(task.status)},
            {"a", task.attempt},
            {"w", task.worker},
            {"b", task.start_before_ms},
            {"l", task.lease_until_ms},
            {"c", task.checkpoint},
            {"f", std::move(failed_workers)},
            {"y", task.why}};
}

json::object encoded(job_part const& part)
{
    json::object tasks;
    for (auto const& [index, task] : part.tasks)
    {
        tasks.emplace(std::to_string(index), encoded(task));
    }
    json::array accepted_messages;
    for (auto const& name : part.accepted_messages)
    {
        accepted_messages.emplace_back(name);
    }
    return {{"job", json::parse(to_json(part.definition))},
            {"moves", part.moves},
            {"tasks", std::move(tasks)},
            {"parcels", std::move(accepted_messages)},
            {"stopped", part.stopped},
            {"code", static_cast<std::uint16_t>(part.stop_code)},
            {"why", part.stop_why}};
}

task_record read_task(json::object const& object)
{
    task_record task;
    auto const status = object.at("s").to_number<std::size_t>();
    task.status =
        static_cast<task_status>(std::min(status, status_names.size() - 1));
    task.attempt = object.at("a").to_number<std::uint32_t>();
    task.worker = object.at("w").as_string();
    task.start_before_ms = object.at("b").to_number<std::uint64_t>();
    task.lease_until_ms = object.at("l").to_number<std::uint64_t>();
    task.checkpoint = object.at("c").as_string();
    for (auto const& worker : object.at("f").as_array())
    {
        task.failed_workers.emplace_back(worker.as_string());
    }
    task.why = object.at("y").as_string();
    return task;
}

common::result_code code_from(std::int64_t number) noexcept
{
    for (auto const& row : common::result_code_table)
    {
        if (static_cast<std::int64_t>(row.code) == number)
        {
            return row.code;
        }
    }
    return common::result_code::ok;
}

std::optional<job_part> read_part(json::object const& object,
                                  common::failure& reason)
{
    job_part part;
    auto definition = parse_job(json::serialize(object.at("job")), reason);
    if (!definition)
    {
        return std::nullopt;
    }
    part.definition = std::move(*definition);
    part.moves = object.at("moves").to_number<std::uint32_t>();
    for (auto const& item : object.at("tasks").as_object())
    {
        auto const index =
            static_cast<std::uint32_t>(std::stoul(std::string(item.key())));
        part.tasks.emplace(index, read_task(item.value().as_object()));
    }
    for (auto const& name : object.at("parcels").as_array())
    {
        part.accepted_messages.emplace(name.as_string());
    }
    part.stopped = object.at("stopped").as_bool();
    part.stop_code = code_from(object.at("code").to_number<std::int64_t>());
    part.stop_why = object.at("why").as_string();
    return part;
}

std::optional<cell_state> read_state(json::object const& object,
                                     common::failure& reason)
{
    cell_state state;
    state.last_record = object.at("n").to_number<std::uint64_t>();
    state.epoch = object.at("e").to_number<std::uint64_t>();
    state.messages_sent = object.at("sent").to_number<std::uint64_t>();
    for (auto const& item : object.at("jobs").as_object())
    {
        auto part = read_part(item.value().as_object(), reason);
        if (!part)
        {
            return std::nullopt;
        }
        state.jobs.emplace(std::string(item.key()), std::move(*part));
    }
    for (auto const& item : object.at("leaving").as_object())
    {
        auto const& inner = item.value().as_object();
        auto message =
            parse_inbox_message(json::serialize(inner.at("p")), reason);
        if (!message)
        {
            return std::nullopt;
        }
        state.outgoing.emplace(
            std::string(item.key()),
            outgoing_transfer{std::string(inner.at("to").as_string()),
                              std::move(*message)});
    }
    return state;
}

} // namespace

std::string_view name_of(task_status value) noexcept
{
    return status_names[static_cast<std::size_t>(value)];
}

bool job_part::ended() const noexcept
{
    return std::all_of(tasks.begin(),
                       tasks.end(),
                       [](auto const& item)
                       {
                           auto const status = item.second.status;
                           return status != task_status::queued &&
                                  status != task_status::started &&
                                  status != task_status::moving;
                       });
}

task_record const* cell_state::find(task_key const& key) const noexcept
{
    auto const part = jobs.find(key.job);
    if (part == jobs.end())
    {
        return nullptr;
    }
    auto const task = part->second.tasks.find(key.index);
    return task == part->second.tasks.end() ? nullptr : &task->second;
}

bool apply_change(cell_state& state, change const& new_change)
{
    struct visitor
    {
        cell_state& state;
        bool operator()(message_accepted const& item) const
        {
            return accept(state, item);
        }
        bool operator()(attempt_started const& item) const
        {
            return start(state, item);
        }
        bool operator()(attempt_ended const& item) const
        {
            return end(state, item);
        }
        bool operator()(checkpoint_taken const& item) const
        {
            return checkpoint(state, item);
        }
        bool operator()(job_stopped const& item) const
        {
            return stop(state, item);
        }
        bool operator()(transfer_started const& item) const
        {
            return start_transfer(state, item);
        }
        bool operator()(transfer_completed const& item) const
        {
            return complete_transfer(state, item);
        }
        bool operator()(job_removed const& item) const
        {
            return remove_job(state, item);
        }
    };
    return std::visit(visitor{state}, new_change);
}

std::string to_json(cell_state const& state)
{
    json::object jobs;
    for (auto const& [id, part] : state.jobs)
    {
        jobs.emplace(id, encoded(part));
    }
    json::object outgoing_transfers;
    for (auto const& [name, item] : state.outgoing)
    {
        outgoing_transfers.emplace(
            name,
            json::object{{"to", item.target_cell},
                         {"p", json::parse(to_json(item.message))}});
    }
    return json::serialize(
        json::object{{"n", state.last_record},
                     {"e", state.epoch},
                     {"sent", state.messages_sent},
                     {"jobs", std::move(jobs)},
                     {"leaving", std::move(outgoing_transfers)}});
}

std::optional<cell_state> parse_cell_state(std::string_view json,
                                           common::failure& reason)
{
    auto const object = common::parse_json_object(json, "snapshot", reason);
    if (!object)
    {
        return std::nullopt;
    }
    // Only to_json above writes snapshots, so a value of another shape is
    // damaged data rather than wrong input, and one error for all cases is
    // enough.
    try
    {
        return read_state(*object, reason);
    }
    catch (std::exception const& error)
    {
        reason = {
            common::result_code::malformed_json, "snapshot", error.what()};
        return std::nullopt;
    }
}

} // namespace fuchsia::core::tasks
