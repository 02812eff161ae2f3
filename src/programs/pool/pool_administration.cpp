#include "programs/pool/pool_administration.hpp"

#include "core/common/json.hpp"

#include <boost/json/serialize.hpp>
#include <cmath>
#include <optional>
#include <string_view>

namespace fuchsia::programs::pool
{

namespace
{

namespace http = adapters::http;
namespace json = boost::json;
using core::common::result_code;
using core::common::time_point;
using core::common::to_milliseconds;
using namespace core::pool;

constexpr std::string_view pool_path = "/v1/pool";
constexpr std::string_view job_path_prefix = "/v1/pool/jobs/";
/// Maximum number of jobs in an answer; bounds its size.
constexpr std::size_t max_jobs = 1000;

http::response answer(std::uint16_t status, json::object const& body)
{
    return {
        status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

http::response
refuse(result_code code, std::string const& where, char const* why)
{
    auto const& row = core::common::row_of(code);
    return answer(row.http_status,
                  {{"code", static_cast<unsigned>(code)},
                   {"name", row.name},
                   {"where", where},
                   {"why", why}});
}

json::object to_json(ports::resources const& value)
{
    return {{"millicores", value.millicores},
            {"memory_mb", value.memory_mb},
            {"accelerators", value.accelerators}};
}

json::object to_json(instance_status const& value, std::string const& name)
{
    return {{"name", name},
            {"owner", value.owner},
            {"loaded", value.loaded},
            {"epoch", value.epoch},
            {"owned_for_ms", to_milliseconds(value.owned_for)},
            {"configuration_version", value.configuration_version},
            {"store_silent_ms", to_milliseconds(value.store_silence)},
            {"data_centres_out", json::value_from(value.data_centres_out)}};
}

json::object to_json(worker_status const& value)
{
    return {{"id", value.id},
            {"data_centre", value.data_centre},
            {"rack", value.rack},
            {"incarnation", value.incarnation},
            {"listed", value.listed},
            {"draining", value.draining},
            {"silent", value.silent},
            {"suspected", value.suspected},
            {"tasks", value.tasks},
            {"capacity", to_json(value.capacity)},
            {"reserved", to_json(value.reserved)},
            {"silent_ms", to_milliseconds(value.silence)},
            {"lease_left_ms", to_milliseconds(value.lease_left)},
            {"speed_percent", std::lround(value.speed * 100)}};
}

json::object to_json(job_status_row const& value)
{
    return {{"id", value.id},
            {"queue", value.queue},
            {"phase", name_in(job_phase_names, value.phase)},
            {"started", value.started},
            {"tasks_left", value.tasks_left},
            {"tasks_placed", value.tasks_placed},
            {"rank", value.rank},
            {"due_in_ms", to_milliseconds(value.due_in)}};
}

json::object to_json(task_status const& value)
{
    return {{"occurrence", value.name.occurrence},
            {"step", value.name.step},
            {"index", value.name.index},
            {"phase", name_in(task_phase_names, value.phase)},
            {"attempt", value.attempt},
            {"failures", value.failures},
            {"crashes", value.crashes},
            {"worker", value.worker},
            {"percent", value.percent},
            {"pace", value.speed_limit}};
}

json::object to_json(step_status const& value)
{
    json::object obstacles;
    for (auto const& [kind, count] : value.obstacles)
    {
        obstacles[name_in(obstacle_names, kind)] = count;
    }
    return {{"occurrence", value.occurrence},
            {"step", value.step},
            {"ready", value.ready},
            {"workers_that_would_take_it", value.possible},
            {"workers_by_obstacle", std::move(obstacles)}};
}

template<class Rows>
json::array to_array(Rows const& rows)
{
    json::array result;
    for (auto const& row : rows)
    {
        result.push_back(to_json(row));
    }
    return result;
}

http::response
answer_job(owner& current_owner, time_point now, std::string const& target)
{
    auto const id = target.substr(job_path_prefix.size());
    auto const found = current_owner.describe(now, id);
    if (!found)
    {
        return refuse(result_code::not_found,
                      id,
                      "the owner knows no such job at work; its final state is "
                      "told to its submitter for two minutes");
    }
    auto body = to_json(found->job);
    body["tasks"] = to_array(found->tasks);
    body["waiting"] = to_array(found->waiting);
    return answer(200, body);
}

http::response answer_jobs(owner const& current_owner, time_point now)
{
    auto rows = current_owner.jobs(now);
    auto const count = rows.size();
    if (count > max_jobs)
    {
        rows.resize(max_jobs);
    }
    return answer(200, {{"count", count}, {"jobs", to_array(rows)}});
}

} // namespace

http::response answer_operator(engine& engine,
                               std::string const& name,
                               time_point now,
                               std::string const& target)
{
    if (target == pool_path)
    {
        return answer(200, to_json(engine.status(now), name));
    }
    bool const workers = target == "/v1/pool/workers";
    bool const jobs = target == "/v1/pool/jobs";
    bool const job = target.starts_with(job_path_prefix);
    if (!workers && !jobs && !job)
    {
        return refuse(
            result_code::unknown_path, target, "nothing is served there");
    }
    auto* const current_owner = engine.active_owner();
    if (current_owner == nullptr || !current_owner->loaded())
    {
        return refuse(result_code::owner_unreachable,
                      name,
                      "this instance does not own the pool, or is still "
                      "reading its state");
    }
    if (workers)
    {
        return answer(200,
                      {{"workers", to_array(current_owner->workers(now))}});
    }
    return jobs ? answer_jobs(*current_owner, now)
                : answer_job(*current_owner, now, target);
}

} // namespace fuchsia::programs::pool
