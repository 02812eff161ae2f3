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

constexpr std::string_view root = "/v1/pool";
constexpr std::string_view one_job = "/v1/pool/jobs/";
// Bounds the size of an answer.
constexpr std::size_t most_jobs = 1000;

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

json::object to_json(ports::resources const& what)
{
    return {{"millicores", what.millicores},
            {"memory_mb", what.memory_mb},
            {"accelerators", what.accelerators}};
}

json::object to_json(instance_status const& what, std::string const& name)
{
    return {{"name", name},
            {"owner", what.owner},
            {"loaded", what.loaded},
            {"epoch", what.epoch},
            {"owned_for_ms", to_milliseconds(what.owned_for)},
            {"configuration_version", what.configuration_version},
            {"store_silent_ms", to_milliseconds(what.store_silence)},
            {"data_centres_out", json::value_from(what.data_centres_out)}};
}

json::object to_json(worker_status const& what)
{
    return {{"id", what.id},
            {"data_centre", what.data_centre},
            {"rack", what.rack},
            {"incarnation", what.incarnation},
            {"listed", what.listed},
            {"draining", what.draining},
            {"silent", what.silent},
            {"suspected", what.suspected},
            {"tasks", what.tasks},
            {"capacity", to_json(what.capacity)},
            {"reserved", to_json(what.reserved)},
            {"silent_ms", to_milliseconds(what.silence)},
            {"lease_left_ms", to_milliseconds(what.lease_left)},
            {"speed_percent", std::lround(what.speed * 100)}};
}

json::object to_json(job_status_row const& what)
{
    return {{"id", what.id},
            {"queue", what.queue},
            {"phase", name_in(job_phase_names, what.phase)},
            {"started", what.started},
            {"tasks_left", what.tasks_left},
            {"tasks_placed", what.tasks_placed},
            {"rank", what.rank},
            {"due_in_ms", to_milliseconds(what.due_in)}};
}

json::object to_json(task_status const& what)
{
    return {{"occurrence", what.name.occurrence},
            {"step", what.name.step},
            {"index", what.name.index},
            {"phase", name_in(task_phase_names, what.phase)},
            {"attempt", what.attempt},
            {"failures", what.failures},
            {"worker", what.worker},
            {"percent", what.percent},
            {"pace", what.speed_limit}};
}

json::object to_json(step_status const& what)
{
    json::object obstacles;
    for (auto const& [kind, count] : what.obstacles)
    {
        obstacles[name_in(obstacle_names, kind)] = count;
    }
    return {{"occurrence", what.occurrence},
            {"step", what.step},
            {"ready", what.ready},
            {"workers_that_would_take_it", what.possible},
            {"workers_by_obstacle", std::move(obstacles)}};
}

template<class Rows>
json::array all_of(Rows const& rows)
{
    json::array made;
    for (auto const& each : rows)
    {
        made.push_back(to_json(each));
    }
    return made;
}

http::response answer_job(owner& of, time_point now, std::string const& target)
{
    auto const id = target.substr(one_job.size());
    auto const found = of.describe(now, id);
    if (!found)
    {
        return refuse(result_code::not_found,
                      id,
                      "the owner knows no such job at work; its final state is "
                      "told to its submitter for two minutes");
    }
    auto body = to_json(found->job);
    body["tasks"] = all_of(found->tasks);
    body["waiting"] = all_of(found->waiting);
    return answer(200, body);
}

http::response answer_jobs(owner const& of, time_point now)
{
    auto rows = of.jobs(now);
    auto const count = rows.size();
    if (count > most_jobs)
    {
        rows.resize(most_jobs);
    }
    return answer(200, {{"count", count}, {"jobs", all_of(rows)}});
}

} // namespace

http::response answer_operator(engine& engine,
                               std::string const& name,
                               time_point now,
                               std::string const& target)
{
    if (target == root)
    {
        return answer(200, to_json(engine.status(now), name));
    }
    bool const workers = target == "/v1/pool/workers";
    bool const jobs = target == "/v1/pool/jobs";
    bool const job = target.starts_with(one_job);
    if (!workers && !jobs && !job)
    {
        return refuse(
            result_code::unknown_path, target, "nothing is served there");
    }
    auto* const of = engine.active_owner();
    if (of == nullptr || !of->loaded())
    {
        return refuse(result_code::owner_unreachable,
                      name,
                      "this instance does not own the pool, or is still "
                      "reading its state");
    }
    if (workers)
    {
        return answer(200, {{"workers", all_of(of->workers(now))}});
    }
    return jobs ? answer_jobs(*of, now) : answer_job(*of, now, target);
}

} // namespace fuchsia::programs::pool
