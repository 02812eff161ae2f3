#include "core/tasks/job_view.hpp"

#include "core/common/json.hpp"
#include "core/tasks/cell_log.hpp"

#include <algorithm>
#include <utility>

namespace fuchsia::core::tasks
{

namespace
{

namespace json = boost::json;

std::string_view shown_state(task_status status) noexcept
{
    switch (status)
    {
    case task_status::started:
        return "running";
    case task_status::moving:
    case task_status::moved:
        return "moving";
    default:
        return name_of(status);
    }
}

// Adds a task that may be known from another cell already. The cell that
// transferred a task away shows it as moving; the record of the receiving cell
// replaces that one.
void add_task(std::map<std::uint32_t, task_view>& tasks, task_view next)
{
    auto const found = tasks.find(next.index);
    if (found == tasks.end())
    {
        tasks.emplace(next.index, std::move(next));
        return;
    }
    auto& existing = found->second;
    bool const replaces =
        existing.state == "moving"
            ? next.state != "moving" || next.attempt >= existing.attempt
            : next.state != "moving" && next.attempt > existing.attempt;
    if (replaces)
    {
        existing = std::move(next);
    }
}

struct merged_job
{
    job definition;
    std::string stop_why;
    std::map<std::uint32_t, task_view> tasks;
};

void merge_inbox_message(std::map<std::string, merged_job>& jobs,
                         std::string const& cell,
                         inbox_message const& message)
{
    auto& job = jobs[message.definition.id];
    job.definition = message.definition;
    for (auto const& task : message.tasks)
    {
        add_task(job.tasks,
                 {task.index,
                  task.attempt,
                  cell,
                  "",
                  "queued",
                  task.checkpoint,
                  ""});
    }
}

void merge_cell(std::map<std::string, merged_job>& jobs,
                std::string const& cell,
                cell_state const& state)
{
    for (auto const& [id, part] : state.jobs)
    {
        auto& job = jobs[id];
        job.definition = part.definition;
        if (part.stopped)
        {
            job.stop_why =
                std::to_string(static_cast<std::uint16_t>(part.stop_code)) +
                " " + std::string(common::name_of(part.stop_code)) +
                (part.stop_why.empty() ? "" : ": " + part.stop_why);
        }
        for (auto const& [index, task] : part.tasks)
        {
            add_task(job.tasks,
                     {index,
                      task.attempt,
                      cell,
                      task.worker,
                      std::string(shown_state(task.status)),
                      task.checkpoint,
                      task.why});
        }
    }
}

// Returns what a job with waiting tasks probably waits for, judged by the
// resources in use and the configuration.
std::string wait_reason(job_view const& view,
                        std::map<std::string, ports::resources> const& in_use,
                        config::configuration const& config)
{
    auto const contract = config.contracts.find(view.definition.customer);
    if (contract == config.contracts.end())
    {
        return "the customer has no contract";
    }
    auto const use = in_use.find(view.definition.customer);
    auto next = use == in_use.end() ? ports::resources{} : use->second;
    next += view.definition.declared;
    if (!contract->second.capacity.covers(next))
    {
        return "the contract is used up";
    }
    if (config.data_centres_out_of_service.count(view.definition.data_centre) !=
        0)
    {
        return "its data centre is out";
    }
    return "waits for room on a worker";
}

void count_tasks(job_view& view)
{
    for (auto const& task : view.tasks)
    {
        bool const waits = task.state == "queued" || task.state == "moving";
        view.queued += waits ? 1 : 0;
        view.running += task.state == "running" ? 1 : 0;
        view.finished += task.state == "finished" ? 1 : 0;
        view.failed += task.state == "failed" ? 1 : 0;
        view.cancelled += task.state == "cancelled" ? 1 : 0;
    }
    if (view.running != 0)
    {
        view.state = "running";
    }
    else if (view.queued != 0)
    {
        view.state = "queued";
    }
    else if (view.failed != 0)
    {
        view.state = "failed";
    }
    else
    {
        view.state = view.cancelled != 0 ? "cancelled" : "finished";
    }
}

json::object encoded(job_view const& value)
{
    return {{"id", value.definition.id},
            {"customer", value.definition.customer},
            {"kind", name_of(value.definition.kind)},
            {"class", value.definition.task_class},
            {"state", value.state},
            {"tasks", value.definition.tasks},
            {"queued", value.queued},
            {"running", value.running},
            {"finished", value.finished},
            {"failed", value.failed},
            {"cancelled", value.cancelled},
            {"why", value.why}};
}

} // namespace

std::map<std::string, job_view>
build_job_views(std::vector<ports::store_entry> const& inbox_entries,
                std::vector<ports::store_entry> const& cell_entries,
                config::configuration const& config)
{
    std::map<std::string, merged_job> jobs;
    std::map<std::string, std::vector<stored_inbox_message>> items;
    std::vector<stop_notice> notices;
    parse_inbox_entries(inbox_entries, items, notices);
    for (auto const& [cell, list] : items)
    {
        for (auto const& item : list)
        {
            merge_inbox_message(jobs, cell, item.message);
        }
    }
    std::map<std::string, std::vector<ports::store_entry>> by_cell;
    for (auto const& entry : cell_entries)
    {
        constexpr std::string_view prefix = "tasks/";
        auto const slash = entry.key.find('/', prefix.size());
        if (entry.key.starts_with(prefix) && slash != std::string::npos)
        {
            by_cell[entry.key.substr(prefix.size(), slash - prefix.size())]
                .push_back(entry);
        }
    }
    for (auto const& [cell, entries] : by_cell)
    {
        common::failure reason;
        if (auto const stored = replay(cell, entries, reason))
        {
            merge_cell(jobs, cell, stored->state);
        }
    }
    std::map<std::string, job_view> out;
    std::map<std::string, ports::resources> in_use;
    for (auto& [id, job] : jobs)
    {
        auto& view = out[id];
        view.definition = job.definition;
        view.why = job.stop_why;
        for (auto& [index, task] : job.tasks)
        {
            if (task.state == "running")
            {
                in_use[view.definition.customer] += view.definition.declared;
            }
            view.tasks.push_back(std::move(task));
        }
        count_tasks(view);
    }
    for (auto& [id, view] : out)
    {
        if (view.queued != 0 && view.why.empty())
        {
            view.why = wait_reason(view, in_use, config);
        }
    }
    return out;
}

std::string to_json(job_view const& value, bool with_tasks)
{
    auto out = encoded(value);
    if (with_tasks)
    {
        json::array tasks;
        for (auto const& task : value.tasks)
        {
            tasks.emplace_back(json::object{{"index", task.index},
                                            {"attempt", task.attempt},
                                            {"cell", task.cell},
                                            {"worker", task.worker},
                                            {"state", task.state},
                                            {"checkpoint", task.checkpoint},
                                            {"why", task.why}});
        }
        out["task_list"] = std::move(tasks);
        out["declared"] = json::object{
            {"millicores", value.definition.declared.millicores},
            {"memory_mb", value.definition.declared.memory_mb},
            {"accelerators", value.definition.declared.accelerators}};
        out["urgent"] = value.definition.urgent;
        out["checkpointable"] = value.definition.checkpointable;
        out["data_centre"] = value.definition.data_centre;
    }
    return json::serialize(out);
}

std::string to_json(std::map<std::string, job_view> const& jobs,
                    std::string const& state_filter)
{
    json::array list;
    for (auto const& [id, view] : jobs)
    {
        if (state_filter.empty() || view.state == state_filter)
        {
            list.emplace_back(encoded(view));
        }
    }
    return json::serialize(json::object{{"jobs", std::move(list)}});
}

} // namespace fuchsia::core::tasks
