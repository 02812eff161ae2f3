#include "programs/planner/planner_program.hpp"

#include <utility>

// Requests over HTTP: for jobs to the engine, the others to the administration.
namespace fuchsia::programs::planner
{

using adapters::http::request;
using adapters::http::response;
using core::common::clock;
using core::common::time_point;

namespace
{

constexpr std::string_view jobs_path = "/v1/jobs";

bool is_for_jobs(std::string_view target)
{
    if (!target.starts_with(jobs_path))
    {
        return false;
    }
    auto const rest = target.substr(jobs_path.size());
    return rest.empty() || rest.front() == '/' || rest.front() == '?';
}

} // namespace

// Runs on the HTTP thread and therefore reads only constant state.
std::optional<response>
planner_program::check_request(request const& message) const
{
    auto const authorization = message.header("Authorization").value_or("");
    if (!has_token(authorization, settings_.daemon.token))
    {
        return adapters::http::failure_response(
            {core::common::result_code::bad_token,
             "Authorization",
             "the token is absent or wrong"});
    }
    if (!is_for_jobs(message.target) &&
        !administration::handles(message.target))
    {
        return adapters::http::failure_response(
            {core::common::result_code::unknown_path,
             message.target,
             "no such path"});
    }
    return std::nullopt;
}

void planner_program::on_request(time_point now,
                                 std::uint64_t id,
                                 request& message)
{
    open_requests_.insert(id);
    if (is_for_jobs(message.target))
    {
        engine_->on_job_request(now,
                                {id,
                                 std::move(message.method),
                                 std::move(message.target),
                                 std::move(message.body)},
                                actions_);
    }
    else
    {
        administration_->on_request(
            now, id, message, view(), actions_, answers_);
    }
    perform();
}

administration_view planner_program::view()
{
    return {engine_->follower(),
            engine_->members(),
            [this]
            {
                core::config::name_set names;
                for (auto const& [id, worker] : engine_->workers().all())
                {
                    names.insert(worker.info.data_centre);
                }
                return names;
            },
            [this]
            {
                return status();
            }};
}

// Returns the planner's part of the status: the totals last published by all
// cells, and the number of cells that this planner owns.
boost::json::object planner_program::status() const
{
    auto const totals = engine_->totals();
    std::size_t quarantined = 0;
    auto const now = clock::now();
    for (auto const& [id, worker] : engine_->workers().all())
    {
        quarantined +=
            worker.quarantined_until && now < *worker.quarantined_until ? 1 : 0;
    }
    return {{"workers",
             boost::json::object{{"listed", engine_->workers().all().size()},
                                 {"quarantined_here", quarantined},
                                 {"free_millicores", totals.free.millicores},
                                 {"free_memory_mb", totals.free.memory_mb}}},
            {"tasks",
             boost::json::object{{"queued", totals.queued_tasks},
                                 {"running", totals.running_tasks}}},
            {"jobs",
             boost::json::object{{"live", totals.live_jobs},
                                 {"ended", totals.ended_jobs}}},
            {"cells_here", engine_->cells().size()}};
}

void planner_program::answer(std::uint64_t request, response message)
{
    open_requests_.erase(request);
    runtime_.answer(request, std::move(message));
}

// Answers the open requests of an engine that was replaced. Nothing else would
// answer them: the operator would wait for ever, and a planned stop would wait
// for that operator.
void planner_program::fail_open_requests()
{
    for (auto const id : std::exchange(open_requests_, {}))
    {
        runtime_.answer(id,
                        adapters::http::failure_response(
                            {core::common::result_code::store_unclear,
                             "",
                             "this planner was replaced while it worked on it; "
                             "look before you repeat it"}));
    }
}

} // namespace fuchsia::programs::planner
