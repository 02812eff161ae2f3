#include "programs/ctl/pool_questions.hpp"

#include "adapters/http/message.hpp"
#include "programs/ctl/planner_client.hpp"
#include "programs/ctl/table.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <ostream>
#include <utility>

namespace fuchsia::programs::ctl
{

namespace
{

using boost::json::array;
using boost::json::object;

constexpr auto* pool_instance_label = "instance of the pool";

// Settings of a client for instances of the pool, which are called like
// planners but without the planners' token.
ctl_settings settings_for(ctl_settings const& base,
                          std::vector<ports::endpoint> instances)
{
    return {std::move(instances), {}, {}, base.timeout};
}

array rows_of(object const& body, std::string_view key)
{
    auto const* const found = body.if_contains(key);
    return found != nullptr && found->is_array() ? found->get_array() : array{};
}

exit_status show_instances(command_line const& line,
                           ctl_settings const& settings,
                           std::ostream& out,
                           std::ostream& error)
{
    array rows;
    array unreachable;
    for (auto const& where : settings.pools)
    {
        auto const address = adapters::http::to_string(where);
        planner_client client(settings_for(settings, {where}),
                              pool_instance_label);
        auto answer = client.call("GET", "/v1/pool", "", repeat::read);
        if (answer.end != call_end::done)
        {
            unreachable.push_back(object{{"address", address},
                                         {"why", to_string(answer.reason)}});
            continue;
        }
        answer.body["address"] = address;
        rows.push_back(std::move(answer.body));
    }
    bool const owned =
        std::any_of(rows.begin(),
                    rows.end(),
                    [](boost::json::value const& row)
                    {
                        auto const* const owner =
                            row.as_object().if_contains("owner");
                        return owner != nullptr && *owner == true;
                    });
    if (line.json)
    {
        out << boost::json::serialize(
                   object{{"instances", rows}, {"unreachable", unreachable}})
            << '\n';
    }
    else
    {
        print_table(out,
                    {{"INSTANCE", "name"},
                     {"ADDRESS", "address"},
                     {"OWNER", "owner"},
                     {"EPOCH", "epoch"},
                     {"OWNED MS", "owned_for_ms"},
                     {"CONFIGURATION", "configuration_version"},
                     {"STORE SILENT MS", "store_silent_ms"}},
                    rows);
    }
    for (auto const& row : unreachable)
    {
        error << "fuchsiactl: no answer from "
              << plain_text(row.as_object().at("address")) << ": "
              << plain_text(row.as_object().at("why")) << '\n';
    }
    if (!owned)
    {
        error << "fuchsiactl: no instance that answered owns the pool\n";
    }
    return rows.empty() ? exit_status::refused : exit_status::done;
}

void print_workers(std::ostream& out, object const& body)
{
    print_table(out,
                {{"WORKER", "id"},
                 {"DATA CENTRE", "data_centre"},
                 {"RACK", "rack"},
                 {"TASKS", "tasks"},
                 {"RESERVED", "reserved.millicores"},
                 {"OF", "capacity.millicores"},
                 {"SPEED %", "speed_percent"},
                 {"SILENT MS", "silent_ms"},
                 {"LEASE MS", "lease_left_ms"},
                 {"DRAINING", "draining"},
                 {"SUSPECTED", "suspected"}},
                rows_of(body, "workers"));
}

void print_jobs(std::ostream& out, object const& body)
{
    print_table(out,
                {{"JOB", "id"},
                 {"QUEUE", "queue"},
                 {"PHASE", "phase"},
                 {"STARTED", "started"},
                 {"TASKS LEFT", "tasks_left"},
                 {"PLACED", "tasks_placed"},
                 {"RANK", "rank"},
                 {"DUE IN MS", "due_in_ms"}},
                rows_of(body, "jobs"));
}

void print_job(std::ostream& out, object const& body)
{
    print_members(out, body);
    out << '\n';
    print_table(out,
                {{"OCCURRENCE", "occurrence"},
                 {"STEP", "step"},
                 {"TASK", "index"},
                 {"PHASE", "phase"},
                 {"ATTEMPT", "attempt"},
                 {"FAILURES", "failures"},
                 {"CRASHES", "crashes"},
                 {"WORKER", "worker"},
                 {"PERCENT", "percent"},
                 {"PACE", "pace"}},
                rows_of(body, "tasks"));
    for (auto const& row : rows_of(body, "waiting"))
    {
        out << "\nwaiting for a worker:\n";
        print_members(out, row.as_object());
    }
}

struct query_handler
{
    std::string target;
    void (*print)(std::ostream& out, object const& body);
};

query_handler handler_for(pool_query const& query)
{
    switch (query.subject)
    {
    case pool_subject::workers:
        return {"/v1/pool/workers", print_workers};
    case pool_subject::jobs:
        return {"/v1/pool/jobs", print_jobs};
    default:
        return {"/v1/pool/jobs/" + query.id, print_job};
    }
}

} // namespace

exit_status run_pool_query(command_line const& line,
                           pool_query const& query,
                           ctl_settings const& settings,
                           std::ostream& out,
                           std::ostream& error)
{
    if (settings.pools.empty())
    {
        error << "fuchsiactl: the settings name no instance under pools\n";
        return exit_status::usage;
    }
    if (query.subject == pool_subject::instances)
    {
        return show_instances(line, settings, out, error);
    }
    auto const handler = handler_for(query);
    planner_client client(settings_for(settings, settings.pools),
                          pool_instance_label);
    auto const answer = client.call("GET", handler.target, "", repeat::read);
    if (answer.end != call_end::done)
    {
        error << "fuchsiactl: " << to_string(answer.reason) << '\n';
        return exit_status::refused;
    }
    if (line.json)
    {
        out << boost::json::serialize(answer.body) << '\n';
    }
    else
    {
        handler.print(out, answer.body);
    }
    return exit_status::done;
}

} // namespace fuchsia::programs::ctl
